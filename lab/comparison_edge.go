package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"os/signal"
	"sort"
	"strconv"
	"sync"
	"syscall"
	"time"

	"dunegrade/api"
	"dunegrade/config"
)

// ComparisonEdges are the kinds of simple edges that dunegrade is compared with. They choose workers without the decision
// module: round-robin in turn, reverse-proxy at random. Both enforce the cap by counting, submit each txn only once, and
// vote "on" every second.
var ComparisonEdges = []string{"round-robin", "reverse-proxy"}

// comparisonEdge is an edge of a kind in ComparisonEdges.
type comparisonEdge struct {
	kind            string
	settings        *config.Edge
	client          *api.Client
	mu              sync.Mutex
	workers         map[string]api.Worker // by id
	upWorkers       []api.Worker          // workers that are up, by id
	turnCount       int                   // workers considered so far; determines the next worker of round-robin
	release         api.Release
	releaseSince    time.Time // when release last changed
	rng             *rand.Rand
	recentTxns      []time.Time // times of the txns within the exposure window
	recentTrialTxns []time.Time // times of those that went to the build on trial
	listReceived    bool        // whether a worker list has arrived; the edge is ready from then on
}

// ServeComparisonEdge runs a comparison edge with an edge's settings file until SIGTERM or SIGINT, and returns the exit
// status.
func ServeComparisonEdge(kind, settingsPath string) int {
	settings, err := config.ReadEdge(settingsPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	e := &comparisonEdge{kind: kind, settings: settings, client: api.NewClient(settings.Source.APIURL), workers: map[string]api.Worker{},
		rng: rand.New(rand.NewSource(settings.Seed + int64(settings.ModuleSettings["index"].(float64))))}
	var group sync.WaitGroup
	query := func() url.Values { return url.Values{"edge": {settings.Name}} }
	group.Go(func() { e.watch(ctx, "/v1/workers", query, e.applyWorkers) })
	group.Go(func() { e.watch(ctx, "/v1/releases", query, e.applyRelease) })
	group.Go(func() { e.voteOnTimer(ctx) })
	admin := &http.Server{Addr: settings.Admin, Handler: http.HandlerFunc(e.serveReady)}
	go admin.ListenAndServe()
	ln, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	server := &http.Server{Handler: e.handler()}
	go server.Serve(ln)
	<-ctx.Done()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), settings.DrainTimeout)
	defer cancel()
	server.Shutdown(shutdownCtx)
	admin.Close()
	group.Wait()
	return 0
}

// watch keeps a watch of the platform open until ctx ends. It reopens the watch whenever it breaks.
func (e *comparisonEdge) watch(ctx context.Context, path string, query func() url.Values, handle func([]byte) error) {
	for ctx.Err() == nil {
		e.client.Watch(ctx, path, query(), handle)
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// applyWorkers applies a line of the watch of the worker list.
func (e *comparisonEdge) applyWorkers(line []byte) error {
	var event api.WorkersEvent
	if err := json.Unmarshal(line, &event); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if event.Type == api.EventSnapshot {
		clear(e.workers)
	}
	for _, w := range event.Workers {
		e.workers[w.ID] = w
	}
	e.upWorkers = e.upWorkers[:0]
	for _, w := range e.workers {
		if w.State == api.WorkerUp {
			e.upWorkers = append(e.upWorkers, w)
		}
	}
	sort.Slice(e.upWorkers, func(i, j int) bool { return e.upWorkers[i].ID < e.upWorkers[j].ID })
	e.listReceived = true
	return nil
}

// applyRelease applies a line of the watch of releases.
func (e *comparisonEdge) applyRelease(line []byte) error {
	var event api.ReleaseEvent
	if err := json.Unmarshal(line, &event); err != nil {
		return err
	}
	if event.Type != api.EventBookmark {
		e.mu.Lock()
		if event.Release != e.release {
			e.release, e.releaseSince = event.Release, time.Now()
		}
		e.mu.Unlock()
	}
	return nil
}

// serveReady answers 503 until a worker list has arrived.
func (e *comparisonEdge) serveReady(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.listReceived {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// voteOnTimer votes "on" every second during a trial, without judging the build.
func (e *comparisonEdge) voteOnTimer(ctx context.Context) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		e.mu.Lock()
		rel := e.release
		e.mu.Unlock()
		if rel.Phase == api.PhaseOnTrial {
			e.client.Vote(ctx, api.Vote{Edge: e.settings.Name, Sentry: int(e.settings.ModuleSettings["index"].(float64)), Verdict: api.VoteOn, Build: rel.Build,
				Stage: rel.Stage})
		}
	}
}

// pickWorker chooses a worker that is up, in turn or at random. It skips workers of a build on trial if a further txn would
// exceed the cap. It reports false if it finds no worker.
func (e *comparisonEdge) pickWorker() (api.Worker, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	window := time.Duration(e.settings.ModuleSettings["release.window"].(float64))
	e.recentTxns = append(withinWindow(e.recentTxns, now, window), now)
	e.recentTrialTxns = withinWindow(e.recentTrialTxns, now, window)
	for i := 0; i < len(e.upWorkers); i++ {
		e.turnCount++
		index := e.turnCount % len(e.upWorkers)
		if e.kind == "reverse-proxy" {
			index = e.rng.Intn(len(e.upWorkers))
		}
		w := e.upWorkers[index]
		if w.Build > e.release.Build || w.Build == e.release.Build && e.release.Phase != api.PhaseReleased {
			exposureCap := e.release.Cap
			if w.Build > e.release.Build {
				exposureCap = e.settings.ModuleSettings["release.caps.0"].(float64)
			}
			if float64(len(e.recentTrialTxns)+1) > exposureCap*float64(len(e.recentTxns)) {
				continue
			}
			e.recentTrialTxns = append(e.recentTrialTxns, now)
		}
		return w, true
	}
	return api.Worker{}, false
}

// withinWindow returns those of the ordered times that are less than window before now.
func withinWindow(times []time.Time, now time.Time, window time.Duration) []time.Time {
	first := sort.Search(len(times), func(i int) bool { return now.Sub(times[i]) < window })
	return times[first:]
}

// handler returns the proxy's handler. It sets Dunegrade-Outcome as dunegrade's edge does.
func (e *comparisonEdge) handler() http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: e.settings.WorkerLimits.ConnectTimeout}).DialContext}
	proxy := &httputil.ReverseProxy{Transport: transport,
		Rewrite: func(r *httputil.ProxyRequest) {
			r.Out.URL.Scheme = "http"
			r.Out.URL.Host = r.In.Context().Value(workerAddressKey{}).(string)
		},
		ErrorHandler: func(w http.ResponseWriter, r *http.Request, err error) {
			w.Header().Set("Dunegrade-Outcome", "voided")
			w.WriteHeader(http.StatusBadGateway)
		},
		ModifyResponse: func(r *http.Response) error {
			if r.StatusCode >= 500 {
				r.Header.Set("Dunegrade-Outcome", "voided")
			}
			return nil
		}}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := r.Context()
		if ms, err := strconv.Atoi(r.Header.Get("x-envoy-upstream-rq-timeout-ms")); err == nil {
			var stop context.CancelFunc
			ctx, stop = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond-e.settings.AnswerSlack)
			defer stop()
		}
		chosen, ok := e.pickWorker()
		if !ok {
			w.Header().Set("Dunegrade-Outcome", "declined")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		proxy.ServeHTTP(w, r.WithContext(context.WithValue(ctx, workerAddressKey{}, chosen.Address)))
	})
}

// workerAddressKey is the context key of the chosen worker's address.
type workerAddressKey struct{}

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
// module: round-robin in turn, reverse-proxy at random. Both enforce the cap by counting, submit each txn once, and vote on
// once a second.
var ComparisonEdges = []string{"round-robin", "reverse-proxy"}

// comparisonEdge is an edge of one of these kinds.
type comparisonEdge struct {
	kind            string
	settings        *config.Edge
	client          *api.Client
	mu              sync.Mutex
	workers         map[string]api.Worker // by id
	upWorkers       []api.Worker          // workers that are up, by id
	turnCount       int                   // selections tried so far; gives the next worker of round-robin
	release         api.Release
	releaseSince    time.Time // when release last changed
	rng             *rand.Rand
	recentTxns      []time.Time // times of the txns within the exposure window
	recentTrialTxns []time.Time // those that went to the build on trial
	listReceived    bool        // whether a worker list has arrived, which makes the edge ready
}

// ServeComparisonEdge runs a comparison edge with an edge's settings file until SIGTERM or SIGINT, and returns the exit
// status.
func ServeRival(kind, settingsPath string) int {
	settings, err := config.ReadEdge(settingsPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	v := &comparisonEdge{kind: kind, settings: settings, client: api.NewClient(settings.Source.APIURL), workers: map[string]api.Worker{},
		rng: rand.New(rand.NewSource(settings.Seed + int64(settings.Module["index"].(float64))))}
	var group sync.WaitGroup
	query := func() url.Values { return url.Values{"edge": {settings.Name}} }
	group.Go(func() { v.watch(ctx, "/v1/workers", query, v.applyWorkers) })
	group.Go(func() { v.watch(ctx, "/v1/releases", query, v.applyRelease) })
	group.Go(func() { v.voteOnTimer(ctx) })
	admin := &http.Server{Addr: settings.Admin, Handler: http.HandlerFunc(v.serveReady)}
	go admin.ListenAndServe()
	ln, err := net.Listen("tcp", settings.Listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	server := &http.Server{Handler: v.handler()}
	go server.Serve(ln)
	<-ctx.Done()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), settings.DrainTimeout)
	defer cancel()
	server.Shutdown(shutdownCtx)
	admin.Close()
	group.Wait()
	return 0
}

// watch keeps a watch of the platform open, and reopens it after it ends.
func (v *comparisonEdge) watch(ctx context.Context, path string, query func() url.Values, handle func([]byte) error) {
	for ctx.Err() == nil {
		v.client.Watch(ctx, path, query(), handle)
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// applyWorkers applies a line of the worker list's watch.
func (v *comparisonEdge) applyWorkers(line []byte) error {
	var event api.WorkersEvent
	if err := json.Unmarshal(line, &event); err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if event.Type == api.Whole {
		clear(v.workers)
	}
	for _, w := range event.Workers {
		v.workers[w.ID] = w
	}
	v.upWorkers = v.upWorkers[:0]
	for _, w := range v.workers {
		if w.State == api.Up {
			v.upWorkers = append(v.upWorkers, w)
		}
	}
	sort.Slice(v.upWorkers, func(i, j int) bool { return v.upWorkers[i].ID < v.upWorkers[j].ID })
	v.listReceived = true
	return nil
}

// applyRelease applies a line of the releases' watch.
func (v *comparisonEdge) applyRelease(line []byte) error {
	var event api.ReleaseEvent
	if err := json.Unmarshal(line, &event); err != nil {
		return err
	}
	if event.Type != api.Bookmark {
		v.mu.Lock()
		if event.Release != v.release {
			v.release, v.releaseSince = event.Release, time.Now()
		}
		v.mu.Unlock()
	}
	return nil
}

// serveReady answers 503 until a worker list has arrived.
func (v *comparisonEdge) serveReady(w http.ResponseWriter, _ *http.Request) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.listReceived {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// voteOnTimer votes on once a second during a trial, without judging the build.
func (v *comparisonEdge) voteOnTimer(ctx context.Context) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		v.mu.Lock()
		rel := v.release
		v.mu.Unlock()
		if rel.Phase == api.OnTrial {
			v.client.Vote(ctx, api.Vote{Edge: v.settings.Name, Sentry: int(v.settings.Module["index"].(float64)), Verdict: api.VoteOn, Build: rel.Build,
				Stage: rel.Stage})
		}
	}
}

// pickWorker chooses a worker that is up, in turn or at random. It skips workers of a build on trial while their recent
// txns use up the cap. It reports false if no worker was found.
func (v *comparisonEdge) pickWorker() (api.Worker, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	window := time.Duration(v.settings.Module["release.window"].(float64))
	v.recentTxns = append(withinWindow(v.recentTxns, now, window), now)
	v.recentTrialTxns = withinWindow(v.recentTrialTxns, now, window)
	for i := 0; i < len(v.upWorkers); i++ {
		v.turnCount++
		index := v.turnCount % len(v.upWorkers)
		if v.kind == "reverse-proxy" {
			index = v.rng.Intn(len(v.upWorkers))
		}
		w := v.upWorkers[index]
		if w.Build > v.release.Build || w.Build == v.release.Build && v.release.Phase != api.Released {
			exposureCap := v.release.Cap
			if w.Build > v.release.Build {
				exposureCap = v.settings.Module["release.caps.0"].(float64)
			}
			if float64(len(v.recentTrialTxns)+1) > exposureCap*float64(len(v.recentTxns)) {
				continue
			}
			v.recentTrialTxns = append(v.recentTrialTxns, now)
		}
		return w, true
	}
	return api.Worker{}, false
}

// withinWindow returns the part of the ordered times that is less than window before now.
func withinWindow(times []time.Time, now time.Time, window time.Duration) []time.Time {
	first := sort.Search(len(times), func(i int) bool { return now.Sub(times[i]) < window })
	return times[first:]
}

// handler returns the proxy's handler. It sets Dunegrade-Outcome as dunegrade's edge does.
func (v *comparisonEdge) handler() http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: v.settings.WorkerLimits.ConnectTimeout}).DialContext}
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
			ctx, stop = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond-v.settings.AnswerSlack)
			defer stop()
		}
		chosen, ok := v.pickWorker()
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

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

// ComparisonEdges are plain edges for comparison: they choose without the decision module. Both keep to the cap by counting, send once,
// and vote 'on' by the clock.
var ComparisonEdges = []string{"round-robin", "reverse-proxy"}

type comparisonEdge struct {
	kind            string
	settings        *config.Edge
	client          *api.Client
	mu              sync.Mutex
	workers         map[string]api.Worker
	upWorkers       []api.Worker
	turnCount       int
	release         api.Release
	releaseSince    time.Time
	rng             *rand.Rand
	recentTxns      []time.Time // of the last window
	recentTrialTxns []time.Time
	listReceived    bool
}

// ServeRival runs a plain edge by an edge's settings until SIGTERM, and gives the exit status.
func ServeRival(kind, settings string) int {
	plan, err := config.ReadEdge(settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	v := &comparisonEdge{kind: kind, settings: plan, client: api.NewClient(plan.Source.APIURL), workers: map[string]api.Worker{},
		rng: rand.New(rand.NewSource(plan.Seed + int64(plan.Module["index"].(float64))))}
	var group sync.WaitGroup
	q := func() url.Values { return url.Values{"edge": {plan.Name}} }
	group.Go(func() { v.watch(ctx, "/v1/workers", q, v.applyWorkers) })
	group.Go(func() { v.watch(ctx, "/v1/releases", q, v.applyRelease) })
	group.Go(func() { v.voteOnTimer(ctx) })
	admin := &http.Server{Addr: plan.Admin, Handler: http.HandlerFunc(v.serveReady)}
	go admin.ListenAndServe()
	ln, err := net.Listen("tcp", plan.Listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	front := &http.Server{Handler: v.handler()}
	go front.Serve(ln)
	<-ctx.Done()
	down, cancel := context.WithTimeout(context.Background(), plan.DrainTimeout)
	defer cancel()
	front.Shutdown(down)
	admin.Close()
	group.Wait()
	return 0
}

func (v *comparisonEdge) watch(ctx context.Context, path string, q func() url.Values, on func([]byte) error) {
	for ctx.Err() == nil {
		v.client.Watch(ctx, path, q(), on)
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (v *comparisonEdge) applyWorkers(line []byte) error {
	var e api.WorkersEvent
	if err := json.Unmarshal(line, &e); err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if e.Type == api.Whole {
		clear(v.workers)
	}
	for _, w := range e.Workers {
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

func (v *comparisonEdge) applyRelease(line []byte) error {
	var e api.ReleaseEvent
	if err := json.Unmarshal(line, &e); err != nil {
		return err
	}
	if e.Type != api.Bookmark {
		v.mu.Lock()
		if e.Release != v.release {
			v.release, v.releaseSince = e.Release, time.Now()
		}
		v.mu.Unlock()
	}
	return nil
}

func (v *comparisonEdge) serveReady(w http.ResponseWriter, _ *http.Request) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.listReceived {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// voteOnTimer votes on once a second: nothing is judged.
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

// pickWorker chooses a worker in turn or at random; one of a build on trial only while the count allows it.
func (v *comparisonEdge) pickWorker() (api.Worker, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	window := time.Duration(v.settings.Module["release.window"].(float64))
	v.recentTxns = append(withinWindow(v.recentTxns, now, window), now)
	v.recentTrialTxns = withinWindow(v.recentTrialTxns, now, window)
	for i := 0; i < len(v.upWorkers); i++ {
		v.turnCount++
		at := v.turnCount % len(v.upWorkers)
		if v.kind == "reverse-proxy" {
			at = v.rng.Intn(len(v.upWorkers))
		}
		w := v.upWorkers[at]
		if w.Build > v.release.Build || w.Build == v.release.Build && v.release.Phase != api.Released {
			cap := v.release.Cap
			if w.Build > v.release.Build {
				cap = v.settings.Module["release.caps.0"].(float64)
			}
			if float64(len(v.recentTrialTxns)+1) > cap*float64(len(v.recentTxns)) {
				continue
			}
			v.recentTrialTxns = append(v.recentTrialTxns, now)
		}
		return w, true
	}
	return api.Worker{}, false
}

func withinWindow(list []time.Time, now time.Time, window time.Duration) []time.Time {
	from := sort.Search(len(list), func(i int) bool { return now.Sub(list[i]) < window })
	return list[from:]
}

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
		to, ok := v.pickWorker()
		if !ok {
			w.Header().Set("Dunegrade-Outcome", "declined")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		proxy.ServeHTTP(w, r.WithContext(context.WithValue(ctx, workerAddressKey{}, to.Address)))
	})
}

type workerAddressKey struct{}

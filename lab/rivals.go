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

// Rivals are plain edges for comparison: they choose without the decision module. Both keep to the cap by counting, send once,
// and vote 'on' by the clock.
var Rivals = []string{"round-robin", "reverse-proxy"}

type rival struct {
	kind   string
	plan   *config.Edge
	client *api.Client
	mu     sync.Mutex
	all    map[string]api.Worker
	order  []api.Worker
	turn   int
	rel    api.Release
	since  time.Time
	rng    *rand.Rand
	taken  []time.Time // of the last window
	trial  []time.Time
	listed bool
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
	v := &rival{kind: kind, plan: plan, client: api.NewClient(plan.Source.APIURL), all: map[string]api.Worker{},
		rng: rand.New(rand.NewSource(plan.Seed + int64(plan.Module["index"].(float64))))}
	var group sync.WaitGroup
	q := func() url.Values { return url.Values{"edge": {plan.Name}} }
	group.Go(func() { v.follow(ctx, "/v1/workers", q, v.hearWorkers) })
	group.Go(func() { v.follow(ctx, "/v1/releases", q, v.hearRelease) })
	group.Go(func() { v.voteByClock(ctx) })
	admin := &http.Server{Addr: plan.Admin, Handler: http.HandlerFunc(v.ready)}
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

func (v *rival) follow(ctx context.Context, path string, q func() url.Values, on func([]byte) error) {
	for ctx.Err() == nil {
		v.client.Watch(ctx, path, q(), on)
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
}

func (v *rival) hearWorkers(line []byte) error {
	var e api.WorkersEvent
	if err := json.Unmarshal(line, &e); err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if e.Type == api.Whole {
		clear(v.all)
	}
	for _, w := range e.Workers {
		v.all[w.ID] = w
	}
	v.order = v.order[:0]
	for _, w := range v.all {
		if w.State == api.Up {
			v.order = append(v.order, w)
		}
	}
	sort.Slice(v.order, func(i, j int) bool { return v.order[i].ID < v.order[j].ID })
	v.listed = true
	return nil
}

func (v *rival) hearRelease(line []byte) error {
	var e api.ReleaseEvent
	if err := json.Unmarshal(line, &e); err != nil {
		return err
	}
	if e.Type != api.Bookmark {
		v.mu.Lock()
		if e.Release != v.rel {
			v.rel, v.since = e.Release, time.Now()
		}
		v.mu.Unlock()
	}
	return nil
}

func (v *rival) ready(w http.ResponseWriter, _ *http.Request) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.listed {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// voteByClock votes on once a second: nothing is judged.
func (v *rival) voteByClock(ctx context.Context) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		v.mu.Lock()
		rel := v.rel
		v.mu.Unlock()
		if rel.Phase == api.OnTrial {
			v.client.Vote(ctx, api.Vote{Edge: v.plan.Name, Sentry: int(v.plan.Module["index"].(float64)), Verdict: api.VoteOn, Build: rel.Build,
				Stage: rel.Stage})
		}
	}
}

// pick chooses a worker in turn or at random; one of a build on trial only while the count allows it.
func (v *rival) pick() (api.Worker, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	window := time.Duration(v.plan.Module["release.window"].(float64))
	v.taken = append(recent(v.taken, now, window), now)
	v.trial = recent(v.trial, now, window)
	for i := 0; i < len(v.order); i++ {
		v.turn++
		at := v.turn % len(v.order)
		if v.kind == "reverse-proxy" {
			at = v.rng.Intn(len(v.order))
		}
		w := v.order[at]
		if w.Build > v.rel.Build || w.Build == v.rel.Build && v.rel.Phase != api.Released {
			cap := v.rel.Cap
			if w.Build > v.rel.Build {
				cap = v.plan.Module["release.caps.0"].(float64)
			}
			if float64(len(v.trial)+1) > cap*float64(len(v.taken)) {
				continue
			}
			v.trial = append(v.trial, now)
		}
		return w, true
	}
	return api.Worker{}, false
}

func recent(list []time.Time, now time.Time, window time.Duration) []time.Time {
	from := sort.Search(len(list), func(i int) bool { return now.Sub(list[i]) < window })
	return list[from:]
}

func (v *rival) handler() http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DialContext: (&net.Dialer{Timeout: v.plan.WorkerLimits.ConnectTimeout}).DialContext}
	proxy := &httputil.ReverseProxy{Transport: transport,
		Rewrite: func(r *httputil.ProxyRequest) {
			r.Out.URL.Scheme = "http"
			r.Out.URL.Host = r.In.Context().Value(chosen{}).(string)
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
			ctx, stop = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond-v.plan.AnswerSlack)
			defer stop()
		}
		to, ok := v.pick()
		if !ok {
			w.Header().Set("Dunegrade-Outcome", "declined")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		proxy.ServeHTTP(w, r.WithContext(context.WithValue(ctx, chosen{}, to.Address)))
	})
}

type chosen struct{}

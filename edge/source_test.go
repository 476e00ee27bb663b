package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"dunegrade/api"
	"dunegrade/http1"
	"dunegrade/logic"
)

// recordingHandler is an EventHandler that queues the events.
type recordingHandler struct {
	lists    chan api.WorkersEvent
	releases chan api.ReleaseEvent
	reports  chan api.Report
	tallies  chan api.Tally
}

func newRecordingHandler() *recordingHandler {
	return &recordingHandler{make(chan api.WorkersEvent, 64), make(chan api.ReleaseEvent, 64), make(chan api.Report, 64), make(chan api.Tally, 64)}
}
func (h *recordingHandler) Workers(e api.WorkersEvent) { h.lists <- e }
func (h *recordingHandler) Release(e api.ReleaseEvent) { h.releases <- e }
func (h *recordingHandler) Report(r api.Report)        { h.reports <- r }
func (h *recordingHandler) Tally(t api.Tally)          { h.tallies <- t }

// runSource runs a source until the end of the test and returns its events.
func runSource(t *testing.T, s Source) *recordingHandler {
	h, done := newRecordingHandler(), make(chan struct{})
	ctx, stop := context.WithCancel(context.Background())
	go func() { s.Run(ctx, h); close(done) }()
	t.Cleanup(func() { stop(); <-done })
	return h
}

// await returns the next value of a channel, or fails the test after 10 s.
func await[T any](t *testing.T, c chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(10 * time.Second):
		t.Fatal("timed out waiting for a value")
	}
	return v
}

// A watch that ends, falls silent or delivers malformed events must be resumed at the last revision. After a change that skips
// a revision, the whole list must be requested.
func TestWatchResumesAndDetectsGaps(t *testing.T) {
	before := goleak.IgnoreCurrent()
	requested := make(chan string, 64)
	scripts := make(chan []string, 8)
	scripts <- []string{`{"type":"whole","revision":5,"workers":[{"id":"a","state":"up"}]}`, `{"type":"change","revision":6}`, `{"type":"change","revision":8}`, "hold"}
	scripts <- []string{`{"type":"whole","revision":9}`, `{"type":"bookmark","revision":9}`} // then the watch ends
	scripts <- []string{`{"type":"change","revision":10}`, "this is no JSON", "hold"}
	scripts <- []string{`{"type":"change","revision":11}`, "silence"}
	scripts <- []string{`{"type":"change","revision":12}`, "hold"}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/workers" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		requested <- r.URL.Query().Get("revision")
		w.(http.Flusher).Flush()
		for _, line := range <-scripts {
			if line == "hold" || line == "silence" {
				<-r.Context().Done()
				return
			}
			fmt.Fprintln(w, line)
			w.(http.Flusher).Flush()
		}
	}))
	s := newAPISource(server.URL, "edge-0", zap.NewNop())
	s.client.WatchIdleTimeout = 300 * time.Millisecond
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	h := newRecordingHandler()
	go func() { s.Run(ctx, h); close(done) }()
	for i, want := range []uint64{5, 6, 9, 10, 11, 12} {
		if got := await(t, h.lists); got.Revision != want {
			t.Errorf("event %d has revision %d, want %d", i, got.Revision, want)
		}
	}
	for i, want := range []string{"0", "0", "9", "10", "11"} {
		if got := await(t, requested); got != want {
			t.Errorf("watch %d starts at revision %s, want %s", i, got, want)
		}
	}
	stop()
	<-done
	server.Close()
	goleak.VerifyNone(t, before)
}

// A vote that is refused or gets no reply must return the matching error. Any other status, or a reply that can't be decoded,
// must return an error, too.
func TestVoteResults(t *testing.T) {
	for _, c := range []struct {
		status int
		body   string
		want   error
	}{{200, `{"release":{"build":7,"phase":"on-trial"}}`, nil}, {409, "", api.ErrStaleVote}, {429, "", api.ErrTooManyVotes}, {200, "no JSON", nil}, {500, "", nil}, {0, "", api.ErrVoteOutcomeUnknown}} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var v api.Vote
			if json.NewDecoder(r.Body).Decode(&v) != nil || v.Verdict != api.VoteBack || r.URL.Path != "/v1/releases/7/votes" {
				t.Errorf("got vote %+v at path %s", v, r.URL.Path)
			}
			if c.status == 0 {
				<-r.Context().Done()
				return
			}
			w.WriteHeader(c.status)
			fmt.Fprint(w, c.body)
		}))
		s := newAPISource(server.URL, "edge-0", zap.NewNop())
		ctx, stop := context.WithTimeout(context.Background(), 200*time.Millisecond)
		e, err := s.Vote(ctx, api.Vote{Verdict: api.VoteBack, Build: 7})
		stop()
		switch {
		case c.want != nil && !errors.Is(err, c.want):
			t.Errorf("status %d: got error %v, want %v", c.status, err, c.want)
		case c.want == nil && c.status == 200 && strings.HasPrefix(c.body, "{") && (err != nil || e.Release.Build != 7):
			t.Errorf("got %+v, %v; want the release of build 7", e, err)
		case c.want == nil && (c.status != 200 || !strings.HasPrefix(c.body, "{")) && err == nil:
			t.Errorf("status %d with body %q was accepted", c.status, c.body)
		}
		s.client.Close()
		server.Close()
	}
}

// A changed list file must be delivered on a refresh, and an invalid one must not.
func TestFileSourceReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list.sexp")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(`(worker a (address "127.0.0.1:1")) (release (build 1))`)
	s := newFileSource(path, zap.NewNop())
	h := runSource(t, s)
	if got := await(t, h.lists); len(got.Workers) != 1 {
		t.Errorf("got list %+v, want 1 worker", got)
	}
	write(`(worker a`)
	s.Refresh()
	for len(s.refreshRequested) > 0 { // until the invalid file has been read
		time.Sleep(time.Millisecond)
	}
	write(`(worker a (address "127.0.0.1:1")) (worker b (address "127.0.0.1:2")) (release (build 2) (phase on-trial) (cap 10%))`)
	s.Refresh()
	if got := await(t, h.lists); len(got.Workers) != 2 {
		t.Errorf("got list %+v, want 2 workers", got)
	}
	await(t, h.releases)
	if got := await(t, h.releases); got.Release.Cap != 0.1 || got.Release.Phase != api.PhaseOnTrial {
		t.Errorf("got release %+v, want a build on trial with a cap of 0.1", got)
	}
}

func TestLoadReports(t *testing.T) {
	none := logic.Load{Util: -1, Queue: -1, Busy: -1}
	for _, c := range []struct {
		header string
		ok     bool
		want   logic.Load
	}{
		{"TEXT cpu_utilization=0.5, named_metrics.queue=3, named_metrics.busy=7", true, logic.Load{Util: 0.5, Queue: 3, Busy: 7}},
		{"cpu_utilization=0.5", true, logic.Load{Util: 0.5, Queue: -1, Busy: -1}},
		{"TEXT application_utilization=0.4,rps_fractional=10", true, logic.Load{Util: 0.4, Queue: -1, Busy: -1}},
		{`JSON {"cpu_utilization": 0.5, "named_metrics": {"queue": 2}}`, true, logic.Load{Util: 0.5, Queue: 2, Busy: -1}},
		{"TEXT other=1", true, none},
		{"TEXT cpu_utilization=NaN", false, none},
		{"TEXT cpu_utilization=1e300", false, none},
		{"TEXT cpu_utilization=x", false, none},
		{"TEXT nonsense", false, none},
		{"JSON {", false, none},
	} {
		var r http1.Response
		if _, err := r.Parse([]byte("HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: "+c.header+"\r\n\r\n"), 1024, false); err != nil {
			t.Fatal(err)
		}
		var got logic.Load
		if ok := parseLoadReport(&r, &got); ok != c.ok || ok && got != c.want {
			t.Errorf("%s: got load %+v, valid %t", c.header, got, ok)
		}
	}
}

// A client's trace context must reach the worker unchanged; a request without one must get a generated one.
func TestTraceContext(t *testing.T) {
	seen := make(chan string, 4)
	r := startEdge(t, "", newStubWorker(t, func(c net.Conn, req *http.Request, b []byte) bool {
		seen <- req.Header.Get("Traceparent")
		return echo(c, req, b)
	}))
	const given = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	r.roundTrip("GET /ask HTTP/1.1\r\nHost: t\r\nTraceParent: "+given+"\r\n\r\n", "GET")
	if got := <-seen; got != given {
		t.Errorf("the worker got traceparent %q, want the client's", got)
	}
	r.roundTrip(get("/ask"), "GET")
	if got := <-seen; len(got) != len(given) || !strings.HasPrefix(got, "00-") || !strings.HasSuffix(got, "-01") {
		t.Errorf("the worker got traceparent %q, want a generated one", got)
	}
}

// Each loop is a sentry of its own: both serve txns, and messages between sentries reach the addressed one.
func TestLoopsAreSentries(t *testing.T) {
	a, b := freeUDPAddress(t), freeUDPAddress(t)
	w := newStubWorker(t, echo)
	r := startEdge(t, fmt.Sprintf("(loops 2) (sentries 3) (peers %s %s %s) (allow (messages true))", a, a, b), w)
	for i := 0; i < 8; i++ {
		if answers, _ := r.roundTrip(get("/ask"), "GET"); answers[0].StatusCode != 200 {
			t.Fatalf("got status %d, want 200", answers[0].StatusCode)
		}
	}
	r.waitForLoops()
	for _, l := range r.p.loops {
		admitted := make(chan uint64)
		l.post(func() { admitted <- l.stats.admitted })
		if n := <-admitted; n != 4 {
			t.Errorf("sentry %d admitted %d of 8 txns, want 4", l.sentryIndex, n)
		}
	}
	// A message to the third sentry arrives at its address, preceded by the indexes of sender and receiver.
	addr, _ := net.ResolveUDPAddr("udp", b)
	third, err := net.ListenUDP("udp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer third.Close()
	r.p.loops[1].post(func() { r.p.loops[1].SendToPeer(2, []byte("seen")) })
	buf := make([]byte, 512)
	third.SetReadDeadline(time.Now().Add(5 * time.Second))
	n, _, err := third.ReadFromUDP(buf)
	if err != nil || string(buf[:n]) != "\x00\x01\x00\x02seen" {
		t.Errorf("the third sentry got %q, %v", buf[:n], err)
	}
	// Invalid messages on the same port must do no harm.
	for _, invalid := range []string{"", "x", "\x00\x02\x00\x00" + strings.Repeat("x", 300), "\x00\x63\x00\x01evidence", "\xff\xff\xff\xff"} {
		third.WriteToUDP([]byte(invalid), r.p.peerAddrs[0])
	}
	if answers, _ := r.roundTrip(get("/ask"), "GET"); answers[0].StatusCode != 200 {
		t.Errorf("after invalid messages: got status %d, want 200", answers[0].StatusCode)
	}
}

// freeUDPAddress returns a local address whose port is free.
func freeUDPAddress(t *testing.T) string {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}

// serveWatch answers each watch of the worker list with the given lines. It returns a channel of the revisions at which the
// watches start.
func serveWatch(t *testing.T, ln net.Listener, lines ...string) chan string {
	requested := make(chan string, 64)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/workers" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		requested <- r.URL.Query().Get("revision")
		for _, line := range lines {
			fmt.Fprintln(w, line)
		}
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	return requested
}

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is one entry of the worker list.
type entry struct {
	ID        string  `json:"instanceId"`
	Address   string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	Started   int64   `json:"startedAtMs"`
	Build     int     `json:"build"`
}

// news is the state of the newest build.
type news struct {
	Image    int     `json:"image"`
	Ring     int     `json:"ring"`
	Progress string  `json:"progress"`
	Ceiling  float64 `json:"ceiling"`
	Lag      int64   `json:"lag_ms"`
}

// platform is a stand-in for discovery and the platform: the list and its watch, the notices, and votes.
type platform struct {
	rec        *record
	ln         net.Listener
	mu         sync.Mutex
	generation int
	entries    []entry
	changed    chan struct{}
	state      news
	since      time.Time
	listDelay  func() time.Duration // if set, how late discovery answers
	turnsAway  func() bool          // if set, whether discovery turns a call away
	stateNew   chan struct{}
}

func newPlatform(rec *record, state news, since time.Duration, entries []entry) (*platform, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{rec: rec, ln: ln, generation: 41, entries: entries, changed: make(chan struct{}), state: state,
		since: time.Now().Add(-since), stateNew: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", p.members)
	mux.HandleFunc("GET /notices", p.notices)
	mux.HandleFunc("POST /", p.vote)
	go http.Serve(ln, mux)
	return p, nil
}

func (p *platform) address() string { return p.ln.Addr().String() }

// list returns the whole list.
func (p *platform) list() map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	return map[string]any{"generation": p.generation, "reset": true, "instances": p.entries}
}

// current returns the newest state and how long it has stood.
func (p *platform) current() news {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.state
	n.Lag = time.Since(p.since).Milliseconds()
	return n
}

func (p *platform) members(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	p.mu.Lock()
	generation, changed, delay, turnsAway := p.generation, p.changed, p.listDelay, p.turnsAway
	p.mu.Unlock()
	if turnsAway != nil && turnsAway() {
		p.rec.line("discovery: a call of %q was turned away", r.URL.RawQuery)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	late := func() bool { // discovery is slow; reports whether the caller still waits
		if delay == nil {
			return true
		}
		t := time.NewTimer(delay())
		defer t.Stop()
		select {
		case <-t.C:
			return true
		case <-r.Context().Done():
			p.rec.line("discovery: a call of %s was given up", r.URL.RawQuery)
			return false
		}
	}
	if err == nil && after == generation {
		t := time.NewTimer(time.Duration(min(wait, 60000)) * time.Millisecond)
		defer t.Stop()
		select {
		case <-changed:
		case <-t.C:
			if late() {
				json.NewEncoder(w).Encode(map[string]any{"generation": generation, "reset": false, "instances": []entry{}})
			}
			return
		case <-r.Context().Done():
			return
		}
	}
	if late() {
		json.NewEncoder(w).Encode(p.list())
		p.rec.line("discovery: the list was written, in answer to %q", r.URL.RawQuery)
	}
}

func (p *platform) notices(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	say := func() {
		n := p.current()
		fmt.Fprintf(w, "event: stage\ndata: image=%d&ring=%d&progress=%s&ceiling=%g&lag_ms=%d\n\n", n.Image, n.Ring, n.Progress, n.Ceiling, n.Lag)
	}
	say()
	for n := 1; ; n++ {
		w.(http.Flusher).Flush()
		p.mu.Lock()
		fresh := p.stateNew
		p.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		case <-fresh:
			say()
		case <-tick.C:
			if n%6 == 0 {
				say()
			} else {
				io.WriteString(w, ":\n\n")
			}
		}
	}
}

// vote counts a vote for the present build and stage. One vote for going back takes the build off; the cases are over before a
// stage has run for long enough to move on.
func (p *platform) vote(w http.ResponseWriter, r *http.Request) {
	r.ParseForm()
	image, ring, opinion := r.Form.Get("image"), r.Form.Get("ring"), r.Form.Get("opinion")
	n := p.current()
	back := opinion == "back" && image == strconv.Itoa(n.Image) && (n.Progress == "canary" || n.Progress == "stable")
	on := opinion == "on" && image == strconv.Itoa(n.Image) && ring == strconv.Itoa(n.Ring) && n.Progress == "canary"
	p.rec.line("vote image=%s ring=%s opinion=%s, counts %v", image, ring, opinion, back || on)
	if !back && !on {
		w.WriteHeader(400)
		io.WriteString(w, "<Error><Code>ConditionFailed</Code></Error>")
		return
	}
	if back {
		n.Progress, n.Ceiling, n.Lag = "reverting", 0, 0
		p.setState(n)
	}
	fmt.Fprintf(w, "<?xml version=\"1.0\"?>\n<Response><entries><item><image>%d</image><ring>%d</ring><progress>%s</progress><ceiling>%g</ceiling><lag_ms>%d</lag_ms></item></entries></Response>",
		n.Image, n.Ring, n.Progress, n.Ceiling, n.Lag)
}

// setEntries replaces the list.
func (p *platform) setEntries(entries []entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generation++
	p.entries = entries
	close(p.changed)
	p.changed = make(chan struct{})
}

// setState replaces the state of the newest build.
func (p *platform) setState(n news) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state, p.since = n, time.Now()
	close(p.stateNew)
	p.stateNew = make(chan struct{})
}

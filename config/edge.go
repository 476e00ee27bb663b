package config

import (
	"fmt"
	"net"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"dunegrade/api"
)

// Edge is all that an edge is told by its file, checked.
type Edge struct {
	Name   string
	Listen string // address of the clients' side
	Admin  string // address of health and metrics; empty: none
	Peers  []string
	// PeerListen is where other sentries' messages arrive, each known by its sender's address; empty: at this one's own
	// address of Peers, each saying whose it is.
	PeerListen string
	Loops      int
	Seed       int64
	Zone       string
	Zones      []string
	Kinds      []string
	State      string // folder of what outlives a restart; empty: nothing does
	Log        string // least level of a log line
	Door       Door
	Workers    Pools
	Source     Source
	Trace      Trace

	Products  []Product
	Customers []string
	Routes    []Route

	// Slack is taken off a client's patience, so that a final answer has time to arrive.
	Slack time.Duration
	// KeepOpen is how long after SIGTERM clients still come.
	KeepOpen time.Duration
	// DrainWithin bounds the stop after that.
	DrainWithin time.Duration
	// Module is the plain map of names to values that the decision module reads.
	Module map[string]any
}

// Door holds the limits on the clients' side, each loop by itself.
type Door struct {
	Head, Body, Answer, Unsent  int64 // bytes
	Idle, SlowHead, SlowBody    time.Duration
	SlowReader                  time.Duration
	Connections, Open, Pipeline int
	Holding                     int // bytes that came from clients and were not used yet, of all; 0: no bound
	// Shed is how many connections more are taken while idle ones are ended for them; Spare is how long one must have
	// been idle to be ended once half of all are in use.
	Shed    int
	Spare   time.Duration
	Streams int // answers that carriers hand on at once
}

// Pools holds the limits on connections to workers, each loop by itself.
type Pools struct {
	Connections    int // to one worker
	Total          int // to all workers; 0: no bound of its own
	Dialing        int // at once, to all
	ConnectTimeout time.Duration
	Idle           time.Duration
	Rest           time.Duration // between an answer and the next use of its connection
	Answer         int64         // bytes of an answer's head
}

// Trace says what is recorded of the sentries' decisions, and for how long it is kept.
type Trace struct {
	Folder       string // empty: nothing is recorded
	Level        string // whole, sampled or decisions
	OneIn        uint32 // of txns that ended well, where sampled
	Tail         string // folder in memory where a process that is killed leaves its last records; empty: none
	SegmentBytes int64
	SegmentAge   time.Duration
	TotalBytes   int64
}

// Source says where list, news and votes come from: a file, or the address of an API.
type Source struct {
	File string
	API  string
}

// Product is a kind of txn.
type Product struct {
	Name        string
	SLA, Expiry time.Duration
	Effect      string // inquiry-like, referenced, once-only
	Stream      bool
}

// Route gives a request its product, key, customer and cost. The longest prefix of the first fitting method wins.
type Route struct {
	Method, Prefix         string
	Product                int
	KeyHeader              string
	CustomerHeader         string
	CostHeader, RepeatMark string
}

const (
	hour = time.Hour
	day  = 24 * hour
)

// ReadEdge reads and checks an edge's file. The error is Faults where the text is at fault.
func ReadEdge(path string) (*Edge, error) {
	r, err := ReadFile(path)
	if err != nil {
		return nil, err
	}
	return readEdge(r)
}

// ParseEdge is ReadEdge for a text in hand.
func ParseEdge(file, text string) (*Edge, error) {
	r, err := Read(file, text)
	if err != nil {
		return nil, err
	}
	return readEdge(r)
}

func readEdge(r *Reader) (*Edge, error) {
	e := &Edge{Module: map[string]any{}}
	f := r.Root().Must("edge")
	r.Root().Done()
	e.readProcess(f)
	e.readDoor(f)
	e.readProducts(f)
	e.readRoutes(f)
	e.readModule(f)
	f.Done()
	if err := r.Err(); err != nil {
		return nil, err
	}
	return e, nil
}

func (f *Form) address(name string, must bool) string {
	a := f.Text(name, "")
	if a == "" {
		if must && f.Sub(name) == nil {
			f.Must(name)
		}
		return ""
	}
	if _, port, err := net.SplitHostPort(a); err != nil || api.Port(port) < 0 {
		f.Sub(name).Fault(strconv.Quote(a), "an address and port, such as 127.0.0.1:8080")
	}
	return a
}

// differ records a fault where a field of texts holds one twice.
func (f *Form) differ(field string, names []string) {
	for i, name := range names {
		if index(names[:i], name) >= 0 {
			f.Sub(field).Fault(fmt.Sprintf("%q twice", name), "names that differ")
		}
	}
}

func (e *Edge) readProcess(f *Form) {
	e.Name = f.Text("name", "edge")
	e.Listen = f.address("listen", true)
	e.Admin = f.address("admin", false)
	e.Loops = int(f.Int("loops", 1, 1, 64))
	e.Seed = f.Int("seed", 1, 0, 1<<62)
	e.State = f.Text("state", "")
	e.Log = f.OneOf("log", "info", "debug", "info", "warn", "error")
	e.Zones = f.Texts("zones")
	e.Kinds = f.Texts("kinds")
	e.Zone = f.Text("zone", "")
	f.differ("zones", e.Zones)
	f.differ("kinds", e.Kinds)
	if e.Zone != "" && index(e.Zones, e.Zone) < 0 {
		f.Sub("zone").Fault(strconv.Quote(e.Zone), "one of (zones ...)")
	}
	e.DrainWithin = f.Span("drain-within", 10*time.Second, 0, hour)
	if p := f.Sub("peers"); p != nil {
		for _, n := range p.items {
			if n.List != nil {
				f.r.fault(n.Pos, n.String(), "an address and port")
				continue
			}
			if _, port, err := net.SplitHostPort(raw(n)); err != nil || api.Port(port) < 0 {
				f.r.fault(n.Pos, n.String(), "an address and port, such as 127.0.0.1:9000")
			}
			e.Peers = append(e.Peers, raw(n))
		}
	}
	t := f.Part("trace")
	folder := ""
	if e.State != "" {
		folder = filepath.Join(e.State, "trace")
	}
	e.Trace = Trace{Folder: t.Text("folder", folder), SegmentBytes: t.Size("segment", 64<<20, 64<<10, 1<<40),
		SegmentAge: t.Span("age", 10*time.Minute, time.Second, day), TotalBytes: t.Size("total", 1<<30, 1<<20, 1<<50)}
	e.Trace.Level = t.OneOf("level", "whole", "whole", "sampled", "decisions")
	if e.Trace.Tail = t.Text("tail", "/dev/shm"); e.Trace.Tail == "none" {
		e.Trace.Tail = ""
	}
	e.Trace.OneIn = uint32(t.Int("one-in", 100, 1, 1<<30))
	if s := t.Sub("one-in"); s != nil && e.Trace.Level != "sampled" {
		s.Fault("(one-in ...) at level "+e.Trace.Level, "it at level sampled only")
	}
	if !t.Flag("on", true) {
		e.Trace.Folder = ""
	}
	if e.Trace.TotalBytes < 2*e.Trace.SegmentBytes {
		t.Fault(fmt.Sprintf("(total ...) of %d bytes", e.Trace.TotalBytes), "at least two segments' size")
	}
	t.Done()
	s := f.Must("source")
	e.Source.File, e.Source.API = s.Text("file", ""), s.Text("api", "")
	s.Done()
	if (e.Source.File == "") == (e.Source.API == "") {
		s.Fault("(source ...)", "either (file PATH) or (api URL)")
	}
	if e.Source.API != "" && !strings.HasPrefix(e.Source.API, "http://") {
		s.Fault(strconv.Quote(e.Source.API), "a URL that starts with http://")
	}
}

func (e *Edge) readDoor(f *Form) {
	d := f.Part("door")
	e.Door = Door{
		Head: d.Size("head", 16<<10, 256, 1<<20), Body: d.Size("body", 1<<20, 0, 1<<30),
		Answer: d.Size("answer-buffer", 256<<10, 1<<10, 1<<30), Unsent: d.Size("unsent", 4<<20, 1<<10, 1<<30),
		Idle:     d.Span("idle", 60*time.Second, 10*time.Millisecond, day),
		SlowHead: d.Span("slow-head", 5*time.Second, 10*time.Millisecond, hour),
		SlowBody: d.Span("slow-body", 15*time.Second, 10*time.Millisecond, hour),
		SlowReader: d.Span("slow-reader", 15*time.Second, 10*time.Millisecond,
			hour),
		Connections: int(d.Int("connections", 20000, 1, 1<<20)),
		Open:        int(d.Int("open", 10000, 1, 1<<20)),
		Pipeline:    int(d.Size("pipeline", 64<<10, 1<<10, 1<<24)),
		Streams:     int(d.Int("streams", 1024, 1, 1<<16)),
	}
	d.Done()
	w := f.Part("workers")
	e.Workers = Pools{
		Connections:    int(w.Int("connections", 128, 1, 1<<16)),
		Dialing:        int(w.Int("dialing", 256, 1, 1<<16)),
		ConnectTimeout: w.Span("connect-timeout", 250*time.Millisecond, time.Millisecond, time.Minute),
		Idle:           w.Span("idle", 30*time.Second, 10*time.Millisecond, day),
		Answer:         w.Size("head", 32<<10, 256, 1<<20),
	}
	w.Done()
}

func (e *Edge) readProducts(f *Form) {
	seen := map[string]bool{}
	forms := f.Many("product")
	if len(forms) == 0 {
		f.Must("product")
	}
	m := e.Module
	m["products.count"] = float64(len(forms))
	for i, p := range forms {
		name := p.Title("a product's name")
		if seen[name] {
			p.Fault(fmt.Sprintf("a second product %q", name), "names that differ")
		}
		seen[name] = true
		out := Product{Name: name, Stream: p.Flag("stream", false)}
		p.Must("sla")
		p.Must("expiry")
		p.Must("effect")
		out.SLA = p.Span("sla", time.Second, time.Millisecond, hour)
		out.Expiry = p.Span("expiry", hour, time.Millisecond, hour)
		if p.Sub("expiry") != nil && out.Expiry < out.SLA {
			p.Sub("expiry").Fault(out.Expiry.String(), fmt.Sprintf("at least the SLA time, %v", out.SLA))
		}
		out.Effect = p.OneOf("effect", "once-only", "inquiry-like", "referenced", "once-only")
		group := p.OneOf("group", "all", "all", "zone", "cell")
		memory := p.Span("memory", 0, 0, hour)
		if out.Effect == "referenced" && memory <= 0 {
			p.Must("memory")
		}
		if group == "zone" && len(e.Zones) == 0 {
			p.Sub("group").Fault("(group zone) without (zones ...)", "the zones that workers may be in")
		}
		if out.Effect == "referenced" && memory > 0 {
			// Danger: a submission may wait for its connection; a repeat that was in time when it was decided would then
			// reach workers that have forgotten the first.
			if memory -= e.Workers.ConnectTimeout; memory <= 0 {
				p.Sub("memory").Fault((memory + e.Workers.ConnectTimeout).String(),
					fmt.Sprintf("more than (connect-timeout %v) of (workers ...)", e.Workers.ConnectTimeout))
			}
		}
		if out.Effect != "referenced" && p.Sub("memory") != nil {
			p.Sub("memory").Fault("a memory of a product that is "+out.Effect, "a memory of referenced products only")
		}
		at := "products." + strconv.Itoa(i) + "."
		m[at+"name"], m[at+"effect"], m[at+"group"], m[at+"stream"] = name, out.Effect, group, out.Stream
		m[at+"sla"], m[at+"expiry"], m[at+"memory"] = float64(out.SLA), float64(out.Expiry), float64(memory)
		m[at+"revenue"] = p.Num("revenue", 1, 0, 1e9)
		m[at+"late-revenue"] = p.Num("late-revenue", 0, 0, 1)
		p.Done()
		e.Products = append(e.Products, out)
	}
	e.Customers = f.Texts("customers")
	m["customers.count"] = float64(len(e.Customers))
}

func (e *Edge) readRoutes(f *Form) {
	forms := f.Many("route")
	if len(forms) == 0 {
		f.Must("route")
	}
	for _, g := range forms {
		r := Route{Method: g.Text("method", ""), Prefix: g.Text("prefix", "/"), KeyHeader: g.Text("key", ""),
			CustomerHeader: g.Text("customer", ""), CostHeader: g.Text("cost", ""), RepeatMark: g.Text("repeat", "")}
		if !strings.HasPrefix(r.Prefix, "/") {
			g.Sub("prefix").Fault(strconv.Quote(r.Prefix), "a path that starts with /")
		}
		name := ""
		if g.Must("product").items != nil {
			name = g.Text("product", "")
		}
		r.Product = -1
		for i := range e.Products {
			if e.Products[i].Name == name {
				r.Product = i
			}
		}
		if r.Product < 0 && name != "" {
			g.Sub("product").Fault(strconv.Quote(name), "the name of a product")
		}
		for _, other := range e.Routes {
			if other.Method == r.Method && other.Prefix == r.Prefix {
				g.Fault(fmt.Sprintf("a second route of %s %s", r.Method, r.Prefix), "routes that differ")
			}
		}
		g.Done()
		e.Routes = append(e.Routes, r)
	}
}

// readModule gathers what the decision module reads, by the module's names.
func (e *Edge) readModule(f *Form) {
	m := e.Module
	span := func(g *Form, name string, otherwise, most time.Duration) {
		m[g.name+"."+name] = float64(g.Span(name, otherwise, 0, most))
	}
	num := func(g *Form, name string, otherwise, least, most float64) {
		m[g.name+"."+name] = g.Num(name, otherwise, least, most)
	}
	flag := func(g *Form, name string, otherwise bool) { m[g.name+"."+name] = g.Flag(name, otherwise) }
	m["discovery"] = "push" // the source hands on every change by itself
	m["sentries"] = float64(f.Int("sentries", int64(max(1, e.Loops)), 1, 1<<20))
	m["index"] = float64(f.Int("index", 0, 0, 1<<20))
	if m["index"].(float64)+float64(e.Loops) > m["sentries"].(float64) {
		f.Fault(fmt.Sprintf("sentries from %v, %d of them, of %v in all", m["index"], e.Loops, m["sentries"]),
			"(index ...) plus (loops ...) within (sentries ...)")
	}
	m["zone"] = float64(max(0, index(e.Zones, e.Zone)))

	a := f.Part("allow")
	num(a, "submissions", 4, 1, 8)
	flag(a, "copies", true)
	flag(a, "cancel", true)
	flag(a, "messages", len(e.Peers) > 0)
	span(a, "longest-retry-after", time.Second, hour)
	if m["allow.messages"].(bool) && float64(len(e.Peers)) != m["sentries"].(float64) {
		a.Fault(fmt.Sprintf("(messages true) with %d addresses in (peers ...)", len(e.Peers)),
			fmt.Sprintf("the address of each of %v sentries, by number", m["sentries"]))
	}
	a.Done()

	g := f.Must("release")
	m["release.votes"] = g.OneOf("votes", "single", "single", "majority", "clocked")
	m["release.style"] = g.OneOf("style", "in-place", "in-place", "beside")
	m["release.counts"] = g.OneOf("counts", "all", "all", "product")
	caps, shares := g.Nums("caps", 0, 1), g.Nums("shares", 0, 1)
	g.Must("caps")
	g.Must("shares")
	if c := g.Sub("caps"); c != nil && len(caps) == 0 {
		c.Fault("(caps) without a value", "a cap for each stage")
	}
	if len(caps) != len(shares) {
		g.Fault(fmt.Sprintf("%d caps and %d shares", len(caps), len(shares)), "a cap and a share for each stage")
	}
	for i := range caps {
		m["release.caps."+strconv.Itoa(i)] = caps[i]
		if i > 0 && caps[i] < caps[i-1] {
			g.Sub("caps").Fault(fmt.Sprintf("%g after %g", caps[i], caps[i-1]), "caps that do not fall")
		}
	}
	for i := range shares {
		m["release.shares."+strconv.Itoa(i)] = shares[i]
	}
	g.Must("window")
	m["release.window"] = float64(g.Span("window", 6*time.Second, time.Millisecond, hour))
	num(g, "free", 1, 1, 1e6) // with less than one, nothing could ever go to a trial: a submission is a whole one
	span(g, "bake", 3*time.Second, day)
	span(g, "vote-timeout", time.Second, hour)
	num(g, "votes-back", 1, 0, 1e6)
	num(g, "votes-per-second", 20, 0.001, 1e6)
	num(g, "guarded-stages", 0, 0, 100)
	flag(g, "one-way", false)
	g.Done()

	r := f.Part("rules")
	span(r, "cold", 5*time.Second, hour)
	num(r, "cold-from", 0.3, 0.001, 1)
	num(r, "fall-multiple", 2, 0.1, 1000)
	span(r, "fall-after", time.Second, hour)
	span(r, "drain-grace", 500*time.Millisecond, hour)
	// Danger: what waits for its connection when a worker drains, or a cap falls, is sent that much later.
	if grace := m["rules.drain-grace"].(float64); grace < float64(e.Workers.ConnectTimeout) {
		r.Fault(fmt.Sprintf("(drain-grace %v)", time.Duration(grace)),
			fmt.Sprintf("at least (connect-timeout %v) of (workers ...)", e.Workers.ConnectTimeout))
	}
	span(r, "ask-within", 10*time.Second, hour)
	e.Slack = r.Span("answer-slack", 20*time.Millisecond, 0, time.Second)
	m["rules.answer-slack"] = float64(e.Slack)
	for i := range e.Products {
		if e.Slack*2 > e.Products[i].Expiry {
			r.Fault(fmt.Sprintf("(answer-slack %v)", e.Slack),
				fmt.Sprintf("at most half the expiry of %s, %v", e.Products[i].Name, e.Products[i].Expiry))
		}
	}
	r.Done()
	p := f.Part("price")
	num(p, "cross-zone", 0, 0, 1)
	p.Done()
}

func index(list []string, name string) int {
	for i, s := range list {
		if s == name {
			return i
		}
	}
	return -1
}

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
	PeerListen   string
	Loops        int
	Seed         int64
	Zone         string
	Zones        []string
	Kinds        []string
	StateDir     string // folder of what outlives a restart; empty: nothing does
	LogLevel     string // least level of a log line
	ClientLimits ClientLimits
	WorkerLimits WorkerPoolLimits
	Source       Source
	Trace        Trace

	Products  []Product
	Customers []string
	Routes    []Route

	// AnswerSlack is taken off a client's patience, so that a final answer has time to arrive.
	AnswerSlack time.Duration
	// ShutdownDelay is how long after SIGTERM clients still come.
	ShutdownDelay time.Duration
	// DrainTimeout bounds the stop after that.
	DrainTimeout time.Duration
	// Module is the plain map of names to values that the decision module reads.
	Module map[string]any
}

// ClientLimits holds the limits on the clients' side, each loop by itself.
type ClientLimits struct {
	MaxHeadBytes, MaxBodyBytes, AnswerBufferBytes, MaxUnsentBytes int64 // bytes
	IdleTimeout, HeadTimeout, BodyTimeout                         time.Duration
	SlowReaderTimeout                                             time.Duration
	MaxConnections, MaxOpenTxns, MaxPipelinedBytes                int
	MaxHeldBytes                                                  int // bytes that came from clients and were not used yet, of all; 0: no bound
	// OverflowConnections is how many connections more are taken while idle ones are ended for them; Spare is how long one must have
	// been idle to be ended once half of all are in use.
	OverflowConnections int
	PressureIdleTimeout time.Duration
	MaxStreams          int // answers that carriers hand on at once
}

// WorkerPoolLimits holds the limits on connections to workers, each loop by itself.
type WorkerPoolLimits struct {
	MaxConnections      int // to one worker
	MaxTotalConnections int // to all workers; 0: no bound of its own
	MaxDialing          int // at once, to all
	ConnectTimeout      time.Duration
	IdleTimeout         time.Duration
	ReuseDelay          time.Duration // between an answer and the next use of its connection
	MaxAnswerHeadBytes  int64         // bytes of an answer's head
}

// Trace says what is recorded of the sentries' decisions, and for how long it is kept.
type Trace struct {
	Dir          string // empty: nothing is recorded
	Level        string // whole, sampled or decisions
	OneIn        uint32 // of txns that ended well, where sampled
	TailDir      string // folder in memory where a process that is killed leaves its last records; empty: none
	SegmentBytes int64
	SegmentAge   time.Duration
	TotalBytes   int64
}

// Source says where list, news and votes come from: a file, or the address of an API.
type Source struct {
	File   string
	APIURL string
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
	Method, Prefix           string
	Product                  int
	KeyHeader                string
	CustomerHeader           string
	CostHeader, RepeatHeader string
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
	f := r.Root().RequireField("edge")
	r.Root().RejectUnknown()
	e.readProcess(f)
	e.readLimits(f)
	e.readProducts(f)
	e.readRoutes(f)
	e.readModuleSettings(f)
	f.RejectUnknown()
	if err := r.Err(); err != nil {
		return nil, err
	}
	return e, nil
}

func (f *Form) address(name string, must bool) string {
	a := f.Text(name, "")
	if a == "" {
		if must && f.Field(name) == nil {
			f.RequireField(name)
		}
		return ""
	}
	if _, port, err := net.SplitHostPort(a); err != nil || api.ParsePort(port) < 0 {
		f.Field(name).AddError(strconv.Quote(a), "an address and port, such as 127.0.0.1:8080")
	}
	return a
}

// rejectDuplicates records a fault where a field of texts holds one twice.
func (f *Form) rejectDuplicates(field string, names []string) {
	for i, name := range names {
		if indexOf(names[:i], name) >= 0 {
			f.Field(field).AddError(fmt.Sprintf("%q twice", name), "names that differ")
		}
	}
}

func (e *Edge) readProcess(f *Form) {
	e.Name = f.Text("name", "edge")
	e.Listen = f.address("listen", true)
	e.Admin = f.address("admin", false)
	e.Loops = int(f.Int("loops", 1, 1, 64))
	e.Seed = f.Int("seed", 1, 0, 1<<62)
	e.StateDir = f.Text("state", "")
	e.LogLevel = f.OneOf("log", "info", "debug", "info", "warn", "error")
	e.Zones = f.Texts("zones")
	e.Kinds = f.Texts("kinds")
	e.Zone = f.Text("zone", "")
	f.rejectDuplicates("zones", e.Zones)
	f.rejectDuplicates("kinds", e.Kinds)
	if e.Zone != "" && indexOf(e.Zones, e.Zone) < 0 {
		f.Field("zone").AddError(strconv.Quote(e.Zone), "one of (zones ...)")
	}
	e.DrainTimeout = f.Duration("drain-within", 10*time.Second, 0, hour)
	if p := f.Field("peers"); p != nil {
		for _, n := range p.items {
			if n.List != nil {
				f.r.addError(n.Pos, n.String(), "an address and port")
				continue
			}
			if _, port, err := net.SplitHostPort(literalText(n)); err != nil || api.ParsePort(port) < 0 {
				f.r.addError(n.Pos, n.String(), "an address and port, such as 127.0.0.1:9000")
			}
			e.Peers = append(e.Peers, literalText(n))
		}
	}
	t := f.OptionalField("trace")
	folder := ""
	if e.StateDir != "" {
		folder = filepath.Join(e.StateDir, "trace")
	}
	e.Trace = Trace{Dir: t.Text("folder", folder), SegmentBytes: t.Bytes("segment", 64<<20, 64<<10, 1<<40),
		SegmentAge: t.Duration("age", 10*time.Minute, time.Second, day), TotalBytes: t.Bytes("total", 1<<30, 1<<20, 1<<50)}
	e.Trace.Level = t.OneOf("level", "whole", "whole", "sampled", "decisions")
	if e.Trace.TailDir = t.Text("tail", "/dev/shm"); e.Trace.TailDir == "none" {
		e.Trace.TailDir = ""
	}
	e.Trace.OneIn = uint32(t.Int("one-in", 100, 1, 1<<30))
	if s := t.Field("one-in"); s != nil && e.Trace.Level != "sampled" {
		s.AddError("(one-in ...) at level "+e.Trace.Level, "it at level sampled only")
	}
	if !t.Bool("on", true) {
		e.Trace.Dir = ""
	}
	if e.Trace.TotalBytes < 2*e.Trace.SegmentBytes {
		t.AddError(fmt.Sprintf("(total ...) of %d bytes", e.Trace.TotalBytes), "at least two segments' size")
	}
	t.RejectUnknown()
	s := f.RequireField("source")
	e.Source.File, e.Source.APIURL = s.Text("file", ""), s.Text("api", "")
	s.RejectUnknown()
	if (e.Source.File == "") == (e.Source.APIURL == "") {
		s.AddError("(source ...)", "either (file PATH) or (api URL)")
	}
	if e.Source.APIURL != "" && !strings.HasPrefix(e.Source.APIURL, "http://") {
		s.AddError(strconv.Quote(e.Source.APIURL), "a URL that starts with http://")
	}
}

func (e *Edge) readLimits(f *Form) {
	d := f.OptionalField("door")
	e.ClientLimits = ClientLimits{
		MaxHeadBytes: d.Bytes("head", 16<<10, 256, 1<<20), MaxBodyBytes: d.Bytes("body", 1<<20, 0, 1<<30),
		AnswerBufferBytes: d.Bytes("answer-buffer", 256<<10, 1<<10, 1<<30), MaxUnsentBytes: d.Bytes("unsent", 4<<20, 1<<10, 1<<30),
		IdleTimeout: d.Duration("idle", 60*time.Second, 10*time.Millisecond, day),
		HeadTimeout: d.Duration("slow-head", 5*time.Second, 10*time.Millisecond, hour),
		BodyTimeout: d.Duration("slow-body", 15*time.Second, 10*time.Millisecond, hour),
		SlowReaderTimeout: d.Duration("slow-reader", 15*time.Second, 10*time.Millisecond,
			hour),
		MaxConnections:    int(d.Int("connections", 20000, 1, 1<<20)),
		MaxOpenTxns:       int(d.Int("open", 10000, 1, 1<<20)),
		MaxPipelinedBytes: int(d.Bytes("pipeline", 64<<10, 1<<10, 1<<24)),
		MaxStreams:        int(d.Int("streams", 1024, 1, 1<<16)),
	}
	d.RejectUnknown()
	w := f.OptionalField("workers")
	e.WorkerLimits = WorkerPoolLimits{
		MaxConnections:     int(w.Int("connections", 128, 1, 1<<16)),
		MaxDialing:         int(w.Int("dialing", 256, 1, 1<<16)),
		ConnectTimeout:     w.Duration("connect-timeout", 250*time.Millisecond, time.Millisecond, time.Minute),
		IdleTimeout:        w.Duration("idle", 30*time.Second, 10*time.Millisecond, day),
		MaxAnswerHeadBytes: w.Bytes("head", 32<<10, 256, 1<<20),
	}
	w.RejectUnknown()
}

func (e *Edge) readProducts(f *Form) {
	seen := map[string]bool{}
	forms := f.Fields("product")
	if len(forms) == 0 {
		f.RequireField("product")
	}
	m := e.Module
	m["products.count"] = float64(len(forms))
	for i, p := range forms {
		name := p.TakeName("a product's name")
		if seen[name] {
			p.AddError(fmt.Sprintf("a second product %q", name), "names that differ")
		}
		seen[name] = true
		out := Product{Name: name, Stream: p.Bool("stream", false)}
		p.RequireField("sla")
		p.RequireField("expiry")
		p.RequireField("effect")
		out.SLA = p.Duration("sla", time.Second, time.Millisecond, hour)
		out.Expiry = p.Duration("expiry", hour, time.Millisecond, hour)
		if p.Field("expiry") != nil && out.Expiry < out.SLA {
			p.Field("expiry").AddError(out.Expiry.String(), fmt.Sprintf("at least the SLA time, %v", out.SLA))
		}
		out.Effect = p.OneOf("effect", "once-only", "inquiry-like", "referenced", "once-only")
		group := p.OneOf("group", "all", "all", "zone", "cell")
		memory := p.Duration("memory", 0, 0, hour)
		if out.Effect == "referenced" && memory <= 0 {
			p.RequireField("memory")
		}
		if group == "zone" && len(e.Zones) == 0 {
			p.Field("group").AddError("(group zone) without (zones ...)", "the zones that workers may be in")
		}
		if out.Effect == "referenced" && memory > 0 {
			// Danger: a submission may wait for its connection; a repeat that was in time when it was decided would then
			// reach workers that have forgotten the first.
			if memory -= e.WorkerLimits.ConnectTimeout; memory <= 0 {
				p.Field("memory").AddError((memory + e.WorkerLimits.ConnectTimeout).String(),
					fmt.Sprintf("more than (connect-timeout %v) of (workers ...)", e.WorkerLimits.ConnectTimeout))
			}
		}
		if out.Effect != "referenced" && p.Field("memory") != nil {
			p.Field("memory").AddError("a memory of a product that is "+out.Effect, "a memory of referenced products only")
		}
		at := "products." + strconv.Itoa(i) + "."
		m[at+"name"], m[at+"effect"], m[at+"group"], m[at+"stream"] = name, out.Effect, group, out.Stream
		m[at+"sla"], m[at+"expiry"], m[at+"memory"] = float64(out.SLA), float64(out.Expiry), float64(memory)
		m[at+"revenue"] = p.Float("revenue", 1, 0, 1e9)
		m[at+"late-revenue"] = p.Float("late-revenue", 0, 0, 1)
		p.RejectUnknown()
		e.Products = append(e.Products, out)
	}
	e.Customers = f.Texts("customers")
	m["customers.count"] = float64(len(e.Customers))
}

func (e *Edge) readRoutes(f *Form) {
	forms := f.Fields("route")
	if len(forms) == 0 {
		f.RequireField("route")
	}
	for _, g := range forms {
		r := Route{Method: g.Text("method", ""), Prefix: g.Text("prefix", "/"), KeyHeader: g.Text("key", ""),
			CustomerHeader: g.Text("customer", ""), CostHeader: g.Text("cost", ""), RepeatHeader: g.Text("repeat", "")}
		if !strings.HasPrefix(r.Prefix, "/") {
			g.Field("prefix").AddError(strconv.Quote(r.Prefix), "a path that starts with /")
		}
		name := ""
		if g.RequireField("product").items != nil {
			name = g.Text("product", "")
		}
		r.Product = -1
		for i := range e.Products {
			if e.Products[i].Name == name {
				r.Product = i
			}
		}
		if r.Product < 0 && name != "" {
			g.Field("product").AddError(strconv.Quote(name), "the name of a product")
		}
		for _, other := range e.Routes {
			if other.Method == r.Method && other.Prefix == r.Prefix {
				g.AddError(fmt.Sprintf("a second route of %s %s", r.Method, r.Prefix), "routes that differ")
			}
		}
		g.RejectUnknown()
		e.Routes = append(e.Routes, r)
	}
}

// readModuleSettings gathers what the decision module reads, by the module's names.
func (e *Edge) readModuleSettings(f *Form) {
	m := e.Module
	span := func(g *Form, name string, otherwise, most time.Duration) {
		m[g.name+"."+name] = float64(g.Duration(name, otherwise, 0, most))
	}
	num := func(g *Form, name string, otherwise, least, most float64) {
		m[g.name+"."+name] = g.Float(name, otherwise, least, most)
	}
	flag := func(g *Form, name string, otherwise bool) { m[g.name+"."+name] = g.Bool(name, otherwise) }
	m["discovery"] = "push" // the source hands on every change by itself
	m["sentries"] = float64(f.Int("sentries", int64(max(1, e.Loops)), 1, 1<<20))
	m["index"] = float64(f.Int("index", 0, 0, 1<<20))
	if m["index"].(float64)+float64(e.Loops) > m["sentries"].(float64) {
		f.AddError(fmt.Sprintf("sentries from %v, %d of them, of %v in all", m["index"], e.Loops, m["sentries"]),
			"(index ...) plus (loops ...) within (sentries ...)")
	}
	m["zone"] = float64(max(0, indexOf(e.Zones, e.Zone)))

	a := f.OptionalField("allow")
	num(a, "submissions", 4, 1, 8)
	flag(a, "copies", true)
	flag(a, "cancel", true)
	flag(a, "messages", len(e.Peers) > 0)
	span(a, "longest-retry-after", time.Second, hour)
	if m["allow.messages"].(bool) && float64(len(e.Peers)) != m["sentries"].(float64) {
		a.AddError(fmt.Sprintf("(messages true) with %d addresses in (peers ...)", len(e.Peers)),
			fmt.Sprintf("the address of each of %v sentries, by number", m["sentries"]))
	}
	a.RejectUnknown()

	g := f.RequireField("release")
	m["release.votes"] = g.OneOf("votes", "single", "single", "majority", "clocked")
	m["release.style"] = g.OneOf("style", "in-place", "in-place", "beside")
	m["release.counts"] = g.OneOf("counts", "all", "all", "product")
	caps, shares := g.Floats("caps", 0, 1), g.Floats("shares", 0, 1)
	g.RequireField("caps")
	g.RequireField("shares")
	if c := g.Field("caps"); c != nil && len(caps) == 0 {
		c.AddError("(caps) without a value", "a cap for each stage")
	}
	if len(caps) != len(shares) {
		g.AddError(fmt.Sprintf("%d caps and %d shares", len(caps), len(shares)), "a cap and a share for each stage")
	}
	for i := range caps {
		m["release.caps."+strconv.Itoa(i)] = caps[i]
		if i > 0 && caps[i] < caps[i-1] {
			g.Field("caps").AddError(fmt.Sprintf("%g after %g", caps[i], caps[i-1]), "caps that do not fall")
		}
	}
	for i := range shares {
		m["release.shares."+strconv.Itoa(i)] = shares[i]
	}
	g.RequireField("window")
	m["release.window"] = float64(g.Duration("window", 6*time.Second, time.Millisecond, hour))
	num(g, "free", 1, 1, 1e6) // with less than one, nothing could ever go to a trial: a submission is a whole one
	span(g, "bake", 3*time.Second, day)
	span(g, "vote-timeout", time.Second, hour)
	num(g, "votes-back", 1, 0, 1e6)
	num(g, "votes-per-second", 20, 0.001, 1e6)
	num(g, "guarded-stages", 0, 0, 100)
	flag(g, "one-way", false)
	g.RejectUnknown()

	r := f.OptionalField("rules")
	span(r, "cold", 5*time.Second, hour)
	num(r, "cold-from", 0.3, 0.001, 1)
	num(r, "fall-multiple", 2, 0.1, 1000)
	span(r, "fall-after", time.Second, hour)
	span(r, "drain-grace", 500*time.Millisecond, hour)
	// Danger: what waits for its connection when a worker drains, or a cap falls, is sent that much later.
	if grace := m["rules.drain-grace"].(float64); grace < float64(e.WorkerLimits.ConnectTimeout) {
		r.AddError(fmt.Sprintf("(drain-grace %v)", time.Duration(grace)),
			fmt.Sprintf("at least (connect-timeout %v) of (workers ...)", e.WorkerLimits.ConnectTimeout))
	}
	span(r, "ask-within", 10*time.Second, hour)
	e.AnswerSlack = r.Duration("answer-slack", 20*time.Millisecond, 0, time.Second)
	m["rules.answer-slack"] = float64(e.AnswerSlack)
	for i := range e.Products {
		if e.AnswerSlack*2 > e.Products[i].Expiry {
			r.AddError(fmt.Sprintf("(answer-slack %v)", e.AnswerSlack),
				fmt.Sprintf("at most half the expiry of %s, %v", e.Products[i].Name, e.Products[i].Expiry))
		}
	}
	r.RejectUnknown()
	p := f.OptionalField("price")
	num(p, "cross-zone", 0, 0, 1)
	p.RejectUnknown()
}

func indexOf(list []string, name string) int {
	for i, s := range list {
		if s == name {
			return i
		}
	}
	return -1
}

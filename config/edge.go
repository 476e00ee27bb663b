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

// Edge holds the validated settings of an edge process.
type Edge struct {
	Name   string
	Listen string // address for clients
	Admin  string // address for health checks and metrics; empty disables them
	// Peers holds the address for messages of every sentry, by sentry number.
	Peers []string
	// PeerListen is the address for messages of other sentries, which are identified by their source address. If it is
	// empty, the process receives at its own entry of Peers, and each message carries the sender's number.
	PeerListen   string
	Loops        int // number of event loops, each of which is a sentry
	Seed         int64
	Zone         string   // zone of this process
	Zones        []string // zones that workers may be in
	Kinds        []string // kinds of machine that workers may run on
	StateDir     string   // directory for state that survives a restart; empty disables it
	LogLevel     string   // minimum level of log messages
	ClientLimits ClientLimits
	WorkerLimits WorkerPoolLimits
	Source       Source
	Trace        Trace

	Products  []Product
	Customers []string
	Routes    []Route

	// AnswerSlack is subtracted from a client's timeout, so that the final answer arrives in time.
	AnswerSlack time.Duration
	// ShutdownDelay is how long the process continues to accept connections and requests after SIGTERM.
	ShutdownDelay time.Duration
	// DrainTimeout bounds the drain that follows ShutdownDelay.
	DrainTimeout time.Duration
	// ModuleSettings holds the settings of the decision module by name.
	ModuleSettings map[string]any
}

// ClientLimits holds the limits on client connections. MaxConnections and OverflowConnections apply to the process,
// MaxOpenTxns, MaxHeldBytes and MaxStreams to each event loop, and all others to each connection.
type ClientLimits struct {
	MaxHeadBytes int64 // of a request's head
	MaxBodyBytes int64 // of a request's body
	// AnswerBufferBytes is the size up to which an answer is buffered whole. Larger answers are streamed.
	AnswerBufferBytes int64
	// MaxUnsentBytes bounds the answers that wait for the client to read. Beyond it the connection is aborted.
	MaxUnsentBytes int64
	IdleTimeout    time.Duration
	HeadTimeout    time.Duration // for a request's head to arrive
	BodyTimeout    time.Duration // for a request's body to arrive
	// SlowReaderTimeout is how long a client may read nothing of its answers before its connection is aborted.
	SlowReaderTimeout time.Duration
	MaxConnections    int
	MaxOpenTxns       int
	MaxPipelinedBytes int // received and not yet parsed bytes of a connection
	// MaxHeldBytes bounds the memory held for all connections of a loop together: input, requests, answers and unsent output.
	// A connection may hold a part of what is left of it. 0 means unlimited.
	MaxHeldBytes int
	// OverflowConnections is how many connections are accepted beyond MaxConnections, while idle ones are closed to make
	// room.
	OverflowConnections int
	// PressureIdleTimeout is how long a connection has to be idle before it can be closed to make room. While more than
	// half of MaxConnections are open, PostgreSQL connections have this timeout instead of IdleTimeout.
	PressureIdleTimeout time.Duration
	MaxStreams          int // concurrently streamed answers
}

// WorkerPoolLimits holds the limits on connections to workers, for each event loop.
type WorkerPoolLimits struct {
	MaxConnections      int // per worker
	MaxTotalConnections int // to all workers; 0 means unlimited
	MaxDialing          int // concurrent connection attempts to all workers
	ConnectTimeout      time.Duration
	IdleTimeout         time.Duration
	ReuseDelay          time.Duration // minimum time between an answer and the next request on the same connection
	MaxAnswerHeadBytes  int64
}

// Trace holds the settings of the trace recorder: what it records of the sentries' decisions, and how much of it is kept.
type Trace struct {
	Dir   string // empty disables recording
	Level string // whole, sampled or decisions
	// OneIn is the sampling rate at level sampled: one in OneIn of the txns that were answered and did not fail is recorded.
	// All other txns are recorded too.
	OneIn uint32
	// TailDir is a directory on a memory file system, which preserves the latest records if the process is killed; empty
	// disables it.
	TailDir      string
	SegmentBytes int64
	SegmentAge   time.Duration
	TotalBytes   int64
}

// Source is the source of the worker list and release updates, and the destination of votes: a file, which accepts no
// votes, or an API.
type Source struct {
	File   string
	APIURL string
}

// Product is a type of txn.
type Product struct {
	Name   string
	SLA    time.Duration
	Expiry time.Duration
	Effect string // inquiry-like, referenced or once-only
	Stream bool   // whether answers are forwarded as they arrive instead of being buffered
}

// Route determines the product of a request, and the headers that hold its key, customer and cost. The matching route with
// the longest prefix applies; if two have the same prefix, the route with a method takes precedence.
type Route struct {
	Method         string // empty matches any
	Prefix         string
	Product        int // index into Edge.Products
	KeyHeader      string
	CustomerHeader string
	CostHeader     string
	RepeatHeader   string // header whose presence marks a request as a retry
}

const (
	hour = time.Hour
	day  = 24 * hour
)

// ReadEdge reads and validates an edge's settings file. The error is FileErrors if the file's contents are invalid.
func ReadEdge(path string) (*Edge, error) {
	r, err := ReadFile(path)
	if err != nil {
		return nil, err
	}
	return readEdge(r)
}

// ParseEdge is like ReadEdge, but for the text of a settings file; file is the file name for error messages.
func ParseEdge(file, text string) (*Edge, error) {
	r, err := Parse(file, text)
	if err != nil {
		return nil, err
	}
	return readEdge(r)
}

// readEdge reads and validates all settings. It returns all errors together.
func readEdge(r *Reader) (*Edge, error) {
	e := &Edge{ModuleSettings: map[string]any{}}
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

// address reads a field that holds an address and port. A missing field is an error if required is set.
func (f *Form) address(name string, required bool) string {
	address := f.Text(name, "")
	if address == "" {
		if required && f.Field(name) == nil {
			f.RequireField(name)
		}
		return ""
	}
	if _, port, err := net.SplitHostPort(address); err != nil || api.ParsePort(port) < 0 {
		f.Field(name).AddError(strconv.Quote(address), "an address and port, such as 127.0.0.1:8080")
	}
	return address
}

// rejectDuplicates records an error for each name that a field holds more than once.
func (f *Form) rejectDuplicates(field string, names []string) {
	for i, name := range names {
		if indexOf(names[:i], name) >= 0 {
			f.Field(field).AddError(fmt.Sprintf("%q twice", name), "unique names")
		}
	}
}

// readProcess reads the settings of the process, its trace recorder and its source.
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
	if peers := f.Field("peers"); peers != nil {
		for _, n := range peers.items {
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
	trace := f.OptionalField("trace")
	traceDir := ""
	if e.StateDir != "" {
		traceDir = filepath.Join(e.StateDir, "trace")
	}
	e.Trace = Trace{Dir: trace.Text("folder", traceDir), SegmentBytes: trace.Bytes("segment", 64<<20, 64<<10, 1<<40),
		SegmentAge: trace.Duration("age", 10*time.Minute, time.Second, day), TotalBytes: trace.Bytes("total", 1<<30, 1<<20, 1<<50)}
	e.Trace.Level = trace.OneOf("level", "whole", "whole", "sampled", "decisions")
	if e.Trace.TailDir = trace.Text("tail", "/dev/shm"); e.Trace.TailDir == "none" {
		e.Trace.TailDir = ""
	}
	e.Trace.OneIn = uint32(trace.Int("one-in", 100, 1, 1<<30))
	if oneIn := trace.Field("one-in"); oneIn != nil && e.Trace.Level != "sampled" {
		oneIn.AddError("(one-in ...) at level "+e.Trace.Level, "(one-in ...) at level sampled only")
	}
	if !trace.Bool("on", true) {
		e.Trace.Dir = ""
	}
	if e.Trace.TotalBytes < 2*e.Trace.SegmentBytes {
		trace.AddError(fmt.Sprintf("(total ...) of %d bytes", e.Trace.TotalBytes), "at least the size of two segments")
	}
	trace.RejectUnknown()
	source := f.RequireField("source")
	e.Source.File, e.Source.APIURL = source.Text("file", ""), source.Text("api", "")
	source.RejectUnknown()
	if (e.Source.File == "") == (e.Source.APIURL == "") {
		source.AddError("(source ...)", "either (file PATH) or (api URL)")
	}
	if e.Source.APIURL != "" && !strings.HasPrefix(e.Source.APIURL, "http://") {
		source.AddError(strconv.Quote(e.Source.APIURL), "a URL that starts with http://")
	}
}

// readLimits reads the limits on client and worker connections.
func (e *Edge) readLimits(f *Form) {
	clients := f.OptionalField("door")
	e.ClientLimits = ClientLimits{
		MaxHeadBytes:      clients.Bytes("head", 16<<10, 256, 1<<20),
		MaxBodyBytes:      clients.Bytes("body", 1<<20, 0, 1<<30),
		AnswerBufferBytes: clients.Bytes("answer-buffer", 256<<10, 1<<10, 1<<30),
		MaxUnsentBytes:    clients.Bytes("unsent", 4<<20, 1<<10, 1<<30),
		IdleTimeout:       clients.Duration("idle", 60*time.Second, 10*time.Millisecond, day),
		HeadTimeout:       clients.Duration("slow-head", 5*time.Second, 10*time.Millisecond, hour),
		BodyTimeout:       clients.Duration("slow-body", 15*time.Second, 10*time.Millisecond, hour),
		SlowReaderTimeout: clients.Duration("slow-reader", 15*time.Second, 10*time.Millisecond, hour),
		MaxConnections:    int(clients.Int("connections", 20000, 1, 1<<20)),
		MaxOpenTxns:       int(clients.Int("open", 10000, 1, 1<<20)),
		MaxPipelinedBytes: int(clients.Bytes("pipeline", 64<<10, 1<<10, 1<<24)),
		MaxStreams:        int(clients.Int("streams", 1024, 1, 1<<16)),
	}
	e.readHeldLimit(clients)
	clients.RejectUnknown()
	workers := f.OptionalField("workers")
	e.WorkerLimits = WorkerPoolLimits{
		MaxConnections:     int(workers.Int("connections", 128, 1, 1<<16)),
		MaxDialing:         int(workers.Int("dialing", 256, 1, 1<<16)),
		ConnectTimeout:     workers.Duration("connect-timeout", 250*time.Millisecond, time.Millisecond, time.Minute),
		IdleTimeout:        workers.Duration("idle", 30*time.Second, 10*time.Millisecond, day),
		MaxAnswerHeadBytes: workers.Bytes("head", 32<<10, 256, 1<<20),
	}
	workers.RejectUnknown()
}

const (
	// defaultHeldBytes is the limit on the memory held for clients unless the limits on single requests need more.
	defaultHeldBytes = 256 << 20
	// minHeldBodies is how many of the largest request bodies MaxHeldBytes has to hold: a connection may hold only a part of
	// what is free, and its buffer may be twice as large as what it holds.
	minHeldBodies = 16
)

// readHeldLimit reads the limit on the memory held for all clients. The limits on single requests have to be read before.
func (e *Edge) readHeldLimit(clients *Form) {
	least := minHeldBodies * max(e.ClientLimits.MaxBodyBytes, e.ClientLimits.MaxHeadBytes)
	held := clients.Bytes("held", max(defaultHeldBytes, least), 1, 1<<40)
	if held < least {
		clients.Field("held").AddError(fmt.Sprintf("%d bytes", held), fmt.Sprintf("at least %d, %d times the largest of (head ...) and (body ...)",
			least, minHeldBodies))
	}
	e.ClientLimits.MaxHeldBytes = int(held)
}

// readProducts reads the products and customers. Zones and WorkerLimits have to be read before.
func (e *Edge) readProducts(f *Form) {
	seen := map[string]bool{}
	forms := f.Fields("product")
	if len(forms) == 0 {
		f.RequireField("product")
	}
	m := e.ModuleSettings
	m["products.count"] = float64(len(forms))
	for i, form := range forms {
		name := form.TakeName("a product's name")
		if seen[name] {
			form.AddError(fmt.Sprintf("a second product %q", name), "unique names")
		}
		seen[name] = true
		product := Product{Name: name, Stream: form.Bool("stream", false)}
		form.RequireField("sla")
		form.RequireField("expiry")
		form.RequireField("effect")
		product.SLA = form.Duration("sla", time.Second, time.Millisecond, hour)
		product.Expiry = form.Duration("expiry", hour, time.Millisecond, hour)
		if form.Field("expiry") != nil && product.Expiry < product.SLA {
			form.Field("expiry").AddError(product.Expiry.String(), fmt.Sprintf("at least the SLA time, %v", product.SLA))
		}
		product.Effect = form.OneOf("effect", "once-only", "inquiry-like", "referenced", "once-only")
		group := form.OneOf("group", "all", "all", "zone", "cell")
		memory := form.Duration("memory", 0, 0, hour)
		if product.Effect == "referenced" && memory <= 0 {
			form.RequireField("memory")
		}
		if group == "zone" && len(e.Zones) == 0 {
			form.Field("group").AddError("(group zone) without (zones ...)", "the zones that workers may be in")
		}
		if product.Effect == "referenced" && memory > 0 {
			// A submission may wait for a connection for up to ConnectTimeout after the module decided on it. The memory in
			// the module's settings is shorter by this time: otherwise a retry that the module decided on in time could reach
			// workers that have already forgotten the first submission.
			if memory -= e.WorkerLimits.ConnectTimeout; memory <= 0 {
				form.Field("memory").AddError((memory + e.WorkerLimits.ConnectTimeout).String(),
					fmt.Sprintf("more than (connect-timeout %v) of (workers ...)", e.WorkerLimits.ConnectTimeout))
			}
		}
		if product.Effect != "referenced" && form.Field("memory") != nil {
			form.Field("memory").AddError("a memory of a product that is "+product.Effect, "a memory of referenced products only")
		}
		prefix := "products." + strconv.Itoa(i) + "."
		m[prefix+"name"], m[prefix+"effect"], m[prefix+"group"], m[prefix+"stream"] = name, product.Effect, group, product.Stream
		m[prefix+"sla"], m[prefix+"expiry"], m[prefix+"memory"] = float64(product.SLA), float64(product.Expiry), float64(memory)
		m[prefix+"revenue"] = form.Float("revenue", 1, 0, 1e9)
		m[prefix+"late-revenue"] = form.Float("late-revenue", 0, 0, 1)
		form.RejectUnknown()
		e.Products = append(e.Products, product)
	}
	e.Customers = f.Texts("customers")
	m["customers.count"] = float64(len(e.Customers))
}

// readRoutes reads the routes. The products have to be read before.
func (e *Edge) readRoutes(f *Form) {
	forms := f.Fields("route")
	if len(forms) == 0 {
		f.RequireField("route")
	}
	for _, form := range forms {
		route := Route{Method: form.Text("method", ""), Prefix: form.Text("prefix", "/"), KeyHeader: form.Text("key", ""),
			CustomerHeader: form.Text("customer", ""), CostHeader: form.Text("cost", ""), RepeatHeader: form.Text("repeat", "")}
		if !strings.HasPrefix(route.Prefix, "/") {
			form.Field("prefix").AddError(strconv.Quote(route.Prefix), "a path that starts with /")
		}
		name := ""
		if form.RequireField("product").items != nil {
			name = form.Text("product", "")
		}
		route.Product = -1
		for i := range e.Products {
			if e.Products[i].Name == name {
				route.Product = i
			}
		}
		if route.Product < 0 && name != "" {
			form.Field("product").AddError(strconv.Quote(name), "the name of a product")
		}
		for _, other := range e.Routes {
			if other.Method == route.Method && other.Prefix == route.Prefix {
				form.AddError(fmt.Sprintf("a second route of %s %s", route.Method, route.Prefix), "unique routes")
			}
		}
		form.RejectUnknown()
		e.Routes = append(e.Routes, route)
	}
}

// readModuleSettings reads the remaining settings of the decision module into ModuleSettings. It relies on the products, on
// WorkerLimits and on the settings of the process, which have to be read before.
func (e *Edge) readModuleSettings(f *Form) {
	m := e.ModuleSettings
	duration := func(form *Form, name string, fallback, maximum time.Duration) {
		m[form.name+"."+name] = float64(form.Duration(name, fallback, 0, maximum))
	}
	number := func(form *Form, name string, fallback, minimum, maximum float64) {
		m[form.name+"."+name] = form.Float(name, fallback, minimum, maximum)
	}
	boolean := func(form *Form, name string, fallback bool) { m[form.name+"."+name] = form.Bool(name, fallback) }
	m["discovery"] = "push" // the source delivers every change without being polled
	m["sentries"] = float64(f.Int("sentries", int64(max(1, e.Loops)), 1, 1<<20))
	m["index"] = float64(f.Int("index", 0, 0, 1<<20))
	if m["index"].(float64)+float64(e.Loops) > m["sentries"].(float64) {
		f.AddError(fmt.Sprintf("sentries from %v, %d of them, with %v in total", m["index"], e.Loops, m["sentries"]),
			"(index ...) plus (loops ...) within (sentries ...)")
	}
	m["zone"] = float64(max(0, indexOf(e.Zones, e.Zone)))

	allow := f.OptionalField("allow")
	number(allow, "submissions", 4, 1, 8)
	boolean(allow, "copies", true)
	boolean(allow, "cancel", true)
	boolean(allow, "messages", len(e.Peers) > 0)
	duration(allow, "longest-retry-after", time.Second, hour)
	if m["allow.messages"].(bool) && float64(len(e.Peers)) != m["sentries"].(float64) {
		allow.AddError(fmt.Sprintf("(messages true) with %d addresses in (peers ...)", len(e.Peers)),
			fmt.Sprintf("the address of each of %v sentries, by number", m["sentries"]))
	}
	allow.RejectUnknown()

	release := f.RequireField("release")
	m["release.votes"] = release.OneOf("votes", "single", "single", "majority", "clocked")
	m["release.style"] = release.OneOf("style", "in-place", "in-place", "beside")
	m["release.counts"] = release.OneOf("counts", "all", "all", "product")
	caps, shares := release.Floats("caps", 0, 1), release.Floats("shares", 0, 1)
	release.RequireField("caps")
	release.RequireField("shares")
	if capsForm := release.Field("caps"); capsForm != nil && len(caps) == 0 {
		capsForm.AddError("(caps) without a value", "a cap for each stage")
	}
	if len(caps) != len(shares) {
		release.AddError(fmt.Sprintf("%d caps and %d shares", len(caps), len(shares)), "a cap and a share for each stage")
	}
	for i := range caps {
		m["release.caps."+strconv.Itoa(i)] = caps[i]
		if i > 0 && caps[i] < caps[i-1] {
			release.Field("caps").AddError(fmt.Sprintf("%g after %g", caps[i], caps[i-1]), "caps that do not fall")
		}
	}
	for i := range shares {
		m["release.shares."+strconv.Itoa(i)] = shares[i]
	}
	release.RequireField("window")
	m["release.window"] = float64(release.Duration("window", 6*time.Second, time.Millisecond, hour))
	number(release, "free", 1, 1, 1e6) // below 1 no submission could be sent to a build on trial, as each counts as 1
	duration(release, "bake", 3*time.Second, day)
	duration(release, "vote-timeout", time.Second, hour)
	number(release, "votes-back", 1, 0, 1e6)
	number(release, "votes-per-second", 20, 0.001, 1e6)
	number(release, "guarded-stages", 0, 0, 100)
	boolean(release, "one-way", false)
	release.RejectUnknown()

	rules := f.OptionalField("rules")
	duration(rules, "cold", 5*time.Second, hour)
	number(rules, "cold-from", 0.3, 0.001, 1)
	number(rules, "fall-multiple", 2, 0.1, 1000)
	duration(rules, "fall-after", time.Second, hour)
	duration(rules, "drain-grace", 500*time.Millisecond, hour)
	// A submission that waits for a connection while its worker starts to drain, or while a cap falls, is sent up to
	// ConnectTimeout later. The grace period has to cover this time.
	if grace := m["rules.drain-grace"].(float64); grace < float64(e.WorkerLimits.ConnectTimeout) {
		rules.AddError(fmt.Sprintf("(drain-grace %v)", time.Duration(grace)),
			fmt.Sprintf("at least (connect-timeout %v) of (workers ...)", e.WorkerLimits.ConnectTimeout))
	}
	duration(rules, "ask-within", 10*time.Second, hour)
	e.AnswerSlack = rules.Duration("answer-slack", 20*time.Millisecond, 0, time.Second)
	m["rules.answer-slack"] = float64(e.AnswerSlack)
	for i := range e.Products {
		if e.AnswerSlack*2 > e.Products[i].Expiry {
			rules.AddError(fmt.Sprintf("(answer-slack %v)", e.AnswerSlack),
				fmt.Sprintf("at most half the expiry of %s, %v", e.Products[i].Name, e.Products[i].Expiry))
		}
	}
	rules.RejectUnknown()
	price := f.OptionalField("price")
	number(price, "cross-zone", 0, 0, 1)
	price.RejectUnknown()
}

// indexOf returns the index of name in names, or -1 if names does not contain it.
func indexOf(names []string, name string) int {
	for i, s := range names {
		if s == name {
			return i
		}
	}
	return -1
}

// Package lab plays days against real edges on loopback sockets: workers, a release platform and clients of its own,
// a checker of the rules that trusts only what went over the sockets, and reports.
package lab

import (
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"
	"time"

	"dunegrade/config"
	"dunegrade/fleet"
)

// Product is a kind of txn of a day.
type Product struct {
	Name             string
	Share            float64
	MeanWork         time.Duration // mean, on a core of speed 1
	SLA, Expiry      time.Duration
	Effect           string
	DedupMemory      time.Duration
	Revenue          float64
	LateRevenueShare float64
	BodyBytes        int // bytes of a request's body
}

// Offer is a new build, offered at some time.
type Offer struct {
	At       time.Duration
	Flaw     fleet.Flaw
	Strength float64
	Product  string
	Speed    float64
}

// Fault is something that goes wrong for a while.
type Fault struct {
	Kind      string
	At        time.Duration
	Duration  time.Duration
	Targets   []int   // machines' places or sentries; empty: Many of them by chance
	Count     int     // how many, where On is empty
	Magnitude float64 // what it means depends on the kind
	Extra     float64
}

// Kinds of troubles, and what they take.
var faultKinds = map[string]string{
	"crash":          "machines die at once, and come back cold after (for ...)",
	"vanish":         "machines go silent: nothing is answered, nothing accepted",
	"hang":           "machines take txns and answer none",
	"slow":           "machines take (size ...) times as long",
	"fast-errors":    "machines fail a share (size ...) of their txns at once",
	"neighbour":      "another program takes a share (size ...) of the machines",
	"late-reports":   "the machines' load reports stand still",
	"false-reports":  "the machines report to be idle",
	"costly-connect": "a connection takes (size ...) milliseconds to be served",
	"burst":          "(size ...) times the traffic",
	"give-up":        "a share (size ...) of clients leave before their time",
	"bad-requests":   "the txns of a share (size ...) of keys are malformed and fail at any worker",
	"sentry-kill":    "edges are killed outright, and started after (for ...)",
	"sentry-roll":    "edges are stopped by SIGTERM, one after another, and started anew",
	"stalled":        "the platform stands still and answers no vote",
	"late-news":      "the platform's news is (size ...) seconds later than usual",
	"garbage":        "machines answer with bytes that are no HTTP for a share (size ...) of txns",
}

// Day is a script: a fleet, its traffic, the builds offered and the troubles.
type Day struct {
	Name   string
	Seed   int64
	Length time.Duration
	Sentries,
	Loops int
	EdgeWeights []float64 // of the sentries' traffic
	Machines    int
	MachineKind fleet.Kind
	MinSpeed, MaxSpeed,
	WorkCV float64
	BootTime        time.Duration // until a new machine runs
	Products        []Product
	Rate            float64 // txns a second
	Keys            int
	Retries         int
	Backoff         time.Duration
	MinPatience     float64 // least share of the expiry that a client waits
	StageShares     []float64
	CapFactor       float64 // cap = share times slack
	BakeTime        time.Duration
	VoteRule        string
	OnVotesNeeded   int
	HoldVotesNeeded int           // sentries that stop the clock, under clocked
	StageTime       time.Duration // of a stage, under clocked
	BackVotesNeeded int
	RolloutStyle    string
	ExposureScope   string
	ExposureWindow  time.Duration
	FreeSubmissions float64
	OneWayKeys      bool
	GuardedStages   int
	PushInterval    time.Duration
	ReleaseUpdateDelay,
	WorkerListDelay time.Duration
	VotesPerSecond   float64
	TallyInterval    time.Duration // 0: the platform counts nothing
	TallySampleShare float64
	WrongReportShare float64 // share of wrong answers that are reported
	WrongReportDelay time.Duration
	DrainTime        time.Duration // a drained machine goes after that
	DrainGrace       time.Duration
	PeerMessages     bool
	Offers           []Offer
	Faults           []Fault
}

// ReadDay reads and checks a day's file. The error is config.Faults where the text is at fault.
func ReadDay(path string) (*Day, error) {
	r, err := config.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return readDay(r)
}

// ParseDay is ReadDay for a text in hand.
func ParseDay(file, text string) (*Day, error) {
	r, err := config.Read(file, text)
	if err != nil {
		return nil, err
	}
	return readDay(r)
}

const maxDuration = 24 * time.Hour

func readDay(r *config.Reader) (*Day, error) {
	f := r.Root().RequireField("day")
	r.Root().RejectUnknown()
	d := &Day{Name: f.TakeName("a day's name")}
	d.Seed = f.Int("seed", 1, 0, math.MaxInt64)
	f.RequireField("length")
	d.Length = f.Duration("length", time.Minute, time.Second, maxDuration)
	s := f.OptionalField("sentries")
	d.Sentries = int(s.Int("processes", 1, 1, 32))
	d.Loops = int(s.Int("loops", 1, 1, 8))
	d.PeerMessages = s.Bool("messages", false)
	if d.EdgeWeights = s.Floats("weights", 0.001, 1000); len(d.EdgeWeights) > 0 && len(d.EdgeWeights) != d.Sentries {
		s.AddError(fmt.Sprintf("%d weights", len(d.EdgeWeights)), fmt.Sprintf("one for each of %d processes", d.Sentries))
	}
	s.RejectUnknown()
	m := f.RequireField("fleet")
	d.Machines = int(m.Int("machines", 8, 1, 200))
	d.MachineKind = fleet.Kind{Cores: int(m.Int("cores", 2, 1, 256)), Slots: int(m.Int("slots", 32, 1, 100000)),
		ColdStartCapacity: m.Float("cold-from", 0.3, 0.01, 1), WarmUp: fleet.Nanos(m.Duration("cold", 3*time.Second, 0, time.Hour)),
		OverloadMultiple: m.Float("fall-multiple", 3, 0, 1000), OverloadWindow: fleet.Nanos(m.Duration("fall-after", time.Second, 0, time.Hour)),
		StopsOnCancel: m.Bool("cancel-stops", true), BaseErrorRate: m.Float("base-errors", 0.0005, 0, 1),
		ReportInterval: fleet.Nanos(m.Duration("report-every", 300*time.Millisecond, 0, time.Hour)),
		ReportNoise:    m.Float("report-noise", 0.03, 0, 1)}
	d.MinSpeed, d.MaxSpeed = m.Float("speed-low", 0.9, 0.01, 100), m.Float("speed-high", 1.1, 0.01, 100)
	if d.MinSpeed > d.MaxSpeed {
		m.AddError(fmt.Sprintf("(speed-low %g)", d.MinSpeed), fmt.Sprintf("at most (speed-high %g)", d.MaxSpeed))
	}
	d.WorkCV = m.Float("work-cv", 0.6, 0, 5)
	d.BootTime = m.Duration("boot", 800*time.Millisecond, 0, time.Hour)
	m.RejectUnknown()
	d.readProducts(f)
	t := f.RequireField("traffic")
	d.Rate = t.Float("rate", 100, 0.1, 1e6)
	d.Keys = int(t.Int("keys", 2000, 1, 1e7))
	d.Retries = int(t.Int("retries", 1, 0, 10))
	d.Backoff = t.Duration("backoff", 50*time.Millisecond, 0, time.Minute)
	d.MinPatience = t.Float("patience", 0.6, 0.05, 1)
	t.RejectUnknown()
	d.readPlatform(f)
	d.readScript(f)
	f.RejectUnknown()
	if err := r.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *Day) readProducts(f *config.Form) {
	sum := 0.0
	for _, p := range f.Fields("product") {
		x := Product{Name: p.TakeName("a product's name"), Share: p.Float("share", 1, 0, 1),
			MeanWork: p.Duration("work", 20*time.Millisecond, 0, time.Minute), SLA: p.Duration("sla", 300*time.Millisecond, time.Millisecond, time.Hour),
			Expiry:      p.Duration("expiry", time.Second, time.Millisecond, time.Hour),
			Effect:      p.OneOf("effect", "inquiry-like", "inquiry-like", "referenced", "once-only"),
			DedupMemory: p.Duration("memory", 0, 0, time.Hour), Revenue: p.Float("revenue", 1, 0, 1e6),
			LateRevenueShare: p.Float("late-revenue", 0, 0, 1), BodyBytes: int(p.Bytes("body", 0, 0, 1<<20))}
		if x.Effect == "referenced" && x.DedupMemory == 0 {
			p.RequireField("memory")
		}
		p.RejectUnknown()
		sum += x.Share
		d.Products = append(d.Products, x)
	}
	if len(d.Products) == 0 {
		f.RequireField("product")
		return
	}
	if math.Abs(sum-1) > 0.005 {
		f.AddError(fmt.Sprintf("shares of products that sum to %.3f", sum), "shares that sum to 1")
	}
}

func (d *Day) readPlatform(f *config.Form) {
	p := f.RequireField("platform")
	d.StageShares = p.Floats("stages", 0.001, 1)
	p.RequireField("stages")
	for i := 1; i < len(d.StageShares); i++ {
		if d.StageShares[i] <= d.StageShares[i-1] {
			p.AddError(fmt.Sprintf("stage %g after %g", d.StageShares[i], d.StageShares[i-1]), "stages that rise")
		}
	}
	d.CapFactor = p.Float("slack", 1.3, 1, 10)
	d.BakeTime = p.Duration("bake", 2*time.Second, 0, time.Hour)
	d.VoteRule = p.OneOf("votes", "single", "single", "majority", "clocked")
	d.OnVotesNeeded = int(p.Int("need-on", 1, 1, 1000))
	d.BackVotesNeeded = int(p.Int("need-back", 1, 1, 1000))
	d.HoldVotesNeeded = int(p.Int("need-hold", 1, 1, 1000))
	d.StageTime = p.Duration("stage-time", 3*time.Second, 0, time.Hour)
	d.TallyInterval = p.Duration("tally-every", 0, 0, time.Hour)
	d.TallySampleShare = p.Float("tally-sample", 0.2, 0, 1)
	d.RolloutStyle = p.OneOf("style", "in-place", "in-place", "beside")
	d.ExposureScope = p.OneOf("counts", "all", "all", "product")
	d.ExposureWindow = p.Duration("window", 6*time.Second, time.Millisecond, time.Hour)
	d.FreeSubmissions = p.Float("free", 3, 0, 1e6)
	d.OneWayKeys = p.Bool("one-way", false)
	d.GuardedStages = int(p.Int("guarded-stages", 0, 0, 100))
	d.PushInterval = p.Duration("push", 2*time.Second, 10*time.Millisecond, time.Hour)
	d.ReleaseUpdateDelay = p.Duration("news-late", 200*time.Millisecond, 0, time.Minute)
	d.WorkerListDelay = p.Duration("list-late", 200*time.Millisecond, 0, time.Minute)
	d.VotesPerSecond = p.Float("votes-per-second", 20, 0.1, 1e6)
	d.WrongReportShare = p.Float("flags", 0.3, 0, 1)
	d.WrongReportDelay = p.Duration("flags-late", time.Second, 0, time.Minute)
	d.DrainTime = p.Duration("drain", 2*time.Second, 0, time.Hour)
	d.DrainGrace = p.Duration("grace", 500*time.Millisecond, 0, time.Hour)
	p.RejectUnknown()
}

func (d *Day) readScript(f *config.Form) {
	for _, o := range f.Fields("offer") {
		x := Offer{At: o.Duration("at", 0, 0, maxDuration), Strength: o.Float("strength", 0, 0, 100), Product: o.Text("product", ""),
			Speed: o.Float("speed", 1, 0.01, 100),
			Flaw: fleet.Flaw(o.OneOf("flaw", "good", "good", "errors", "slow", "product", "load", "late", "wrong",
				"slows-all"))}
		if x.Flaw == fleet.OneProduct && d.productIndex(x.Product) < 0 {
			o.AddError(strconv.Quote(x.Product), "(product ...) with the name of one")
		}
		o.RejectUnknown()
		d.Offers = append(d.Offers, x)
	}
	sort.SliceStable(d.Offers, func(i, j int) bool { return d.Offers[i].At < d.Offers[j].At })
	var kinds []string
	for k := range faultKinds {
		kinds = append(kinds, k)
	}
	sort.Strings(kinds)
	for _, g := range f.Fields("trouble") {
		x := Fault{Kind: g.TakeName("a kind of trouble"), At: g.Duration("at", 0, 0, maxDuration), Duration: g.Duration("for", 5*time.Second, 0, maxDuration),
			Count: int(g.Int("many", 1, 0, 1000)), Magnitude: g.Float("size", 0, 0, 1000), Extra: g.Float("extra", 0, 0, 1000)}
		if faultKinds[x.Kind] == "" {
			g.AddError(strconv.Quote(x.Kind), "one of "+strings.Join(kinds, ", "))
		}
		for _, n := range g.Floats("on", 0, 1000) {
			x.Targets = append(x.Targets, int(n))
		}
		g.RejectUnknown()
		d.Faults = append(d.Faults, x)
	}
	sort.SliceStable(d.Faults, func(i, j int) bool { return d.Faults[i].At < d.Faults[j].At })
}

func (d *Day) productIndex(name string) int {
	for i := range d.Products {
		if d.Products[i].Name == name {
			return i
		}
	}
	return -1
}

// Scale plays the script so many times as fast: lengths and times of the script shrink, while txns, builds, stages
// and workers keep their own times.
func (d *Day) Scale(by float64) {
	shrink := func(t *time.Duration) { *t = time.Duration(float64(*t) / by) }
	shrink(&d.Length)
	for i := range d.Offers {
		shrink(&d.Offers[i].At)
	}
	for i := range d.Faults {
		shrink(&d.Faults[i].At)
		shrink(&d.Faults[i].Duration)
	}
}

// stageCaps gives each stage's cap.
func (d *Day) stageCaps() []float64 {
	out := make([]float64, len(d.StageShares))
	for i, s := range d.StageShares {
		out[i] = min(1, s*d.CapFactor)
	}
	return out
}

// EdgeSettings is the settings file of edge number i, as an operator would write it for this day.
func (d *Day) EdgeSettings(i int, listen, admin, api, state string, peers []string) string {
	var b strings.Builder
	w := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	w("; written by the lab for the day %q", d.Name)
	w("(edge")
	w("  (name \"edge-%d\") (listen %q) (admin %q) (state %q)", i, listen, admin, state)
	w("  (loops %d) (index %d) (sentries %d) (seed %d)", d.Loops, i*d.Loops, d.Sentries*d.Loops, d.Seed)
	w("  (zones \"lab\") (zone \"lab\") (kinds \"std\")")
	if len(peers) > 0 {
		w("  (peers %s)", strings.Join(peers, " "))
	}
	w("  (source (api %q)) (drain-within 8s)", api)
	for _, p := range d.Products {
		memory := ""
		if p.Effect == "referenced" {
			memory = fmt.Sprintf(" (group all) (memory %v)", p.DedupMemory)
		}
		w("  (product %q (sla %v) (expiry %v) (effect %s)%s (revenue %g) (late-revenue %g))", p.Name, p.SLA, p.Expiry, p.Effect,
			memory, p.Revenue, p.LateRevenueShare)
		w("  (route (prefix %q) (product %q) (key \"Lab-Key\") (cost \"Lab-Cost-Ms\"))", "/"+p.Name, p.Name)
	}
	w("  (allow (submissions 5) (copies true) (cancel true) (longest-retry-after 500ms))")
	nums := func(v []float64) string {
		var s []string
		for _, x := range v {
			s = append(s, strconv.FormatFloat(x, 'g', 6, 64))
		}
		return strings.Join(s, " ")
	}
	w("  (release (votes %s) (style %s) (counts %s) (caps %s) (shares %s)", d.VoteRule, d.RolloutStyle, d.ExposureScope, nums(d.stageCaps()), nums(d.StageShares))
	w("    (window %v) (free %g) (bake %v) (votes-back %d) (votes-per-second %g) (guarded-stages %d) (one-way %t))", d.ExposureWindow, d.FreeSubmissions,
		d.BakeTime, d.BackVotesNeeded, d.VotesPerSecond, d.GuardedStages, d.OneWayKeys)
	w("  (rules (cold %v) (cold-from %g) (fall-multiple %g) (fall-after %v) (drain-grace %v)))", time.Duration(d.MachineKind.WarmUp),
		d.MachineKind.ColdStartCapacity, d.MachineKind.OverloadMultiple, time.Duration(d.MachineKind.OverloadWindow), d.DrainGrace)
	return b.String()
}

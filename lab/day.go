// Package lab runs scripted days against real edges over loopback sockets. It simulates the workers, the release platform
// and the clients, checks the routing rules by the recorded socket traffic alone, and writes reports.
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
	Share            float64       // of the day's txns
	MeanWork         time.Duration // on a core of speed 1
	SLA              time.Duration
	Expiry           time.Duration
	Effect           string        // inquiry-like, referenced or once-only
	DedupMemory      time.Duration // how long workers remember a referenced txn's key
	Revenue          float64       // of a txn that settles within its SLA time
	LateRevenueShare float64       // share of Revenue that a later answer earns
	BodyBytes        int           // size of a request's body
}

// Offer is a new build and the time at which the platform starts to roll it out.
type Offer struct {
	At       time.Duration
	Flaw     fleet.Flaw
	Strength float64 // of the flaw; see fleet.Build
	Product  string  // affected product, if the flaw affects only one
	Speed    float64 // relative to a normal build
}

// Fault is a fault or disturbance that is injected for a limited time.
type Fault struct {
	Kind      string // a key of faultKinds
	At        time.Duration
	Duration  time.Duration
	Targets   []int   // indexes of replicas or edges; if empty, Count random ones are chosen
	Count     int     // number of random targets
	Magnitude float64 // the (size ...) of the fault; its meaning depends on Kind
	Extra     float64 // accepted in a day's file, but has no effect
}

// faultKinds describes each kind of fault in terms of its settings.
var faultKinds = map[string]string{
	"crash":          "machines crash together and restart cold after (for ...)",
	"vanish":         "machines become unresponsive: they neither process nor answer anything",
	"hang":           "machines accept txns and answer none",
	"slow":           "machines take (size ...) times as long",
	"fast-errors":    "machines fail a share (size ...) of their txns immediately",
	"neighbour":      "another program uses a share (size ...) of the machines",
	"late-reports":   "the machines' load reports are not updated",
	"false-reports":  "the machines report that they are idle",
	"costly-connect": "machines delay each new connection by (size ...) milliseconds",
	"burst":          "(size ...) times the traffic",
	"give-up":        "a share (size ...) of clients leave before their patience ends",
	"bad-requests":   "the txns of a share (size ...) of keys are malformed and fail at any worker",
	"sentry-kill":    "edges are killed with SIGKILL and restarted after (for ...)",
	"sentry-roll":    "edges are stopped with SIGTERM and restarted, one after another",
	"stalled":        "the platform makes no progress and answers no vote",
	"late-news":      "the platform's release updates are delayed by (size ...) seconds more than usual",
	"garbage":        "machines answer a share (size ...) of txns with bytes that are not HTTP",
}

// Day is the script of a run: a fleet, its traffic, the builds that are rolled out and the faults.
type Day struct {
	Name        string
	Seed        int64
	Length      time.Duration
	Sentries    int       // number of edge processes
	Loops       int       // event loops of each edge
	EdgeWeights []float64 // relative traffic of each edge; empty means equal
	Machines    int
	MachineKind fleet.MachineSpec
	MinSpeed    float64 // speeds of machines are uniform between MinSpeed and MaxSpeed
	MaxSpeed    float64
	WorkCV      float64       // coefficient of variation of a txn's work
	BootTime    time.Duration // from the decision to start a machine until it serves
	Products    []Product
	Rate        float64       // txns a second
	Keys        int           // number of distinct keys
	Retries     int           // maximum retries of a txn by its client
	Backoff     time.Duration // between two tries of a txn
	MinPatience float64       // minimum share of the expiry that a client waits

	// Settings of the platform and the rollout.

	StageShares     []float64     // share of the machines that run the new build, by stage
	CapFactor       float64       // ratio of a stage's cap to its share
	BakeTime        time.Duration // minimum length of a stage once its machines run
	VoteRule        string        // single, majority or clocked
	OnVotesNeeded   int           // sentries voting on that end a stage, under majority
	HoldVotesNeeded int           // sentries voting hold that stop the stage's clock, under clocked
	StageTime       time.Duration // of a stage, under clocked
	BackVotesNeeded int           // sentries voting back that make the build go back, unless under single
	RolloutStyle    string        // in-place: new workers replace old ones; beside: old ones run until the release
	ExposureScope   string        // all: the cap applies to all products together; product: to each product
	ExposureWindow  time.Duration // the cap applies to txns within this time
	FreeSubmissions float64       // submissions within ExposureWindow that are allowed beyond the cap
	OneWayKeys      bool          // a key that the new build has answered must not be sent to older builds
	GuardedStages   int           // number of first stages in which the new build receives inquiry-like txns only
	PushInterval    time.Duration // between repeats of an unchanged release state

	ReleaseUpdateDelay time.Duration // until edges receive a change of the release
	WorkerListDelay    time.Duration // until edges receive a change of the worker list
	VotesPerSecond     float64       // limit on the votes of all edges
	TallyInterval      time.Duration // between tallies of the workers; 0 disables them
	TallySampleShare   float64       // share of the txns that tallies count
	WrongReportShare   float64       // share of wrong answers that clients report
	WrongReportDelay   time.Duration // from a wrong answer until its report
	DrainTime          time.Duration // from the start of a machine's drain until it stops
	DrainGrace         time.Duration // after an edge receives a drain, in which it may still send to the machine
	PeerMessages       bool          // whether sentries exchange messages
	Offers             []Offer       // in order of time
	Faults             []Fault       // in order of time
}

// ReadDay reads and validates a day's file. Errors in the text are returned as config.FileErrors.
func ReadDay(path string) (*Day, error) {
	r, err := config.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return readDay(r)
}

// ParseDay is like ReadDay, for text that is already in memory. Errors name the given file.
func ParseDay(file, text string) (*Day, error) {
	r, err := config.Parse(file, text)
	if err != nil {
		return nil, err
	}
	return readDay(r)
}

// maxDuration limits the length of a day and the times within it.
const maxDuration = 24 * time.Hour

// readDay reads and validates a day.
func readDay(r *config.Reader) (*Day, error) {
	form := r.Root().RequireField("day")
	r.Root().RejectUnknown()
	d := &Day{Name: form.TakeName("a day's name")}
	d.Seed = form.Int("seed", 1, 0, math.MaxInt64)
	form.RequireField("length")
	d.Length = form.Duration("length", time.Minute, time.Second, maxDuration)
	sentriesForm := form.OptionalField("sentries")
	d.Sentries = int(sentriesForm.Int("processes", 1, 1, 32))
	d.Loops = int(sentriesForm.Int("loops", 1, 1, 8))
	d.PeerMessages = sentriesForm.Bool("messages", false)
	if d.EdgeWeights = sentriesForm.Floats("weights", 0.001, 1000); len(d.EdgeWeights) > 0 && len(d.EdgeWeights) != d.Sentries {
		sentriesForm.AddError(fmt.Sprintf("%d weights", len(d.EdgeWeights)), fmt.Sprintf("one for each of %d processes", d.Sentries))
	}
	sentriesForm.RejectUnknown()
	fleetForm := form.RequireField("fleet")
	d.Machines = int(fleetForm.Int("machines", 8, 1, 200))
	d.MachineKind = fleet.MachineSpec{Cores: int(fleetForm.Int("cores", 2, 1, 256)), Slots: int(fleetForm.Int("slots", 32, 1, 100000)),
		ColdStartCapacity: fleetForm.Float("cold-from", 0.3, 0.01, 1), WarmUp: fleet.Nanos(fleetForm.Duration("cold", 3*time.Second, 0, time.Hour)),
		OverloadMultiple: fleetForm.Float("fall-multiple", 3, 0, 1000), OverloadWindow: fleet.Nanos(fleetForm.Duration("fall-after", time.Second, 0, time.Hour)),
		StopsOnCancel: fleetForm.Bool("cancel-stops", true), BaseErrorRate: fleetForm.Float("base-errors", 0.0005, 0, 1),
		ReportInterval: fleet.Nanos(fleetForm.Duration("report-every", 300*time.Millisecond, 0, time.Hour)),
		ReportNoise:    fleetForm.Float("report-noise", 0.03, 0, 1)}
	d.MinSpeed, d.MaxSpeed = fleetForm.Float("speed-low", 0.9, 0.01, 100), fleetForm.Float("speed-high", 1.1, 0.01, 100)
	if d.MinSpeed > d.MaxSpeed {
		fleetForm.AddError(fmt.Sprintf("(speed-low %g)", d.MinSpeed), fmt.Sprintf("at most (speed-high %g)", d.MaxSpeed))
	}
	d.WorkCV = fleetForm.Float("work-cv", 0.6, 0, 5)
	d.BootTime = fleetForm.Duration("boot", 800*time.Millisecond, 0, time.Hour)
	fleetForm.RejectUnknown()
	d.readProducts(form)
	trafficForm := form.RequireField("traffic")
	d.Rate = trafficForm.Float("rate", 100, 0.1, 1e6)
	d.Keys = int(trafficForm.Int("keys", 2000, 1, 1e7))
	d.Retries = int(trafficForm.Int("retries", 1, 0, 10))
	d.Backoff = trafficForm.Duration("backoff", 50*time.Millisecond, 0, time.Minute)
	d.MinPatience = trafficForm.Float("patience", 0.6, 0.05, 1)
	trafficForm.RejectUnknown()
	d.readPlatform(form)
	d.readScript(form)
	form.RejectUnknown()
	if err := r.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

// readProducts reads the (product ...) forms, whose shares must sum to 1.
func (d *Day) readProducts(form *config.Form) {
	sum := 0.0
	for _, productForm := range form.Fields("product") {
		product := Product{Name: productForm.TakeName("a product's name"), Share: productForm.Float("share", 1, 0, 1),
			MeanWork: productForm.Duration("work", 20*time.Millisecond, 0, time.Minute), SLA: productForm.Duration("sla", 300*time.Millisecond, time.Millisecond, time.Hour),
			Expiry:      productForm.Duration("expiry", time.Second, time.Millisecond, time.Hour),
			Effect:      productForm.OneOf("effect", "inquiry-like", "inquiry-like", "referenced", "once-only"),
			DedupMemory: productForm.Duration("memory", 0, 0, time.Hour), Revenue: productForm.Float("revenue", 1, 0, 1e6),
			LateRevenueShare: productForm.Float("late-revenue", 0, 0, 1), BodyBytes: int(productForm.Bytes("body", 0, 0, 1<<20))}
		if product.Effect == "referenced" && product.DedupMemory == 0 {
			productForm.RequireField("memory")
		}
		productForm.RejectUnknown()
		sum += product.Share
		d.Products = append(d.Products, product)
	}
	if len(d.Products) == 0 {
		form.RequireField("product")
		return
	}
	if math.Abs(sum-1) > 0.005 {
		form.AddError(fmt.Sprintf("shares of products that sum to %.3f", sum), "shares that sum to 1")
	}
}

// readPlatform reads the settings of the platform and the rollout.
func (d *Day) readPlatform(form *config.Form) {
	platformForm := form.RequireField("platform")
	d.StageShares = platformForm.Floats("stages", 0.001, 1)
	platformForm.RequireField("stages")
	for i := 1; i < len(d.StageShares); i++ {
		if d.StageShares[i] <= d.StageShares[i-1] {
			platformForm.AddError(fmt.Sprintf("stage %g after %g", d.StageShares[i], d.StageShares[i-1]), "stages that rise")
		}
	}
	d.CapFactor = platformForm.Float("slack", 1.3, 1, 10)
	d.BakeTime = platformForm.Duration("bake", 2*time.Second, 0, time.Hour)
	d.VoteRule = platformForm.OneOf("votes", "single", "single", "majority", "clocked")
	d.OnVotesNeeded = int(platformForm.Int("need-on", 1, 1, 1000))
	d.BackVotesNeeded = int(platformForm.Int("need-back", 1, 1, 1000))
	d.HoldVotesNeeded = int(platformForm.Int("need-hold", 1, 1, 1000))
	d.StageTime = platformForm.Duration("stage-time", 3*time.Second, 0, time.Hour)
	d.TallyInterval = platformForm.Duration("tally-every", 0, 0, time.Hour)
	d.TallySampleShare = platformForm.Float("tally-sample", 0.2, 0, 1)
	d.RolloutStyle = platformForm.OneOf("style", "in-place", "in-place", "beside")
	d.ExposureScope = platformForm.OneOf("counts", "all", "all", "product")
	d.ExposureWindow = platformForm.Duration("window", 6*time.Second, time.Millisecond, time.Hour)
	d.FreeSubmissions = platformForm.Float("free", 3, 0, 1e6)
	d.OneWayKeys = platformForm.Bool("one-way", false)
	d.GuardedStages = int(platformForm.Int("guarded-stages", 0, 0, 100))
	d.PushInterval = platformForm.Duration("push", 2*time.Second, 10*time.Millisecond, time.Hour)
	d.ReleaseUpdateDelay = platformForm.Duration("news-late", 200*time.Millisecond, 0, time.Minute)
	d.WorkerListDelay = platformForm.Duration("list-late", 200*time.Millisecond, 0, time.Minute)
	d.VotesPerSecond = platformForm.Float("votes-per-second", 20, 0.1, 1e6)
	d.WrongReportShare = platformForm.Float("flags", 0.3, 0, 1)
	d.WrongReportDelay = platformForm.Duration("flags-late", time.Second, 0, time.Minute)
	d.DrainTime = platformForm.Duration("drain", 2*time.Second, 0, time.Hour)
	d.DrainGrace = platformForm.Duration("grace", 500*time.Millisecond, 0, time.Hour)
	platformForm.RejectUnknown()
}

// readScript reads the (offer ...) and (trouble ...) forms and sorts them by time.
func (d *Day) readScript(form *config.Form) {
	for _, offerForm := range form.Fields("offer") {
		offer := Offer{At: offerForm.Duration("at", 0, 0, maxDuration), Strength: offerForm.Float("strength", 0, 0, 100), Product: offerForm.Text("product", ""),
			Speed: offerForm.Float("speed", 1, 0.01, 100),
			Flaw: fleet.Flaw(offerForm.OneOf("flaw", "good", "good", "errors", "slow", "product", "load", "late", "wrong",
				"slows-all"))}
		if offer.Flaw == fleet.OneProduct && d.productIndex(offer.Product) < 0 {
			offerForm.AddError(strconv.Quote(offer.Product), "(product ...) with the name of one")
		}
		offerForm.RejectUnknown()
		d.Offers = append(d.Offers, offer)
	}
	sort.SliceStable(d.Offers, func(i, j int) bool { return d.Offers[i].At < d.Offers[j].At })
	var kinds []string
	for k := range faultKinds {
		kinds = append(kinds, k)
	}
	sort.Strings(kinds)
	for _, faultForm := range form.Fields("trouble") {
		fault := Fault{Kind: faultForm.TakeName("a kind of trouble"), At: faultForm.Duration("at", 0, 0, maxDuration), Duration: faultForm.Duration("for", 5*time.Second, 0, maxDuration),
			Count: int(faultForm.Int("many", 1, 0, 1000)), Magnitude: faultForm.Float("size", 0, 0, 1000), Extra: faultForm.Float("extra", 0, 0, 1000)}
		if faultKinds[fault.Kind] == "" {
			faultForm.AddError(strconv.Quote(fault.Kind), "one of "+strings.Join(kinds, ", "))
		}
		for _, n := range faultForm.Floats("on", 0, 1000) {
			fault.Targets = append(fault.Targets, int(n))
		}
		faultForm.RejectUnknown()
		d.Faults = append(d.Faults, fault)
	}
	sort.SliceStable(d.Faults, func(i, j int) bool { return d.Faults[i].At < d.Faults[j].At })
}

// productIndex returns the index of the named product, or -1.
func (d *Day) productIndex(name string) int {
	for i := range d.Products {
		if d.Products[i].Name == name {
			return i
		}
	}
	return -1
}

// Scale speeds up the script by a factor: the day's length and the times of offers and faults shrink, while the timing of
// txns, builds, stages and workers does not change.
func (d *Day) Scale(factor float64) {
	scale := func(t *time.Duration) { *t = time.Duration(float64(*t) / factor) }
	scale(&d.Length)
	for i := range d.Offers {
		scale(&d.Offers[i].At)
	}
	for i := range d.Faults {
		scale(&d.Faults[i].At)
		scale(&d.Faults[i].Duration)
	}
}

// stageCaps returns the cap of each stage.
func (d *Day) stageCaps() []float64 {
	caps := make([]float64, len(d.StageShares))
	for i, share := range d.StageShares {
		caps[i] = min(1, share*d.CapFactor)
	}
	return caps
}

// EdgeSettings returns the text of the settings file of edge i, as an operator would write it for this day.
func (d *Day) EdgeSettings(i int, listen, admin, api, state string, peers []string) string {
	var b strings.Builder
	addLine := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	addLine("; written by the lab for the day %q", d.Name)
	addLine("(edge")
	addLine("  (name \"edge-%d\") (listen %q) (admin %q) (state %q)", i, listen, admin, state)
	addLine("  (loops %d) (index %d) (sentries %d) (seed %d)", d.Loops, i*d.Loops, d.Sentries*d.Loops, d.Seed)
	addLine("  (zones \"lab\") (zone \"lab\") (kinds \"std\")")
	if len(peers) > 0 {
		addLine("  (peers %s)", strings.Join(peers, " "))
	}
	addLine("  (source (api %q)) (drain-within 8s)", api)
	for _, p := range d.Products {
		memory := ""
		if p.Effect == "referenced" {
			memory = fmt.Sprintf(" (group all) (memory %v)", p.DedupMemory)
		}
		addLine("  (product %q (sla %v) (expiry %v) (effect %s)%s (revenue %g) (late-revenue %g))", p.Name, p.SLA, p.Expiry, p.Effect,
			memory, p.Revenue, p.LateRevenueShare)
		addLine("  (route (prefix %q) (product %q) (key \"Lab-Key\") (cost \"Lab-Cost-Ms\"))", "/"+p.Name, p.Name)
	}
	addLine("  (allow (submissions 5) (copies true) (cancel true) (longest-retry-after 500ms))")
	formatFloats := func(v []float64) string {
		var s []string
		for _, x := range v {
			s = append(s, strconv.FormatFloat(x, 'g', 6, 64))
		}
		return strings.Join(s, " ")
	}
	addLine("  (release (votes %s) (style %s) (counts %s) (caps %s) (shares %s)", d.VoteRule, d.RolloutStyle, d.ExposureScope, formatFloats(d.stageCaps()), formatFloats(d.StageShares))
	addLine("    (window %v) (free %g) (bake %v) (votes-back %d) (votes-per-second %g) (guarded-stages %d) (one-way %t))", d.ExposureWindow, d.FreeSubmissions,
		d.BakeTime, d.BackVotesNeeded, d.VotesPerSecond, d.GuardedStages, d.OneWayKeys)
	addLine("  (rules (cold %v) (cold-from %g) (fall-multiple %g) (fall-after %v) (drain-grace %v)))", time.Duration(d.MachineKind.WarmUp),
		d.MachineKind.ColdStartCapacity, d.MachineKind.OverloadMultiple, time.Duration(d.MachineKind.OverloadWindow), d.DrainGrace)
	return b.String()
}

package lab

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"sort"
	"strings"
	"time"
)

// benchDay holds the fields that are imported from a day of the simulation bench. Times are in microseconds.
type benchDay struct {
	Site             string   `json:"site"`
	Kind             string   `json:"kind"`
	Length           float64  `json:"length"`
	Zones            []string `json:"zones"`
	DrainGrace       float64  `json:"drain_grace"`
	OverloadMultiple float64  `json:"fall_multiple"`
	OverloadWindow   float64  `json:"fall_for"`
	Balancers        []any    `json:"balancers"`
	Servers          []struct {
		Kind  int     `json:"kind"`
		Speed float64 `json:"speed"`
	} `json:"servers"`
	Traffic struct {
		Load float64 `json:"load"`
		Keys float64 `json:"keys"`
	} `json:"traffic"`
	Clients struct {
		Retries     int     `json:"retries"`
		MinPatience float64 `json:"try_share"`
		Backoff     float64 `json:"backoff_us"`
	} `json:"clients"`
	Discovery struct {
		PollsList bool    `json:"ask"`
		ListDelay float64 `json:"add"`
	} `json:"discovery"`
	Allow struct {
		Peers bool `json:"peers"`
	} `json:"allow"`
	Classes []struct {
		Name             string  `json:"name"`
		Share            float64 `json:"share"`
		Work             float64 `json:"work"`
		CV               float64 `json:"cv"`
		SLA              float64 `json:"aim"`
		Expiry           float64 `json:"deadline"`
		Revenue          float64 `json:"worth"`
		LateRevenueShare float64 `json:"late_worth"`
		Effect           string  `json:"effect"`
		Group            string  `json:"group"`
		Window           float64 `json:"window"`
	} `json:"classes"`
	Tiers []struct {
		Kinds []struct {
			Cores             int     `json:"cores"`
			Slots             int     `json:"slots"`
			Queue             int     `json:"queue"`
			ColdStartCapacity float64 `json:"cold_from"`
			WarmUp            float64 `json:"cold"`
			ErrorRate         float64 `json:"error_rate"`
			CancelStops       string  `json:"cancel"`
		} `json:"kinds"`
		ReportPeriod float64 `json:"report_period"`
		ReportNoise  float64 `json:"report_noise"`
	} `json:"tiers"`
	Faults []struct {
		Kind      string  `json:"kind"`
		At        float64 `json:"at"`
		Length    float64 `json:"len"`
		Magnitude float64 `json:"size"`
		Extra     float64 `json:"extra"`
		Targets   []int   `json:"on"`
		Mode      string  `json:"how"`
	} `json:"troubles"`
	Rollout struct {
		Replicas           int       `json:"places"`
		BakeTime           float64   `json:"bake"`
		BesideOld          bool      `json:"beside"`
		BootTime           float64   `json:"boot"`
		ExposureByClass    bool      `json:"by_class"`
		VotesPerSecond     float64   `json:"calls_per_s"`
		Caps               []float64 `json:"caps"`
		VoteRule           string    `json:"control"`
		DrainTime          float64   `json:"drain"`
		WrongReportShare   float64   `json:"flag_share"`
		WrongReportDelay   float64   `json:"flag_late"`
		FreeSubmissions    float64   `json:"free"`
		GuardedStages      int       `json:"guarded"`
		OneWayKeys         bool      `json:"one_way"`
		PushInterval       float64   `json:"push"`
		StageTime          float64   `json:"step"`
		TallyInterval      float64   `json:"tally"`
		TallySampleShare   float64   `json:"tally_sample"`
		ReleaseUpdateDelay float64   `json:"told_late"`
		Window             float64   `json:"window"`
		StageShares        []float64 `json:"stages"`
		VoteShares         []float64 `json:"votes"`
		Releases           []struct {
			At       float64 `json:"at"`
			Flaw     string  `json:"bad"`
			Class    int     `json:"class"`
			Speed    float64 `json:"speed"`
			Strength float64 `json:"strength"`
		} `json:"releases"`
	} `json:"fam"`
}

// ImportLimits bounds an imported day, so that one computer can run it.
type ImportLimits struct {
	Machines  int     // maximum number of machines
	Sentries  int     // maximum number of edge processes
	Rate      float64 // maximum txns a second; bounds the number of machines
	TimeScale float64 // unused
}

// fromMicros converts microseconds to a duration, rounded to 10 us.
func fromMicros(v float64) time.Duration {
	return (time.Duration(v) * time.Microsecond).Round(10 * time.Microsecond)
}

// importedFlaws maps the bench's flaws of builds to those of package fleet. The bench's strengths from 0 to 1 map linearly
// to the range from minStrength to maxStrength.
var importedFlaws = map[string]struct {
	kind                     string
	minStrength, maxStrength float64
}{"": {"good", 0, 0}, "errors": {"errors", 0.04, 0.36}, "slow": {"slow", 1.7, 3.7}, "class": {"product", 0.25, 0.9}, "load": {"load", 1.7, 3.7},
	"late": {"late", 0.04, 0.36}, "wrong": {"wrong", 0.04, 0.36}, "shared": {"slows-all", 1.5, 3}}

// ImportDay reads a day of the simulation bench from a file and converts it to the text of a day of this package, within
// the given limits. Comments at the head of the text list everything that could not be converted, as does omitted.
func ImportDay(path string, limits ImportLimits) (text string, omitted []string, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", nil, fmt.Errorf("import: %w", err)
	}
	var d benchDay
	if err := json.Unmarshal(data, &d); err != nil {
		return "", nil, fmt.Errorf("import %s: %w", path, err)
	}
	if d.Rollout.Replicas == 0 || len(d.Classes) == 0 || len(d.Tiers) == 0 || len(d.Tiers[0].Kinds) == 0 || len(d.Servers) == 0 {
		return "", nil, fmt.Errorf("import %s: not a rollout day: places, classes, tiers or servers are missing", path)
	}
	omit := func(format string, args ...any) { omitted = append(omitted, fmt.Sprintf(format, args...)) }
	machines, sentries := min(d.Rollout.Replicas, limits.Machines), min(len(d.Balancers), limits.Sentries)
	if len(d.Zones) > 1 {
		omit("%d zones: all machines are in one", len(d.Zones))
	}
	if len(d.Tiers[0].Kinds) > 1 {
		omit("%d kinds of machines: all are of the first kind, with speeds from the slowest to the fastest", len(d.Tiers[0].Kinds))
	}
	if d.Discovery.PollsList {
		omit("edges poll the worker list: here it is pushed")
	}
	kind := d.Tiers[0].Kinds[0]
	minSpeed, maxSpeed, speedSum := math.Inf(1), 0.0, 0.0
	for _, s := range d.Servers {
		minSpeed, maxSpeed, speedSum = min(minSpeed, s.Speed), max(maxSpeed, s.Speed), speedSum+s.Speed
	}
	workSum, shareSum := 0.0, 0.0
	for _, class := range d.Classes {
		workSum, shareSum = workSum+class.Share*class.Work, shareSum+class.Share
	}
	// The load per machine stays that of the bench's day. limits.Rate bounds the number of machines, because one computer can
	// only generate a limited rate.
	ratePerMachine := d.Traffic.Load * float64(kind.Cores) * speedSum / float64(len(d.Servers)) * 1e6 / (workSum / shareSum)
	machines = max(3, min(machines, int(limits.Rate/ratePerMachine)))
	rate := ratePerMachine * float64(machines)
	var b strings.Builder
	addLine := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	addLine("(day %q (length %v)", d.Site+"-"+d.Kind, fromMicros(d.Length).Round(time.Millisecond))
	addLine("  (sentries (processes %d))", sentries)
	addLine("  (fleet (machines %d) (cores %d) (slots %d) (cold %v) (cold-from %.3f) (fall-multiple %g) (fall-after %v)", machines, kind.Cores, kind.Slots+kind.Queue,
		fromMicros(kind.WarmUp), kind.ColdStartCapacity, d.OverloadMultiple, fromMicros(d.OverloadWindow))
	addLine("    (speed-low %.3f) (speed-high %.3f) (boot %v) (cancel-stops %t) (base-errors %.5f) (report-every %v) (report-noise %.3f) (work-cv 0.8))", minSpeed, maxSpeed,
		fromMicros(d.Rollout.BootTime), kind.CancelStops == "all", kind.ErrorRate, max(10*time.Millisecond, fromMicros(d.Tiers[0].ReportPeriod)), d.Tiers[0].ReportNoise)
	remainingShare := 1.0
	for i, class := range d.Classes {
		share := min(remainingShare, math.Round(class.Share/shareSum*1000)/1000)
		if i == len(d.Classes)-1 {
			share = remainingShare
		}
		remainingShare -= share
		effect := map[string]string{"safe": "inquiry-like", "keyed": "referenced", "unsafe": "once-only"}[class.Effect]
		memory := ""
		if effect == "referenced" {
			memory = fmt.Sprintf(" (memory %v)", fromMicros(class.Window))
			if class.Group != "all" {
				omit("%s: repeats are deduplicated by %s: here by all workers", class.Name, class.Group)
			}
		}
		addLine("  (product %q (share %.3f) (work %v) (sla %v) (expiry %v) (effect %s)%s (revenue %g) (late-revenue %g))", class.Name, share,
			fromMicros(class.Work), fromMicros(class.SLA), fromMicros(class.Expiry), effect, memory, class.Revenue, class.LateRevenueShare)
	}
	addLine("  (traffic (rate %.1f) (keys %d) (retries %d) (backoff %v) (patience %.2f))", rate, max(1, int(d.Traffic.Keys)), d.Clients.Retries,
		fromMicros(max(1000, d.Clients.Backoff)), max(0.05, d.Clients.MinPatience))
	votes, needOn, needBack := "single", 1, 1
	switch d.Rollout.VoteRule {
	case "share":
		votes = "majority"
		needOn = max(1, int(math.Ceil(d.Rollout.VoteShares[0]*float64(sentries))))
		needBack = max(1, int(math.Ceil(d.Rollout.VoteShares[2]*float64(sentries))))
	case "timer":
		votes = "clocked"
		needOn = max(1, int(math.Ceil(d.Rollout.VoteShares[1]*float64(sentries))))
		needBack = max(1, int(math.Ceil(d.Rollout.VoteShares[2]*float64(sentries))))
	}
	var stages []string
	for _, s := range d.Rollout.StageShares {
		stages = append(stages, fmt.Sprintf("%g", s))
	}
	style, counts := "in-place", "all"
	if d.Rollout.BesideOld {
		style = "beside"
	}
	if d.Rollout.ExposureByClass {
		counts = "product"
	}
	addLine("  (platform (stages %s) (slack %.3f) (bake %v) (votes %s) (need-on %d) (need-back %d) (style %s) (counts %s) (window %v) (free %g)",
		strings.Join(stages, " "), max(1, d.Rollout.Caps[0]/d.Rollout.StageShares[0]), fromMicros(d.Rollout.BakeTime), votes, needOn, needBack, style, counts, fromMicros(d.Rollout.Window), d.Rollout.FreeSubmissions)
	addLine("    (one-way %t) (guarded-stages %d) (push %v) (news-late %v) (list-late %v) (votes-per-second %g) (flags %g) (flags-late %v) (drain %v) (grace %v)",
		d.Rollout.OneWayKeys, d.Rollout.GuardedStages, fromMicros(d.Rollout.PushInterval), fromMicros(d.Rollout.ReleaseUpdateDelay), fromMicros(d.Discovery.ListDelay), d.Rollout.VotesPerSecond, d.Rollout.WrongReportShare, fromMicros(d.Rollout.WrongReportDelay),
		fromMicros(d.Rollout.DrainTime), fromMicros(d.DrainGrace))
	if votes == "clocked" {
		addLine("    (need-hold %d) (stage-time %v)", needOn, fromMicros(d.Rollout.StageTime))
	}
	if d.Rollout.TallyInterval > 0 {
		addLine("    (tally-every %v) (tally-sample %g)", fromMicros(d.Rollout.TallyInterval), d.Rollout.TallySampleShare)
	}
	addLine("  )")
	for _, release := range d.Rollout.Releases {
		flaw, known := importedFlaws[release.Flaw]
		if !known {
			omit("a build with the unknown flaw %q: replaced by a good build", release.Flaw)
			flaw = importedFlaws[""]
		}
		product := ""
		if flaw.kind == "product" {
			product = fmt.Sprintf(" (product %q)", d.Classes[release.Class].Name)
		}
		addLine("  (offer (at %v) (flaw %s) (strength %.3f) (speed %.3f)%s)", fromMicros(release.At).Round(time.Millisecond), flaw.kind, flaw.minStrength+(flaw.maxStrength-flaw.minStrength)*release.Strength, release.Speed, product)
	}
	for _, fault := range d.Faults {
		timing := fmt.Sprintf("(at %v) (for %v)", fromMicros(fault.At).Round(time.Millisecond), fromMicros(fault.Length).Round(time.Millisecond))
		targetCount := len(fault.Targets)
		machineCount := min(machines, max(1, int(math.Round(float64(targetCount)/float64(len(d.Servers))*float64(machines)))))
		edgeCount := min(sentries, max(1, int(math.Round(float64(targetCount)/float64(len(d.Balancers))*float64(sentries)))))
		switch fault.Kind {
		case "bad_build": // converted with the releases above
		case "crash", "hang", "vanish":
			addLine("  (trouble %s %s (many %d))", fault.Kind, timing, machineCount)
		case "slow", "neighbour":
			addLine("  (trouble %s %s (many %d) (size %.3f))", fault.Kind, timing, machineCount, fault.Magnitude)
		case "fast_errors":
			addLine("  (trouble fast-errors %s (many %d) (size %.3f))", timing, machineCount, fault.Magnitude)
		case "false_reports":
			var targets []string
			for i := 0; i < machineCount; i++ {
				targets = append(targets, fmt.Sprint((i*7+3)%machines))
			}
			addLine("  (trouble false-reports %s (on %s))", timing, strings.Join(targets, " "))
			addLine("  (trouble slow %s (on %s) (size %.3f))", timing, strings.Join(targets, " "), max(1, fault.Extra))
		case "handshake_slow":
			addLine("  (trouble costly-connect %s (many %d) (size %.0f))", timing, machineCount, min(200, fault.Magnitude))
		case "burst":
			addLine("  (trouble burst %s (size %.3f))", timing, fault.Magnitude)
		case "give_up":
			addLine("  (trouble give-up %s (size %.3f))", timing, min(1, fault.Extra))
		case "bad_requests":
			addLine("  (trouble bad-requests %s (size %.3f))", timing, fault.Magnitude*0.2)
		case "report_late":
			addLine("  (trouble late-news %s (size %.3f))", timing, fault.Magnitude)
		case "control_down":
			if fault.Mode == "stale" {
				addLine("  (trouble late-news %s (size %.3f))", timing, fault.Magnitude)
			} else {
				addLine("  (trouble stalled %s)", timing)
			}
		case "balancer_crash":
			addLine("  (trouble sentry-kill %s (many %d))", timing, edgeCount)
		case "balancer_roll":
			addLine("  (trouble sentry-roll %s (many %d))", timing, sentries)
		default:
			omit("trouble %s at %v: not supported", fault.Kind, fromMicros(fault.At).Round(time.Millisecond))
		}
	}
	addLine(")")
	head := fmt.Sprintf("; imported from a day of %s (%s): %d of %d places, %d of %d sentries\n", d.Site, d.Kind, machines, d.Rollout.Replicas, sentries,
		len(d.Balancers))
	sort.Strings(omitted)
	for _, line := range omitted {
		head += "; not carried over: " + line + "\n"
	}
	text = head + b.String()
	if _, err := ParseDay(path, text); err != nil {
		return "", nil, fmt.Errorf("import %s: the converted day is invalid: %w", path, err)
	}
	return text, omitted, nil
}

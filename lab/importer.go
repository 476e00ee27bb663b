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

// benchDay is what is read of a day drawn by the bench; its other fields have no counterpart here.
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
		Retries  int     `json:"retries"`
		TryShare float64 `json:"try_share"`
		Backoff  float64 `json:"backoff_us"`
	} `json:"clients"`
	Discovery struct {
		Ask bool    `json:"ask"`
		Add float64 `json:"add"`
	} `json:"discovery"`
	Allow struct {
		Peers bool `json:"peers"`
	} `json:"allow"`
	Classes []struct {
		Name      string  `json:"name"`
		Share     float64 `json:"share"`
		Work      float64 `json:"work"`
		CV        float64 `json:"cv"`
		Aim       float64 `json:"aim"`
		Deadline  float64 `json:"deadline"`
		Worth     float64 `json:"worth"`
		LateWorth float64 `json:"late_worth"`
		Effect    string  `json:"effect"`
		Group     string  `json:"group"`
		Window    float64 `json:"window"`
	} `json:"classes"`
	Tiers []struct {
		Kinds []struct {
			Cores     int     `json:"cores"`
			Slots     int     `json:"slots"`
			Queue     int     `json:"queue"`
			ColdFrom  float64 `json:"cold_from"`
			Cold      float64 `json:"cold"`
			ErrorRate float64 `json:"error_rate"`
			Cancel    string  `json:"cancel"`
		} `json:"kinds"`
		ReportPeriod float64 `json:"report_period"`
		ReportNoise  float64 `json:"report_noise"`
	} `json:"tiers"`
	Troubles []struct {
		Kind  string  `json:"kind"`
		At    float64 `json:"at"`
		Len   float64 `json:"len"`
		Size  float64 `json:"size"`
		Extra float64 `json:"extra"`
		On    []int   `json:"on"`
		How   string  `json:"how"`
	} `json:"troubles"`
	Rollout struct {
		Places   int       `json:"places"`
		Bake     float64   `json:"bake"`
		Beside   bool      `json:"beside"`
		Boot     float64   `json:"boot"`
		ByClass  bool      `json:"by_class"`
		Calls    float64   `json:"calls_per_s"`
		Caps     []float64 `json:"caps"`
		Control  string    `json:"control"`
		Drain    float64   `json:"drain"`
		Flags    float64   `json:"flag_share"`
		FlagLate float64   `json:"flag_late"`
		Free     float64   `json:"free"`
		Guarded  int       `json:"guarded"`
		OneWay   bool      `json:"one_way"`
		Push     float64   `json:"push"`
		Step     float64   `json:"step"`
		Tally    float64   `json:"tally"`

		TallySample float64   `json:"tally_sample"`
		ToldLate    float64   `json:"told_late"`
		Window      float64   `json:"window"`
		Stages      []float64 `json:"stages"`
		Votes       []float64 `json:"votes"`
		Releases    []struct {
			At       float64 `json:"at"`
			Bad      string  `json:"bad"`
			Class    int     `json:"class"`
			Speed    float64 `json:"speed"`
			Strength float64 `json:"strength"`
		} `json:"releases"`
	} `json:"fam"`
}

// Scales says how an imported day is made to fit one machine.
type Scales struct {
	Machines  int // at the most
	Sentries  int // processes, at the most
	Rate      float64
	TimeScale float64
}

func fromMicros(v float64) time.Duration {
	return (time.Duration(v) * time.Microsecond).Round(10 * time.Microsecond)
}

// importedFlaws turns the bench's kinds of bad builds into ours; a strength of 0 to 1 lies between the two ends.
var importedFlaws = map[string]struct {
	flaw     string
	low, top float64
}{"": {"good", 0, 0}, "errors": {"errors", 0.04, 0.36}, "slow": {"slow", 1.7, 3.7}, "class": {"product", 0.25, 0.9}, "load": {"load", 1.7, 3.7},
	"late": {"late", 0.04, 0.36}, "wrong": {"wrong", 0.04, 0.36}, "shared": {"slows-all", 1.5, 3}}

// Import turns a day that the bench has drawn into the text of a day of ours, scaled to one machine. What cannot be
// carried over stands in comments at its head and comes back as a list.
func Import(path string, sc Scales) (text string, left []string, err error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", nil, fmt.Errorf("import: %w", err)
	}
	var d benchDay
	if err := json.Unmarshal(data, &d); err != nil {
		return "", nil, fmt.Errorf("import %s: %w", path, err)
	}
	if d.Rollout.Places == 0 || len(d.Classes) == 0 || len(d.Tiers) == 0 || len(d.Tiers[0].Kinds) == 0 || len(d.Servers) == 0 {
		return "", nil, fmt.Errorf("import %s: no rollout day: places, classes, tiers or servers are missing", path)
	}
	drop := func(format string, args ...any) { left = append(left, fmt.Sprintf(format, args...)) }
	machines, sentries := min(d.Rollout.Places, sc.Machines), min(len(d.Balancers), sc.Sentries)
	if len(d.Zones) > 1 {
		drop("%d zones: all machines stand in one", len(d.Zones))
	}
	if len(d.Tiers[0].Kinds) > 1 {
		drop("%d kinds of machines: all are of the first, speeds from the slowest to the fastest", len(d.Tiers[0].Kinds))
	}
	if d.Discovery.Ask {
		drop("the list had to be asked for: it is pushed")
	}
	kind := d.Tiers[0].Kinds[0]
	low, high, sum := math.Inf(1), 0.0, 0.0
	for _, s := range d.Servers {
		low, high, sum = min(low, s.Speed), max(high, s.Speed), sum+s.Speed
	}
	work, shares := 0.0, 0.0
	for _, c := range d.Classes {
		work, shares = work+c.Share*c.Work, shares+c.Share
	}
	// The load of a machine is the day's. What one computer can carry bounds the number of machines.
	perMachine := d.Traffic.Load * float64(kind.Cores) * sum / float64(len(d.Servers)) * 1e6 / (work / shares)
	machines = max(3, min(machines, int(sc.Rate/perMachine)))
	rate := perMachine * float64(machines)
	var b strings.Builder
	w := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	w("(day %q (length %v)", d.Site+"-"+d.Kind, fromMicros(d.Length).Round(time.Millisecond))
	w("  (sentries (processes %d))", sentries)
	w("  (fleet (machines %d) (cores %d) (slots %d) (cold %v) (cold-from %.3f) (fall-multiple %g) (fall-after %v)", machines, kind.Cores, kind.Slots+kind.Queue,
		fromMicros(kind.Cold), kind.ColdFrom, d.OverloadMultiple, fromMicros(d.OverloadWindow))
	w("    (speed-low %.3f) (speed-high %.3f) (boot %v) (cancel-stops %t) (base-errors %.5f) (report-every %v) (report-noise %.3f) (work-cv 0.8))", low, high,
		fromMicros(d.Rollout.Boot), kind.Cancel == "all", kind.ErrorRate, max(10*time.Millisecond, fromMicros(d.Tiers[0].ReportPeriod)), d.Tiers[0].ReportNoise)
	rest := 1.0
	for i, c := range d.Classes {
		part := min(rest, math.Round(c.Share/shares*1000)/1000)
		if i == len(d.Classes)-1 {
			part = rest
		}
		rest -= part
		effect := map[string]string{"safe": "inquiry-like", "keyed": "referenced", "unsafe": "once-only"}[c.Effect]
		memory := ""
		if effect == "referenced" {
			memory = fmt.Sprintf(" (memory %v)", fromMicros(c.Window))
			if c.Group != "all" {
				drop("%s: repeats are dropped by %s: by all", c.Name, c.Group)
			}
		}
		w("  (product %q (share %.3f) (work %v) (sla %v) (expiry %v) (effect %s)%s (revenue %g) (late-revenue %g))", c.Name, part,
			fromMicros(c.Work), fromMicros(c.Aim), fromMicros(c.Deadline), effect, memory, c.Worth, c.LateWorth)
	}
	w("  (traffic (rate %.1f) (keys %d) (retries %d) (backoff %v) (patience %.2f))", rate, max(1, int(d.Traffic.Keys)), d.Clients.Retries,
		fromMicros(max(1000, d.Clients.Backoff)), max(0.05, d.Clients.TryShare))
	votes, needOn, needBack := "single", 1, 1
	switch d.Rollout.Control {
	case "share":
		votes = "majority"
		needOn = max(1, int(math.Ceil(d.Rollout.Votes[0]*float64(sentries))))
		needBack = max(1, int(math.Ceil(d.Rollout.Votes[2]*float64(sentries))))
	case "timer":
		votes = "clocked"
		needOn = max(1, int(math.Ceil(d.Rollout.Votes[1]*float64(sentries))))
		needBack = max(1, int(math.Ceil(d.Rollout.Votes[2]*float64(sentries))))
	}
	var stages []string
	for _, s := range d.Rollout.Stages {
		stages = append(stages, fmt.Sprintf("%g", s))
	}
	style, counts := "in-place", "all"
	if d.Rollout.Beside {
		style = "beside"
	}
	if d.Rollout.ByClass {
		counts = "product"
	}
	w("  (platform (stages %s) (slack %.3f) (bake %v) (votes %s) (need-on %d) (need-back %d) (style %s) (counts %s) (window %v) (free %g)",
		strings.Join(stages, " "), max(1, d.Rollout.Caps[0]/d.Rollout.Stages[0]), fromMicros(d.Rollout.Bake), votes, needOn, needBack, style, counts, fromMicros(d.Rollout.Window), d.Rollout.Free)
	w("    (one-way %t) (guarded-stages %d) (push %v) (news-late %v) (list-late %v) (votes-per-second %g) (flags %g) (flags-late %v) (drain %v) (grace %v)",
		d.Rollout.OneWay, d.Rollout.Guarded, fromMicros(d.Rollout.Push), fromMicros(d.Rollout.ToldLate), fromMicros(d.Discovery.Add), d.Rollout.Calls, d.Rollout.Flags, fromMicros(d.Rollout.FlagLate),
		fromMicros(d.Rollout.Drain), fromMicros(d.DrainGrace))
	if votes == "clocked" {
		w("    (need-hold %d) (stage-time %v)", needOn, fromMicros(d.Rollout.Step))
	}
	if d.Rollout.Tally > 0 {
		w("    (tally-every %v) (tally-sample %g)", fromMicros(d.Rollout.Tally), d.Rollout.TallySample)
	}
	w("  )")
	for _, r := range d.Rollout.Releases {
		f, known := importedFlaws[r.Bad]
		if !known {
			drop("a build that is bad by %q: a good one", r.Bad)
			f = importedFlaws[""]
		}
		product := ""
		if f.flaw == "product" {
			product = fmt.Sprintf(" (product %q)", d.Classes[r.Class].Name)
		}
		w("  (offer (at %v) (flaw %s) (strength %.3f) (speed %.3f)%s)", fromMicros(r.At).Round(time.Millisecond), f.flaw, f.low+(f.top-f.low)*r.Strength, r.Speed, product)
	}
	for _, t := range d.Troubles {
		when := fmt.Sprintf("(at %v) (for %v)", fromMicros(t.At).Round(time.Millisecond), fromMicros(t.Len).Round(time.Millisecond))
		n := len(t.On)
		many := min(machines, max(1, int(math.Round(float64(n)/float64(len(d.Servers))*float64(machines)))))
		some := min(sentries, max(1, int(math.Round(float64(n)/float64(len(d.Balancers))*float64(sentries)))))
		switch t.Kind {
		case "bad_build": // stands with the releases
		case "crash", "hang", "vanish":
			w("  (trouble %s %s (many %d))", t.Kind, when, many)
		case "slow", "neighbour":
			w("  (trouble %s %s (many %d) (size %.3f))", t.Kind, when, many, t.Size)
		case "fast_errors":
			w("  (trouble fast-errors %s (many %d) (size %.3f))", when, many, t.Size)
		case "false_reports":
			var on []string
			for i := 0; i < many; i++ {
				on = append(on, fmt.Sprint((i*7+3)%machines))
			}
			w("  (trouble false-reports %s (on %s))", when, strings.Join(on, " "))
			w("  (trouble slow %s (on %s) (size %.3f))", when, strings.Join(on, " "), max(1, t.Extra))
		case "handshake_slow":
			w("  (trouble costly-connect %s (many %d) (size %.0f))", when, many, min(200, t.Size))
		case "burst":
			w("  (trouble burst %s (size %.3f))", when, t.Size)
		case "give_up":
			w("  (trouble give-up %s (size %.3f))", when, min(1, t.Extra))
		case "bad_requests":
			w("  (trouble bad-requests %s (size %.3f))", when, t.Size*0.2)
		case "report_late":
			w("  (trouble late-news %s (size %.3f))", when, t.Size)
		case "control_down":
			if t.How == "stale" {
				w("  (trouble late-news %s (size %.3f))", when, t.Size)
			} else {
				w("  (trouble stalled %s)", when)
			}
		case "balancer_crash":
			w("  (trouble sentry-kill %s (many %d))", when, some)
		case "balancer_roll":
			w("  (trouble sentry-roll %s (many %d))", when, sentries)
		default:
			drop("trouble %s at %v: there is no counterpart", t.Kind, fromMicros(t.At).Round(time.Millisecond))
		}
	}
	w(")")
	head := fmt.Sprintf("; imported from a day of %s (%s): %d of %d places, %d of %d sentries\n", d.Site, d.Kind, machines, d.Rollout.Places, sentries,
		len(d.Balancers))
	sort.Strings(left)
	for _, l := range left {
		head += "; not carried over: " + l + "\n"
	}
	text = head + b.String()
	if _, err := ParseDay(path, text); err != nil {
		return "", nil, fmt.Errorf("import %s: the day does not hold: %w", path, err)
	}
	return text, left, nil
}

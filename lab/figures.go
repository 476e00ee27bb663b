package lab

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dunegrade/fleet"
)

// ProductFigures is how one product fared. Counts are of first tries; what repeats brought is theirs.
type ProductFigures struct {
	Name      string
	Asked     int
	InTime    int
	Late      int
	Declined  int
	Voided    int
	Lost      int // neither answered nor declined nor voided: the edge was away, or the client left
	Wrong     int
	P50       float64 // ms, of answers that settled
	P99       float64
	Revenue   float64 // earned over asked
	histogram *hdrhistogram.Histogram
}

// BuildFigures is how a build fared.
type BuildFigures struct {
	Number      int
	Flaw        string
	Strength    float64
	Offered     float64 // seconds
	Back        float64 // seconds from the offer to the call back; 0: none
	Released    float64
	Submissions int
	Harm        float64 // share of all revenue in wrong answers and failed effects at it
}

// Figures are what a run came to.
type Figures struct {
	Day        string
	Seed       int64
	Edge       string
	Txns       int
	Retries    int
	Revenue    float64 // earned within the SLA time over asked, late answers at their share
	WorstFive  float64 // the same over the worst 5 s
	Harm       float64
	Behind     float64 // seconds by which the latest arrival was sent late: the client's own trouble
	Work       float64 // submissions for each txn
	Falls      int
	Products   []ProductFigures
	Builds     []BuildFigures
	Votes      map[string]int
	Violations []string
	Rules      [6]int // breaks by rule
	Series     []Second
}

// Second is one second of the day.
type Second struct {
	Asked, InTime, Late, Declined, Voided, Lost, Trial int
}

// Sum works out the figures of a record.
func Sum(day *Day, rec *Record, edge string, broken []Violation) *Figures {
	f := &Figures{Day: day.Name, Seed: day.Seed, Edge: edge, Votes: map[string]int{}, Falls: len(rec.OverloadFailures), Behind: rec.maxSendDelay.Seconds()}
	f.Series = make([]Second, int(day.Length/time.Second)+1)
	f.Products = make([]ProductFigures, len(day.Products))
	for i, p := range day.Products {
		f.Products[i] = ProductFigures{Name: p.Name, histogram: hdrhistogram.New(1, 120_000_000, 3)}
	}
	tries := map[uint64][]*TxnRecord{}
	for _, t := range rec.Txns {
		tries[t.FirstTryID] = append(tries[t.FirstTryID], t)
		if t.IsRetry {
			f.Retries++
		}
	}
	asked, earned, harm := make([]float64, len(day.Products)), make([]float64, len(day.Products)), 0.0
	window := map[int][2]float64{}
	lineages := make([]uint64, 0, len(tries))
	for id := range tries {
		lineages = append(lineages, id)
	}
	sort.Slice(lineages, func(i, j int) bool { return lineages[i] < lineages[j] })
	for _, id := range lineages {
		list := tries[id]
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
		first, last := list[0], list[len(list)-1]
		if first.Malformed {
			continue
		}
		f.Txns++
		p, spec := &f.Products[first.Product], &day.Products[first.Product]
		p.Asked++
		asked[first.Product] += spec.Revenue
		second := &f.Series[min(len(f.Series)-1, max(0, int(first.SentAt/time.Second)))]
		second.Asked++
		got := 0.0
		switch took := last.AnsweredAt - first.SentAt; {
		case last.Status == 200 && last.WrongAnswer:
			p.Wrong++
			harm += spec.Revenue
		case last.Status == 200:
			p.histogram.RecordValue(min(int64(took/time.Microsecond), 120_000_000))
			if took <= spec.SLA {
				p.InTime++
				second.InTime++
				got = spec.Revenue
			} else {
				p.Late++
				second.Late++
				got = spec.Revenue * spec.LateRevenueShare
			}
		case last.Outcome == "declined":
			p.Declined++
			second.Declined++
		case last.Outcome == "voided":
			p.Voided++
			second.Voided++
		default:
			p.Lost++
			second.Lost++
		}
		earned[first.Product] += got
		w := window[int(first.SentAt/(5*time.Second))]
		window[int(first.SentAt/(5*time.Second))] = [2]float64{w[0] + got, w[1] + spec.Revenue}
	}
	allAsked, allEarned := 0.0, 0.0
	for i := range f.Products {
		p := &f.Products[i]
		allAsked, allEarned = allAsked+asked[i], allEarned+earned[i]
		if asked[i] > 0 {
			p.Revenue = earned[i] / asked[i]
		}
		p.P50, p.P99 = float64(p.histogram.ValueAtQuantile(50))/1000, float64(p.histogram.ValueAtQuantile(99))/1000
	}
	f.Revenue, f.WorstFive = allEarned/max(allAsked, 1e-9), 1
	for _, w := range window {
		if w[1] > 0.02*allAsked*5/max(5, day.Length.Seconds()) {
			f.WorstFive = min(f.WorstFive, w[0]/w[1])
		}
	}
	f.builds(day, rec, allAsked, &harm)
	f.Harm = harm / max(allAsked, 1e-9)
	f.Work = float64(len(rec.Submissions)) / max(1, float64(len(rec.Txns)))
	for _, v := range rec.Votes {
		f.Votes[v.Verdict]++
	}
	for _, v := range broken {
		f.Rules[v.Rule]++
		if len(f.Violations) < 50 {
			f.Violations = append(f.Violations, v.String())
		}
	}
	return f
}

func (f *Figures) builds(day *Day, rec *Record, asked float64, harm *float64) {
	byID := map[uint64]*TxnRecord{}
	for _, t := range rec.Txns {
		byID[t.ID] = t
	}
	per := map[int]*BuildFigures{}
	for _, b := range rec.builds {
		b := b
		per[b.Number] = &b
	}
	bad := map[int]bool{}
	for n, b := range per {
		bad[n] = b.Flaw != string(fleet.NoFlaw)
	}
	for _, a := range rec.Submissions {
		t := byID[a.Txn]
		if t == nil {
			continue
		}
		if b := per[a.Build]; b != nil {
			b.Submissions++
		}
		if n := int(a.ReceivedAt / time.Second); rec.newestAt(a.ReceivedAt) == a.Build && a.Build > 1 && n < len(f.Series) {
			f.Series[n].Trial++
		}
		if bad[a.Build] && a.Result == "failed" && day.Products[t.Product].Effect != "inquiry-like" {
			*harm += day.Products[t.Product].Revenue
			per[a.Build].Harm += day.Products[t.Product].Revenue / asked
		}
	}
	for _, b := range per {
		f.Builds = append(f.Builds, *b)
	}
	sort.Slice(f.Builds, func(i, j int) bool { return f.Builds[i].Number < f.Builds[j].Number })
}

// newestAt is the newest build offered by a moment.
func (r *Record) newestAt(when time.Duration) int {
	n := 1
	for _, b := range r.builds {
		if b.Offered <= when.Seconds() {
			n = max(n, b.Number)
		}
	}
	return n
}

// Table prints the figures for a terminal.
func (f *Figures) Table(w io.Writer) {
	fmt.Fprintf(w, "\n%s, seed %d, %s: %d txns, revenue in time %.3f, worst 5 s %.3f, harm %.4f, %.3f submissions a txn\n\n", f.Day, f.Seed, f.Edge,
		f.Txns, f.Revenue, f.WorstFive, f.Harm, f.Work)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "product\tasked\tin time\tlate\tdeclined\tvoided\tlost\twrong\tp50 ms\tp99 ms\trevenue\t")
	for _, p := range f.Products {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.3f\t\n", p.Name, p.Asked, p.InTime, p.Late, p.Declined, p.Voided, p.Lost, p.Wrong,
			p.P50, p.P99, p.Revenue)
	}
	t.Flush()
	for _, b := range f.Builds {
		fate := "neither back nor released"
		switch {
		case b.Released > 0 && b.Back > 0:
			fate = fmt.Sprintf("released, and back %.1f s after its offer", b.Back)
		case b.Back > 0:
			fate = fmt.Sprintf("back %.1f s after its offer", b.Back)
		case b.Released > 0:
			fate = fmt.Sprintf("released %.1f s after its offer", b.Released)
		}
		fmt.Fprintf(w, "build %d (%s %g): %s; %d submissions, harm %.4f\n", b.Number, b.Flaw, b.Strength, fate, b.Submissions, b.Harm)
	}
	fmt.Fprintf(w, "votes that reached the platform: on %d, back %d\n", f.Votes["on"], f.Votes["back"])
	if f.Behind > 0.05 {
		fmt.Fprintf(w, "the client sent as much as %.0f ms late: the machine is too busy for this day\n", f.Behind*1000)
	}
	sum := 0
	for _, n := range f.Rules {
		sum += n
	}
	if sum == 0 {
		fmt.Fprintln(w, "rules: all five kept")
		return
	}
	fmt.Fprintf(w, "rules BROKEN: 1 answers %d, 2 effects %d, 3 drains %d, 4 cold workers %d, 5 exposure %d\n", f.Rules[1], f.Rules[2], f.Rules[3],
		f.Rules[4], f.Rules[5])
	for i, v := range f.Violations {
		if i == 5 {
			fmt.Fprintf(w, "  ... %d more in the report\n", sum-5)
			break
		}
		fmt.Fprintf(w, "  %s\n", v)
	}
}

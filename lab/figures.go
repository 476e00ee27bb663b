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

const (
	// maxLatencyMicros is the longest latency that histograms distinguish.
	maxLatencyMicros = 120_000_000
	// worstWindowSeconds is the length of the windows among which Figures.WorstFive is the worst.
	worstWindowSeconds = 5
	// minWindowShare is the minimum revenue asked for in a window, as a share of the mean, for Figures.WorstFive to consider
	// the window.
	minWindowShare = 0.02
	// maxReportedViolations limits the violations listed in a report.
	maxReportedViolations = 50
	// maxPrintedViolations limits the violations listed on the terminal.
	maxPrintedViolations = 5
	// maxSendDelaySeconds is the send delay of the clients above which the machine is reported as too busy for the day.
	maxSendDelaySeconds = 0.05
)

// ProductFigures holds the results of one product. A txn counts once, with the result of its last try.
type ProductFigures struct {
	Name      string
	Asked     int
	InTime    int
	Late      int
	Declined  int
	Voided    int
	Lost      int // not answered: the edge was down, or the client left
	Wrong     int
	P50       float64 // latency of settled txns, ms
	P99       float64
	Revenue   float64 // share of the revenue asked for that was earned
	histogram *hdrhistogram.Histogram
}

// BuildFigures holds the results of a build.
type BuildFigures struct {
	Number      int
	Flaw        string
	Strength    float64
	Offered     float64 // seconds since the start of the day
	Back        float64 // seconds from the offer until the build went back; 0: it did not go back
	Released    float64 // seconds from the offer until the release; 0: not released
	Submissions int
	Harm        float64 // share of all revenue that the build lost by failing txns with an effect
}

// Figures holds the results of a run.
type Figures struct {
	Day        string
	Seed       int64
	Edge       string
	Txns       int // without retries and malformed txns
	Retries    int
	Revenue    float64 // share of the revenue asked for that was earned; late answers earn their product's share
	WorstFive  float64 // Revenue of the worst 5 s
	Harm       float64 // share of the revenue asked for in wrong answers and in effects that flawed builds failed
	Behind     float64 // maximum delay between a txn's scheduled time and its sending, in seconds; caused by the clients' machine
	Work       float64 // submissions per try of a txn
	Falls      int     // failures of cold workers from overload
	Products   []ProductFigures
	Builds     []BuildFigures
	Votes      map[string]int // votes that the platform received, by verdict
	Violations []string
	Rules      [6]int // violations by rule; index 0 is unused
	Series     []Second
}

// Second counts the txns sent within one second of the day by result, and the submissions to the newest build.
type Second struct {
	Asked, InTime, Late, Declined, Voided, Lost, Trial int
}

// ComputeFigures computes the figures of a record. edge names the kind of edge that was run.
func ComputeFigures(day *Day, rec *Record, edge string, violations []Violation) *Figures {
	figures := &Figures{Day: day.Name, Seed: day.Seed, Edge: edge, Votes: map[string]int{}, Falls: len(rec.OverloadFailures),
		Behind: rec.maxSendDelay.Seconds()}
	figures.Series = make([]Second, int(day.Length/time.Second)+1)
	figures.Products = make([]ProductFigures, len(day.Products))
	for i, product := range day.Products {
		figures.Products[i] = ProductFigures{Name: product.Name, histogram: hdrhistogram.New(1, maxLatencyMicros, 3)}
	}
	tries := map[uint64][]*TxnRecord{}
	for _, txn := range rec.Txns {
		tries[txn.FirstTryID] = append(tries[txn.FirstTryID], txn)
		if txn.IsRetry {
			figures.Retries++
		}
	}
	asked, earned, harm := make([]float64, len(day.Products)), make([]float64, len(day.Products)), 0.0
	windows := map[int][2]float64{} // revenue earned and asked for, by window
	firstIDs := make([]uint64, 0, len(tries))
	for id := range tries {
		firstIDs = append(firstIDs, id)
	}
	sort.Slice(firstIDs, func(i, j int) bool { return firstIDs[i] < firstIDs[j] })
	for _, id := range firstIDs {
		ordered := tries[id]
		sort.Slice(ordered, func(i, j int) bool { return ordered[i].ID < ordered[j].ID })
		first, last := ordered[0], ordered[len(ordered)-1]
		if first.Malformed {
			continue
		}
		figures.Txns++
		product, productSpec := &figures.Products[first.Product], &day.Products[first.Product]
		product.Asked++
		asked[first.Product] += productSpec.Revenue
		second := &figures.Series[min(len(figures.Series)-1, max(0, int(first.SentAt/time.Second)))]
		second.Asked++
		revenue := 0.0
		switch latency := last.AnsweredAt - first.SentAt; {
		case last.Status == 200 && last.WrongAnswer:
			product.Wrong++
			harm += productSpec.Revenue
		case last.Status == 200:
			product.histogram.RecordValue(min(int64(latency/time.Microsecond), maxLatencyMicros))
			if latency <= productSpec.SLA {
				product.InTime++
				second.InTime++
				revenue = productSpec.Revenue
			} else {
				product.Late++
				second.Late++
				revenue = productSpec.Revenue * productSpec.LateRevenueShare
			}
		case last.Outcome == "declined":
			product.Declined++
			second.Declined++
		case last.Outcome == "voided":
			product.Voided++
			second.Voided++
		default:
			product.Lost++
			second.Lost++
		}
		earned[first.Product] += revenue
		window := windows[int(first.SentAt/(worstWindowSeconds*time.Second))]
		windows[int(first.SentAt/(worstWindowSeconds*time.Second))] = [2]float64{window[0] + revenue, window[1] + productSpec.Revenue}
	}
	totalAsked, totalEarned := 0.0, 0.0
	for i := range figures.Products {
		product := &figures.Products[i]
		totalAsked, totalEarned = totalAsked+asked[i], totalEarned+earned[i]
		if asked[i] > 0 {
			product.Revenue = earned[i] / asked[i]
		}
		product.P50, product.P99 = float64(product.histogram.ValueAtQuantile(50))/1000, float64(product.histogram.ValueAtQuantile(99))/1000
	}
	figures.Revenue, figures.WorstFive = totalEarned/max(totalAsked, 1e-9), 1
	for _, window := range windows {
		if window[1] > minWindowShare*totalAsked*worstWindowSeconds/max(worstWindowSeconds, day.Length.Seconds()) {
			figures.WorstFive = min(figures.WorstFive, window[0]/window[1])
		}
	}
	figures.addBuilds(day, rec, totalAsked, &harm)
	figures.Harm = harm / max(totalAsked, 1e-9)
	figures.Work = float64(len(rec.Submissions)) / max(1, float64(len(rec.Txns)))
	for _, vote := range rec.Votes {
		figures.Votes[vote.Verdict]++
	}
	for _, violation := range violations {
		figures.Rules[violation.Rule]++
		if len(figures.Violations) < maxReportedViolations {
			figures.Violations = append(figures.Violations, violation.String())
		}
	}
	return figures
}

// addBuilds adds the figures of each build, and to harm the revenue of the txns with an effect that flawed builds failed.
func (f *Figures) addBuilds(day *Day, rec *Record, totalAsked float64, harm *float64) {
	txnsByID := map[uint64]*TxnRecord{}
	for _, txn := range rec.Txns {
		txnsByID[txn.ID] = txn
	}
	buildsByNumber := map[int]*BuildFigures{}
	for _, build := range rec.builds {
		build := build
		buildsByNumber[build.Number] = &build
	}
	flawed := map[int]bool{}
	for number, build := range buildsByNumber {
		flawed[number] = build.Flaw != string(fleet.NoFlaw)
	}
	for _, submission := range rec.Submissions {
		txn := txnsByID[submission.Txn]
		if txn == nil {
			continue
		}
		if build := buildsByNumber[submission.Build]; build != nil {
			build.Submissions++
		}
		if second := int(submission.ReceivedAt / time.Second); rec.newestBuildAt(submission.ReceivedAt) == submission.Build &&
			submission.Build > 1 && second < len(f.Series) {
			f.Series[second].Trial++
		}
		if flawed[submission.Build] && submission.Result == "failed" && day.Products[txn.Product].Effect != "inquiry-like" {
			*harm += day.Products[txn.Product].Revenue
			buildsByNumber[submission.Build].Harm += day.Products[txn.Product].Revenue / totalAsked
		}
	}
	for _, build := range buildsByNumber {
		f.Builds = append(f.Builds, *build)
	}
	sort.Slice(f.Builds, func(i, j int) bool { return f.Builds[i].Number < f.Builds[j].Number })
}

// newestBuildAt returns the number of the newest build that was offered by a time.
func (r *Record) newestBuildAt(at time.Duration) int {
	newest := 1
	for _, build := range r.builds {
		if build.Offered <= at.Seconds() {
			newest = max(newest, build.Number)
		}
	}
	return newest
}

// WriteTable writes the figures as text for a terminal.
func (f *Figures) WriteTable(w io.Writer) {
	fmt.Fprintf(w, "\n%s, seed %d, %s: %d txns, revenue in time %.3f, worst 5 s %.3f, harm %.4f, %.3f submissions a txn\n\n",
		f.Day, f.Seed, f.Edge, f.Txns, f.Revenue, f.WorstFive, f.Harm, f.Work)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "product\tasked\tin time\tlate\tdeclined\tvoided\tlost\twrong\tp50 ms\tp99 ms\trevenue\t")
	for _, product := range f.Products {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.3f\t\n", product.Name, product.Asked, product.InTime, product.Late,
			product.Declined, product.Voided, product.Lost, product.Wrong, product.P50, product.P99, product.Revenue)
	}
	table.Flush()
	for _, build := range f.Builds {
		outcome := "neither back nor released"
		switch {
		case build.Released > 0 && build.Back > 0:
			outcome = fmt.Sprintf("released, and back %.1f s after its offer", build.Back)
		case build.Back > 0:
			outcome = fmt.Sprintf("back %.1f s after its offer", build.Back)
		case build.Released > 0:
			outcome = fmt.Sprintf("released %.1f s after its offer", build.Released)
		}
		fmt.Fprintf(w, "build %d (%s %g): %s; %d submissions, harm %.4f\n", build.Number, build.Flaw, build.Strength, outcome,
			build.Submissions, build.Harm)
	}
	fmt.Fprintf(w, "votes that reached the platform: on %d, back %d\n", f.Votes["on"], f.Votes["back"])
	if f.Behind > maxSendDelaySeconds {
		fmt.Fprintf(w, "the client sent as much as %.0f ms late: the machine is too busy for this day\n", f.Behind*1000)
	}
	violations := 0
	for _, n := range f.Rules {
		violations += n
	}
	if violations == 0 {
		fmt.Fprintln(w, "rules: all five kept")
		return
	}
	fmt.Fprintf(w, "rules BROKEN: 1 answers %d, 2 effects %d, 3 drains %d, 4 cold workers %d, 5 exposure %d\n", f.Rules[1], f.Rules[2], f.Rules[3],
		f.Rules[4], f.Rules[5])
	for i, violation := range f.Violations {
		if i == maxPrintedViolations {
			fmt.Fprintf(w, "  ... %d more in the report\n", violations-maxPrintedViolations)
			break
		}
		fmt.Fprintf(w, "  %s\n", violation)
	}
}

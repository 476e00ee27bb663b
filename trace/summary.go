package trace

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/protobuf/proto"

	"dunegrade/logic"
	"dunegrade/trace/tracepb"
)

// Summary holds statistics over several runs.
type Summary struct {
	Lives    int // number of runs
	Records  int
	Missing  uint64 // number of txns that were not recorded
	First    time.Time
	Last     time.Time
	Products []*ProductStats
	Workers  []*SubmissionStats
	Builds   []*SubmissionStats
	Votes    map[string]int // number of votes by verdict
	LeftOut  uint64         `json:",omitempty"` // number of settled txns, of all products, that sampling left out
	Series   []Bucket       // by second
	Tests    []VerdictTest
	Exposure []*Exposure
}

// Bucket holds the statistics of one second.
type Bucket struct {
	At         time.Time
	Taken      int
	Settled    int
	Declined   int
	Voided     int
	Left       int
	Trial      int     // ended submissions to the build on trial
	TrialBad   int     // those of Trial that did not end in OK
	Others     int     // ended submissions to other builds
	OthersBad  int     // those of Others that did not end in OK
	TrialTime  float64 // mean duration of OK submissions to the build on trial, ms
	OthersTime float64 // mean duration of OK submissions to other builds, ms
	Cap        float64 // largest cap in force at any sentry
}

// VerdictTest is the result of a sentry's statistical test at the time of a verdict.
type VerdictTest struct {
	At      time.Time
	Sentry  uint32
	Verdict string
	Build   int
	Pairs   float64 // number of pairs compared, weighted by their age
	Against float64 // those of Pairs that the build lost
	For     float64 // those of Pairs that the build won
	P       float64 // p-value
	Spread  float64 // p-value without the worst workers of either side
}

// Exposure describes which part of its allowance for a build on trial a sentry used, in the exposure window in which that
// part was largest.
type Exposure struct {
	Sentry      uint32
	Build       int64
	Submissions int       // number of submissions in the whole run
	Most        int       // number of submissions in the window
	Allowed     float64   // number of submissions allowed in the window
	At          time.Time // end of the window
}

// ProductStats holds statistics on a product's txns.
type ProductStats struct {
	Name        string
	Taken       int
	Settled     int
	Declined    int
	Voided      int
	Left        int
	Open        int // number of txns without a recorded end
	Submissions int
	P50, P99    float64                 // time from taking to settling a txn, ms
	times       *hdrhistogram.Histogram // the same times, µs
}

// SubmissionStats holds statistics on the submissions to a worker or a build.
type SubmissionStats struct {
	Name        string
	Submissions int
	Endings     map[string]int          // number of submissions by ending
	P50, P99    float64                 // duration of OK submissions, ms
	times       *hdrhistogram.Histogram // the same times, µs
}

// maxSummarisedSends limits the submissions of a txn whose outcomes count for a worker and a build.
const maxSummarisedSends = 16

// openTxn is a txn that has not ended or has submissions without an outcome.
type openTxn struct {
	taken       int64 // the sentry's clock, nanoseconds
	product     int
	pending     int                        // number of submissions without an outcome
	workers     [maxSummarisedSends]string // names, by submission
	submissions int
	ended       bool
}

// summariser accumulates a summary, run by run.
type summariser struct {
	summary      *Summary
	workers      map[string]*SubmissionStats
	builds       map[string]*SubmissionStats
	workerBuilds map[string]int64    // build by worker, from the worker list
	open         map[uint64]*openTxn // by id
	products     []string            // names, by index
	wallOffset   int64               // wall clock less the sentry's clock, nanoseconds
	release      tracepb.News        // latest release update
	buckets      map[int64]*Bucket   // by second since 1970
	rules        *sentryChecker      // computes exposure as CheckRules does
	exposure     map[int64]*Exposure // by build
	sentry       uint32
}

// maxDurationMicros is the largest duration in the histograms, one hour in µs. Longer durations count as one hour.
const maxDurationMicros = 3_600_000_000

// verdictTexts names the verdicts by their number in a VOTE record.
var verdictTexts = map[uint32]string{0: "none", 1: "on", 2: "hold", 3: "back"}

// Summarise computes statistics over the runs. It skips damaged parts and passes them to onDamage.
func Summarise(runs []*Run, onDamage func(path string, d Damage)) (*Summary, error) {
	s := &summariser{buckets: map[int64]*Bucket{}, summary: &Summary{Lives: len(runs), Votes: map[string]int{}},
		workers: map[string]*SubmissionStats{}, builds: map[string]*SubmissionStats{}}
	productStats := map[string]*ProductStats{}
	for _, l := range runs {
		s.workerBuilds, s.open = map[string]int64{}, map[uint64]*openTxn{}
		s.products = l.Headers[0].Products
		for _, n := range s.products {
			if productStats[n] == nil {
				productStats[n] = &ProductStats{Name: n, times: hdrhistogram.New(1, maxDurationMicros, 3)}
				s.summary.Products = append(s.summary.Products, productStats[n])
			}
		}
		s.wallOffset = l.Headers[0].Wall - l.Headers[0].Start
		s.release.Reset()
		s.exposure, s.sentry = map[int64]*Exposure{}, l.Sentry
		var err error
		if s.rules, err = newSentryChecker(l, RulesOptions{}, &RulesReport{}); err != nil {
			return nil, err
		}
		err = l.Each(func(r *Record, names []string) bool {
			if r.Kind == tracepb.Kind_BACK || r.Kind == tracepb.Kind_WORKER {
				return true
			}
			at := time.Unix(0, r.At+s.wallOffset).UTC()
			if s.summary.First.IsZero() || at.Before(s.summary.First) {
				s.summary.First = at
			}
			if at.After(s.summary.Last) {
				s.summary.Last = at
			}
			s.summary.Records++
			s.addRecord(r, names, productStats)
			return true
		}, onDamage)
		if err != nil {
			return nil, err
		}
		for _, build := range slices.Sorted(maps.Keys(s.exposure)) {
			s.summary.Exposure = append(s.summary.Exposure, s.exposure[build])
		}
		for _, txn := range s.open {
			if !txn.ended {
				productStats[s.products[txn.product]].Open++
			}
		}
	}
	for _, p := range s.summary.Products {
		p.P50, p.P99 = medianAndP99(p.times)
	}
	s.summary.Workers, s.summary.Builds = sortedStats(s.workers), sortedStats(s.builds)
	for _, at := range slices.Sorted(maps.Keys(s.buckets)) {
		b := s.buckets[at]
		b.TrialTime /= float64(max(1, b.Trial-b.TrialBad))
		b.OthersTime /= float64(max(1, b.Others-b.OthersBad))
		s.summary.Series = append(s.summary.Series, *b)
	}
	sort.SliceStable(s.summary.Tests, func(i, j int) bool { return s.summary.Tests[i].At.Before(s.summary.Tests[j].At) })
	return s.summary, nil
}

// medianAndP99 returns quantiles in ms of a histogram in µs.
func medianAndP99(h *hdrhistogram.Histogram) (p50, p99 float64) {
	return float64(h.ValueAtQuantile(50)) / 1000, float64(h.ValueAtQuantile(99)) / 1000
}

// sortedStats computes the quantiles and returns the statistics sorted by name.
func sortedStats(byName map[string]*SubmissionStats) []*SubmissionStats {
	var list []*SubmissionStats
	for _, s := range byName {
		s.P50, s.P99 = medianAndP99(s.times)
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// statsFor returns the statistics of a worker or build, and creates them if there are none.
func statsFor(byName map[string]*SubmissionStats, name string) *SubmissionStats {
	if byName[name] == nil {
		byName[name] = &SubmissionStats{Name: name, Endings: map[string]int{}, times: hdrhistogram.New(1, maxDurationMicros, 3)}
	}
	return byName[name]
}

// addRecord counts one record.
func (s *summariser) addRecord(r *Record, names []string, productStats map[string]*ProductStats) {
	txn := s.open[r.Txn]
	bucket := s.bucketAt(r.At)
	s.updateExposure(r, names)
	switch r.Kind {
	case tracepb.Kind_NEWS, tracepb.Kind_STANDING:
		s.release.Reset()
		proto.Unmarshal(r.Body, &s.release) // if the body is malformed, no release is assumed
		return
	case tracepb.Kind_LEFT_OUT:
		s.summary.LeftOut += r.Token
		return
	case tracepb.Kind_LOG:
		test := VerdictTest{At: time.Unix(0, r.At+s.wallOffset).UTC(), Sentry: s.sentry}
		verdict := uint32(0)
		if n, _ := fmt.Sscanf(r.Text, "vote %d on build %d: %f pairs, %f against, %f for, p %f, spread %f", &verdict, &test.Build,
			&test.Pairs, &test.Against, &test.For, &test.P, &test.Spread); n == 7 {
			test.Verdict = verdictTexts[verdict]
			s.summary.Tests = append(s.summary.Tests, test)
		}
		return
	case tracepb.Kind_LIST:
		var list tracepb.List
		if proto.Unmarshal(r.Body, &list) == nil {
			for _, worker := range list.Workers {
				s.workerBuilds[worker.Id] = worker.Build
			}
		}
		return
	case tracepb.Kind_GAP:
		s.summary.Missing += r.Token
		return
	case tracepb.Kind_VOTE:
		s.summary.Votes[verdictTexts[r.Number]]++
		return
	case tracepb.Kind_TAKE:
		if int(r.Product) < len(s.products) {
			s.open[r.Txn] = &openTxn{taken: r.At, product: int(r.Product)}
			productStats[s.products[r.Product]].Taken++
			bucket.Taken++
		}
		return
	}
	if txn == nil || r.Txn == 0 {
		return
	}
	product := productStats[s.products[txn.product]]
	end := func(count, inBucket *int) {
		if !txn.ended {
			*count++
			*inBucket++
			txn.ended = true
		}
	}
	switch r.Kind {
	case tracepb.Kind_SUBMIT:
		product.Submissions++
		txn.pending++
		if txn.submissions < len(txn.workers) {
			txn.workers[txn.submissions] = names[r.Worker]
		}
		txn.submissions++
		statsFor(s.workers, names[r.Worker]).Submissions++
		statsFor(s.builds, fmt.Sprint(s.workerBuilds[names[r.Worker]])).Submissions++
	case tracepb.Kind_OUTCOME:
		txn.pending--
		if int(r.Number) < len(txn.workers) {
			worker := txn.workers[r.Number]
			s.countOutcome(bucket, r, s.workerBuilds[worker])
			for _, stats := range []*SubmissionStats{statsFor(s.workers, worker), statsFor(s.builds, fmt.Sprint(s.workerBuilds[worker]))} {
				stats.Endings[endingTexts[logic.Ending(r.Ending)]]++
				if logic.Ending(r.Ending) == logic.OK {
					stats.times.RecordValue(min(maxDurationMicros, int64(r.Elapsed/1000)))
				}
			}
		}
		if r.Over && logic.Ending(r.Ending) == logic.OK && !txn.ended {
			end(&product.Settled, &bucket.Settled)
			product.times.RecordValue(min(maxDurationMicros, max(1, (r.At-txn.taken)/1000)))
		}
	case tracepb.Kind_STREAMING:
		end(&product.Settled, &bucket.Settled)
	case tracepb.Kind_DECLINE:
		end(&product.Declined, &bucket.Declined)
	case tracepb.Kind_VOID:
		end(&product.Voided, &bucket.Voided)
	case tracepb.Kind_LEFT:
		end(&product.Left, &bucket.Left)
	}
	if txn.ended && txn.pending == 0 {
		delete(s.open, r.Txn)
	}
}

// bucketAt returns the bucket for a time of the sentry's clock.
func (s *summariser) bucketAt(at int64) *Bucket {
	second := (at + s.wallOffset) / int64(time.Second)
	bucket := s.buckets[second]
	if bucket == nil {
		bucket = &Bucket{At: time.Unix(second, 0).UTC()}
		s.buckets[second] = bucket
	}
	bucket.Cap = max(bucket.Cap, s.release.Cap)
	return bucket
}

// countOutcome counts the end of a submission, either for the build on trial or for the other builds.
func (s *summariser) countOutcome(bucket *Bucket, r *Record, build int64) {
	ending := logic.Ending(r.Ending)
	if ending == logic.Cancelled || ending == logic.Skipped {
		return
	}
	count, bad, sum := &bucket.Others, &bucket.OthersBad, &bucket.OthersTime
	if build == s.release.Build && logic.Phase(s.release.Phase) != logic.Released {
		count, bad, sum = &bucket.Trial, &bucket.TrialBad, &bucket.TrialTime
	}
	*count++
	if ending != logic.OK {
		*bad++
	} else {
		*sum += float64(r.Elapsed) / 1e6
	}
}

// updateExposure keeps, for each build on trial, the exposure window that came nearest to its allowance.
func (s *summariser) updateExposure(r *Record, names []string) {
	rules := s.rules
	if rules.partial {
		return
	}
	trialsBefore := rules.report.Trials
	rules.at = r.At + s.wallOffset
	rules.checkRecord(r, names[r.Worker])
	if rules.report.Trials == trialsBefore {
		return
	}
	worker := rules.workers[names[r.Worker]]
	exposure := s.exposure[worker.build]
	if exposure == nil {
		exposure = &Exposure{Sentry: s.sentry, Build: worker.build, Allowed: 1}
		s.exposure[worker.build] = exposure
	}
	exposure.Submissions++
	if float64(rules.windowTrials)/max(1e-9, rules.windowAllowed) > float64(exposure.Most)/exposure.Allowed {
		exposure.Most, exposure.Allowed, exposure.At = rules.windowTrials, rules.windowAllowed, time.Unix(0, rules.at).UTC()
	}
}

// Print writes the summary as tables.
func (s *Summary) Print(w io.Writer) {
	fmt.Fprintf(w, "%d runs, %d records, %s to %s, %d txns not recorded\n\n", s.Lives, s.Records, s.First.Format(time.RFC3339),
		s.Last.Format(time.RFC3339), s.Missing)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "product\ttaken\tsettled\tdeclined\tvoided\tleft\tno end\tsubmissions a txn\tp50 ms\tp99 ms\t")
	for _, p := range s.Products {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.1f\t%.1f\t\n", p.Name, p.Taken, p.Settled, p.Declined, p.Voided, p.Left, p.Open,
			float64(p.Submissions)/float64(max(1, p.Taken)), p.P50, p.P99)
	}
	t.Flush()
	for _, g := range []struct {
		name string
		list []*SubmissionStats
	}{{"build", s.Builds}, {"worker", s.Workers}} {
		fmt.Fprintln(w)
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintf(t, "%s\tsubmissions\tok\terror\tbroke\ttimed out\tcalled off\tturned away\tno connection\tp50 ms\tp99 ms\t\n", g.name)
		for _, p := range g.list {
			e := p.Endings
			fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t\n", p.Name, p.Submissions, e["ok"], e["error"], e["connection broke"], e["timed out"],
				e["called off"], e["turned away unseen"], e["no connection"], p.P50, p.P99)
		}
		t.Flush()
	}
	if s.LeftOut > 0 {
		fmt.Fprintf(w, "\nsampled: %d more txns settled and are not in the files\n", s.LeftOut)
	}
	fmt.Fprintf(w, "\nvotes: %v\n", s.Votes)
	for _, e := range s.Exposure {
		fmt.Fprintf(w, "sentry %d, build %d on trial: %d submissions; nearest to the cap %d of %.1f allowed, at %s\n", e.Sentry, e.Build, e.Submissions,
			e.Most, e.Allowed, e.At.Format(time.RFC3339Nano))
	}
	for _, t := range s.Tests {
		fmt.Fprintf(w, "%s sentry %d: %s on build %d, %.0f pairs, %.1f against, %.1f for, p %.4f\n", t.At.Format("15:04:05.000"), t.Sentry, t.Verdict, t.Build,
			t.Pairs, t.Against, t.For, t.P)
	}
}

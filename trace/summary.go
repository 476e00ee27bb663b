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

// Summary is what some lives come to.
type Summary struct {
	Lives    int
	Records  int
	Missing  uint64 // txns that were not recorded
	First    time.Time
	Last     time.Time
	Products []*ProductSum
	Workers  []*PartSum
	Builds   []*PartSum
	Votes    map[string]int
	LeftOut  uint64 `json:",omitempty"` // by sampling: txns that ended well, of all products together
	Series   []Bucket
	Tests    []Test
	Exposure []*Exposure
}

// Bucket is what happened within a second (or more, where that makes many).
type Bucket struct {
	At                                     time.Time
	Taken, Settled, Declined, Voided, Left int
	Trial, TrialBad, Others, OthersBad     int     // submissions that ended: at builds on trial, and elsewhere
	TrialTime, OthersTime                  float64 // ms, mean of those that were fine
	Cap                                    float64 // the largest that a sentry was told
}

// Test is what a sentry's test said when it came to a verdict.
type Test struct {
	At                             time.Time
	Sentry                         uint32
	Verdict                        string
	Build                          int
	Pairs, Against, For, P, Spread float64
}

// Exposure is how much of a build on trial a sentry used, in the window where it used the largest part of what it may.
type Exposure struct {
	Sentry      uint32
	Build       int64
	Submissions int     // in all
	Most        int     // in that window
	Allowed     float64 // then
	At          time.Time
}

// ProductSum is how a product's txns went.
type ProductSum struct {
	Name                                  string
	Taken                                 int
	Settled, Declined, Voided, Left, Open int // Open: their end was not recorded
	Submissions                           int
	P50, P99                              float64 // ms from taken to settled
	times                                 *hdrhistogram.Histogram
}

// PartSum is how the submissions at a worker, or at a build, ended.
type PartSum struct {
	Name        string
	Submissions int
	Endings     map[string]int
	P50, P99    float64 // ms, of those that were fine
	times       *hdrhistogram.Histogram
}

type openTxn struct {
	taken   int64
	product int
	out     int
	sent    [16]string // worker by submission
	n       int
	over    bool
}

// summing gathers a summary.
type summing struct {
	out     *Summary
	workers map[string]*PartSum
	builds  map[string]*PartSum
	build   map[string]int64 // of a worker, by the list
	open    map[uint64]*openTxn
	names   []string
	offset  int64
	news    tracepb.News
	buckets map[int64]*Bucket
	ruled   *ruled // counts exposure as the rule does
	spent   map[int64]*Exposure
	sentry  uint32
}

var verdictTexts = map[uint32]string{0: "none", 1: "on", 2: "hold", 3: "back"}

// Summarise reads some lives. Damage is passed over and named to hurt.
func Summarise(lives []*Life, hurt func(path string, d Damage)) (*Summary, error) {
	s := &summing{buckets: map[int64]*Bucket{}, out: &Summary{Lives: len(lives), Votes: map[string]int{}}, workers: map[string]*PartSum{}, builds: map[string]*PartSum{}}
	byName := map[string]*ProductSum{}
	for _, l := range lives {
		s.build, s.open = map[string]int64{}, map[uint64]*openTxn{}
		s.names = l.Headers[0].Products
		for _, n := range s.names {
			if byName[n] == nil {
				byName[n] = &ProductSum{Name: n, times: hdrhistogram.New(1, 3_600_000_000, 3)}
				s.out.Products = append(s.out.Products, byName[n])
			}
		}
		s.offset = l.Headers[0].Wall - l.Headers[0].Start
		s.news.Reset()
		s.spent, s.sentry = map[int64]*Exposure{}, l.Sentry
		var err error
		if s.ruled, err = newRuled(l, RulesPlan{}, &RulesReport{}); err != nil {
			return nil, err
		}
		err = l.Each(func(r *Record, names []string) bool {
			if r.Kind == tracepb.Kind_BACK || r.Kind == tracepb.Kind_WORKER {
				return true
			}
			when := time.Unix(0, r.At+s.offset).UTC()
			if s.out.First.IsZero() || when.Before(s.out.First) {
				s.out.First = when
			}
			if when.After(s.out.Last) {
				s.out.Last = when
			}
			s.out.Records++
			s.add(r, names, byName)
			return true
		}, hurt)
		if err != nil {
			return nil, err
		}
		for _, build := range slices.Sorted(maps.Keys(s.spent)) {
			s.out.Exposure = append(s.out.Exposure, s.spent[build])
		}
		for _, x := range s.open {
			if !x.over {
				byName[s.names[x.product]].Open++
			}
		}
	}
	for _, p := range s.out.Products {
		p.P50, p.P99 = quantiles(p.times)
	}
	s.out.Workers, s.out.Builds = sorted(s.workers), sorted(s.builds)
	for _, at := range slices.Sorted(maps.Keys(s.buckets)) {
		b := s.buckets[at]
		b.TrialTime /= float64(max(1, b.Trial-b.TrialBad))
		b.OthersTime /= float64(max(1, b.Others-b.OthersBad))
		s.out.Series = append(s.out.Series, *b)
	}
	sort.SliceStable(s.out.Tests, func(i, j int) bool { return s.out.Tests[i].At.Before(s.out.Tests[j].At) })
	return s.out, nil
}

func quantiles(h *hdrhistogram.Histogram) (p50, p99 float64) {
	return float64(h.ValueAtQuantile(50)) / 1000, float64(h.ValueAtQuantile(99)) / 1000
}

func sorted(m map[string]*PartSum) []*PartSum {
	var out []*PartSum
	for _, p := range m {
		p.P50, p.P99 = quantiles(p.times)
		out = append(out, p)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func part(m map[string]*PartSum, name string) *PartSum {
	if m[name] == nil {
		m[name] = &PartSum{Name: name, Endings: map[string]int{}, times: hdrhistogram.New(1, 3_600_000_000, 3)}
	}
	return m[name]
}

func (s *summing) add(r *Record, names []string, byName map[string]*ProductSum) {
	x := s.open[r.Txn]
	b := s.bucket(r.At)
	s.exposed(r, names)
	switch r.Kind {
	case tracepb.Kind_NEWS, tracepb.Kind_STANDING:
		s.news.Reset()
		proto.Unmarshal(r.Body, &s.news) // what cannot be read tells nothing
		return
	case tracepb.Kind_LEFT_OUT:
		s.out.LeftOut += r.Token
		return
	case tracepb.Kind_LOG:
		t := Test{At: time.Unix(0, r.At+s.offset).UTC(), Sentry: s.sentry}
		verdict := uint32(0)
		if n, _ := fmt.Sscanf(r.Text, "vote %d on build %d: %f pairs, %f against, %f for, p %f, spread %f", &verdict, &t.Build, &t.Pairs, &t.Against, &t.For,
			&t.P, &t.Spread); n == 7 {
			t.Verdict = verdictTexts[verdict]
			s.out.Tests = append(s.out.Tests, t)
		}
		return
	case tracepb.Kind_LIST:
		var l tracepb.List
		if proto.Unmarshal(r.Body, &l) == nil {
			for _, w := range l.Workers {
				s.build[w.Id] = w.Build
			}
		}
		return
	case tracepb.Kind_GAP:
		s.out.Missing += r.Token
		return
	case tracepb.Kind_VOTE:
		s.out.Votes[verdictTexts[r.Number]]++
		return
	case tracepb.Kind_TAKE:
		if int(r.Product) < len(s.names) {
			s.open[r.Txn] = &openTxn{taken: r.At, product: int(r.Product)}
			byName[s.names[r.Product]].Taken++
			b.Taken++
		}
		return
	}
	if x == nil || r.Txn == 0 {
		return
	}
	p := byName[s.names[x.product]]
	end := func(count, inBucket *int) {
		if !x.over {
			*count++
			*inBucket++
			x.over = true
		}
	}
	switch r.Kind {
	case tracepb.Kind_SUBMIT:
		p.Submissions++
		x.out++
		if x.n < len(x.sent) {
			x.sent[x.n] = names[r.Worker]
		}
		x.n++
		part(s.workers, names[r.Worker]).Submissions++
		part(s.builds, fmt.Sprint(s.build[names[r.Worker]])).Submissions++
	case tracepb.Kind_OUTCOME:
		x.out--
		if int(r.Number) < len(x.sent) {
			w := x.sent[r.Number]
			s.ended(b, r, s.build[w])
			for _, q := range []*PartSum{part(s.workers, w), part(s.builds, fmt.Sprint(s.build[w]))} {
				q.Endings[endingTexts[logic.Ending(r.Ending)]]++
				if logic.Ending(r.Ending) == logic.OK {
					q.times.RecordValue(min(3_600_000_000, int64(r.Elapsed/1000)))
				}
			}
		}
		if r.Over && logic.Ending(r.Ending) == logic.OK && !x.over {
			end(&p.Settled, &b.Settled)
			p.times.RecordValue(min(3_600_000_000, max(1, (r.At-x.taken)/1000)))
		}
	case tracepb.Kind_STREAMING:
		end(&p.Settled, &b.Settled)
	case tracepb.Kind_DECLINE:
		end(&p.Declined, &b.Declined)
	case tracepb.Kind_VOID:
		end(&p.Voided, &b.Voided)
	case tracepb.Kind_LEFT:
		end(&p.Left, &b.Left)
	}
	if x.over && x.out == 0 {
		delete(s.open, r.Txn)
	}
}

// bucket gives the one of a moment.
func (s *summing) bucket(at int64) *Bucket {
	second := (at + s.offset) / int64(time.Second)
	b := s.buckets[second]
	if b == nil {
		b = &Bucket{At: time.Unix(second, 0).UTC()}
		s.buckets[second] = b
	}
	b.Cap = max(b.Cap, s.news.Cap)
	return b
}

// ended counts the end of a submission for its build's side of the trial.
func (s *summing) ended(b *Bucket, r *Record, build int64) {
	e := logic.Ending(r.Ending)
	if e == logic.Cancelled || e == logic.Skipped {
		return
	}
	many, bad, sum := &b.Others, &b.OthersBad, &b.OthersTime
	if build == s.news.Build && logic.Phase(s.news.Phase) != logic.Released {
		many, bad, sum = &b.Trial, &b.TrialBad, &b.TrialTime
	}
	*many++
	if e != logic.OK {
		*bad++
	} else {
		*sum += float64(r.Elapsed) / 1e6
	}
}

// exposed keeps, for each build on trial, the window that came nearest to what is allowed.
func (s *summing) exposed(r *Record, names []string) {
	u := s.ruled
	if u.partial {
		return
	}
	before := u.out.Trials
	u.at = r.At + s.offset
	u.record(r, names[r.Worker])
	if u.out.Trials == before {
		return
	}
	w := u.workers[names[r.Worker]]
	e := s.spent[w.build]
	if e == nil {
		e = &Exposure{Sentry: s.sentry, Build: w.build, Allowed: 1}
		s.spent[w.build] = e
	}
	e.Submissions++
	if float64(u.used)/max(1e-9, u.allowed) > float64(e.Most)/e.Allowed {
		e.Most, e.Allowed, e.At = u.used, u.allowed, time.Unix(0, u.at).UTC()
	}
}

// Print writes the summary for a terminal.
func (s *Summary) Print(w io.Writer) {
	fmt.Fprintf(w, "%d lives, %d records, %s to %s, %d txns not recorded\n\n", s.Lives, s.Records, s.First.Format(time.RFC3339), s.Last.Format(time.RFC3339), s.Missing)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "product\ttaken\tsettled\tdeclined\tvoided\tleft\tno end\tsubmissions a txn\tp50 ms\tp99 ms\t")
	for _, p := range s.Products {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.1f\t%.1f\t\n", p.Name, p.Taken, p.Settled, p.Declined, p.Voided, p.Left, p.Open,
			float64(p.Submissions)/float64(max(1, p.Taken)), p.P50, p.P99)
	}
	t.Flush()
	for _, g := range []struct {
		name string
		list []*PartSum
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
		fmt.Fprintf(w, "\nsampled: %d more txns ended well and are not in the files\n", s.LeftOut)
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

package trace

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat/distuv"

	"dunegrade/chart"
)

// Change is one figure in two summaries.
type Change struct {
	What          string
	Before, After float64
	Unsure        float64 // half the width of the interval that holds the difference, 19 times in 20
	Differs       bool    // nothing is not within that interval
}

// of95 is how many standard deviations hold 19 in 20.
var of95 = distuv.UnitNormal.Quantile(0.975)

// Compare tells what changed from one set of lives to another: shares of outcomes and times by product, and by build.
// Txns count as independent, which they are not quite: trouble hits many at once, so look at what differs by much.
func Compare(before, after *Summary) []Change {
	var out []Change
	share := func(what string, a, n, b, m int) {
		if n == 0 || m == 0 {
			return
		}
		p, q := float64(a)/float64(n), float64(b)/float64(m)
		// Agresti and Caffo, "Simple and effective confidence intervals for proportions", 2000: one of each kind is added.
		pa, qa := (float64(a)+1)/(float64(n)+2), (float64(b)+1)/(float64(m)+2)
		half := of95 * math.Sqrt(pa*(1-pa)/(float64(n)+2)+qa*(1-qa)/(float64(m)+2))
		out = append(out, Change{what, p, q, half, math.Abs(qa-pa) > half})
	}
	times := func(what string, a, b *hdrhistogram.Histogram) {
		for _, q := range []float64{50, 99} {
			x, dx, ok1 := quantile(a, q)
			y, dy, ok2 := quantile(b, q)
			if ok1 && ok2 {
				half := math.Hypot(dx, dy)
				out = append(out, Change{fmt.Sprintf("%s, p%.0f ms", what, q), x, y, half, math.Abs(y-x) > half})
			}
		}
	}
	for _, p := range before.Products {
		at := slices.IndexFunc(after.Products, func(q *ProductSum) bool { return q.Name == p.Name })
		if at < 0 {
			continue
		}
		q := after.Products[at]
		share(p.Name+", settled", p.Settled, p.Taken, q.Settled, q.Taken)
		share(p.Name+", declined", p.Declined, p.Taken, q.Declined, q.Taken)
		share(p.Name+", voided", p.Voided, p.Taken, q.Voided, q.Taken)
		share(p.Name+", sent again", p.Submissions-p.Taken+p.Declined, p.Taken, q.Submissions-q.Taken+q.Declined, q.Taken)
		times(p.Name, p.times, q.times)
	}
	for _, p := range before.Builds {
		at := slices.IndexFunc(after.Builds, func(q *PartSum) bool { return q.Name == p.Name })
		if at < 0 {
			continue
		}
		q := after.Builds[at]
		share("build "+p.Name+", submissions that failed", p.failed(), p.Submissions, q.failed(), q.Submissions)
		times("build "+p.Name, p.times, q.times)
	}
	return out
}

func (p *PartSum) failed() int {
	return p.Endings["error"] + p.Endings["connection broke"] + p.Endings["timed out"] + p.Endings["no connection"]
}

// quantile gives one in ms, and half its 95% interval by the order of the values (a binomial count is below it).
func quantile(h *hdrhistogram.Histogram, q float64) (ms, half float64, ok bool) {
	n := float64(h.TotalCount())
	p := q / 100
	if n*p*(1-p) < 3 {
		return 0, 0, false
	}
	d := of95 * math.Sqrt(p*(1-p)/n) * 100
	low, high := h.ValueAtQuantile(max(0, q-d)), h.ValueAtQuantile(min(100, q+d))
	return float64(h.ValueAtQuantile(q)) / 1000, float64(high-low) / 2000, true
}

// PrintChanges writes what changed, what differs first.
func PrintChanges(w io.Writer, list []Change) {
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b Change) int {
		if a.Differs != b.Differs {
			if a.Differs {
				return -1
			}
			return 1
		}
		return 0
	})
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\tbefore\tafter\tdifference")
	for _, c := range list {
		mark := ""
		if c.Differs {
			mark = "*"
		}
		fmt.Fprintf(t, "%s\t%.4g\t%.4g\t%+.4g ± %.2g %s\n", c.What, c.Before, c.After, c.After-c.Before, c.Unsure, mark)
	}
	t.Flush()
	fmt.Fprintln(w, "*: chance alone would rarely do it (1 in 20, each line by itself)")
}

// Page draws the summary as a page with charts.
func (s *Summary) Page(title string) (string, error) {
	if len(s.Series) == 0 {
		return chart.Page(title, nil, "nothing was recorded"), nil
	}
	from := s.Series[0].At
	of := func(name string, value func(*Bucket) (float64, bool)) chart.Series {
		l := chart.Series{Name: name}
		for i := range s.Series {
			if v, ok := value(&s.Series[i]); ok {
				l.X, l.Y = append(l.X, s.Series[i].At.Sub(from).Seconds()), append(l.Y, v)
			}
		}
		return l
	}
	count := func(name string, value func(*Bucket) int) chart.Series {
		return of(name, func(b *Bucket) (float64, bool) { return float64(value(b)), true })
	}
	ratio := func(name string, a, n func(*Bucket) int) chart.Series {
		return of(name, func(b *Bucket) (float64, bool) { return float64(a(b)) / float64(max(1, n(b))), n(b) > 0 })
	}
	axes := chart.Axes{X: "seconds since " + from.Format("2006-01-02 15:04:05Z")}
	trial, others := func(b *Bucket) int { return b.Trial }, func(b *Bucket) int { return b.Others }
	tests := chart.Series{Name: "p at a verdict", Points: true}
	for _, t := range s.Tests {
		tests.X, tests.Y = append(tests.X, t.At.Sub(from).Seconds()), append(tests.Y, t.P)
	}
	var charts []string
	for _, c := range []struct {
		title string
		list  []chart.Series
	}{
		{"txns a second", []chart.Series{count("settled", func(b *Bucket) int { return b.Settled }), count("declined", func(b *Bucket) int { return b.Declined }),
			count("voided", func(b *Bucket) int { return b.Voided }), count("left", func(b *Bucket) int { return b.Left })}},
		{"share of submissions at the build on trial, and the cap", []chart.Series{
			of("share", func(b *Bucket) (float64, bool) {
				return float64(b.Trial) / float64(max(1, b.Trial+b.Others)), b.Trial+b.Others > 0
			}),
			of("cap", func(b *Bucket) (float64, bool) { return b.Cap, true })}},
		{"share of submissions that failed", []chart.Series{ratio("other builds", func(b *Bucket) int { return b.OthersBad }, others),
			ratio("build on trial", func(b *Bucket) int { return b.TrialBad }, trial)}},
		{"mean time of submissions, ms", []chart.Series{of("other builds", func(b *Bucket) (float64, bool) { return b.OthersTime, b.OthersTime > 0 }),
			of("build on trial", func(b *Bucket) (float64, bool) { return b.TrialTime, b.TrialTime > 0 })}},
		{"the test of the build on trial", []chart.Series{tests}},
	} {
		some := false
		for _, l := range c.list {
			some = some || len(l.X) > 0
		}
		if !some {
			continue
		}
		svg, err := chart.LineChart(c.title, axes, c.list)
		if err != nil {
			return "", err
		}
		charts = append(charts, svg)
	}
	var text strings.Builder
	s.Print(&text)
	return chart.Page(title, charts, text.String()), nil
}

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

// Change compares one figure in two summaries.
type Change struct {
	What          string // name of the figure
	Before, After float64
	Unsure        float64 // half the width of the difference's 95% confidence interval
	Differs       bool    // the confidence interval excludes zero
}

// z95 is the two-sided 95% quantile of the standard normal distribution.
var z95 = distuv.UnitNormal.Quantile(0.975)

// Compare compares two summaries: the proportions of outcomes and the durations, by product and by build. It treats txns
// as independent. Since a fault affects many txns at once, small differences can be due to chance more often than stated.
func Compare(before, after *Summary) []Change {
	var changes []Change
	share := func(what string, a, n, b, m int) {
		if n == 0 || m == 0 {
			return
		}
		p, q := float64(a)/float64(n), float64(b)/float64(m)
		// Add one success and one failure to each sample, as in Agresti and Caffo, "Simple and effective confidence
		// intervals for proportions and differences of proportions", 2000.
		pa, qa := (float64(a)+1)/(float64(n)+2), (float64(b)+1)/(float64(m)+2)
		margin := z95 * math.Sqrt(pa*(1-pa)/(float64(n)+2)+qa*(1-qa)/(float64(m)+2))
		changes = append(changes, Change{what, p, q, margin, math.Abs(qa-pa) > margin})
	}
	times := func(what string, a, b *hdrhistogram.Histogram) {
		for _, q := range []float64{50, 99} {
			x, dx, ok1 := quantileWithError(a, q)
			y, dy, ok2 := quantileWithError(b, q)
			if ok1 && ok2 {
				margin := math.Hypot(dx, dy)
				changes = append(changes, Change{fmt.Sprintf("%s, p%.0f ms", what, q), x, y, margin, math.Abs(y-x) > margin})
			}
		}
	}
	for _, p := range before.Products {
		index := slices.IndexFunc(after.Products, func(q *ProductStats) bool { return q.Name == p.Name })
		if index < 0 {
			continue
		}
		q := after.Products[index]
		share(p.Name+", settled", p.Settled, p.Taken, q.Settled, q.Taken)
		share(p.Name+", declined", p.Declined, p.Taken, q.Declined, q.Taken)
		share(p.Name+", voided", p.Voided, p.Taken, q.Voided, q.Taken)
		share(p.Name+", sent again", p.Submissions-p.Taken+p.Declined, p.Taken, q.Submissions-q.Taken+q.Declined, q.Taken)
		times(p.Name, p.times, q.times)
	}
	for _, p := range before.Builds {
		index := slices.IndexFunc(after.Builds, func(q *SubmissionStats) bool { return q.Name == p.Name })
		if index < 0 {
			continue
		}
		q := after.Builds[index]
		share("build "+p.Name+", submissions that failed", p.failed(), p.Submissions, q.failed(), q.Submissions)
		times("build "+p.Name, p.times, q.times)
	}
	return changes
}

// failed returns the number of submissions that ended in a failure.
func (p *SubmissionStats) failed() int {
	return p.Endings["error"] + p.Endings["connection broke"] + p.Endings["timed out"] + p.Endings["no connection"]
}

// minBinomialVariance is the smallest variance at which quantileWithError approximates the binomial distribution by the
// normal distribution.
const minBinomialVariance = 3

// quantileWithError returns a quantile in ms and half the width of its 95% confidence interval. The interval assumes no
// distribution of the values, as the number of values below the quantile is binomial. ok is false for too few values.
func quantileWithError(h *hdrhistogram.Histogram, q float64) (ms, margin float64, ok bool) {
	n := float64(h.TotalCount())
	p := q / 100
	if n*p*(1-p) < minBinomialVariance {
		return 0, 0, false
	}
	d := z95 * math.Sqrt(p*(1-p)/n) * 100
	lower, upper := h.ValueAtQuantile(max(0, q-d)), h.ValueAtQuantile(min(100, q+d))
	return float64(h.ValueAtQuantile(q)) / 1000, float64(upper-lower) / 2000, true
}

// PrintChanges writes the changes as a table, significant ones first.
func PrintChanges(w io.Writer, changes []Change) {
	changes = slices.Clone(changes)
	slices.SortStableFunc(changes, func(a, b Change) int {
		if a.Differs != b.Differs {
			if a.Differs {
				return -1
			}
			return 1
		}
		return 0
	})
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\tbefore\tafter\tdifference")
	for _, change := range changes {
		mark := ""
		if change.Differs {
			mark = "*"
		}
		fmt.Fprintf(table, "%s\t%.4g\t%.4g\t%+.4g ± %.2g %s\n", change.What, change.Before, change.After, change.After-change.Before, change.Unsure, mark)
	}
	table.Flush()
	fmt.Fprintln(w, "*: significant at the level of 0.05, for each line by itself")
}

// Page returns an HTML page with charts of the summary.
func (s *Summary) Page(title string) (string, error) {
	if len(s.Series) == 0 {
		return chart.Page(title, nil, "nothing was recorded"), nil
	}
	start := s.Series[0].At
	series := func(name string, value func(*Bucket) (float64, bool)) chart.Series {
		line := chart.Series{Name: name}
		for i := range s.Series {
			if v, ok := value(&s.Series[i]); ok {
				line.X, line.Y = append(line.X, s.Series[i].At.Sub(start).Seconds()), append(line.Y, v)
			}
		}
		return line
	}
	count := func(name string, value func(*Bucket) int) chart.Series {
		return series(name, func(b *Bucket) (float64, bool) { return float64(value(b)), true })
	}
	ratio := func(name string, a, n func(*Bucket) int) chart.Series {
		return series(name, func(b *Bucket) (float64, bool) { return float64(a(b)) / float64(max(1, n(b))), n(b) > 0 })
	}
	axes := chart.Axes{X: "seconds since " + start.Format("2006-01-02 15:04:05Z")}
	trial, others := func(b *Bucket) int { return b.Trial }, func(b *Bucket) int { return b.Others }
	tests := chart.Series{Name: "p at a verdict", Points: true}
	for _, t := range s.Tests {
		tests.X, tests.Y = append(tests.X, t.At.Sub(start).Seconds()), append(tests.Y, t.P)
	}
	var charts []string
	for _, c := range []struct {
		title string
		list  []chart.Series
	}{
		{"txns a second", []chart.Series{count("settled", func(b *Bucket) int { return b.Settled }), count("declined", func(b *Bucket) int { return b.Declined }),
			count("voided", func(b *Bucket) int { return b.Voided }), count("left", func(b *Bucket) int { return b.Left })}},
		{"share of submissions at the build on trial, and the cap", []chart.Series{
			series("share", func(b *Bucket) (float64, bool) {
				return float64(b.Trial) / float64(max(1, b.Trial+b.Others)), b.Trial+b.Others > 0
			}),
			series("cap", func(b *Bucket) (float64, bool) { return b.Cap, true })}},
		{"share of submissions that failed", []chart.Series{ratio("other builds", func(b *Bucket) int { return b.OthersBad }, others),
			ratio("build on trial", func(b *Bucket) int { return b.TrialBad }, trial)}},
		{"mean time of submissions, ms", []chart.Series{series("other builds", func(b *Bucket) (float64, bool) { return b.OthersTime, b.OthersTime > 0 }),
			series("build on trial", func(b *Bucket) (float64, bool) { return b.TrialTime, b.TrialTime > 0 })}},
		{"the test of the build on trial", []chart.Series{tests}},
	} {
		hasData := false
		for _, line := range c.list {
			hasData = hasData || len(line.X) > 0
		}
		if !hasData {
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

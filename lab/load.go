package lab

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"dunegrade/chart"
)

// LoadPlan is an open-loop load on one HTTP target, or on two in turn. Txns are due at times set ahead, and count from
// when they were due: a target that stalls is charged for all that it kept waiting (no coordinated omission).
type LoadPlan struct {
	Targets []string  // URLs, one or two
	Rates   []float64 // txns a second, a step each
	Ramp    bool      // go from one rate to the next evenly, rather than in steps
	Span    time.Duration
	Slice   time.Duration // with two targets: how long each has its turn
	Conns   int
	Method  string
	Body    int
	Timeout time.Duration
}

// LoadSlice is what a stretch of load came to.
type LoadSlice struct {
	Target       int
	Step         int
	Rate         float64 // asked for, mean
	Sent         int
	Succeeded    int                     // answered below 400
	Refused      int                     // answered with 429 or 503
	Bad          int                     // any other answer, or none
	Times        *hdrhistogram.Histogram `json:"-"` // microseconds from when due, of those that were fine
	ServiceTimes *hdrhistogram.Histogram `json:"-"` // from when sent
	elapsed      time.Duration
}

func (s *LoadSlice) merge(o *LoadSlice) {
	s.Sent, s.Succeeded, s.Refused, s.Bad, s.elapsed = s.Sent+o.Sent, s.Succeeded+o.Succeeded, s.Refused+o.Refused, s.Bad+o.Bad, s.elapsed+o.elapsed
	s.Times.Merge(o.Times)
	s.ServiceTimes.Merge(o.ServiceTimes)
}

// PerSecond is how many were fine in each second.
func (s *LoadSlice) PerSecond() float64 { return float64(s.Succeeded) / max(1e-9, s.elapsed.Seconds()) }

func newLoadSlice(target, step int, rate float64) *LoadSlice {
	return &LoadSlice{Target: target, Step: step, Rate: rate, Times: hdrhistogram.New(1, 60_000_000, 3), ServiceTimes: hdrhistogram.New(1, 60_000_000, 3)}
}

// Check tells what is wrong with a plan.
func (p *LoadPlan) Check() error {
	switch {
	case len(p.Targets) < 1 || len(p.Targets) > 2:
		return errors.New("load: one target or two are wanted")
	case len(p.Rates) == 0 || p.Span <= 0 || p.Conns < 1 || p.Slice <= 0:
		return errors.New("load: rates, a span, a slice and connections are wanted")
	}
	for _, r := range p.Rates {
		if !(r > 0) || r > 1e6 {
			return fmt.Errorf("load: a rate of %g; from 0 to a million a second are wanted", r)
		}
	}
	return nil
}

// rate is what is asked for at a moment of step i, and dueTimes the times of its txns.
func (p *LoadPlan) dueTimes(i int, from, till time.Duration) (due []time.Duration) {
	first, last := p.Rates[i], p.Rates[i]
	if p.Ramp && i+1 < len(p.Rates) {
		last = p.Rates[i+1]
	}
	// The number due by t is the integral of the rate: first t + (last-first) t²/2 span.
	slope := (last - first) / p.Span.Seconds()
	count := func(t float64) float64 { return first*t + slope*t*t/2 }
	begin := count(from.Seconds())
	for n := math.Ceil(begin); ; n++ {
		t := n / first
		if slope != 0 {
			t = (math.Sqrt(first*first+2*slope*n) - first) / slope
		}
		at := time.Duration(t * float64(time.Second))
		if at >= till || math.IsNaN(t) {
			return due
		}
		due = append(due, at-from)
	}
}

// Load plays a plan, slice by slice.
func Load(ctx context.Context, p LoadPlan, say func(*LoadSlice)) ([]*LoadSlice, error) {
	if err := p.Check(); err != nil {
		return nil, err
	}
	clients := make([]*http.Client, len(p.Targets))
	for i := range clients {
		t := &http.Transport{MaxConnsPerHost: p.Conns, MaxIdleConnsPerHost: p.Conns, IdleConnTimeout: time.Minute, DisableCompression: true}
		defer t.CloseIdleConnections()
		clients[i] = &http.Client{Transport: t, Timeout: p.Timeout, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	}
	var out []*LoadSlice
	turn := 0
	for i := range p.Rates {
		for from := time.Duration(0); from < p.Span; from += p.Slice {
			till := min(p.Span, from+p.Slice)
			for k := range p.Targets {
				if ctx.Err() != nil {
					return out, ctx.Err()
				}
				// Danger: who always comes second meets what the first has left behind; so they take turns at that.
				target := (k + turn) % len(p.Targets)
				due := p.dueTimes(i, from, till)
				s := newLoadSlice(target, i, float64(len(due))/(till-from).Seconds())
				p.runSlice(ctx, clients[target], due, s)
				s.elapsed = max(s.elapsed, till-from)
				out = append(out, s)
				if say != nil {
					say(s)
				}
			}
			turn++
		}
	}
	return out, nil
}

// runSlice sends what is due over all connections: whichever is free takes the next.
func (p *LoadPlan) runSlice(ctx context.Context, c *http.Client, due []time.Duration, s *LoadSlice) {
	began := time.Now()
	next := make(chan time.Duration, len(due))
	for _, d := range due {
		next <- d
	}
	close(next)
	var mu sync.Mutex
	var group sync.WaitGroup
	for range p.Conns {
		group.Go(func() {
			part := newLoadSlice(0, 0, 0)
			body := make([]byte, p.Body)
			for d := range next {
				if wait := d - time.Since(began); wait > 0 {
					time.Sleep(wait)
				}
				if ctx.Err() != nil {
					break
				}
				sent := time.Since(began)
				if sent-d > p.Timeout { // its client has gone
					part.Sent, part.Bad = part.Sent+1, part.Bad+1
					continue
				}
				code, err := fetch(ctx, c, p.Method, p.Targets[s.Target], body)
				now := time.Since(began)
				part.Sent++
				switch {
				case err != nil:
					part.Bad++
				case code == 429 || code == 503:
					part.Refused++
				case code >= 400:
					part.Bad++
				default:
					part.Succeeded++
					part.Times.RecordValue(min(60_000_000, max(1, (now-d).Microseconds())))
					part.ServiceTimes.RecordValue(min(60_000_000, max(1, (now-sent).Microseconds())))
				}
			}
			mu.Lock()
			defer mu.Unlock()
			s.merge(part)
		})
	}
	group.Wait()
	s.elapsed = time.Since(began)
}

// fetch sends one request and reads its answer to the end.
func fetch(ctx context.Context, c *http.Client, method, url string, body []byte) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	resp, err := c.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// LoadRow is a step of the load at one target, in sum.
type LoadRow struct {
	Target                     string
	Rate, PerSecond            float64
	Fine, Refused, Bad         int
	P50, P99, P999, P50S, P99S float64 // microseconds; S: from when sent
}

// LoadDifference is the second target less the first at a step, as ratios of slices side by side.
type LoadDifference struct {
	Rate      float64
	What      string
	Ratio     float64 // geometric mean
	Low, High float64 // its 95% interval
	Pairs     int
}

// SumLoad gathers slices by step and target, and holds two targets against each other.
func SumLoad(p LoadPlan, slices []*LoadSlice) (rows []LoadRow, diffs []LoadDifference) {
	for i := range p.Rates {
		pairs := make([][]*LoadSlice, len(p.Targets))
		for k := range p.Targets {
			sum := newLoadSlice(k, i, 0)
			for _, s := range slices {
				if s.Step == i && s.Target == k {
					sum.merge(s)
					sum.Rate += s.Rate * s.elapsed.Seconds()
					pairs[k] = append(pairs[k], s)
				}
			}
			q := func(h *hdrhistogram.Histogram, at float64) float64 { return float64(h.ValueAtQuantile(at)) }
			rows = append(rows, LoadRow{p.Targets[k], sum.Rate / max(1e-9, sum.elapsed.Seconds()), sum.PerSecond(), sum.Succeeded, sum.Refused, sum.Bad, q(sum.Times, 50), q(sum.Times, 99),
				q(sum.Times, 99.9), q(sum.ServiceTimes, 50), q(sum.ServiceTimes, 99)})
		}
		if len(p.Targets) < 2 {
			continue
		}
		for _, w := range []struct {
			name string
			of   func(*LoadSlice) float64
		}{{"fine a second", (*LoadSlice).PerSecond}, {"p50", func(s *LoadSlice) float64 { return float64(s.Times.ValueAtQuantile(50)) }},
			{"p99", func(s *LoadSlice) float64 { return float64(s.Times.ValueAtQuantile(99)) }}} {
			var logs []float64
			for n := range min(len(pairs[0]), len(pairs[1])) {
				if a, b := w.of(pairs[0][n]), w.of(pairs[1][n]); a > 0 && b > 0 {
					logs = append(logs, math.Log(b/a))
				}
			}
			if len(logs) < 3 {
				continue
			}
			mean, dev := stat.MeanStdDev(logs, nil)
			half := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(logs) - 1)}.Quantile(0.975) * dev / math.Sqrt(float64(len(logs)))
			diffs = append(diffs, LoadDifference{p.Rates[i], w.name, math.Exp(mean), math.Exp(mean - half), math.Exp(mean + half), len(logs)})
		}
	}
	return rows, diffs
}

// LoadTable prints both in Markdown.
func LoadTable(w io.Writer, rows []LoadRow, diffs []LoadDifference) {
	fmt.Fprintln(w, "| target | asked a second | fine a second | refused | bad | p50 us | p99 us | p99.9 us | p50 from sending | p99 from sending |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, r := range rows {
		fmt.Fprintf(w, "| %s | %.0f | %.0f | %d | %d | %.0f | %.0f | %.0f | %.0f | %.0f |\n", r.Target, r.Rate, r.PerSecond, r.Refused, r.Bad, r.P50, r.P99, r.P999,
			r.P50S, r.P99S)
	}
	if len(diffs) == 0 {
		return
	}
	fmt.Fprintln(w, "\n| asked a second | figure | second over first | 95% interval | pairs |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- |")
	for _, d := range diffs {
		fmt.Fprintf(w, "| %.0f | %s | %.3f | %.3f to %.3f | %d |\n", d.Rate, d.What, d.Ratio, d.Low, d.High, d.Pairs)
	}
}

// LoadPage draws the load over time.
func LoadPage(p LoadPlan, all []*LoadSlice, text string) (string, error) {
	var charts []string
	for _, c := range []struct {
		title, unit string
		of          func(*LoadSlice) float64
	}{{"fine a second", "txns a second", (*LoadSlice).PerSecond}, {"time from when due, p50 and p99", "microseconds", nil}} {
		var list []chart.Series
		add := func(name string, of func(*LoadSlice) float64) {
			for k, t := range p.Targets {
				s := chart.Series{Name: t + name}
				at := 0.0
				for _, x := range all {
					if x.Target == k {
						s.X, s.Y = append(s.X, at), append(s.Y, max(1, of(x)))
						at += x.elapsed.Seconds()
					}
				}
				list = append(list, s)
			}
		}
		if c.of != nil {
			add("", c.of)
		} else {
			add(", p50", func(s *LoadSlice) float64 { return float64(s.Times.ValueAtQuantile(50)) })
			add(", p99", func(s *LoadSlice) float64 { return float64(s.Times.ValueAtQuantile(99)) })
		}
		svg, err := chart.LineChart(c.title, chart.Axes{X: "second of load", Y: c.unit, LogY: c.of == nil}, list)
		if err != nil {
			return "", err
		}
		charts = append(charts, svg)
	}
	return chart.Page("load", charts, text), nil
}

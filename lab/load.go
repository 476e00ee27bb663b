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

// maxLoadLatencyMicros is the longest latency that the histograms of loads and benches distinguish.
const maxLoadLatencyMicros = 60_000_000

// LoadPlan describes an open-loop load on one HTTP target, or on two in turn. Txns are scheduled ahead, and their latency
// counts from the scheduled time, so that a stall of the target counts for every txn that it delays (no coordinated
// omission).
type LoadPlan struct {
	Targets       []string      // URLs, one or two
	Rates         []float64     // txns a second, one for each step
	Ramp          bool          // whether the rate changes linearly to the next step's; otherwise it changes at the end of the step
	StepDuration  time.Duration // of a step
	SliceDuration time.Duration // length of a measured slice; two targets alternate by slices
	Conns         int           // maximum connections to a target
	Method        string
	Body          int           // bytes of a request's body
	Timeout       time.Duration // after which a txn has failed
}

// LoadSlice holds the results of one slice of the load on one target.
type LoadSlice struct {
	Target       int     // index in LoadPlan.Targets
	Step         int     // index in LoadPlan.Rates
	Rate         float64 // mean of the scheduled txns a second
	Sent         int
	Succeeded    int                     // answered with a status below 400
	Refused      int                     // answered with 429 or 503
	Failed       int                     // answered with another status, or not answered
	Latencies    *hdrhistogram.Histogram `json:"-"` // microseconds from the scheduled time, of txns that succeeded
	ServiceTimes *hdrhistogram.Histogram `json:"-"` // microseconds from sending, of txns that succeeded
	elapsed      time.Duration           // from the start of the slice until its last txn ended, or the slice's length if longer
}

// merge adds the counts, latencies and time of another slice.
func (s *LoadSlice) merge(o *LoadSlice) {
	s.Sent, s.Succeeded, s.Refused, s.Failed, s.elapsed = s.Sent+o.Sent, s.Succeeded+o.Succeeded, s.Refused+o.Refused, s.Failed+o.Failed, s.elapsed+o.elapsed
	s.Latencies.Merge(o.Latencies)
	s.ServiceTimes.Merge(o.ServiceTimes)
}

// PerSecond returns the txns that succeeded per second.
func (s *LoadSlice) PerSecond() float64 { return float64(s.Succeeded) / max(1e-9, s.elapsed.Seconds()) }

// newLoadSlice returns an empty slice.
func newLoadSlice(target, step int, rate float64) *LoadSlice {
	return &LoadSlice{Target: target, Step: step, Rate: rate, Latencies: hdrhistogram.New(1, maxLoadLatencyMicros, 3), ServiceTimes: hdrhistogram.New(1, maxLoadLatencyMicros, 3)}
}

// Validate returns an error that describes what is wrong with the plan, if anything.
func (p *LoadPlan) Validate() error {
	switch {
	case len(p.Targets) < 1 || len(p.Targets) > 2:
		return errors.New("load: want one or two targets")
	case len(p.Rates) == 0 || p.StepDuration <= 0 || p.Conns < 1 || p.SliceDuration <= 0:
		return errors.New("load: want at least one rate, a positive span and slice, and at least one connection")
	}
	for _, r := range p.Rates {
		if !(r > 0) || r > 1e6 {
			return fmt.Errorf("load: rate %g: want more than 0 and at most a million a second", r)
		}
	}
	return nil
}

// scheduledTimes returns the scheduled times of a step's txns between sliceStart and sliceEnd, relative to sliceStart.
func (p *LoadPlan) scheduledTimes(step int, sliceStart, sliceEnd time.Duration) (times []time.Duration) {
	firstRate, lastRate := p.Rates[step], p.Rates[step]
	if p.Ramp && step+1 < len(p.Rates) {
		lastRate = p.Rates[step+1]
	}
	// The number of txns scheduled until t is the integral of the rate: firstRate·t + (lastRate-firstRate)·t²/(2·span).
	slope := (lastRate - firstRate) / p.StepDuration.Seconds()
	scheduledBy := func(t float64) float64 { return firstRate*t + slope*t*t/2 }
	scheduledBefore := scheduledBy(sliceStart.Seconds())
	for n := math.Ceil(scheduledBefore); ; n++ {
		t := n / firstRate
		if slope != 0 {
			t = (math.Sqrt(firstRate*firstRate+2*slope*n) - firstRate) / slope
		}
		scheduled := time.Duration(t * float64(time.Second))
		if scheduled >= sliceEnd || math.IsNaN(t) {
			return times
		}
		times = append(times, scheduled-sliceStart)
	}
}

// RunLoad runs a plan and returns the results of its slices. It calls report, if not nil, after each slice.
func RunLoad(ctx context.Context, p LoadPlan, report func(*LoadSlice)) ([]*LoadSlice, error) {
	if err := p.Validate(); err != nil {
		return nil, err
	}
	clients := make([]*http.Client, len(p.Targets))
	for i := range clients {
		t := &http.Transport{MaxConnsPerHost: p.Conns, MaxIdleConnsPerHost: p.Conns, IdleConnTimeout: time.Minute, DisableCompression: true}
		defer t.CloseIdleConnections()
		clients[i] = &http.Client{Transport: t, Timeout: p.Timeout, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	}
	var results []*LoadSlice
	sliceNumber := 0
	for step := range p.Rates {
		for sliceStart := time.Duration(0); sliceStart < p.StepDuration; sliceStart += p.SliceDuration {
			sliceEnd := min(p.StepDuration, sliceStart+p.SliceDuration)
			for turn := range p.Targets {
				if ctx.Err() != nil {
					return results, ctx.Err()
				}
				// The targets take turns in going first. A target that always went second would be measured together with the
				// load that the first one has left on the machine.
				target := (turn + sliceNumber) % len(p.Targets)
				times := p.scheduledTimes(step, sliceStart, sliceEnd)
				s := newLoadSlice(target, step, float64(len(times))/(sliceEnd-sliceStart).Seconds())
				p.runSlice(ctx, clients[target], times, s)
				s.elapsed = max(s.elapsed, sliceEnd-sliceStart)
				results = append(results, s)
				if report != nil {
					report(s)
				}
			}
			sliceNumber++
		}
	}
	return results, nil
}

// runSlice sends the scheduled txns over all connections; each free connection takes the next txn.
func (p *LoadPlan) runSlice(ctx context.Context, c *http.Client, times []time.Duration, s *LoadSlice) {
	startTime := time.Now()
	queue := make(chan time.Duration, len(times))
	for _, scheduledAt := range times {
		queue <- scheduledAt
	}
	close(queue)
	var mu sync.Mutex
	var group sync.WaitGroup
	for range p.Conns {
		group.Go(func() {
			result := newLoadSlice(0, 0, 0)
			body := make([]byte, p.Body)
			for scheduledAt := range queue {
				if wait := scheduledAt - time.Since(startTime); wait > 0 {
					time.Sleep(wait)
				}
				if ctx.Err() != nil {
					break
				}
				sentAt := time.Since(startTime)
				if sentAt-scheduledAt > p.Timeout { // a real client would have given up
					result.Sent, result.Failed = result.Sent+1, result.Failed+1
					continue
				}
				status, err := fetch(ctx, c, p.Method, p.Targets[s.Target], body)
				now := time.Since(startTime)
				result.Sent++
				switch {
				case err != nil:
					result.Failed++
				case status == 429 || status == 503:
					result.Refused++
				case status >= 400:
					result.Failed++
				default:
					result.Succeeded++
					result.Latencies.RecordValue(min(maxLoadLatencyMicros, max(1, (now-scheduledAt).Microseconds())))
					result.ServiceTimes.RecordValue(min(maxLoadLatencyMicros, max(1, (now-sentAt).Microseconds())))
				}
			}
			mu.Lock()
			defer mu.Unlock()
			s.merge(result)
		})
	}
	group.Wait()
	s.elapsed = time.Since(startTime)
}

// fetch sends one request, reads the whole answer and returns its status.
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

// LoadRow holds the totals of one step at one target. Its fields are part of the JSON output.
type LoadRow struct {
	Target    string
	Rate      float64 // scheduled txns a second
	PerSecond float64 // txns that succeeded per second
	Fine      int     // txns that succeeded
	Refused   int
	Bad       int     // txns that failed in another way
	P50       float64 // median latency from the scheduled time, in microseconds
	P99       float64 // in microseconds
	P999      float64 // in microseconds
	P50S      float64 // median latency from sending, in microseconds
	P99S      float64 // in microseconds
}

// LoadDifference compares the second target with the first at one step, by the ratios of paired slices. Its fields are
// part of the JSON output.
type LoadDifference struct {
	Rate  float64 // of the step, in txns a second
	What  string  // name of the compared figure: fine a second (txns that succeeded per second), p50 or p99
	Ratio float64 // geometric mean of second over first
	Low   float64 // lower bound of the 95% confidence interval of Ratio
	High  float64 // upper bound
	Pairs int
}

// SummarizeLoad totals the slices by step and target, and compares the targets if there are two.
func SummarizeLoad(p LoadPlan, slices []*LoadSlice) (rows []LoadRow, diffs []LoadDifference) {
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
			quantile := func(h *hdrhistogram.Histogram, percent float64) float64 { return float64(h.ValueAtQuantile(percent)) }
			rows = append(rows, LoadRow{p.Targets[k], sum.Rate / max(1e-9, sum.elapsed.Seconds()), sum.PerSecond(), sum.Succeeded, sum.Refused, sum.Failed,
				quantile(sum.Latencies, 50), quantile(sum.Latencies, 99), quantile(sum.Latencies, 99.9), quantile(sum.ServiceTimes, 50), quantile(sum.ServiceTimes, 99)})
		}
		if len(p.Targets) < 2 {
			continue
		}
		for _, figure := range []struct {
			name  string
			value func(*LoadSlice) float64
		}{{"fine a second", (*LoadSlice).PerSecond}, {"p50", func(s *LoadSlice) float64 { return float64(s.Latencies.ValueAtQuantile(50)) }},
			{"p99", func(s *LoadSlice) float64 { return float64(s.Latencies.ValueAtQuantile(99)) }}} {
			var logs []float64
			for n := range min(len(pairs[0]), len(pairs[1])) {
				if a, b := figure.value(pairs[0][n]), figure.value(pairs[1][n]); a > 0 && b > 0 {
					logs = append(logs, math.Log(b/a))
				}
			}
			if len(logs) < 3 {
				continue
			}
			mean, stdDev := stat.MeanStdDev(logs, nil)
			halfWidth := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(logs) - 1)}.Quantile(0.975) * stdDev / math.Sqrt(float64(len(logs)))
			diffs = append(diffs, LoadDifference{p.Rates[i], figure.name, math.Exp(mean), math.Exp(mean - halfWidth), math.Exp(mean + halfWidth), len(logs)})
		}
	}
	return rows, diffs
}

// WriteLoadTable writes rows and differences as Markdown tables.
func WriteLoadTable(w io.Writer, rows []LoadRow, diffs []LoadDifference) {
	fmt.Fprintln(w, "| target | offered a second | fine a second | refused | bad | p50 us | p99 us | p99.9 us | p50 from sending | p99 from sending |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, r := range rows {
		fmt.Fprintf(w, "| %s | %.0f | %.0f | %d | %d | %.0f | %.0f | %.0f | %.0f | %.0f |\n", r.Target, r.Rate, r.PerSecond, r.Refused, r.Bad, r.P50, r.P99, r.P999,
			r.P50S, r.P99S)
	}
	if len(diffs) == 0 {
		return
	}
	fmt.Fprintln(w, "\n| offered a second | figure | second over first | 95% interval | pairs |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- |")
	for _, d := range diffs {
		fmt.Fprintf(w, "| %.0f | %s | %.3f | %.3f to %.3f | %d |\n", d.Rate, d.What, d.Ratio, d.Low, d.High, d.Pairs)
	}
}

// LoadPage returns an HTML page with charts of throughput and latency over time, and the given text.
func LoadPage(p LoadPlan, slices []*LoadSlice, text string) (string, error) {
	var charts []string
	for _, c := range []struct {
		title, unit string
		value       func(*LoadSlice) float64
	}{{"fine a second", "txns a second", (*LoadSlice).PerSecond}, {"latency from the scheduled time, p50 and p99", "microseconds", nil}} {
		var series []chart.Series
		addSeries := func(name string, value func(*LoadSlice) float64) {
			for k, target := range p.Targets {
				line := chart.Series{Name: target + name}
				seconds := 0.0
				for _, slice := range slices {
					if slice.Target == k {
						line.X, line.Y = append(line.X, seconds), append(line.Y, max(1, value(slice)))
						seconds += slice.elapsed.Seconds()
					}
				}
				series = append(series, line)
			}
		}
		if c.value != nil {
			addSeries("", c.value)
		} else {
			addSeries(", p50", func(s *LoadSlice) float64 { return float64(s.Latencies.ValueAtQuantile(50)) })
			addSeries(", p99", func(s *LoadSlice) float64 { return float64(s.Latencies.ValueAtQuantile(99)) })
		}
		svg, err := chart.LineChart(c.title, chart.Axes{X: "second of load", Y: c.unit, LogY: c.value == nil}, series)
		if err != nil {
			return "", err
		}
		charts = append(charts, svg)
	}
	return chart.Page("load", charts, text), nil
}

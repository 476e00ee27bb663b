package lab

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// startTarget starts a server whose requests are answered by handle, which receives the number of the request, from 1 on.
// It returns the server's URL.
func startTarget(t *testing.T, handle func(n int64, w http.ResponseWriter)) string {
	var n atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handle(n.Add(1), w) }))
	t.Cleanup(s.Close)
	return s.URL
}

// TestLoadLatencyCountsFromScheduledTime guards against coordinated omission: a single stall of the target must raise the
// latency of every txn scheduled during it, not only of the txn in progress.
func TestLoadLatencyCountsFromScheduledTime(t *testing.T) {
	url := startTarget(t, func(n int64, w http.ResponseWriter) {
		if n == 20 {
			time.Sleep(400 * time.Millisecond) // the stall
		}
	})
	plan := LoadPlan{Targets: []string{url}, Rates: []float64{200}, StepDuration: time.Second, SliceDuration: time.Second, Conns: 1, Method: "GET", Timeout: 5 * time.Second}
	slices, err := RunLoad(context.Background(), plan, nil)
	if err != nil || len(slices) != 1 || slices[0].Sent != 200 || slices[0].Succeeded != 200 {
		t.Fatalf("got slices %+v, error %v; want one slice with 200 txns sent and succeeded", slices, err)
	}
	fromSchedule, fromSending := slices[0].Latencies.ValueAtQuantile(85), slices[0].ServiceTimes.ValueAtQuantile(85)
	if fromSchedule < 100_000 || fromSending > fromSchedule/2 {
		t.Errorf("p85 is %d us from the scheduled time and %d us from sending; want at least 100000 and at most half of that", fromSchedule, fromSending)
	}
}

// TestLoadDetectsSlowerTarget guards against a comparison of two targets that misses a real difference.
func TestLoadDetectsSlowerTarget(t *testing.T) {
	ignored := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, ignored) }) // runs after the servers are closed
	quick := startTarget(t, func(int64, http.ResponseWriter) {})
	slow := startTarget(t, func(n int64, w http.ResponseWriter) {
		time.Sleep(20 * time.Millisecond) // the difference to detect
		if n%4 == 0 {
			w.WriteHeader(503)
		} else if n%4 == 1 {
			w.WriteHeader(500)
		}
	})
	plan := LoadPlan{Targets: []string{quick, slow}, Rates: []float64{100, 200}, Ramp: true, StepDuration: time.Second, SliceDuration: 200 * time.Millisecond, Conns: 16,
		Method: "GET", Timeout: time.Second}
	slices, err := RunLoad(context.Background(), plan, nil)
	if err != nil {
		t.Fatal(err)
	}
	rows, diffs := SummarizeLoad(plan, slices)
	if len(rows) != 4 || rows[1].Refused == 0 || rows[1].Bad == 0 || rows[0].Refused+rows[0].Bad > 0 || rows[0].Rate < 130 || rows[0].Rate > 170 {
		t.Errorf("unexpected rows %+v", rows)
	}
	found := false
	for _, d := range diffs {
		if d.What == "p50" {
			found = found || d.Low > 1 && d.Pairs == 5
		}
	}
	if !found {
		t.Errorf("no difference found between the slow and the quick target: %+v", diffs)
	}
	var text strings.Builder
	WriteLoadTable(&text, rows, diffs)
	page, err := LoadPage(plan, slices, text.String())
	if err != nil || strings.Count(page, "<svg") != 2 || !strings.Contains(text.String(), "95% interval") {
		t.Errorf("incomplete page or table; the page has %d bytes, error %v, table:\n%s", len(page), err, text.String())
	}
}

// TestLoadFailsOverdueTxns guards against a run that lasts longer than planned because the target cannot serve the load:
// txns that are late by more than the timeout must fail unsent. Invalid plans must be refused.
func TestLoadFailsOverdueTxns(t *testing.T) {
	url := startTarget(t, func(int64, http.ResponseWriter) { time.Sleep(50 * time.Millisecond) })
	plan := LoadPlan{Targets: []string{url}, Rates: []float64{500}, StepDuration: 500 * time.Millisecond, SliceDuration: time.Second, Conns: 2, Method: "GET", Timeout: 200 * time.Millisecond}
	slices, err := RunLoad(context.Background(), plan, nil)
	if err != nil || slices[0].Sent != 250 || slices[0].Failed < 100 || slices[0].elapsed > 3*time.Second {
		t.Errorf("got slices %+v, error %v; want 250 txns sent, at least 100 failed, within 3 s", slices, err)
	}
	for _, invalid := range []LoadPlan{{}, {Targets: []string{url}, Rates: []float64{-1}, StepDuration: 1, SliceDuration: 1, Conns: 1}, {Targets: []string{url}, StepDuration: 1, SliceDuration: 1, Conns: 1}} {
		if _, err := RunLoad(context.Background(), invalid, nil); err == nil {
			t.Errorf("no error for the invalid plan %+v", invalid)
		}
	}
}

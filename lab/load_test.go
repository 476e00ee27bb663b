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

func startTarget(t *testing.T, do func(n int64, w http.ResponseWriter)) string {
	var n atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { do(n.Add(1), w) }))
	t.Cleanup(s.Close)
	return s.URL
}

// A target that stalls once is charged for every txn that was due meanwhile, not for the one that it was working at.
func TestLoadCountsFromWhenTxnsWereDue(t *testing.T) {
	url := startTarget(t, func(n int64, w http.ResponseWriter) {
		if n == 20 {
			time.Sleep(400 * time.Millisecond) // the stall that is measured
		}
	})
	p := LoadPlan{Targets: []string{url}, Rates: []float64{200}, Span: time.Second, Slice: time.Second, Conns: 1, Method: "GET", Timeout: 5 * time.Second}
	all, err := Load(context.Background(), p, nil)
	if err != nil || len(all) != 1 || all[0].Sent != 200 || all[0].Succeeded != 200 {
		t.Fatalf("%+v, %v", all, err)
	}
	due, sent := all[0].Times.ValueAtQuantile(85), all[0].ServiceTimes.ValueAtQuantile(85)
	if due < 100_000 || sent > due/2 {
		t.Errorf("p85 is %d us from when due, %d from when sent", due, sent)
	}
}

func TestLoadTellsTwoTargetsApart(t *testing.T) {
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) }) // behind the servers' end
	quick := startTarget(t, func(int64, http.ResponseWriter) {})
	slow := startTarget(t, func(n int64, w http.ResponseWriter) {
		time.Sleep(20 * time.Millisecond) // what is to be found
		if n%4 == 0 {
			w.WriteHeader(503)
		} else if n%4 == 1 {
			w.WriteHeader(500)
		}
	})
	p := LoadPlan{Targets: []string{quick, slow}, Rates: []float64{100, 200}, Ramp: true, Span: time.Second, Slice: 200 * time.Millisecond, Conns: 16,
		Method: "GET", Timeout: time.Second}
	all, err := Load(context.Background(), p, nil)
	if err != nil {
		t.Fatal(err)
	}
	rows, diffs := SumLoad(p, all)
	if len(rows) != 4 || rows[1].Refused == 0 || rows[1].Bad == 0 || rows[0].Refused+rows[0].Bad > 0 || rows[0].Rate < 130 || rows[0].Rate > 170 {
		t.Errorf("rows %+v", rows)
	}
	found := false
	for _, d := range diffs {
		if d.What == "p50" {
			found = found || d.Low > 1 && d.Pairs == 5
		}
	}
	if !found {
		t.Errorf("the slow target is not told from the quick one: %+v", diffs)
	}
	var text strings.Builder
	LoadTable(&text, rows, diffs)
	page, err := LoadPage(p, all, text.String())
	if err != nil || strings.Count(page, "<svg") != 2 || !strings.Contains(text.String(), "95% interval") {
		t.Errorf("a page of %d bytes, %v:\n%s", len(page), err, text.String())
	}
}

func TestLoadGivesUpWhatCannotBeServed(t *testing.T) {
	url := startTarget(t, func(int64, http.ResponseWriter) { time.Sleep(50 * time.Millisecond) })
	p := LoadPlan{Targets: []string{url}, Rates: []float64{500}, Span: 500 * time.Millisecond, Slice: time.Second, Conns: 2, Method: "GET", Timeout: 200 * time.Millisecond}
	all, err := Load(context.Background(), p, nil)
	if err != nil || all[0].Sent != 250 || all[0].Bad < 100 || all[0].elapsed > 3*time.Second {
		t.Errorf("%+v, %v", all, err)
	}
	for _, bad := range []LoadPlan{{}, {Targets: []string{url}, Rates: []float64{-1}, Span: 1, Slice: 1, Conns: 1}, {Targets: []string{url}, Span: 1, Slice: 1, Conns: 1}} {
		if _, err := Load(context.Background(), bad, nil); err == nil {
			t.Errorf("%+v is no error", bad)
		}
	}
}

package edge

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"dunegrade/trace"
)

// The trace directory becomes unwritable under a running edge and is writable again later. Every txn must be answered, each
// of the two changes logged once, and the number of txns missing from the traces recorded in them.
func TestTraceDirectoryUnavailable(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	logged := func(text string) int { return logs.FilterMessageSnippet(text).Len() }
	parent := t.TempDir()
	dir := filepath.Join(parent, "trace")
	w := newStubWorker(t, echo)
	r := startLogged(t, zap.New(core), fmt.Sprintf(`(trace (folder %q) (segment 64KiB) (age 1s) (total 1MiB) (tail none))`, dir), w)
	sent := 0 // txns
	sendUntil := func(condition string, done func() bool) {
		t.Helper()
		for begun := time.Now(); !done(); sent += 20 {
			if time.Since(begun) > 20*time.Second {
				t.Fatalf("timed out waiting for %s; log: %v", condition, logs.All())
			}
			r.roundTrip(strings.Repeat(get("/ask"), 20), strings.Fields(strings.Repeat("GET ", 20))...)
		}
	}
	segments := func(dir string) int {
		files, _ := filepath.Glob(filepath.Join(dir, "*"+trace.SegmentSuffix))
		return len(files)
	}
	sendUntil("a first segment", func() bool { return segments(dir) > 0 })
	aside := filepath.Join(parent, "aside")
	if err := os.Rename(dir, aside); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(dir, nil, 0o644); err != nil { // a file in place of the directory
		t.Fatal(err)
	}
	sendUntil("the warning in the log", func() bool { return logged("traces cannot be written") > 0 })
	sentBefore := sent
	sendUntil("400 txns without a writable directory", func() bool { return sent > sentBefore+400 })
	if err := os.Remove(dir); err != nil {
		t.Fatal(err)
	}
	sendUntil("the recovery in the log", func() bool { return logged("traces are written again") > 0 })
	sendUntil("a segment after the recovery", func() bool { return segments(dir) > 0 })
	r.stop()
	if err := <-r.done; err != nil {
		t.Fatal(err)
	}
	r.done <- nil
	if logged("traces cannot be written") != 1 || logged("traces are written again") != 1 {
		t.Errorf("want each change logged once, got %v", logs.All())
	}
	all, err := trace.FindRuns([]string{aside, dir})
	if err != nil || len(all) != 1 {
		t.Fatalf("%d runs, %v", len(all), err)
	}
	s, err := trace.Summarise(all, func(string, trace.Damage) {})
	if err != nil || int(s.Missing) == 0 || s.Products[0].Taken+int(s.Missing) != sent {
		t.Errorf("%d txns recorded and %d counted as missing, of %d sent; %v", s.Products[0].Taken, s.Missing, sent, err)
	}
}

// Each trace level must record the txns that it is defined to record. Only traces of level whole can be replayed.
func TestTraceLevels(t *testing.T) {
	for _, c := range []struct {
		level    string
		recorded int  // txns, of 20 voided and 20 settled ones
		replay   bool // the trace can be replayed
	}{{"(level whole)", 40, true}, {"(level sampled) (one-in 1000000)", 20, false}, {"(level decisions)", 40, false}} {
		t.Run(c.level, func(t *testing.T) {
			dir := t.TempDir()
			bad := newStubWorker(t, respond("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"))
			r := startEdge(t, fmt.Sprintf(`(trace (folder %q) %s)`, dir, c.level), bad)
			r.roundTrip(strings.Repeat("POST /pay HTTP/1.1\r\nHost: t\r\nContent-Length: 0\r\n\r\n", 20), strings.Fields(strings.Repeat("POST ", 20))...)
			good := newStubWorker(t, echo)
			r2 := startEdge(t, fmt.Sprintf(`(index 1) (sentries 2) (trace (folder %q) %s)`, dir, c.level), good)
			r2.roundTrip(strings.Repeat(get("/ask"), 20), strings.Fields(strings.Repeat("GET ", 20))...)
			for _, e := range []*testEdge{r, r2} {
				e.stop()
				if err := <-e.done; err != nil {
					t.Fatal(err)
				}
				e.done <- nil
			}
			all, err := trace.FindRuns([]string{dir})
			if err != nil || len(all) != 2 {
				t.Fatalf("%d runs, %v", len(all), err)
			}
			s, err := trace.Summarise(all, nil)
			if err != nil {
				t.Fatal(err)
			}
			recorded := 0
			for _, p := range s.Products {
				recorded += p.Taken
			}
			if recorded != c.recorded || recorded+int(s.LeftOut) != 40 {
				t.Errorf("%d txns recorded and %d left out of 40", recorded, s.LeftOut)
			}
			for _, l := range all {
				if result, err := trace.Replay(l); (err == nil && result.Differs == "") != c.replay {
					t.Errorf("replay of sentry %d: got %+v, %v", l.Sentry, result, err)
				}
			}
		})
	}
}

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

// The folder of the traces goes away under a running edge, and comes back: every txn is answered, one line tells of each
// change, and what the files lack is told in them.
func TestTracesWithoutADisk(t *testing.T) {
	core, lines := observer.New(zapcore.InfoLevel)
	said := func(text string) int { return lines.FilterMessageSnippet(text).Len() }
	parent := t.TempDir()
	dir := filepath.Join(parent, "trace")
	w := newStubWorker(t, echo)
	r := startLogged(t, zap.New(core), fmt.Sprintf(`(trace (folder %q) (segment 64KiB) (age 1s) (total 1MiB) (tail none))`, dir), w)
	asked := 0
	until := func(what string, done func() bool) {
		t.Helper()
		for begun := time.Now(); !done(); asked += 20 {
			if time.Since(begun) > 20*time.Second {
				t.Fatalf("not within 20 s: %s; %v", what, lines.All())
			}
			r.roundTrip(strings.Repeat(get("/ask"), 20), strings.Fields(strings.Repeat("GET ", 20))...)
		}
	}
	segments := func(dir string) int {
		list, _ := filepath.Glob(filepath.Join(dir, "*"+trace.Suffix))
		return len(list)
	}
	until("a first segment", func() bool { return segments(dir) > 0 })
	aside := filepath.Join(parent, "aside")
	if err := os.Rename(dir, aside); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(dir, nil, 0o644); err != nil { // a file stands where the folder should
		t.Fatal(err)
	}
	until("the first line", func() bool { return said("traces cannot be written") > 0 })
	from := asked
	until("txns while nothing is written", func() bool { return asked > from+400 })
	if err := os.Remove(dir); err != nil {
		t.Fatal(err)
	}
	until("the second line", func() bool { return said("traces are written again") > 0 })
	until("a segment after that", func() bool { return segments(dir) > 0 })
	r.stop()
	if err := <-r.done; err != nil {
		t.Fatal(err)
	}
	r.done <- nil
	if said("traces cannot be written") != 1 || said("traces are written again") != 1 {
		t.Errorf("lines: %v", lines.All())
	}
	all, err := trace.Lives([]string{aside, dir})
	if err != nil || len(all) != 1 {
		t.Fatalf("%d lives, %v", len(all), err)
	}
	s, err := trace.Summarise(all, func(string, trace.Damage) {})
	if err != nil || int(s.Missing) == 0 || s.Products[0].Taken+int(s.Missing) != asked {
		t.Errorf("%d txns recorded and %d told missing, of %d; %v", s.Products[0].Taken, s.Missing, asked, err)
	}
}

func TestSampledAndPlainEdgesRecordWhatTheySay(t *testing.T) {
	for _, c := range []struct {
		level  string
		taken  int
		replay bool
	}{{"(level whole)", 40, true}, {"(level sampled) (one-in 1000000)", 20, false}, {"(level decisions)", 40, false}} {
		t.Run(c.level, func(t *testing.T) {
			dir := t.TempDir()
			bad := newStubWorker(t, respond("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"))
			r := startEdge(t, fmt.Sprintf(`(trace (folder %q) %s)`, dir, c.level), bad)
			r.roundTrip(strings.Repeat("POST /pay HTTP/1.1\r\nHost: t\r\nContent-Length: 0\r\n\r\n", 20), strings.Fields(strings.Repeat("POST ", 20))...)
			good := newStubWorker(t, echo)
			r2 := startEdge(t, fmt.Sprintf(`(index 1) (sentries 2) (trace (folder %q) %s)`, dir, c.level), good)
			r2.roundTrip(strings.Repeat(get("/ask"), 20), strings.Fields(strings.Repeat("GET ", 20))...)
			for _, x := range []*testEdge{r, r2} {
				x.stop()
				if err := <-x.done; err != nil {
					t.Fatal(err)
				}
				x.done <- nil
			}
			all, err := trace.Lives([]string{dir})
			if err != nil || len(all) != 2 {
				t.Fatalf("%d lives, %v", len(all), err)
			}
			s, err := trace.Summarise(all, nil)
			if err != nil {
				t.Fatal(err)
			}
			taken := 0
			for _, p := range s.Products {
				taken += p.Taken
			}
			if taken != c.taken || taken+int(s.LeftOut) != 40 {
				t.Errorf("%d txns recorded, %d left out", taken, s.LeftOut)
			}
			for _, l := range all {
				if again, err := trace.Replay(l); (err == nil && again.Differs == "") != c.replay {
					t.Errorf("sentry %d replays as %+v, %v", l.Sentry, again, err)
				}
			}
		})
	}
}

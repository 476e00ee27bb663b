package trace

import (
	"bytes"
	"fmt"
	"math"
	"math/rand"
	"os"
	"path/filepath"
	"sort"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"dunegrade/logic"
	"dunegrade/trace/tracepb"
)

// simulation holds the records of several sentries by true time, and the error of each sentry's clock.
type simulation struct {
	rng     *rand.Rand
	offset  []float64  // nanoseconds
	drift   []float64  // nanoseconds per nanosecond
	records [][]Record // by sentry; times are true times
	serial  []uint64   // by sentry: serial of the last txn
}

// startTime is the start of the recorded runs, nanoseconds since 1970.
const startTime = int64(1.8e18)

// newSimulation returns a simulation of n sentries. Clocks are off by up to maxOffset
// nanoseconds and drift by up to maxPPM parts per million.
func newSimulation(seed int64, n int, maxOffset float64, maxPPM float64) *simulation {
	sim := &simulation{rng: rand.New(rand.NewSource(seed)), records: make([][]Record, n), serial: make([]uint64, n)}
	for i := 0; i < n; i++ {
		sim.offset = append(sim.offset, (2*sim.rng.Float64()-1)*maxOffset)
		sim.drift = append(sim.drift, (2*sim.rng.Float64()-1)*maxPPM*1e-6)
	}
	return sim
}

// add records an event of sentry i at a true time.
func (sim *simulation) add(i int, at int64, r Record) {
	r.At = at
	sim.records[i] = append(sim.records[i], r)
}

// clockTime returns the time that sentry i's clock shows at a true time.
func (sim *simulation) clockTime(i int, at int64) int64 {
	return at + int64(sim.offset[i]+sim.drift[i]*float64(at-startTime))
}

// simulate generates release and worker updates that reach all sentries, and with a probability of 1 in 10 are late at a
// sentry; messages between sentries; and txns that are declined and that clients then send to another sentry.
func (sim *simulation) simulate(span time.Duration, maxDelay time.Duration, messages bool) {
	n := len(sim.records)
	for i := range sim.records {
		sim.add(i, startTime, Record{Kind: tracepb.Kind_START, Token: 1})
		body, _ := proto.Marshal(&tracepb.News{Build: 1})
		sim.add(i, startTime, Record{Kind: tracepb.Kind_NEWS, Body: body})
	}
	for at, k := startTime+1e9, 0; at < startTime+int64(span); at, k = at+2e9+sim.rng.Int63n(2e9), k+1 {
		news, _ := proto.Marshal(&tracepb.News{Build: 2, Stage: int64(k)})
		list, _ := proto.Marshal(&tracepb.List{Workers: []*tracepb.List_Worker{{Id: fmt.Sprintf("w%d", k), Build: 1}}})
		for i := 0; i < n; i++ {
			delay := func() int64 {
				if sim.rng.Intn(10) == 0 {
					return sim.rng.Int63n(int64(maxDelay) + 1)
				}
				return sim.rng.Int63n(3e6)
			}
			sim.add(i, at+delay(), Record{Kind: tracepb.Kind_NEWS, Body: news})
			sim.add(i, at+5e8+delay(), Record{Kind: tracepb.Kind_LIST, Number: uint32(logic.Changes), Body: list})
			if to := sim.rng.Intn(n); messages && to != i {
				body := []byte(fmt.Sprint("message", k, i))
				sim.add(i, at+1e9, Record{Kind: tracepb.Kind_TELL, Number: uint32(to), Body: body})
				sim.add(to, at+1e9+sim.rng.Int63n(5e6), Record{Kind: tracepb.Kind_TOLD, Number: uint32(i), Body: body})
			}
		}
	}
	for at, k := startTime+1e9, uint64(1); at < startTime+int64(span); at, k = at+sim.rng.Int63n(2e8), k+1 {
		i := sim.rng.Intn(n)
		id := [2]uint64{9, k}
		take := func(i int, at int64, repeat bool) {
			sim.serial[i]++
			sim.add(i, at, Record{Kind: tracepb.Kind_TAKE, Txn: k, Serial: sim.serial[i], Key: k | 1, TraceID: id, Repeat: repeat, Patience: 1e9})
		}
		take(i, at, false)
		sim.add(i, at+2e6, Record{Kind: tracepb.Kind_DECLINE, Txn: k, Span: 1e6})
		if j := sim.rng.Intn(n); j != i {
			repeatAt := at + 3e6 + sim.rng.Int63n(2e7)
			take(j, repeatAt, true)
			sim.add(j, repeatAt+4e6, Record{Kind: tracepb.Kind_VOID, Txn: k})
		}
	}
	for i := range sim.records {
		sort.SliceStable(sim.records[i], func(a, b int) bool { return sim.records[i][a].At < sim.records[i][b].At })
	}
}

// writeRuns writes each sentry's records by its own clock. The monotonic clocks start at arbitrary values.
func (sim *simulation) writeRuns(t *testing.T, dir string) []*Run {
	var paths []string
	for i, records := range sim.records {
		path := filepath.Join(dir, fmt.Sprintf("s%d%s", i, SegmentSuffix))
		var buf bytes.Buffer
		start := int64(i+1) * 1e13
		wall := sim.clockTime(i, startTime)
		fw, err := newFileWriter(&buf, &tracepb.Header{Version: 1, Edge: fmt.Sprintf("edge-%d", i), Sentry: uint32(i), Life: uint64(i + 1), Wall: wall, Start: start,
			Products: []string{"ask"}})
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range records {
			r.At = start + sim.clockTime(i, r.At) - wall
			if err := fw.writeRecord(r, ""); err != nil {
				t.Fatal(err)
			}
		}
		if err := fw.close(); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, buf.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
		paths = append(paths, path)
	}
	runs, err := FindRuns(paths)
	if err != nil || len(runs) != len(sim.records) {
		t.Fatalf("%d runs, %v", len(runs), err)
	}
	return runs
}

// countOrderErrors counts the effects that are placed before their causes: a message received before it was sent, or a
// repeat before the end of the first attempt. The records are given by their causalMark.
func countOrderErrors(order []string) int {
	at := map[string]int{}
	for i, k := range order {
		if _, seen := at[k]; !seen {
			at[k] = i
		}
	}
	n := 0
	for k, i := range at {
		if k[0] != '>' {
			continue
		}
		if from, seen := at["<"+k[1:]]; seen && from > i {
			n++
		}
	}
	return n
}

// causalMark labels a record as the cause (<) or the effect (>) of an event, or as neither.
func causalMark(run int, r *Record) string {
	switch r.Kind {
	case tracepb.Kind_TELL:
		return fmt.Sprintf("<%s", r.Body)
	case tracepb.Kind_TOLD:
		return fmt.Sprintf(">%s", r.Body)
	case tracepb.Kind_DECLINE:
		return fmt.Sprintf("<try%d", r.Txn)
	case tracepb.Kind_TAKE:
		if r.Repeat {
			return fmt.Sprintf(">try%d", r.Txn)
		}
	}
	return "-"
}

// Merges runs of simulated sentries whose clocks are seconds apart and drift, and whose updates can be late. No effect
// may precede its cause, and each estimate must be accurate and within its stated uncertainty. The order by raw clock
// times must have errors, or the test would prove nothing.
func TestClocksThatDisagree(t *testing.T) {
	for _, c := range []struct {
		name      string
		sentries  int
		maxOffset float64 // nanoseconds
		maxPPM    float64
		maxDelay  time.Duration // of late updates
		messages  bool          // sentries send each other messages
		maxError  time.Duration // largest error allowed
	}{
		{"clocks that agree", 3, 0, 0, 0, true, 20 * time.Millisecond},
		{"5 s off", 4, 5e9, 0, 0, true, 20 * time.Millisecond},
		{"5 s off, 200 ppm", 4, 5e9, 200, 0, true, 20 * time.Millisecond},
		{"updates up to 3 s late", 4, 5e9, 200, 3 * time.Second, true, 20 * time.Millisecond},
		{"no messages between sentries", 4, 5e9, 200, 3 * time.Second, false, 20 * time.Millisecond},
		{"twelve sentries", 12, 5e9, 200, 3 * time.Second, true, 20 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			if testing.Short() && c.sentries > 4 {
				t.Skip("slow with the race detector")
			}
			sim := newSimulation(11, c.sentries, c.maxOffset, c.maxPPM)
			sim.simulate(5*time.Minute, c.maxDelay, c.messages)
			runs := sim.writeRuns(t, t.TempDir())
			var raw, merged []string // causal marks, in order
			type markedRecord struct {
				at   int64
				mark string
			}
			var all []markedRecord
			for i, list := range sim.records {
				for k := range list {
					all = append(all, markedRecord{sim.clockTime(i, list[k].At), causalMark(i, &list[k])})
				}
			}
			sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
			for _, x := range all {
				raw = append(raw, x.mark)
			}
			worst, last := 0.0, int64(math.MinInt64)
			m, err := mergeRecords(runs, nil, func(run int, at int64, r *Record, _ string) error {
				if at < last {
					t.Fatalf("time goes back from %d to %d", last, at)
				}
				last = at
				merged = append(merged, causalMark(run, r))
				return nil
			})
			if err != nil {
				t.Fatal(err)
			}
			for i := range sim.records {
				for _, at := range []int64{startTime, startTime + int64(5*time.Minute)} {
					clockError := m.Clocks[i].ToReference(sim.clockTime(i, at)) - sim.clockTime(0, at)
					worst = max(worst, math.Abs(float64(clockError)))
					if math.Abs(float64(clockError)) > float64(m.Clocks[i].Unsure)+1 {
						t.Errorf("sentry %d: error %v, estimated %v", i, time.Duration(clockError), m.Clocks[i])
					}
				}
			}
			t.Logf("worst error %v, of clocks up to %v apart; effects before their causes: %d by raw time, %d merged; %d records delayed",
				time.Duration(worst), time.Duration(2*c.maxOffset), countOrderErrors(raw), countOrderErrors(merged), m.Held)
			if worst > float64(c.maxError) || countOrderErrors(merged) > 0 || c.maxOffset > 0 && countOrderErrors(raw) == 0 || len(merged) != len(raw) || m.Loops > 0 {
				t.Errorf("worst error %v, %d of %d records, %d effects before their causes (%d by raw time), %d cycles", time.Duration(worst), len(merged),
					len(raw), countOrderErrors(merged), countOrderErrors(raw), m.Loops)
			}
		})
	}
}

// A merged file must yield the records of each run in order, and can be neither replayed nor merged again.
func TestMergedFileIsSplitIntoRuns(t *testing.T) {
	sim := newSimulation(5, 3, 5e9, 200)
	sim.simulate(time.Minute, 0, true)
	dir := t.TempDir()
	runs := sim.writeRuns(t, dir)
	path := filepath.Join(dir, "merged"+SegmentSuffix)
	out, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	m, err := Merge(runs, out, nil)
	if err != nil {
		t.Fatal(err)
	}
	out.Close()
	split, err := FindRuns([]string{path})
	if err != nil || len(split) != 3 {
		t.Fatalf("%d runs, %v", len(split), err)
	}
	n := 0
	for i, l := range split {
		if l.Sentry != uint32(i) || l.ClockUncertainty != m.Clocks[i].Unsure {
			t.Errorf("run %d: %+v", i, l)
		}
		index := 0
		err := l.Each(func(r *Record, _ []string) bool {
			if r.Kind == tracepb.Kind_BACK {
				return true
			}
			if want := sim.records[i][index]; r.Kind != want.Kind || r.Txn != want.Txn || r.Serial != want.Serial {
				t.Fatalf("run %d, record %d: %+v, want %+v", i, index, r, want)
			}
			index++
			return true
		}, nil)
		if err != nil || index != len(sim.records[i]) {
			t.Errorf("run %d: %d of %d records, %v", i, index, len(sim.records[i]), err)
		}
		n += index
		if _, err := Replay(l); err != ErrSampled {
			t.Errorf("replaying a merged file: %v", err)
		}
	}
	if n != m.Records {
		t.Errorf("%d records merged, %d read", m.Records, n)
	}
	if _, err := Merge(split, &bytes.Buffer{}, nil); err == nil {
		t.Error("merging a merged file succeeded")
	}
}

// The clock of a run that shares no event with the others must be reported as unbounded, not get an arbitrary offset.
func TestUnrelatedClockIsUnbounded(t *testing.T) {
	sim := newSimulation(5, 2, 5e9, 200)
	sim.simulate(time.Minute, 0, false)
	sim.records[1] = []Record{{Kind: tracepb.Kind_START, At: startTime}, {Kind: tracepb.Kind_LOG, At: startTime + 1e9, Text: "alone"}}
	clocks, err := EstimateClocks(sim.writeRuns(t, t.TempDir()), nil)
	if err != nil || clocks[1].Unsure >= 0 || clocks[0].Unsure != 0 {
		t.Errorf("%v, %v", clocks, err)
	}
}

// A relation that contradicts all others must be ignored and counted. Here a message is received 10 s before it is sent.
func TestContradictingBoundsAreIgnored(t *testing.T) {
	sim := newSimulation(5, 2, 5e9, 100)
	sim.simulate(time.Minute, 0, true)
	sim.add(0, startTime+int64(40e9), Record{Kind: tracepb.Kind_TOLD, Number: 1, Body: []byte("from the future")})
	sim.add(1, startTime+int64(50e9), Record{Kind: tracepb.Kind_TELL, Number: 0, Body: []byte("from the future")})
	for i := range sim.records {
		sort.SliceStable(sim.records[i], func(a, b int) bool { return sim.records[i][a].At < sim.records[i][b].At })
	}
	clocks, err := EstimateClocks(sim.writeRuns(t, t.TempDir()), nil)
	if err != nil || clocks[1].Broken != 1 {
		t.Errorf("%+v, %v", clocks, err)
	}
}

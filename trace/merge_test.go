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

// world is some sentries' records in true time, and what their clocks make of it.
type world struct {
	rng    *rand.Rand
	offset []float64 // nanoseconds
	drift  []float64
	recs   [][]Record // by sentry, in true time
	serial []uint64
}

const began = int64(1.8e18)

func newWorld(seed int64, n int, most float64, ppm float64) *world {
	w := &world{rng: rand.New(rand.NewSource(seed)), recs: make([][]Record, n), serial: make([]uint64, n)}
	for i := 0; i < n; i++ {
		w.offset = append(w.offset, (2*w.rng.Float64()-1)*most)
		w.drift = append(w.drift, (2*w.rng.Float64()-1)*ppm*1e-6)
	}
	return w
}

func (w *world) put(i int, at int64, r Record) {
	r.At = at
	w.recs[i] = append(w.recs[i], r)
}

// shown is what a sentry's clock shows at a true moment.
func (w *world) shown(i int, at int64) int64 {
	return at + int64(w.offset[i]+w.drift[i]*float64(at-began))
}

// play makes minutes of life: news and changes of the list told to all, one in ten late to somebody; messages between
// sentries; txns whose clients go on to another sentry when they are declined.
func (w *world) play(span time.Duration, late time.Duration, messages bool) {
	n := len(w.recs)
	for i := range w.recs {
		w.put(i, began, Record{Kind: tracepb.Kind_START, Token: 1})
		body, _ := proto.Marshal(&tracepb.News{Build: 1})
		w.put(i, began, Record{Kind: tracepb.Kind_NEWS, Body: body})
	}
	for at, k := began+1e9, 0; at < began+int64(span); at, k = at+2e9+w.rng.Int63n(2e9), k+1 {
		news, _ := proto.Marshal(&tracepb.News{Build: 2, Stage: int64(k)})
		list, _ := proto.Marshal(&tracepb.List{Workers: []*tracepb.List_Worker{{Id: fmt.Sprintf("w%d", k), Build: 1}}})
		for i := 0; i < n; i++ {
			wait := func() int64 {
				if w.rng.Intn(10) == 0 {
					return w.rng.Int63n(int64(late) + 1)
				}
				return w.rng.Int63n(3e6)
			}
			w.put(i, at+wait(), Record{Kind: tracepb.Kind_NEWS, Body: news})
			w.put(i, at+5e8+wait(), Record{Kind: tracepb.Kind_LIST, Number: uint32(logic.Changes), Body: list})
			if to := w.rng.Intn(n); messages && to != i {
				body := []byte(fmt.Sprint("message", k, i))
				w.put(i, at+1e9, Record{Kind: tracepb.Kind_TELL, Number: uint32(to), Body: body})
				w.put(to, at+1e9+w.rng.Int63n(5e6), Record{Kind: tracepb.Kind_TOLD, Number: uint32(i), Body: body})
			}
		}
	}
	for at, k := began+1e9, uint64(1); at < began+int64(span); at, k = at+w.rng.Int63n(2e8), k+1 {
		i := w.rng.Intn(n)
		id := [2]uint64{9, k}
		take := func(i int, at int64, repeat bool) {
			w.serial[i]++
			w.put(i, at, Record{Kind: tracepb.Kind_TAKE, Txn: k, Serial: w.serial[i], Key: k | 1, TraceID: id, Repeat: repeat, Patience: 1e9})
		}
		take(i, at, false)
		w.put(i, at+2e6, Record{Kind: tracepb.Kind_DECLINE, Txn: k, Span: 1e6})
		if j := w.rng.Intn(n); j != i {
			again := at + 3e6 + w.rng.Int63n(2e7)
			take(j, again, true)
			w.put(j, again+4e6, Record{Kind: tracepb.Kind_VOID, Txn: k})
		}
	}
	for i := range w.recs {
		sort.SliceStable(w.recs[i], func(a, b int) bool { return w.recs[i][a].At < w.recs[i][b].At })
	}
}

// files writes what each sentry recorded, by its own clock, which starts at nothing in particular.
func (w *world) files(t *testing.T, dir string) []*Life {
	var paths []string
	for i, list := range w.recs {
		path := filepath.Join(dir, fmt.Sprintf("s%d%s", i, Suffix))
		var buf bytes.Buffer
		start := int64(i+1) * 1e13
		wall := w.shown(i, began)
		p, err := newFileWriter(&buf, &tracepb.Header{Version: 1, Edge: fmt.Sprintf("edge-%d", i), Sentry: uint32(i), Life: uint64(i + 1), Wall: wall, Start: start,
			Products: []string{"ask"}})
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range list {
			r.At = start + w.shown(i, r.At) - wall
			if err := p.writeRecord(r, ""); err != nil {
				t.Fatal(err)
			}
		}
		if err := p.close(); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, buf.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
		paths = append(paths, path)
	}
	lives, err := Lives(paths)
	if err != nil || len(lives) != len(w.recs) {
		t.Fatalf("%d lives, %v", len(lives), err)
	}
	return lives
}

// wrong counts effects that an order puts before their causes: a message before it was sent, a repeat before its
// first try had ended.
func wrong(order []string) int {
	at := map[string]int{}
	for i, k := range order {
		if _, known := at[k]; !known {
			at[k] = i
		}
	}
	n := 0
	for k, i := range at {
		if k[0] != '>' {
			continue
		}
		if from, known := at["<"+k[1:]]; known && from > i {
			n++
		}
	}
	return n
}

// mark names a record as the cause (<) or the effect (>) of something, or as neither.
func mark(life int, r *Record) string {
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

func TestClocksThatDisagree(t *testing.T) {
	for _, c := range []struct {
		name     string
		n        int
		off, ppm float64
		late     time.Duration
		messages bool
		within   time.Duration // the error may be
	}{
		{"clocks that agree", 3, 0, 0, 0, true, 20 * time.Millisecond},
		{"5 s off", 4, 5e9, 0, 0, true, 20 * time.Millisecond},
		{"5 s off, 200 ppm", 4, 5e9, 200, 0, true, 20 * time.Millisecond},
		{"news up to 3 s late", 4, 5e9, 200, 3 * time.Second, true, 20 * time.Millisecond},
		{"sentries that do not talk", 4, 5e9, 200, 3 * time.Second, false, 20 * time.Millisecond},
		{"twelve sentries", 12, 5e9, 200, 3 * time.Second, true, 20 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			if testing.Short() && c.n > 4 {
				t.Skip("slow with the race detector")
			}
			w := newWorld(11, c.n, c.off, c.ppm)
			w.play(5*time.Minute, c.late, c.messages)
			lives := w.files(t, t.TempDir())
			var raw, out []string
			type one struct {
				at int64
				k  string
			}
			var all []one
			for i, list := range w.recs {
				for k := range list {
					all = append(all, one{w.shown(i, list[k].At), mark(i, &list[k])})
				}
			}
			sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
			for _, x := range all {
				raw = append(raw, x.k)
			}
			worst, last := 0.0, int64(math.MinInt64)
			m, err := mergeRecords(lives, nil, func(life int, at int64, r *Record, _ string) error {
				if at < last {
					t.Fatalf("time goes back from %d to %d", last, at)
				}
				last = at
				out = append(out, mark(life, r))
				return nil
			})
			if err != nil {
				t.Fatal(err)
			}
			for i := range w.recs {
				for _, at := range []int64{began, began + int64(5*time.Minute)} {
					was := m.Clocks[i].ToReference(w.shown(i, at)) - w.shown(0, at)
					worst = max(worst, math.Abs(float64(was)))
					if math.Abs(float64(was)) > float64(m.Clocks[i].Unsure)+1 {
						t.Errorf("sentry %d is off by %v, and says %v", i, time.Duration(was), m.Clocks[i])
					}
				}
			}
			t.Logf("worst error %v, of clocks up to %v apart; effects before their causes: %d by raw time, %d merged; %d held",
				time.Duration(worst), time.Duration(2*c.off), wrong(raw), wrong(out), m.Held)
			if worst > float64(c.within) || wrong(out) > 0 || c.off > 0 && wrong(raw) == 0 || len(out) != len(raw) || m.Loops > 0 {
				t.Errorf("worst error %v, %d of %d records, %d effects before their causes (%d by raw time), %d loops", time.Duration(worst), len(out),
					len(raw), wrong(out), wrong(raw), m.Loops)
			}
		})
	}
}

func TestMergedFileIsTakenApartAgain(t *testing.T) {
	w := newWorld(5, 3, 5e9, 200)
	w.play(time.Minute, 0, true)
	dir := t.TempDir()
	lives := w.files(t, dir)
	path := filepath.Join(dir, "merged"+Suffix)
	out, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	m, err := Merge(lives, out, nil)
	if err != nil {
		t.Fatal(err)
	}
	out.Close()
	again, err := Lives([]string{path})
	if err != nil || len(again) != 3 {
		t.Fatalf("%d lives, %v", len(again), err)
	}
	n := 0
	for i, l := range again {
		if l.Sentry != uint32(i) || l.ClockUncertainty != m.Clocks[i].Unsure {
			t.Errorf("life %d: %+v", i, l)
		}
		k := 0
		err := l.Each(func(r *Record, _ []string) bool {
			if r.Kind == tracepb.Kind_BACK {
				return true
			}
			if want := w.recs[i][k]; r.Kind != want.Kind || r.Txn != want.Txn || r.Serial != want.Serial {
				t.Fatalf("life %d, record %d: %+v, want %+v", i, k, r, want)
			}
			k++
			return true
		}, nil)
		if err != nil || k != len(w.recs[i]) {
			t.Errorf("life %d: %d of %d records, %v", i, k, len(w.recs[i]), err)
		}
		n += k
		if _, err := Replay(l); err != ErrSampled {
			t.Errorf("a merged file replays: %v", err)
		}
	}
	if n != m.Records {
		t.Errorf("%d records merged, %d read", m.Records, n)
	}
	if _, err := Merge(again, &bytes.Buffer{}, nil); err == nil {
		t.Error("a merged file is merged again")
	}
}

// A life that shares nothing with the others must say so, rather than stand at a time that nobody knows.
func TestNothingBindsAClock(t *testing.T) {
	w := newWorld(5, 2, 5e9, 200)
	w.play(time.Minute, 0, false)
	w.recs[1] = []Record{{Kind: tracepb.Kind_START, At: began}, {Kind: tracepb.Kind_LOG, At: began + 1e9, Text: "alone"}}
	clocks, err := Clocks(w.files(t, t.TempDir()), nil)
	if err != nil || clocks[1].Unsure >= 0 || clocks[0].Unsure != 0 {
		t.Errorf("%v, %v", clocks, err)
	}
}

// A planted fault: a cause that the clocks cannot hold, as where a message is matched to the wrong one.
func TestContradictingBoundsAreLeftAside(t *testing.T) {
	w := newWorld(5, 2, 5e9, 100)
	w.play(time.Minute, 0, true)
	w.put(0, began+int64(40e9), Record{Kind: tracepb.Kind_TOLD, Number: 1, Body: []byte("from the future")})
	w.put(1, began+int64(50e9), Record{Kind: tracepb.Kind_TELL, Number: 0, Body: []byte("from the future")})
	for i := range w.recs {
		sort.SliceStable(w.recs[i], func(a, b int) bool { return w.recs[i][a].At < w.recs[i][b].At })
	}
	clocks, err := Clocks(w.files(t, t.TempDir()), nil)
	if err != nil || clocks[1].Broken != 1 {
		t.Errorf("%+v, %v", clocks, err)
	}
}

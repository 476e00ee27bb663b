package trace

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"os"
	"path/filepath"
	"reflect"
	"runtime"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"dunegrade/logic"
	"dunegrade/trace/tracepb"
)

// memoryDir is a folder in memoryDir, whose writes fail or stall as a test wants.
type memoryDir struct {
	mu       sync.Mutex
	files    map[string]*bytes.Buffer
	writeErr error
	capacity int // bytes until the disk is full; 0: endless
	gate     chan struct{}
}

func newMemoryDir() *memoryDir { return &memoryDir{files: map[string]*bytes.Buffer{}} }

type memoryFile struct {
	dir  *memoryDir
	name string
}

func (f memoryFile) Write(b []byte) (int, error) {
	if f.dir.gate != nil {
		<-f.dir.gate
	}
	f.dir.mu.Lock()
	defer f.dir.mu.Unlock()
	if f.dir.writeErr != nil {
		return 0, f.dir.writeErr
	}
	if f.dir.capacity > 0 && f.dir.files[f.name].Len()+len(b) > f.dir.capacity {
		n := f.dir.capacity - f.dir.files[f.name].Len()
		f.dir.files[f.name].Write(b[:max(0, n)])
		return n, errors.New("no space left")
	}
	return f.dir.files[f.name].Write(b)
}
func (f memoryFile) Close() error { return nil }
func (m *memoryDir) setWriteErr(fail error) {
	m.mu.Lock()
	m.writeErr = fail
	m.mu.Unlock()
}
func (m *memoryDir) Create(name string) (io.WriteCloser, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.writeErr != nil {
		return nil, m.writeErr
	}
	m.files[name] = &bytes.Buffer{}
	return memoryFile{m, name}, nil
}
func (m *memoryDir) Remove(name string) error               { delete(m.files, name); return nil }
func (m *memoryDir) List() ([]Segment, error)               { return nil, nil }
func (m *memoryDir) Replace(name string, data []byte) error { return nil }

var testRetention = Keep{SegmentBytes: 1 << 20, SegmentAge: time.Hour, TotalBytes: 1 << 30}

var testSettings = map[string]any{"products.count": 2.0, "products.0.effect": "inquiry-like", "products.1.effect": "once-only",
	"products.0.sla": 3e8, "products.1.sla": 3e8, "allow.submissions": 4.0, "allow.copies": true, "allow.cancel": true, "sentries": 1.0,
	"release.votes": "single", "release.caps.0": 0.1, "release.free": 3.0, "release.window": 4e9, "release.bake": 1e9,
	"rules.cold": 3e9, "rules.cold-from": 0.3, "rules.fall-multiple": 2.0, "rules.fall-after": 1e9}

// recordedSentry is a sentry that is recorded as the edge does it; its workers answer by chance.
type recordedSentry struct {
	*actionCollector // keeps nothing here
	rec              *Recorder
	now              logic.Nanos
	submissions      []action
	timers           []logic.Nanos
	tokens           []uint64
	recorded         map[logic.TxnID]bool
}

func (h *recordedSentry) Submit(t logic.TxnID, w logic.WorkerID, to logic.Nanos) {
	if h.recorded[t] {
		h.rec.Submit(h.now, t, w, to)
	}
	h.submissions = append(h.submissions, action{txn: uint64(t), worker: string(w)})
}
func (h *recordedSentry) event(k Kind, t logic.TxnID, n int, token, span uint64) {
	if t == 0 || h.recorded[t] {
		h.rec.Event(h.now, k, t, n, token, span)
	}
}
func (h *recordedSentry) Cancel(t logic.TxnID, n int) { h.event(tracepb.Kind_CANCEL, t, n, 0, 0) }
func (h *recordedSentry) Decline(t logic.TxnID, after logic.Nanos) {
	h.event(tracepb.Kind_DECLINE, t, 0, 0, uint64(after))
}
func (h *recordedSentry) Void(t logic.TxnID) { h.event(tracepb.Kind_VOID, t, 0, 0, 0) }
func (h *recordedSentry) Vote(v logic.Verdict, rel logic.RelID, stage int) {
	h.event(tracepb.Kind_VOTE, 0, int(v), uint64(rel), uint64(stage))
}
func (h *recordedSentry) Log(text string) { h.rec.Log(h.now, text) }
func (h *recordedSentry) SetTimer(after logic.Nanos, token uint64) {
	h.event(tracepb.Kind_REMIND, 0, 0, token, uint64(after))
	h.timers, h.tokens = append(h.timers, h.now+after), append(h.tokens, token)
}

// recordTxns records n txns of a sentry with a build on trial that fails, and gives how many were recorded.
// pace waits for the writer, as txns come faster here than any edge takes them.
func recordTxns(t *testing.T, rec *Recorder, n int, pace bool) int {
	rng := rand.New(rand.NewSource(5))
	h := &recordedSentry{actionCollector: &actionCollector{}, rec: rec, now: 1e12, recorded: map[logic.TxnID]bool{}}
	rec.Start(h.now, 99)
	s := logic.New(h.now, 99, testSettings, h)
	var list []logic.Worker
	for i := 0; i < 8; i++ {
		list = append(list, logic.Worker{ID: logic.WorkerID(fmt.Sprintf("w%d", i)), Rel: logic.RelID(1 + i/6), Weight: 1})
	}
	rec.List(h.now, logic.Whole, list)
	s.UpdateWorkers(h.now, logic.Whole, list)
	news := logic.ReleaseUpdate{Rel: 2, Cap: 0.3, Phase: logic.OnTrial}
	rec.News(h.now, news)
	s.ReleaseUpdate(h.now, news)
	count := 0
	for i := 1; i <= n; i++ {
		h.now += logic.Nanos(rng.Int63n(int64(10 * logic.Millisecond)))
		for k := 0; k < len(h.timers); k++ {
			if h.timers[k] <= h.now {
				token := h.tokens[k]
				h.timers, h.tokens = append(h.timers[:k], h.timers[k+1:]...), append(h.tokens[:k], h.tokens[k+1:]...)
				k--
				rec.Event(h.now, tracepb.Kind_TIMER, 0, 0, token, 0)
				s.TimerFired(h.now, token)
			}
		}
		rec.Flush(h.now)
		for pace && rec.freeBuffers() <= reservedBuffers {
			runtime.Gosched()
		}
		x := logic.Txn{ID: logic.TxnID(i), Product: logic.ProductID(rng.Intn(2)), Key: logic.KeyID(rng.Intn(50) + 1), Cost: 2e7, Expiry: h.now + logic.Second}
		if rec.Take(h.now, &x, uint64(i), uint64(i%2)*uint64(i), uint64(i%2)*7) {
			h.recorded[x.ID] = true
			count++
		}
		s.Take(h.now, x)
		for tries := 0; len(h.submissions) > 0; tries++ {
			a := h.submissions[0]
			h.submissions = h.submissions[1:]
			o := logic.Outcome{Txn: logic.TxnID(a.txn), Number: tries, Elapsed: logic.Nanos(rng.Int63n(int64(40 * logic.Millisecond)))}
			if a.worker > "w5" && rng.Intn(3) == 0 {
				o.Ending = logic.ErrorResponse
			}
			o.Final = o.Ending == logic.OK
			if rng.Intn(2) == 0 {
				o.Load = &logic.Load{Util: rng.Float64(), Queue: 2, Busy: -1}
			}
			if h.recorded[o.Txn] {
				rec.Outcome(h.now, &o, 200)
			}
			s.Outcome(h.now, o)
		}
		delete(h.recorded, x.ID)
	}
	rec.Close(h.now)
	return count
}

// recordRun records a life into a folder on disk and gives its segments.
func recordRun(t *testing.T, dir string, keep Keep, n int) []string {
	rec, err := NewRecorder(Disk(dir), keep, &tracepb.Header{Edge: "e", Sentry: 1, Life: 77, Products: []string{"ask", "pay"}}, testSettings, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	if got := recordTxns(t, rec, n, true); got != n {
		t.Fatalf("%d of %d txns recorded", got, n)
	}
	paths, _ := filepath.Glob(filepath.Join(dir, "*"+Suffix))
	return paths
}

func TestRecordEncodingMatchesSchema(t *testing.T) {
	r := Record{Kind: tracepb.Kind_OUTCOME, At: 1500, Txn: 1 << 40, Serial: 9, Number: 2, Worker: 3, Product: 1, Customer: 4, Ending: 5, Key: 77,
		TraceID: [2]uint64{1, 2}, Cost: 6, Patience: 7, Elapsed: 8, Token: 1 << 60, Span: 10, Util: 0.5, Queue: 1.0 / 3, Busy: -1, Repeat: true,
		Over: true, Loaded: true, Body: []byte("body"), Text: "text", Origin: 3}
	var back Record
	rest, err := back.Decode(append(r.Append(nil, 1000), "rest"...), 1000)
	if err != nil || string(rest) != "rest" || !reflect.DeepEqual(r, back) {
		t.Fatalf("got %+v, %q, %v", back, rest, err)
	}
	var m tracepb.Record
	if err := proto.Unmarshal(r.Append(nil, 1000)[2:], &m); err != nil {
		t.Fatal(err)
	}
	if m.AfterNanos != 500 || m.Txn != r.Txn || m.Key != r.Key || m.UtilThousandths != 500 || !m.Over || string(m.Body) != "body" || m.TraceLow != 2 {
		t.Errorf("by the generated code: %v", &m)
	}
	long := Record{Kind: tracepb.Kind_LOG, At: 1, Text: string(make([]byte, 40000))}
	if _, err := back.Decode(long.Append([]byte("x"), 0)[1:], 0); err != nil || len(back.Text) != 40000 {
		t.Errorf("a long record: %d bytes, %v", len(back.Text), err)
	}
}

func TestReplayMatchesAndDetectsChangedSettings(t *testing.T) {
	recordRun(t, t.TempDir(), testRetention, 10)
	dir := t.TempDir()
	recordRun(t, dir, Keep{SegmentBytes: 64 << 10, SegmentAge: time.Hour, TotalBytes: 1 << 30}, 20000)
	all, err := Lives([]string{dir})
	if err != nil || len(all) != 1 || len(all[0].Paths) < 2 {
		t.Fatalf("%v, %v", all, err)
	}
	r, err := Replay(all[0])
	if err != nil || r.Differs != "" || r.Txns != 20000 || r.Actions < 20000 {
		t.Fatalf("%+v, %v", r, err)
	}
	other := map[string]any{}
	for k, v := range testSettings {
		other[k] = v
	}
	other["release.free"] = 4.0
	r, err = replay(all[0], other)
	if err != nil || r.Differs == "" {
		t.Errorf("another setting replays as equal: %+v, %v", r, err)
	}
	// With fewer submissions allowed, txns that failed at the bad build are given up; with the same, nothing differs.
	if d, err := WhatIf(all[0], testSettings); err != nil || d.Differ != 0 || d.Txns != 20000 || d.First != 0 {
		t.Errorf("the same settings differ: %+v, %v", d, err)
	}
	other["release.free"], other["allow.submissions"] = 3.0, 1.0
	if d, err := WhatIf(all[0], other); err != nil || d.Differ == 0 || d.Sums["VOID"][1]+d.Sums["DECLINE"][1] <= d.Sums["VOID"][0]+d.Sums["DECLINE"][0] {
		t.Errorf("one submission at the most: %+v, %v", d, err)
	}
	all[0].Paths, all[0].Headers = all[0].Paths[1:], all[0].Headers[1:]
	if _, err := Replay(all[0]); !errors.Is(err, ErrNoStart) {
		t.Errorf("without its first segment: %v", err)
	}
}

// countRecords gives how many records are read, and the damages.
func countRecords(data []byte) (n int, last int64, damages int, err error) {
	f, err := Open(bytes.NewReader(data), int64(len(data)))
	if err != nil {
		return 0, 0, 0, err
	}
	defer f.Close()
	damages = len(f.Damages)
	for i := range f.Blocks {
		if err := f.Read(i, func(r *Record, _ []string) bool { n++; last = r.At; return true }); err != nil {
			damages++
		}
	}
	return n, last, damages, nil
}

// encodeSmallFile makes a file of a few encodeSmallFile blocks, and gives the ends of its frames.
func encodeSmallFile(t *testing.T) (data []byte, ends []int, records []int) {
	enc, err := newEncoder()
	if err != nil {
		t.Fatal(err)
	}
	head, _ := headerFrame(&tracepb.Header{Version: 1, Edge: "e"})
	data = append(data, head...)
	ends, records = append(ends, len(data)), append(records, 0)
	var index tracepb.Index
	for b := 0; b < 4; b++ {
		var body []byte
		at := int64(b * 1000)
		for i := 0; i < 20; i++ {
			r := Record{Kind: tracepb.Kind_TAKE, At: int64(b*1000 + i), Txn: uint64(i + 1), Serial: uint64(b*20 + i + 1), Key: uint64(b + 1)}
			body = r.Append(body, at)
			at = r.At
		}
		frame, info, err := enc.encodeBlock(int64(b*1000), body)
		if err != nil {
			t.Fatal(err)
		}
		index.Blocks = append(index.Blocks, enc.indexEntry(uint64(len(data)), info))
		data = append(data, frame...)
		ends, records = append(ends, len(data)), append(records, 20*(b+1))
	}
	frame, err := indexFrame(&index)
	if err != nil {
		t.Fatal(err)
	}
	return append(data, frame...), ends, records
}

func TestTruncationAtEveryByte(t *testing.T) {
	data, ends, records := encodeSmallFile(t)
	for cut := 0; cut <= len(data); cut++ {
		n, _, _, err := countRecords(data[:cut])
		want := 0
		for i, end := range ends {
			if cut >= end {
				want = records[i]
			}
		}
		if cut < ends[0] {
			if !errors.Is(err, ErrNoTrace) {
				t.Fatalf("cut at %d: %v", cut, err)
			}
			continue
		}
		if err != nil || n != want {
			t.Fatalf("cut at %d: %d records of %d, %v", cut, n, want, err)
		}
	}
}

func TestFlippedByteIsDetectedAndOtherBlocksRead(t *testing.T) {
	data, ends, _ := encodeSmallFile(t)
	for at := ends[0]; at < len(data); at++ {
		for _, whole := range []bool{true, false} { // with the index, and without
			spoilt := append([]byte(nil), data...)
			if !whole {
				spoilt = spoilt[:ends[len(ends)-1]]
				if at >= len(spoilt) {
					continue
				}
			}
			spoilt[at] ^= 0x40
			n, _, damages, err := countRecords(spoilt)
			if at >= ends[len(ends)-1] { // in the index: made anew from the blocks
				if err != nil || n != 80 {
					t.Fatalf("index flipped at %d: %d records, %v", at, n, err)
				}
				continue
			}
			if err != nil || n != 60 || damages == 0 {
				t.Fatalf("flipped at %d: %d records, %d damages, %v", at, n, damages, err)
			}
		}
	}
}

func TestNewerVersionIsRefused(t *testing.T) {
	head, _ := headerFrame(&tracepb.Header{Version: 2})
	if _, err := Open(bytes.NewReader(head), int64(len(head))); !errors.Is(err, ErrVersion) {
		t.Errorf("got %v", err)
	}
}

// The file of the first version stays readable for good.
func TestFirstVersionIsRead(t *testing.T) {
	data, err := os.ReadFile("testdata/version-1.dgt")
	if err != nil {
		t.Fatal(err)
	}
	n, _, damages, err := countRecords(data)
	if err != nil || n == 0 || damages > 0 {
		t.Errorf("%d records, %d damages, %v", n, damages, err)
	}
}

func TestFollow(t *testing.T) {
	dir := t.TempDir()
	recordRun(t, dir, testRetention, 3000)
	all, err := Lives([]string{dir})
	if err != nil {
		t.Fatal(err)
	}
	hurt := func(path string, d Damage) { t.Errorf("%s: %v", path, d) }
	given := fmt.Sprintf("00-%016x%016x-0000000000000001-01", 77, MixSerial(1234))
	for q, want := range map[string]uint64{"s1-1234": 1234, given: 1234, "00-00000000000004d30000000000000007-0000000000000001-01": 1235} {
		got, err := Follow(all, ParseQuery(q), hurt)
		if err != nil || len(got) != 1 || got[0].Serial != want || got[0].End == "cut" || len(got[0].Steps) < 2 {
			t.Errorf("%s: %+v, %v", q, got, err)
		}
	}
	if got, _ := Follow(all, Query{Sentry: -1, Key: 7}, hurt); len(got) < 20 {
		t.Errorf("%d txns of a key that about 60 had", len(got))
	}
	if got, _ := Follow(all, ParseQuery("no such key"), hurt); len(got) != 0 {
		t.Errorf("found %v", got)
	}
}

func TestSummary(t *testing.T) {
	dir := t.TempDir()
	recordRun(t, dir, testRetention, 3000)
	all, err := Lives([]string{dir})
	if err != nil {
		t.Fatal(err)
	}
	s, err := Summarise(all, func(path string, d Damage) { t.Errorf("%s: %v", path, d) })
	if err != nil {
		t.Fatal(err)
	}
	taken, ended, sent, ending := 0, 0, 0, 0
	for _, p := range s.Products {
		taken, ended, sent = taken+p.Taken, ended+p.Settled+p.Declined+p.Voided+p.Left+p.Open, sent+p.Submissions
	}
	for _, b := range s.Builds {
		for _, n := range b.Endings {
			ending += n
		}
		// Submissions at the failing build end in errors, others do not.
		if (b.Name == "2") != (b.Endings["error"] > 0) {
			t.Errorf("build %s: %v", b.Name, b.Endings)
		}
	}
	if taken != 3000 || ended != taken || ending != sent || sent < taken || len(s.Workers) != 8 {
		t.Errorf("%d taken, %d ended, %d sent, %d endings, %d workers", taken, ended, sent, ending, len(s.Workers))
	}
}

func TestCut(t *testing.T) {
	dir := t.TempDir()
	recordRun(t, dir, Keep{SegmentBytes: 64 << 10, SegmentAge: time.Hour, TotalBytes: 1 << 30}, 6000)
	all, err := Lives([]string{dir})
	if err != nil {
		t.Fatal(err)
	}
	hurt := func(path string, d Damage) { t.Errorf("%s: %v", path, d) }
	whole, err := Summarise(all, hurt)
	if err != nil {
		t.Fatal(err)
	}
	q := ParseQuery("s1-1234")
	for _, c := range []struct {
		name string
		f    Filter
		want func(s *Summary, n int) bool
	}{
		{"one txn", Filter{Query: &q}, func(s *Summary, n int) bool { return n == 1 }},
		{"a product", Filter{Product: "pay"}, func(s *Summary, n int) bool {
			return n == whole.Products[1].Taken && s.Products[0].Taken == 0 && s.Products[1].Taken == n && s.Products[1].P99 == whole.Products[1].P99
		}},
		{"voided", Filter{End: "voided"}, func(s *Summary, n int) bool { return n == whole.Products[0].Voided+whole.Products[1].Voided && n > 0 }},
		{"a build", Filter{Build: 2}, func(s *Summary, n int) bool {
			return n > 0 && n < 6000 && s.Builds[len(s.Builds)-1].Submissions == whole.Builds[1].Submissions
		}},
		{"a time", Filter{Till: all[0].Headers[0].Wall + int64(5*time.Second)}, func(s *Summary, n int) bool { return n > 500 && n < 1500 }},
		{"nothing", Filter{Product: "none"}, func(s *Summary, n int) bool { return n == 0 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			out := filepath.Join(t.TempDir(), "cut"+Suffix)
			file, err := os.Create(out)
			if err != nil {
				t.Fatal(err)
			}
			n, err := Cut(all[0], c.f, file, hurt)
			file.Close()
			if err != nil {
				t.Fatal(err)
			}
			part, err := Lives([]string{out})
			if err != nil || len(part) != 1 {
				t.Fatal(part, err)
			}
			s, err := Summarise(part, hurt)
			if err != nil || !c.want(s, n) {
				t.Errorf("%d txns, %+v, %v", n, s.Products[0], err)
			}
			if _, err := Replay(part[0]); !errors.Is(err, ErrSampled) {
				t.Errorf("a part replays: %v", err)
			}
		})
	}
}

// A disk that fails costs traces, never more; the file tells what is missing, and a replay is refused there.
func TestFailingDisk(t *testing.T) {
	before := goleak.IgnoreCurrent()
	m := newMemoryDir()
	m.capacity = 20000
	rec, err := NewRecorder(m, testRetention, &tracepb.Header{Edge: "e", Life: 5}, testSettings, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	recordTxns(t, rec, 20000, true)
	if len(m.files) < 1 {
		t.Error("nothing was written")
	}
	for name, f := range m.files {
		if _, _, _, err := countRecords(f.Bytes()); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	goleak.VerifyNone(t, before)
}

// A disk that stalls makes the recorder leave out whole txns, and say how many.
func TestStallingDiskLeavesOutWholeTxns(t *testing.T) {
	m := newMemoryDir()
	m.gate = make(chan struct{})
	rec, err := NewRecorder(m, testRetention, &tracepb.Header{Edge: "e", Life: 5}, testSettings, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	go func() { // the disk comes back when txns have been left out
		for rec.TotalSkipped.Load() < 1000 {
			time.Sleep(time.Millisecond)
		}
		close(m.gate)
	}()
	const n = 120000
	got := recordTxns(t, rec, n, false)
	if got == n {
		t.Fatal("nothing was left out")
	}
	gaps, taken, orphans := uint64(0), 0, 0
	live := map[uint64]bool{}
	for _, f := range m.files {
		r, err := Open(bytes.NewReader(f.Bytes()), int64(f.Len()))
		if err != nil {
			t.Fatal(err)
		}
		for i := range r.Blocks {
			if err := r.Read(i, func(x *Record, _ []string) bool {
				switch {
				case x.Kind == tracepb.Kind_GAP:
					gaps += x.Token
				case x.Kind == tracepb.Kind_TAKE:
					taken++
					live[x.Txn] = true
				case x.Txn != 0 && !live[x.Txn]:
					orphans++
				}
				return true
			}); err != nil {
				t.Fatal(err)
			}
		}
		r.Close()
	}
	if taken != got || orphans > 0 || gaps+uint64(taken) > n || gaps == 0 {
		t.Errorf("%d taken of %d recorded, %d in gaps, %d records of txns that were left out", taken, got, gaps, orphans)
	}
}

func TestRecordingAllocatesNothing(t *testing.T) {
	rec, err := NewRecorder(newMemoryDir(), testRetention, &tracepb.Header{}, testSettings, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	x := logic.Txn{ID: 1 << 33, Key: 9}
	o := logic.Outcome{Txn: 1 << 33, Elapsed: 1e6, Load: &logic.Load{Util: 0.5}}
	now := logic.Nanos(1)
	one := func() {
		now += 1000
		rec.Take(now, &x, 1, 1, 2)
		rec.Submit(now, x.ID, "w1", 0)
		rec.Outcome(now, &o, 200)
	}
	one()
	if n := testing.AllocsPerRun(500, one); n > 0 {
		t.Errorf("%v allocations a txn", n)
	}
	rec.Close(now)
}

func FuzzOpen(f *testing.F) {
	head, _ := headerFrame(&tracepb.Header{Version: 1})
	f.Add(head)
	if data, err := os.ReadFile("testdata/version-1.dgt"); err == nil {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) { countRecords(data) })
}

func BenchmarkRead(b *testing.B) {
	var body []byte
	at := int64(0)
	for i := 0; i < 5000; i++ {
		r := Record{Kind: tracepb.Kind_OUTCOME, At: at + 1000, Txn: uint64(i) << 20, Elapsed: uint64(i * 7919), Ending: 1, Over: true}
		body = r.Append(body, at)
		at = r.At
	}
	b.ReportAllocs()
	for b.Loop() {
		var r Record
		at := int64(0)
		for rest := body; len(rest) > 0; {
			rest, _ = r.Decode(rest, at)
			at = r.At
		}
	}
	b.ReportMetric(float64(b.N)*5000/b.Elapsed().Seconds()/1e6, "Mrecords/s")
}

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

// memoryDir is a Directory in memory whose writes can be made to fail or to block.
type memoryDir struct {
	mu        sync.Mutex
	files     map[string]*bytes.Buffer
	writeErr  error         // returned by Create and Write, if set
	capacity  int           // bytes per file until the disk is full; 0: unlimited
	writeGate chan struct{} // writes block until it is closed; nil: they never block
}

func newMemoryDir() *memoryDir { return &memoryDir{files: map[string]*bytes.Buffer{}} }

type memoryFile struct {
	dir  *memoryDir
	name string
}

func (f memoryFile) Write(b []byte) (int, error) {
	if f.dir.writeGate != nil {
		<-f.dir.writeGate
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
func (m *memoryDir) setWriteErr(err error) {
	m.mu.Lock()
	m.writeErr = err
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

// testRetention is the retention of recorded runs unless a test sets its own.
var testRetention = Retention{SegmentBytes: 1 << 20, SegmentAge: time.Hour, TotalBytes: 1 << 30}

// testSettings are the decision module's settings in recorded runs.
var testSettings = map[string]any{"products.count": 2.0, "products.0.effect": "inquiry-like", "products.1.effect": "once-only",
	"products.0.sla": 3e8, "products.1.sla": 3e8, "allow.submissions": 4.0, "allow.copies": true, "allow.cancel": true, "sentries": 1.0,
	"release.votes": "single", "release.caps.0": 0.1, "release.free": 3.0, "release.window": 4e9, "release.bake": 1e9,
	"rules.cold": 3e9, "rules.cold-from": 0.3, "rules.fall-multiple": 2.0, "rules.fall-after": 1e9}

// recordedSentry is the Sink of a sentry, and records its actions as the edge does. The test answers its submissions with
// random outcomes.
type recordedSentry struct {
	*actionCollector // for the methods of logic.Sink that are not overridden
	rec              *Recorder
	now              logic.Nanos
	submissions      []action             // not answered yet
	timers           []logic.Nanos        // times at which the pending timers fire
	tokens           []uint64             // of the pending timers
	recorded         map[logic.TxnID]bool // txns in progress that are recorded
}

func (h *recordedSentry) Submit(t logic.TxnID, w logic.WorkerID, timeout logic.Nanos) {
	if h.recorded[t] {
		h.rec.Submit(h.now, t, w, timeout)
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

// recordTxns runs a sentry with a failing build on trial on n txns and returns the number of txns recorded. With pace it
// waits for the writer, because txns arrive faster here than at any edge.
func recordTxns(t *testing.T, rec *Recorder, n int, pace bool) int {
	rng := rand.New(rand.NewSource(5))
	sink := &recordedSentry{actionCollector: &actionCollector{}, rec: rec, now: 1e12, recorded: map[logic.TxnID]bool{}}
	rec.Start(sink.now, 99)
	sentry := logic.New(sink.now, 99, testSettings, sink)
	var list []logic.Worker
	for i := 0; i < 8; i++ {
		list = append(list, logic.Worker{ID: logic.WorkerID(fmt.Sprintf("w%d", i)), Rel: logic.RelID(1 + i/6), Weight: 1})
	}
	rec.UpdateWorkers(sink.now, logic.Whole, list)
	sentry.UpdateWorkers(sink.now, logic.Whole, list)
	update := logic.ReleaseUpdate{Rel: 2, Cap: 0.3, Phase: logic.OnTrial}
	rec.ReleaseUpdate(sink.now, update)
	sentry.ReleaseUpdate(sink.now, update)
	recorded := 0
	for i := 1; i <= n; i++ {
		sink.now += logic.Nanos(rng.Int63n(int64(10 * logic.Millisecond)))
		for j := 0; j < len(sink.timers); j++ {
			if sink.timers[j] <= sink.now {
				token := sink.tokens[j]
				sink.timers, sink.tokens = append(sink.timers[:j], sink.timers[j+1:]...), append(sink.tokens[:j], sink.tokens[j+1:]...)
				j--
				rec.Event(sink.now, tracepb.Kind_TIMER, 0, 0, token, 0)
				sentry.TimerFired(sink.now, token)
			}
		}
		rec.FlushStale(sink.now)
		for pace && rec.freeBuffers() <= reservedBuffers {
			runtime.Gosched()
		}
		txn := logic.Txn{ID: logic.TxnID(i), Product: logic.ProductID(rng.Intn(2)), Key: logic.KeyID(rng.Intn(50) + 1), Cost: 2e7, Expiry: sink.now + logic.Second}
		if rec.Take(sink.now, &txn, uint64(i), uint64(i%2)*uint64(i), uint64(i%2)*7) {
			sink.recorded[txn.ID] = true
			recorded++
		}
		sentry.Take(sink.now, txn)
		for number := 0; len(sink.submissions) > 0; number++ {
			sub := sink.submissions[0]
			sink.submissions = sink.submissions[1:]
			outcome := logic.Outcome{Txn: logic.TxnID(sub.txn), Number: number, Elapsed: logic.Nanos(rng.Int63n(int64(40 * logic.Millisecond)))}
			if sub.worker > "w5" && rng.Intn(3) == 0 {
				outcome.Ending = logic.ErrorResponse
			}
			outcome.Final = outcome.Ending == logic.OK
			if rng.Intn(2) == 0 {
				outcome.Load = &logic.Load{Util: rng.Float64(), Queue: 2, Busy: -1}
			}
			if sink.recorded[outcome.Txn] {
				rec.Outcome(sink.now, &outcome, 200)
			}
			sentry.Outcome(sink.now, outcome)
		}
		delete(sink.recorded, txn.ID)
	}
	rec.Close(sink.now)
	return recorded
}

// recordRun records a run with n txns into a directory on disk and returns the paths of its segments.
func recordRun(t *testing.T, dir string, retention Retention, n int) []string {
	rec, err := NewRecorder(OSDirectory(dir), retention, &tracepb.Header{Edge: "e", Sentry: 1, Life: 77, Products: []string{"ask", "pay"}}, testSettings, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	if got := recordTxns(t, rec, n, true); got != n {
		t.Fatalf("%d of %d txns recorded", got, n)
	}
	paths, _ := filepath.Glob(filepath.Join(dir, "*"+SegmentSuffix))
	return paths
}

// The hand-written encoding must agree with the generated code and with Decode, also for a record whose length takes more
// than two bytes.
func TestRecordEncodingMatchesSchema(t *testing.T) {
	r := Record{Kind: tracepb.Kind_OUTCOME, At: 1500, Txn: 1 << 40, Serial: 9, Number: 2, Worker: 3, Product: 1, Customer: 4, Ending: 5, Key: 77,
		TraceID: [2]uint64{1, 2}, Cost: 6, Patience: 7, Elapsed: 8, Token: 1 << 60, Span: 10, Util: 0.5, Queue: 1.0 / 3, Busy: -1, Repeat: true,
		Over: true, Loaded: true, Body: []byte("body"), Text: "text", Origin: 3}
	var decoded Record
	rest, err := decoded.Decode(append(r.Append(nil, 1000), "rest"...), 1000)
	if err != nil || string(rest) != "rest" || !reflect.DeepEqual(r, decoded) {
		t.Fatalf("got %+v, %q, %v", decoded, rest, err)
	}
	var msg tracepb.Record
	if err := proto.Unmarshal(r.Append(nil, 1000)[2:], &msg); err != nil {
		t.Fatal(err)
	}
	if msg.AfterNanos != 500 || msg.Txn != r.Txn || msg.Key != r.Key || msg.UtilThousandths != 500 || !msg.Over ||
		string(msg.Body) != "body" || msg.TraceLow != 2 {
		t.Errorf("decoded by the generated code: %v", &msg)
	}
	long := Record{Kind: tracepb.Kind_LOG, At: 1, Text: string(make([]byte, 40000))}
	if _, err := decoded.Decode(long.Append([]byte("x"), 0)[1:], 0); err != nil || len(decoded.Text) != 40000 {
		t.Errorf("long record: %d bytes, %v", len(decoded.Text), err)
	}
}

// A replay must repeat each recorded action under the recorded settings, and differ under other ones. A run whose first
// segment is missing must be refused.
func TestReplayMatchesAndDetectsChangedSettings(t *testing.T) {
	recordRun(t, t.TempDir(), testRetention, 10)
	dir := t.TempDir()
	recordRun(t, dir, Retention{SegmentBytes: 64 << 10, SegmentAge: time.Hour, TotalBytes: 1 << 30}, 20000)
	runs, err := FindRuns([]string{dir})
	if err != nil || len(runs) != 1 || len(runs[0].Paths) < 2 {
		t.Fatalf("%v, %v", runs, err)
	}
	r, err := Replay(runs[0])
	if err != nil || r.Differs != "" || r.Txns != 20000 || r.Actions < 20000 {
		t.Fatalf("%+v, %v", r, err)
	}
	changed := map[string]any{}
	for k, v := range testSettings {
		changed[k] = v
	}
	changed["release.free"] = 4.0
	r, err = replay(runs[0], changed)
	if err != nil || r.Differs == "" {
		t.Errorf("replay under another setting does not differ: %+v, %v", r, err)
	}
	// Under the same settings nothing differs. With one submission allowed, more txns that failed at the bad build are
	// voided or declined.
	if d, err := WhatIf(runs[0], testSettings); err != nil || d.Differ != 0 || d.Txns != 20000 || d.First != 0 {
		t.Errorf("what-if under the same settings differs: %+v, %v", d, err)
	}
	changed["release.free"], changed["allow.submissions"] = 3.0, 1.0
	if d, err := WhatIf(runs[0], changed); err != nil || d.Differ == 0 || d.Sums["VOID"][1]+d.Sums["DECLINE"][1] <= d.Sums["VOID"][0]+d.Sums["DECLINE"][0] {
		t.Errorf("what-if with one submission: %+v, %v", d, err)
	}
	runs[0].Paths, runs[0].Headers = runs[0].Paths[1:], runs[0].Headers[1:]
	if _, err := Replay(runs[0]); !errors.Is(err, ErrNoStart) {
		t.Errorf("replay without the first segment: %v", err)
	}
}

// countRecords reads a file and returns the number of readable records, the time of the last of them and the number of
// damaged parts.
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

// encodeSmallFile encodes a file of four small blocks. It returns the end offsets of the frames before the index, and the
// number of records up to each of them.
func encodeSmallFile(t *testing.T) (data []byte, ends []int, records []int) {
	enc, err := newEncoder()
	if err != nil {
		t.Fatal(err)
	}
	header, _ := headerFrame(&tracepb.Header{Version: 1, Edge: "e"})
	data = append(data, header...)
	ends, records = append(ends, len(data)), append(records, 0)
	var index tracepb.Index
	for blockIndex := 0; blockIndex < 4; blockIndex++ {
		var encodedRecords []byte
		at := int64(blockIndex * 1000)
		for i := 0; i < 20; i++ {
			r := Record{Kind: tracepb.Kind_TAKE, At: int64(blockIndex*1000 + i), Txn: uint64(i + 1), Serial: uint64(blockIndex*20 + i + 1), Key: uint64(blockIndex + 1)}
			encodedRecords = r.Append(encodedRecords, at)
			at = r.At
		}
		frame, info, err := enc.encodeBlock(int64(blockIndex*1000), encodedRecords)
		if err != nil {
			t.Fatal(err)
		}
		index.Blocks = append(index.Blocks, enc.indexEntry(uint64(len(data)), info))
		data = append(data, frame...)
		ends, records = append(ends, len(data)), append(records, 20*(blockIndex+1))
	}
	frame, err := indexFrame(&index)
	if err != nil {
		t.Fatal(err)
	}
	return append(data, frame...), ends, records
}

// A file truncated anywhere must yield all records of the frames that are complete.
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

// A changed byte must be detected by a checksum, and only the records of its own block may be lost. A damaged index must
// cost no records.
func TestFlippedByteIsDetectedAndOtherBlocksRead(t *testing.T) {
	data, ends, _ := encodeSmallFile(t)
	for offset := ends[0]; offset < len(data); offset++ {
		for _, withIndex := range []bool{true, false} {
			damaged := append([]byte(nil), data...)
			if !withIndex {
				damaged = damaged[:ends[len(ends)-1]]
				if offset >= len(damaged) {
					continue
				}
			}
			damaged[offset] ^= 0x40
			n, _, damages, err := countRecords(damaged)
			if offset >= ends[len(ends)-1] { // in the index, which is rebuilt from the blocks
				if err != nil || n != 80 {
					t.Fatalf("index changed at %d: %d records, %v", offset, n, err)
				}
				continue
			}
			if err != nil || n != 60 || damages == 0 {
				t.Fatalf("changed at %d: %d records, %d damaged parts, %v", offset, n, damages, err)
			}
		}
	}
}

func TestNewerVersionIsRejected(t *testing.T) {
	head, _ := headerFrame(&tracepb.Header{Version: 2})
	if _, err := Open(bytes.NewReader(head), int64(len(head))); !errors.Is(err, ErrVersion) {
		t.Errorf("got %v", err)
	}
}

// Every later version must read files of version 1.
func TestVersion1FileIsReadable(t *testing.T) {
	data, err := os.ReadFile("testdata/version-1.dgt")
	if err != nil {
		t.Fatal(err)
	}
	n, _, damages, err := countRecords(data)
	if err != nil || n == 0 || damages > 0 {
		t.Errorf("%d records, %d damaged parts, %v", n, damages, err)
	}
}

// Follow must find a txn by its name, by the trace id that the client sent or the edge generated, and by its key.
func TestFollowFindsTxnsByNameKeyAndTraceID(t *testing.T) {
	dir := t.TempDir()
	recordRun(t, dir, testRetention, 3000)
	runs, err := FindRuns([]string{dir})
	if err != nil {
		t.Fatal(err)
	}
	onDamage := func(path string, d Damage) { t.Errorf("%s: %v", path, d) }
	generated := fmt.Sprintf("00-%016x%016x-0000000000000001-01", 77, MixSerial(1234))
	for query, want := range map[string]uint64{"s1-1234": 1234, generated: 1234, "00-00000000000004d30000000000000007-0000000000000001-01": 1235} {
		got, err := Follow(runs, ParseQuery(query), onDamage)
		if err != nil || len(got) != 1 || got[0].Serial != want || got[0].End == "cut" || len(got[0].Steps) < 2 {
			t.Errorf("%s: %+v, %v", query, got, err)
		}
	}
	if got, _ := Follow(runs, Query{Sentry: -1, Key: 7}, onDamage); len(got) < 20 {
		t.Errorf("found %d txns of a key that about 60 txns have", len(got))
	}
	if got, _ := Follow(runs, ParseQuery("no such key"), onDamage); len(got) != 0 {
		t.Errorf("found %v", got)
	}
}

// Each txn must be counted with one ending, and each submission with one outcome.
func TestSummaryCountsEveryTxnOnce(t *testing.T) {
	dir := t.TempDir()
	recordRun(t, dir, testRetention, 3000)
	runs, err := FindRuns([]string{dir})
	if err != nil {
		t.Fatal(err)
	}
	s, err := Summarise(runs, func(path string, d Damage) { t.Errorf("%s: %v", path, d) })
	if err != nil {
		t.Fatal(err)
	}
	taken, ended, sent, outcomes := 0, 0, 0, 0
	for _, p := range s.Products {
		taken, ended, sent = taken+p.Taken, ended+p.Settled+p.Declined+p.Voided+p.Left+p.Open, sent+p.Submissions
	}
	for _, b := range s.Builds {
		for _, n := range b.Endings {
			outcomes += n
		}
		// Only submissions to the failing build end in errors.
		if (b.Name == "2") != (b.Endings["error"] > 0) {
			t.Errorf("build %s: %v", b.Name, b.Endings)
		}
	}
	if taken != 3000 || ended != taken || outcomes != sent || sent < taken || len(s.Workers) != 8 {
		t.Errorf("%d txns taken, %d ended, %d submissions, %d outcomes, %d workers", taken, ended, sent, outcomes, len(s.Workers))
	}
}

// A cut must hold exactly the txns that its filter selects, with all their records, and cannot be replayed.
func TestCutSelectsTxns(t *testing.T) {
	dir := t.TempDir()
	recordRun(t, dir, Retention{SegmentBytes: 64 << 10, SegmentAge: time.Hour, TotalBytes: 1 << 30}, 6000)
	runs, err := FindRuns([]string{dir})
	if err != nil {
		t.Fatal(err)
	}
	onDamage := func(path string, d Damage) { t.Errorf("%s: %v", path, d) }
	full, err := Summarise(runs, onDamage)
	if err != nil {
		t.Fatal(err)
	}
	query := ParseQuery("s1-1234")
	for _, tc := range []struct {
		name string
		f    Filter
		want func(s *Summary, n int) bool
	}{
		{"one txn", Filter{Query: &query}, func(s *Summary, n int) bool { return n == 1 }},
		{"a product", Filter{Product: "pay"}, func(s *Summary, n int) bool {
			return n == full.Products[1].Taken && s.Products[0].Taken == 0 && s.Products[1].Taken == n && s.Products[1].P99 == full.Products[1].P99
		}},
		{"voided", Filter{End: "voided"}, func(s *Summary, n int) bool { return n == full.Products[0].Voided+full.Products[1].Voided && n > 0 }},
		{"a build", Filter{Build: 2}, func(s *Summary, n int) bool {
			return n > 0 && n < 6000 && s.Builds[len(s.Builds)-1].Submissions == full.Builds[1].Submissions
		}},
		{"a time", Filter{Till: runs[0].Headers[0].Wall + int64(5*time.Second)}, func(s *Summary, n int) bool { return n > 500 && n < 1500 }},
		{"nothing", Filter{Product: "none"}, func(s *Summary, n int) bool { return n == 0 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			out := filepath.Join(t.TempDir(), "cut"+SegmentSuffix)
			file, err := os.Create(out)
			if err != nil {
				t.Fatal(err)
			}
			n, err := Cut(runs[0], tc.f, file, onDamage)
			file.Close()
			if err != nil {
				t.Fatal(err)
			}
			cutRuns, err := FindRuns([]string{out})
			if err != nil || len(cutRuns) != 1 {
				t.Fatal(cutRuns, err)
			}
			s, err := Summarise(cutRuns, onDamage)
			if err != nil || !tc.want(s, n) {
				t.Errorf("%d txns, %+v, %v", n, s.Products[0], err)
			}
			if _, err := Replay(cutRuns[0]); !errors.Is(err, ErrSampled) {
				t.Errorf("replay of a cut: %v", err)
			}
		})
	}
}

// A full disk must affect nothing but traces: recording goes on and ends without a leaked goroutine, and the files that
// were written are readable.
func TestFailingDisk(t *testing.T) {
	before := goleak.IgnoreCurrent()
	dir := newMemoryDir()
	dir.capacity = 20000
	rec, err := NewRecorder(dir, testRetention, &tracepb.Header{Edge: "e", Life: 5}, testSettings, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	recordTxns(t, rec, 20000, true)
	if len(dir.files) < 1 {
		t.Error("nothing was written")
	}
	for name, f := range dir.files {
		if _, _, _, err := countRecords(f.Bytes()); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	goleak.VerifyNone(t, before)
}

// While writes to the disk block, the recorder must skip whole txns, without any record of them, and record how many it
// skipped.
func TestStalledDiskSkipsWholeTxns(t *testing.T) {
	dir := newMemoryDir()
	dir.writeGate = make(chan struct{})
	rec, err := NewRecorder(dir, testRetention, &tracepb.Header{Edge: "e", Life: 5}, testSettings, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	go func() { // the disk recovers once txns have been skipped
		for rec.TotalSkipped.Load() < 1000 {
			time.Sleep(time.Millisecond)
		}
		close(dir.writeGate)
	}()
	const n = 120000
	recorded := recordTxns(t, rec, n, false)
	if recorded == n {
		t.Fatal("no txn was skipped")
	}
	skipped, taken, orphans := uint64(0), 0, 0
	takenIDs := map[uint64]bool{}
	for _, f := range dir.files {
		file, err := Open(bytes.NewReader(f.Bytes()), int64(f.Len()))
		if err != nil {
			t.Fatal(err)
		}
		for i := range file.Blocks {
			if err := file.Read(i, func(r *Record, _ []string) bool {
				switch {
				case r.Kind == tracepb.Kind_GAP:
					skipped += r.Token
				case r.Kind == tracepb.Kind_TAKE:
					taken++
					takenIDs[r.Txn] = true
				case r.Txn != 0 && !takenIDs[r.Txn]:
					orphans++
				}
				return true
			}); err != nil {
				t.Fatal(err)
			}
		}
		file.Close()
	}
	if taken != recorded || orphans > 0 || skipped+uint64(taken) > n || skipped == 0 {
		t.Errorf("%d TAKE records of %d recorded txns, %d txns in GAP records, %d records of skipped txns", taken, recorded, skipped, orphans)
	}
}

// Recording an ordinary txn must not allocate memory, because it happens on the event loop.
func TestRecordingAllocatesNothing(t *testing.T) {
	rec, err := NewRecorder(newMemoryDir(), testRetention, &tracepb.Header{}, testSettings, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	txn := logic.Txn{ID: 1 << 33, Key: 9}
	outcome := logic.Outcome{Txn: 1 << 33, Elapsed: 1e6, Load: &logic.Load{Util: 0.5}}
	now := logic.Nanos(1)
	recordOne := func() {
		now += 1000
		rec.Take(now, &txn, 1, 1, 2)
		rec.Submit(now, txn.ID, "w1", 0)
		rec.Outcome(now, &outcome, 200)
	}
	recordOne()
	if n := testing.AllocsPerRun(500, recordOne); n > 0 {
		t.Errorf("%v allocations a txn", n)
	}
	rec.Close(now)
}

// Reading arbitrary bytes must not panic.
func FuzzOpen(f *testing.F) {
	header, _ := headerFrame(&tracepb.Header{Version: 1})
	f.Add(header)
	if data, err := os.ReadFile("testdata/version-1.dgt"); err == nil {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) { countRecords(data) })
}

// BenchmarkDecode measures decoding of OUTCOME records.
func BenchmarkDecode(b *testing.B) {
	var records []byte
	at := int64(0)
	for i := 0; i < 5000; i++ {
		r := Record{Kind: tracepb.Kind_OUTCOME, At: at + 1000, Txn: uint64(i) << 20, Elapsed: uint64(i * 7919), Ending: 1, Over: true}
		records = r.Append(records, at)
		at = r.At
	}
	b.ReportAllocs()
	for b.Loop() {
		var r Record
		at := int64(0)
		for rest := records; len(rest) > 0; {
			rest, _ = r.Decode(rest, at)
			at = r.At
		}
	}
	b.ReportMetric(float64(b.N)*5000/b.Elapsed().Seconds()/1e6, "Mrecords/s")
}

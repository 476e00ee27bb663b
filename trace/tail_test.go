package trace

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"dunegrade/logic"
	"dunegrade/trace/tracepb"
)

// TestMain runs the tests or, if TRACE_KILLED is set, the process that TestKilledAtFullSpeed kills.
func TestMain(m *testing.M) {
	if dir := os.Getenv("TRACE_KILLED"); dir != "" {
		rec, err := NewRecorderWithTail(OSDirectory(dir), filepath.Dir(dir), testRetention, &tracepb.Header{Edge: "e", Life: 77, Products: []string{"ask", "pay"}, Wall: startTime,
			Start: 1e12}, testSettings, zap.NewNop())
		if err != nil {
			os.Exit(3)
		}
		go recordForever(rec)
		time.Sleep(time.Minute) // the test kills the process before that
		os.Exit(4)
	}
	os.Exit(m.Run())
}

// recordForever records txns and writes the serial of each to standard output once the txn is recorded.
func recordForever(rec *Recorder) {
	now := logic.Nanos(1e12)
	rec.Start(now, 1)
	for i := uint64(1); ; i++ {
		now += 1000 * logic.Nanos(i%7)
		txn := logic.Txn{ID: logic.TxnID(i), Key: logic.KeyID(i | 1), Expiry: now + logic.Second}
		for rec.freeBuffers() <= reservedBuffers {
			time.Sleep(time.Millisecond) // wait for the writer
		}
		rec.Take(now, &txn, i, 0, 0)
		rec.WritePending()
		os.Stdout.Write(binary.LittleEndian.AppendUint64(nil, i))
	}
}

// A process killed while recording at full speed must lose no txn that it passed to the recorder. A reader of the tail
// file must find all of them, and so must a reader after the next start on the same directory has recovered the file.
func TestKilledAtFullSpeed(t *testing.T) {
	for try := 0; try < 3; try++ {
		parent := t.TempDir()
		dir := filepath.Join(parent, "trace")
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), "TRACE_KILLED="+dir)
		stdout, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		var output bytes.Buffer
		var group sync.WaitGroup
		enoughTxns := make(chan struct{})
		group.Go(func() {
			io.CopyN(&output, stdout, int64(8*(3000+try*20000)))
			close(enoughTxns)
			io.Copy(&output, stdout)
		})
		<-enoughTxns
		cmd.Process.Kill()
		group.Wait()
		cmd.Wait()
		acknowledged := uint64(output.Len() / 8)
		if acknowledged == 0 {
			t.Fatal("the process recorded no txn")
		}
		defaultDir := TailDir
		TailDir = parent
		readSerials := func() (serials []uint64) {
			var paths []string
			if found, _ := filepath.Glob(filepath.Join(dir, "*"+SegmentSuffix)); len(found) == 0 {
				paths, _ = filepath.Glob(filepath.Join(parent, "*"+TailSuffix)) // no segment yet: all records are in the tail file
			} else {
				paths = []string{dir}
			}
			runs, err := FindRuns(paths)
			if err != nil {
				t.Fatal(err)
			}
			for _, run := range runs {
				if run.ID != 77 {
					continue
				}
				err = run.Each(func(r *Record, _ []string) bool {
					if r.Kind == tracepb.Kind_TAKE {
						serials = append(serials, r.Serial)
					}
					return true
				}, nil)
				if err != nil {
					t.Fatal(err)
				}
			}
			return serials
		}
		before := readSerials()
		if uint64(len(before)) < acknowledged || before[len(before)-1] != uint64(len(before)) {
			t.Errorf("%d txns were recorded, %d were found", acknowledged, len(before))
		}
		rec, err := NewRecorderWithTail(OSDirectory(dir), parent, testRetention, &tracepb.Header{Edge: "e", Life: 78}, testSettings, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		rec.Close(1e12)
		if remaining, _ := filepath.Glob(filepath.Join(parent, "*"+TailSuffix)); len(remaining) > 0 {
			t.Errorf("tail files remain: %v", remaining)
		}
		if after := readSerials(); !reflect.DeepEqual(before, after) {
			t.Errorf("%d txns found before the next start, %d after it", len(before), len(after))
		}
		TailDir = defaultDir
	}
}

// The lock of a killed process outlives it for a moment. A sentry restarted at once must wait for the lock of its
// previous run, or that run's last second of records would not be recovered. It must not wait for the locks of other
// sentries or edges.
func TestLockThatOutlivesItsProcess(t *testing.T) {
	for _, tc := range []struct {
		name      string
		edge      string
		sentry    uint32
		recovered bool
	}{{"its own previous run", "e", 3, true}, {"another sentry", "e", 4, false}, {"another edge", "f", 3, false}} {
		t.Run(tc.name, func(t *testing.T) {
			defer goleak.VerifyNone(t)
			parent := t.TempDir()
			dir := filepath.Join(parent, "trace")
			first, err := NewRecorderWithTail(OSDirectory(dir), parent, testRetention, &tracepb.Header{Edge: tc.edge, Sentry: tc.sentry, Life: 77}, testSettings, zap.NewNop())
			if err != nil {
				t.Fatal(err)
			}
			first.Start(1e9, 1)
			first.Take(2e9, &logic.Txn{ID: 1, Key: 5, Expiry: 3e9}, 1, 0, 0)
			path := tailPath(parent, 77)
			tail, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			// Close removes the tail file. Restore the state after a kill: no segments, and the file locked as if by the killed
			// process.
			first.Close(4e9)
			os.RemoveAll(dir)
			if err := os.WriteFile(path, tail, 0o600); err != nil {
				t.Fatal(err)
			}
			locked, err := os.Open(path)
			if err != nil {
				t.Fatal(err)
			}
			if err := unix.Flock(int(locked.Fd()), unix.LOCK_EX); err != nil {
				t.Fatal(err)
			}
			unlockTimer := time.AfterFunc(60*time.Millisecond, func() { locked.Close() })
			rec, err := NewRecorderWithTail(OSDirectory(dir), parent, testRetention, &tracepb.Header{Edge: "e", Sentry: 3, Life: 78}, testSettings, zap.NewNop())
			if err != nil {
				t.Fatal(err)
			}
			rec.Close(5e9)
			unlockTimer.Stop()
			locked.Close()
			if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) != tc.recovered {
				t.Errorf("stat of the tail file: %v, want it removed: %t", err, tc.recovered)
			}
			segments, err := filepath.Glob(filepath.Join(dir, fmt.Sprintf("*%016x*", 77)))
			if err != nil || (len(segments) > 0) != tc.recovered {
				t.Errorf("segments %v, %v, want some: %t", segments, err, tc.recovered)
			}
		})
	}
}

// The tail file of a running process must survive the start of another process, and be readable while the process runs.
func TestTailOfRunningProcess(t *testing.T) {
	defer goleak.VerifyNone(t)
	parent := t.TempDir()
	defaultDir := TailDir
	TailDir = parent
	defer func() { TailDir = defaultDir }()
	dir := filepath.Join(parent, "trace")
	header := func(runID uint64) *tracepb.Header {
		return &tracepb.Header{Edge: "e", Life: runID, Products: []string{"ask", "pay"}}
	}
	first, err := NewRecorderWithTail(OSDirectory(dir), parent, testRetention, header(1), testSettings, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	txn := logic.Txn{ID: 1, Key: 5, Expiry: 2e9}
	first.Start(1e9, 1)
	first.Take(1e9, &txn, 1, 0, 0)
	first.WritePending()
	second, err := NewRecorderWithTail(OSDirectory(dir), parent, testRetention, header(2), testSettings, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	second.Close(1e9)
	runs, err := FindRuns([]string{tailPath(parent, 1)})
	if err != nil || len(runs) != 1 {
		t.Fatalf("%d runs in the tail file, %v", len(runs), err)
	}
	if found, err := Follow(runs, Query{Sentry: -1, Key: 5}, nil); err != nil || len(found) != 1 {
		t.Errorf("%d txns in the tail file, %v", len(found), err)
	}
	first.Close(2e9)
	if runs, err = FindRuns([]string{dir}); err != nil || len(runs) != 2 {
		t.Errorf("%d runs, %v", len(runs), err)
	}
}

// A malformed tail file must be rejected without large allocations, and neither be recovered nor removed.
func TestMalformedTailFiles(t *testing.T) {
	empty := make([]byte, tailHeaderBytes+bufferCount*slotBytes)
	copy(empty, tailMarker[:])
	hugeSlot := append([]byte(nil), empty...)
	binary.LittleEndian.PutUint64(hugeSlot[tailHeaderBytes:], 1)
	binary.LittleEndian.PutUint64(hugeSlot[tailHeaderBytes+16:], 1<<62)
	badRecords := append([]byte(nil), empty...)
	binary.LittleEndian.PutUint64(badRecords[tailHeaderBytes:], 1)
	binary.LittleEndian.PutUint64(badRecords[tailHeaderBytes+16:], 100)
	for i := range 100 {
		badRecords[tailHeaderBytes+slotHeaderBytes+i] = 0xff
	}
	hugeHeader := append([]byte(nil), empty...)
	binary.LittleEndian.PutUint32(hugeHeader[8:], 1<<31)
	for _, tc := range []struct {
		name string
		data []byte
		want error
	}{{"empty", nil, ErrDamaged}, {"text", []byte(strings.Repeat("x", 5000)), ErrDamaged}, {"huge size of a slot", hugeSlot, nil},
		{"malformed records", badRecords, ErrRecord}, {"huge size of the header", hugeHeader, ErrNoTrace}} {
		t.Run(tc.name, func(t *testing.T) {
			dir := t.TempDir()
			path := tailPath(dir, 5)
			if err := os.WriteFile(path, tc.data, 0o600); err != nil {
				t.Fatal(err)
			}
			f, running, err := readTail(path)
			if !errors.Is(err, tc.want) || running {
				t.Errorf("got %v, %v", f, err)
			}
			rec, err := NewRecorderWithTail(OSDirectory(filepath.Join(dir, "trace")), dir, testRetention, &tracepb.Header{Edge: "e", Life: 6}, testSettings, zap.NewNop())
			if err != nil {
				t.Fatal(err)
			}
			rec.Close(1e9)
			if _, err := os.Stat(path); err != nil {
				t.Errorf("the file was removed: %v", err)
			}
		})
	}
}

package trace

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"dunegrade/logic"
	"dunegrade/trace/tracepb"
)

// BenchmarkTxn measures recording an ordinary txn: the time on the event loop, and, in the CPU time, that of the writer.
func BenchmarkTxn(b *testing.B) { benchmarkTxn(b, "") }

// BenchmarkTailedTxn is BenchmarkTxn with a tail file.
func BenchmarkTailedTxn(b *testing.B) { benchmarkTxn(b, DefaultTailDir) }

func benchmarkTxn(b *testing.B, tailDir string) {
	dir := b.TempDir()
	rec, err := NewRecorderWithTail(OSDirectory(dir), tailDir, Retention{SegmentBytes: 64 << 20, SegmentAge: time.Hour, TotalBytes: 1 << 30},
		&tracepb.Header{Edge: "e", Life: 7, Products: []string{"ask"}}, testSettings, zap.NewNop())
	if err != nil {
		b.Fatal(err)
	}
	now := logic.Nanos(1e15)
	rec.Start(now, 1)
	txn := logic.Txn{Cost: 2e7, Key: 5}
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; i < b.N; i++ {
		now += 22000
		txn.ID = logic.TxnID(uint64(i>>6)<<slotBits | uint64(i&63))
		txn.Expiry = now + 3*logic.Second
		txn.Key = logic.KeyID(uint64(i) * serialMultiplier)
		for rec.freeBuffers() <= reservedBuffers {
			time.Sleep(10 * time.Microsecond)
		}
		rec.Take(now, &txn, uint64(i+1), 0, 0)
		rec.Submit(now, txn.ID, benchWorkers[i%10], 0)
		rec.Event(now, tracepb.Kind_REMIND, 0, 0, uint64(i&63)<<32|uint64(i>>6), 2046971000)
		outcome := logic.Outcome{Txn: txn.ID, Elapsed: logic.Nanos(1e6 + i%64*1000), Final: true}
		rec.Outcome(now, &outcome, 200)
	}
	rec.Close(now)
	segments, err := OSDirectory(dir).List()
	if err != nil {
		b.Fatal(err)
	}
	size := int64(0)
	for _, seg := range segments {
		size += seg.Size
	}
	b.ReportMetric(float64(size)/float64(b.N), "B/txn")
}

// slotBits is the number of low bits of a txn's id that hold its slot.
const slotBits = 20

var benchWorkers = []logic.WorkerID{"w00", "w01", "w02", "w03", "w04", "w05", "w06", "w07", "w08", "w09"}

// BenchmarkFollowInAGiB measures finding a txn in one file of 1 GiB, by name and by key:
// go test ./trace -run none -bench GiB
func BenchmarkFollowInAGiB(b *testing.B) {
	dir := b.TempDir()
	rec, err := NewRecorder(OSDirectory(dir), Retention{SegmentBytes: 4 << 30, SegmentAge: time.Hour, TotalBytes: 16 << 30},
		&tracepb.Header{Edge: "e", Life: 7, Products: []string{"ask"}}, testSettings, zap.NewNop())
	if err != nil {
		b.Fatal(err)
	}
	now := logic.Nanos(1e15)
	rec.Start(now, 1)
	n := uint64(0)
	key := func(i uint64) logic.KeyID { return logic.KeyID(xxhash.Sum64(uint64Bytes(i)) | 1) }
	for size := int64(0); size < 1<<30; n++ {
		if n%100000 == 0 {
			segments, err := OSDirectory(dir).List()
			if err != nil {
				b.Fatal(err)
			}
			for _, seg := range segments {
				size = seg.Size
			}
		}
		now += 22000 + logic.Nanos(n*serialMultiplier>>50)
		txn := logic.Txn{ID: logic.TxnID(uint64(n>>6)<<slotBits | n&63), Expiry: now + 3*logic.Second, Cost: 2e7, Key: key(n + 1)}
		for rec.freeBuffers() <= reservedBuffers {
			time.Sleep(10 * time.Microsecond)
		}
		rec.Take(now, &txn, n+1, 0, 0)
		rec.Submit(now, txn.ID, benchWorkers[n%10], 0)
		rec.Event(now, tracepb.Kind_REMIND, 0, 0, n&63<<32|n>>6, 2046971000)
		outcome := logic.Outcome{Txn: txn.ID, Elapsed: logic.Nanos(1e6 + n*serialMultiplier>>44), Final: true}
		rec.Outcome(now, &outcome, 200)
	}
	rec.Close(now)
	b.Logf("%d txns in a GiB", n)
	for _, by := range []string{"name", "key"} {
		b.Run(by, func(b *testing.B) {
			for i := 0; i < b.N; i++ {
				runs, err := FindRuns([]string{dir})
				if err != nil {
					b.Fatal(err)
				}
				serial := n/2 + uint64(i)*7919%(n/4)
				query := Query{Sentry: -1, Serial: serial}
				if by == "key" {
					query = Query{Sentry: -1, Key: uint64(key(serial))}
				}
				found, err := Follow(runs, query, nil)
				if err != nil || len(found) != 1 || found[0].Serial != serial {
					b.Fatalf("%d found, %v", len(found), err)
				}
			}
		})
	}
}

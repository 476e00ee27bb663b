package trace

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"dunegrade/logic"
	"dunegrade/trace/tracepb"
)

// BenchmarkTxn is what recording an ordinary txn costs a loop, and with its writer: both show as CPU time.
func BenchmarkTxn(b *testing.B) {
	dir := b.TempDir()
	rec, err := NewRecorder(Disk(dir), Keep{SegmentBytes: 64 << 20, SegmentAge: time.Hour, TotalBytes: 1 << 30},
		&tracepb.Header{Edge: "e", Life: 7, Products: []string{"ask"}}, settings, zap.NewNop())
	if err != nil {
		b.Fatal(err)
	}
	now := logic.Nanos(1e15)
	rec.Start(now, 1)
	x := logic.Txn{Cost: 2e7, Key: 5}
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; i < b.N; i++ {
		now += 22000
		x.ID = logic.TxnID(uint64(i>>6)<<placeBits | uint64(i&63))
		x.Expiry = now + 3*logic.Second
		x.Key = logic.KeyID(uint64(i) * mixer)
		for rec.room() <= reserve {
			time.Sleep(10 * time.Microsecond)
		}
		rec.Take(now, &x, uint64(i+1), 0, 0)
		rec.Submit(now, x.ID, workers10[i%10], 0)
		rec.Event(now, tracepb.Kind_REMIND, 0, 0, uint64(i&63)<<32|uint64(i>>6), 2046971000)
		rec.Event(now, tracepb.Kind_TIMER, 0, 0, uint64(i&63)<<32|uint64(i>>6), 0)
		o := logic.Outcome{Txn: x.ID, Elapsed: logic.Nanos(1e6 + i%64*1000), Over: true}
		rec.Outcome(now, &o, 200)
	}
	rec.Close(now)
	list, err := Disk(dir).List()
	if err != nil {
		b.Fatal(err)
	}
	size := int64(0)
	for _, s := range list {
		size += s.Size
	}
	b.ReportMetric(float64(size)/float64(b.N), "B/txn")
}

const placeBits = 20

var workers10 = []logic.WorkerID{"w00", "w01", "w02", "w03", "w04", "w05", "w06", "w07", "w08", "w09"}

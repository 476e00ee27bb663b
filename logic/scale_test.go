package logic

import (
	"fmt"
	"testing"
)

// loadFleet is a sentry with a fleet of workers, and a Sink that keeps the submissions in order, so that the oldest is
// settled first.
type loadFleet struct {
	sentry      *Sentry
	now         Nanos
	submissions []struct {
		id TxnID
		at Nanos
	}
	head, ticks int
	lastID      TxnID
	nextTickAt  Nanos
	declined    int
}

func (f *loadFleet) Submit(t TxnID, w WorkerID, timeout Nanos) {
	f.submissions = append(f.submissions, struct {
		id TxnID
		at Nanos
	}{t, f.now})
}
func (f *loadFleet) Cancel(TxnID, int)        {}
func (f *loadFleet) Decline(TxnID, Nanos)     { f.declined++ }
func (f *loadFleet) Void(TxnID)               { f.declined++ }
func (f *loadFleet) SetTimer(Nanos, uint64)   {}
func (f *loadFleet) Vote(Verdict, RelID, int) {}
func (f *loadFleet) WatchWorkers()            {}
func (f *loadFleet) SendToPeer(int, []byte)   {}
func (f *loadFleet) Log(string)               {}

// newLoadFleet creates a sentry with n workers, of which the first trial ones run a build on trial.
func newLoadFleet(n, trial int) *loadFleet {
	f := &loadFleet{now: 1e15, submissions: make([]struct {
		id TxnID
		at Nanos
	}, 0, 1<<17)}
	config := map[string]any{"products.count": 1.0, "products.0.effect": "inquiry-like", "products.0.sla": 3e8, "allow.submissions": 4.0, "allow.copies": true,
		"allow.cancel": true, "sentries": 1.0, "release.votes": "single", "release.caps.0": 1.0, "release.free": 3.0, "release.window": 4e9,
		"release.bake": 1e15, "rules.cold": 3e9, "rules.cold-from": 0.3, "rules.fall-multiple": 2.0, "rules.fall-after": 1e9}
	f.sentry = New(f.now, 1, config, f)
	list := make([]Worker, n)
	for i := range list {
		list[i] = Worker{ID: WorkerID(fmt.Sprintf("w%04d", i)), Zone: ZoneID(i % 3), Kind: KindID(i % 2), Weight: 1, Rel: 1}
		if i < trial {
			list[i].Rel = 2
		}
	}
	f.sentry.UpdateWorkers(f.now, Whole, list)
	if trial > 0 {
		f.sentry.ReleaseUpdate(f.now, ReleaseUpdate{Rel: 2, Cap: 1, Phase: OnTrial})
	} else {
		f.sentry.ReleaseUpdate(f.now, ReleaseUpdate{Rel: 1, Cap: 1, Phase: Released})
	}
	return f
}

// step takes a txn, and settles the oldest submissions until at most the given number is in flight.
func (f *loadFleet) step(inFlight int) {
	f.now += 20 * 1000
	f.lastID++
	f.sentry.Take(f.now, Txn{ID: f.lastID, Key: KeyID(f.lastID), Cost: 10 * Millisecond, Expiry: f.now + Second})
	for len(f.submissions)-f.head > inFlight {
		oldest := f.submissions[f.head]
		f.head++
		f.sentry.Outcome(f.now, Outcome{Txn: oldest.id, Elapsed: 10 * Millisecond, Final: true})
	}
	if f.head > 1<<16 {
		f.submissions = f.submissions[:copy(f.submissions, f.submissions[f.head:])]
		f.head = 0
	}
	if f.now >= f.nextTickAt {
		f.nextTickAt = f.now + tickInterval
		f.sentry.TimerFired(f.now, 0)
	}
}

// BenchmarkTxn measures a txn that is taken, sent and settled, including its part of the ticks (one in 5,000 txns).
func BenchmarkTxn(b *testing.B) {
	for _, c := range []struct{ workers, trial, inFlight int }{{10, 0, 20}, {50, 0, 100}, {250, 0, 500}, {1000, 0, 2000}, {4000, 0, 8000},
		{10, 2, 20}, {1000, 200, 2000}, {10, 5, 20}, {1000, 500, 2000}, {1000, 0, 10000}, {4000, 0, 50000}} {
		b.Run(fmt.Sprintf("workers=%d/trial=%d/in-flight=%d", c.workers, c.trial, c.inFlight), func(b *testing.B) {
			fleet := newLoadFleet(c.workers, c.trial)
			for i := 0; i < 20*c.inFlight; i++ {
				fleet.step(c.inFlight)
			}
			before := fleet.declined
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				fleet.step(c.inFlight)
			}
			b.ReportMetric(float64(fleet.declined-before)/float64(b.N), "declined/op")
		})
	}
}

// BenchmarkTick measures a tick.
func BenchmarkTick(b *testing.B) {
	for _, c := range []struct{ workers, trial, inFlight int }{{10, 0, 20}, {250, 0, 500}, {1000, 0, 2000}, {4000, 0, 8000}, {1000, 500, 2000}, {1000, 0, 10000},
		{4000, 0, 50000}} {
		b.Run(fmt.Sprintf("workers=%d/trial=%d/in-flight=%d", c.workers, c.trial, c.inFlight), func(b *testing.B) {
			fleet := newLoadFleet(c.workers, c.trial)
			for i := 0; i < 5*c.inFlight; i++ {
				fleet.step(c.inFlight)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				fleet.sentry.TimerFired(fleet.now, 0)
			}
		})
	}
}

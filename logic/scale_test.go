package logic

import (
	"fmt"
	"testing"
)

// crowd is a sentry with a fleet, and what it has out: txns are taken, sent and settled in turn, so many in hand.
type crowd struct {
	s    *Sentry
	now  Nanos
	subs []struct {
		id TxnID
		at Nanos
	}
	head, beats int
	next        TxnID
	beatAt      Nanos
	declined    int
}

func (c *crowd) Submit(t TxnID, w WorkerID, timeout Nanos) {
	c.subs = append(c.subs, struct {
		id TxnID
		at Nanos
	}{t, c.now})
}
func (c *crowd) Cancel(TxnID, int)        {}
func (c *crowd) Decline(TxnID, Nanos)     { c.declined++ }
func (c *crowd) Void(TxnID)               { c.declined++ }
func (c *crowd) SetTimer(Nanos, uint64)   {}
func (c *crowd) Vote(Verdict, RelID, int) {}
func (c *crowd) WatchWorkers()            {}
func (c *crowd) SendToPeer(int, []byte)   {}
func (c *crowd) Log(string)               {}

// newCrowd makes one of n workers; trial is how many of them run a build on trial.
func newCrowd(n, trial int) *crowd {
	c := &crowd{now: 1e15, subs: make([]struct {
		id TxnID
		at Nanos
	}, 0, 1<<17)}
	set := map[string]any{"products.count": 1.0, "products.0.effect": "inquiry-like", "products.0.sla": 3e8, "allow.submissions": 4.0, "allow.copies": true,
		"allow.cancel": true, "sentries": 1.0, "release.votes": "single", "release.caps.0": 1.0, "release.free": 3.0, "release.window": 4e9,
		"release.bake": 1e15, "rules.cold": 3e9, "rules.cold-from": 0.3, "rules.fall-multiple": 2.0, "rules.fall-after": 1e9}
	c.s = New(c.now, 1, set, c)
	list := make([]Worker, n)
	for i := range list {
		list[i] = Worker{ID: WorkerID(fmt.Sprintf("w%04d", i)), Zone: ZoneID(i % 3), Kind: KindID(i % 2), Weight: 1, Rel: 1}
		if i < trial {
			list[i].Rel = 2
		}
	}
	c.s.UpdateWorkers(c.now, Whole, list)
	if trial > 0 {
		c.s.ReleaseUpdate(c.now, ReleaseUpdate{Rel: 2, Cap: 1, Phase: OnTrial})
	} else {
		c.s.ReleaseUpdate(c.now, ReleaseUpdate{Rel: 1, Cap: 1, Phase: Released})
	}
	return c
}

// step takes a txn, and settles the oldest once more than so many are in hand.
func (c *crowd) step(hand int) {
	c.now += 20 * 1000
	c.next++
	c.s.Take(c.now, Txn{ID: c.next, Key: KeyID(c.next), Cost: 10 * Millisecond, Expiry: c.now + Second})
	for len(c.subs)-c.head > hand {
		x := c.subs[c.head]
		c.head++
		c.s.Outcome(c.now, Outcome{Txn: x.id, Elapsed: 10 * Millisecond, Final: true})
	}
	if c.head > 1<<16 {
		c.subs = c.subs[:copy(c.subs, c.subs[c.head:])]
		c.head = 0
	}
	if c.now >= c.beatAt {
		c.beatAt = c.now + tickInterval
		c.s.TimerFired(c.now, 0)
	}
}

// BenchmarkTxn is a txn taken, sent and settled, with the beats that fall into it (one in 5,000 txns).
func BenchmarkTxn(b *testing.B) {
	for _, c := range []struct{ workers, trial, hand int }{{10, 0, 20}, {50, 0, 100}, {250, 0, 500}, {1000, 0, 2000}, {4000, 0, 8000},
		{10, 2, 20}, {1000, 200, 2000}, {10, 5, 20}, {1000, 500, 2000}, {1000, 0, 10000}, {4000, 0, 50000}} {
		b.Run(fmt.Sprintf("workers=%d/trial=%d/hand=%d", c.workers, c.trial, c.hand), func(b *testing.B) {
			x := newCrowd(c.workers, c.trial)
			for i := 0; i < 20*c.hand; i++ {
				x.step(c.hand)
			}
			before := x.declined
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				x.step(c.hand)
			}
			b.ReportMetric(float64(x.declined-before)/float64(b.N), "declined/op")
		})
	}
}

// BenchmarkBeat is a beat alone.
func BenchmarkBeat(b *testing.B) {
	for _, c := range []struct{ workers, trial, hand int }{{10, 0, 20}, {250, 0, 500}, {1000, 0, 2000}, {4000, 0, 8000}, {1000, 500, 2000}, {1000, 0, 10000},
		{4000, 0, 50000}} {
		b.Run(fmt.Sprintf("workers=%d/trial=%d/hand=%d", c.workers, c.trial, c.hand), func(b *testing.B) {
			x := newCrowd(c.workers, c.trial)
			for i := 0; i < 5*c.hand; i++ {
				x.step(c.hand)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				x.s.TimerFired(x.now, 0)
			}
		})
	}
}

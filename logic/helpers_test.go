package logic

import (
	"fmt"
	"strings"
	"testing"
)

// tape is a Sink that keeps what was done, one line an action.
type tape struct {
	lines []string
	sent  map[WorkerID]int
	told  []byte // the last message
	mute  bool   // count only
	total int
}

func (k *tape) put(format string, args ...any) {
	if !k.mute {
		k.lines = append(k.lines, fmt.Sprintf(format, args...))
	}
}
func (k *tape) Submit(t TxnID, w WorkerID, timeout Nanos) {
	k.total++
	if k.mute { // formatting allocates
		return
	}
	k.sent[w]++
	k.put("submit %d %s", t, w)
}
func (k *tape) Cancel(t TxnID, number int)           { k.put("cancel %d %d", t, number) }
func (k *tape) Decline(t TxnID, retryAfter Nanos)    { k.put("decline %d %d", t, retryAfter/Millisecond) }
func (k *tape) Void(t TxnID)                         { k.put("void %d", t) }
func (k *tape) SetTimer(after Nanos, token uint64)   {}
func (k *tape) Vote(v Verdict, rel RelID, stage int) { k.put("vote %d %d %d", v, rel, stage) }
func (k *tape) WatchWorkers()                        { k.put("watch") }
func (k *tape) SendToPeer(to int, data []byte) {
	k.told = append(k.told[:0], data...)
	k.put("tell %d", to)
}
func (k *tape) Log(text string) {}

func (k *tape) count(prefix string) int {
	n := 0
	for _, l := range k.lines {
		if strings.HasPrefix(l, prefix) {
			n++
		}
	}
	return n
}

// rig is a sentry with a clock, some workers and products, and a tape.
type rig struct {
	*Sentry
	*tape
	clock Nanos
	next  TxnID
}

const (
	inquiry ProductID = iota
	hold
	pay
)

// settings gives a plain deployment of three products, with changes as name, value pairs.
func settings(changes ...any) map[string]any {
	m := map[string]any{
		"products.count": 3.0, "sentries": 1.0, "discovery": "push", "zone": 0.0,
		"products.0.effect": "inquiry-like", "products.1.effect": "referenced", "products.2.effect": "once-only",
		"products.1.group": "all", "products.1.memory": float64(2 * Second),
		"allow.submissions": 4.0, "allow.copies": true, "allow.cancel": true, "allow.longest-retry-after": float64(Second),
		"release.votes": "single", "release.votes-per-second": 100.0, "release.free": 3.0,
		"release.window": float64(4 * Second), "release.caps.0": 0.1, "release.bake": float64(2 * Second),
		"release.shares.0": 0.1, "release.shares.1": 0.4, "release.shares.2": 1.0,
		"rules.cold": float64(4 * Second), "rules.cold-from": 0.3, "rules.fall-multiple": 2.0,
		"rules.fall-after": float64(Second),
	}
	for i := 0; i < 3; i++ {
		m[fmt.Sprintf("products.%d.sla", i)] = float64(Second)
	}
	for i := 0; i+1 < len(changes); i += 2 {
		m[changes[i].(string)] = changes[i+1]
	}
	return m
}

// newRig starts a sentry with so many workers of build 1 and of build 2, warm unless told otherwise, and build 2
// on trial under the cap.
func newRig(old, trial int, cap float64, changes ...any) *rig {
	k := &tape{sent: map[WorkerID]int{}}
	r := &rig{tape: k, clock: 100 * Second}
	r.Sentry = New(r.clock, 7, settings(changes...), k)
	var list []Worker
	for i := 0; i < old+trial; i++ {
		w := Worker{ID: WorkerID(fmt.Sprintf("old%02d", i)), Rel: 1, Weight: 1}
		if i >= old {
			w.ID, w.Rel = WorkerID(fmt.Sprintf("trial%02d", i-old)), 2
		}
		list = append(list, w)
	}
	r.UpdateWorkers(r.clock, Restored, list)
	if trial > 0 {
		r.Sentry.ReleaseUpdate(r.clock, ReleaseUpdate{Rel: 2, Cap: cap, Phase: OnTrial})
	} else {
		r.Sentry.ReleaseUpdate(r.clock, ReleaseUpdate{Rel: 1, Cap: 1, Phase: Released})
	}
	return r
}

// take hands in one txn and gives its id.
func (r *rig) take(p ProductID, key KeyID) TxnID {
	r.next++
	r.Take(r.clock, Txn{ID: r.next, Product: p, Key: key, Expiry: r.clock + 2*Second})
	return r.next
}

// wait moves the clock on, beat by beat.
func (r *rig) wait(span Nanos) {
	for end := r.clock + span; r.clock < end; {
		r.clock += min(tickInterval, end-r.clock)
		r.TimerFired(r.clock, 0)
	}
}

// end ends a submission.
func (r *rig) end(t TxnID, number int, e Ending, took Nanos) {
	r.Outcome(r.clock, Outcome{Txn: t, Number: number, Ending: e, Elapsed: took, Final: e == OK,
		MaybeAnswered: e == MalformedResponse || e == Disconnected || e == Cancelled})
}

// to is the worker that the txn's last submission went to, or "".
func (r *rig) to(t TxnID) string {
	for i := len(r.lines) - 1; i >= 0; i-- {
		if after, found := strings.CutPrefix(r.lines[i], fmt.Sprintf("submit %d ", t)); found {
			return after
		}
	}
	return ""
}

// run plays n txns of a product, 20 ms apart, each ended at once as the worker's side of the pair has it.
func (r *rig) run(n int, p ProductID, key func(i int) KeyID, ending func(worker string, i int) (Ending, Nanos)) {
	for i := 0; i < n; i++ {
		t := r.take(p, key(i))
		for s := 0; s < 4; s++ {
			if at, held := r.txnSlots[t]; !held || r.slab[at].n <= s {
				break
			}
			e, took := ending(r.to(t), i)
			r.end(t, s, e, took)
		}
		r.wait(20 * Millisecond)
	}
}

func noKey(int) KeyID { return 0 }

func fine(string, int) (Ending, Nanos) { return OK, 50 * Millisecond }

// only ends every so manieth txn at workers of such names so, and the others well.
func only(names string, every int, e Ending, took Nanos) func(string, int) (Ending, Nanos) {
	return func(w string, i int) (Ending, Nanos) {
		if strings.HasPrefix(w, names) && i%every == 0 {
			return e, took
		}
		return OK, 50 * Millisecond
	}
}

func want[T comparable](t *testing.T, what string, got, wanted T) {
	t.Helper()
	if got != wanted {
		t.Errorf("%s: got %v, want %v", what, got, wanted)
	}
}

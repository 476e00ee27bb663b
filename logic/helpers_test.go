package logic

import (
	"fmt"
	"strings"
	"testing"
)

// actionLog is a Sink that records the actions as lines of text.
type actionLog struct {
	actions     []string
	sent        map[WorkerID]int
	lastMessage []byte
	discard     bool // only count submissions
	submitted   int
}

func (l *actionLog) record(format string, args ...any) {
	if !l.discard {
		l.actions = append(l.actions, fmt.Sprintf(format, args...))
	}
}
func (l *actionLog) Submit(t TxnID, w WorkerID, timeout Nanos) {
	l.submitted++
	if l.discard { // formatting allocates
		return
	}
	l.sent[w]++
	l.record("submit %d %s", t, w)
}
func (l *actionLog) Cancel(t TxnID, number int) { l.record("cancel %d %d", t, number) }
func (l *actionLog) Decline(t TxnID, retryAfter Nanos) {
	l.record("decline %d %d", t, retryAfter/Millisecond)
}
func (l *actionLog) Void(t TxnID)                         { l.record("void %d", t) }
func (l *actionLog) SetTimer(after Nanos, token uint64)   {}
func (l *actionLog) Vote(v Verdict, rel RelID, stage int) { l.record("vote %d %d %d", v, rel, stage) }
func (l *actionLog) WatchWorkers()                        { l.record("watch") }
func (l *actionLog) SendToPeer(to int, data []byte) {
	l.lastMessage = append(l.lastMessage[:0], data...)
	l.record("message %d", to)
}
func (l *actionLog) Log(text string) {}

// count returns the number of actions that start with prefix.
func (l *actionLog) count(prefix string) int {
	n := 0
	for _, action := range l.actions {
		if strings.HasPrefix(action, prefix) {
			n++
		}
	}
	return n
}

// harness is a sentry with a clock, some workers and products, and a log of its actions.
type harness struct {
	*Sentry
	*actionLog
	clock  Nanos
	lastID TxnID
}

// Products of settings.
const (
	inquiry ProductID = iota // inquiry-like
	reserve                  // referenced
	pay                      // once-only
)

// settings returns the settings of a small deployment with three products, with changes as pairs of a name and a value.
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

// newHarness starts a sentry with warm workers: as many as old of build 1 and as many as trial of build 2, which is on trial
// with the given cap. Without trial workers, build 1 is released. changes are as for settings.
func newHarness(old, trial int, trialCap float64, changes ...any) *harness {
	log := &actionLog{sent: map[WorkerID]int{}}
	h := &harness{actionLog: log, clock: 100 * Second}
	h.Sentry = New(h.clock, 7, settings(changes...), log)
	var list []Worker
	for i := 0; i < old+trial; i++ {
		w := Worker{ID: WorkerID(fmt.Sprintf("old%02d", i)), Rel: 1, Weight: 1}
		if i >= old {
			w.ID, w.Rel = WorkerID(fmt.Sprintf("trial%02d", i-old)), 2
		}
		list = append(list, w)
	}
	h.UpdateWorkers(h.clock, Restored, list)
	if trial > 0 {
		h.Sentry.ReleaseUpdate(h.clock, ReleaseUpdate{Rel: 2, Cap: trialCap, Phase: OnTrial})
	} else {
		h.Sentry.ReleaseUpdate(h.clock, ReleaseUpdate{Rel: 1, Cap: 1, Phase: Released})
	}
	return h
}

// take hands a txn to the sentry and returns its id.
func (h *harness) take(p ProductID, key KeyID) TxnID {
	h.lastID++
	h.Take(h.clock, Txn{ID: h.lastID, Product: p, Key: key, Expiry: h.clock + 2*Second})
	return h.lastID
}

// advance moves the clock forward, tick by tick.
func (h *harness) advance(duration Nanos) {
	for end := h.clock + duration; h.clock < end; {
		h.clock += min(tickInterval, end-h.clock)
		h.TimerFired(h.clock, 0)
	}
}

// endSubmission passes the outcome of a submission to the sentry.
func (h *harness) endSubmission(t TxnID, number int, e Ending, elapsed Nanos) {
	h.Outcome(h.clock, Outcome{Txn: t, Number: number, Ending: e, Elapsed: elapsed, Final: e == OK,
		MaybeAnswered: e == MalformedResponse || e == Disconnected || e == Cancelled})
}

// lastTarget returns the worker that the txn's last submission went to, or "".
func (h *harness) lastTarget(t TxnID) string {
	for i := len(h.actions) - 1; i >= 0; i-- {
		if target, found := strings.CutPrefix(h.actions[i], fmt.Sprintf("submit %d ", t)); found {
			return target
		}
	}
	return ""
}

// runTxns takes n txns of a product, 20 ms apart, and ends each submission at once. key returns the key of txn i, and ending
// the ending and duration of a submission of txn i to a worker.
func (h *harness) runTxns(n int, p ProductID, key func(i int) KeyID, ending func(worker string, i int) (Ending, Nanos)) {
	for i := 0; i < n; i++ {
		id := h.take(p, key(i))
		for number := 0; number < 4; number++ {
			if slot, open := h.txnSlots[id]; !open || h.slab[slot].n <= number {
				break
			}
			e, elapsed := ending(h.lastTarget(id), i)
			h.endSubmission(id, number, e, elapsed)
		}
		h.advance(20 * Millisecond)
	}
}

// noKey gives txns no key.
func noKey(int) KeyID { return 0 }

// succeed lets all submissions succeed.
func succeed(string, int) (Ending, Nanos) { return OK, 50 * Millisecond }

// everyNth gives submissions of every n-th txn to workers whose id starts with prefix the ending e, and lets all other
// submissions succeed.
func everyNth(prefix string, n int, e Ending, elapsed Nanos) func(string, int) (Ending, Nanos) {
	return func(w string, i int) (Ending, Nanos) {
		if strings.HasPrefix(w, prefix) && i%n == 0 {
			return e, elapsed
		}
		return OK, 50 * Millisecond
	}
}

// want checks that two values are equal.
func want[T comparable](t *testing.T, name string, got, expected T) {
	t.Helper()
	if got != expected {
		t.Errorf("%s: got %v, want %v", name, got, expected)
	}
}

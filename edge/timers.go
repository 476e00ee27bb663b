package edge

import (
	"slices"

	"go.uber.org/zap"

	"dunegrade/logic"
)

// timerKind selects what happens when a timer fires.
type timerKind uint8

const (
	timerModule       timerKind = iota // a timer of the module, which identifies it by its token
	timerExpiry                        // a call's expiry
	timerHalfClose                     // halfCloseLead before a call's expiry
	timerSubTimeout                    // a submission's timeout
	timerConnWait                      // limit on a submission's wait for a connection
	timerClientConn                    // check of a client connection
	timerWorkerConn                    // check of a worker connection
	timerClosingConns                  // check of loop.closingConns
	timerDrainEnd                      // answer deadline of a drain
)

// timer is an entry of timerHeap. Timers are not cancelled; when one fires, its handler checks whether it still applies.
type timer struct {
	at       logic.Nanos
	token    uint64 // depending on kind: the module's token, a txn id or a slotToken
	kind     timerKind
	subIndex uint8       // index in call.subs, for timerSubTimeout and timerConnWait
	txnID    logic.TxnID // for timerModule: the txn that it was set for; 0 when none
}

// timerHeap is a binary min-heap by time. Most timers are pushed in order of time, which takes one comparison.
type timerHeap []timer

// push adds a timer.
func (h *timerHeap) push(t timer) {
	q := append(*h, t)
	i := len(q) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if q[parent].at <= t.at {
			break
		}
		q[i], i = q[parent], parent
	}
	q[i] = t
	*h = q
}

// pop removes and returns the earliest timer of a heap that is not empty.
func (h *timerHeap) pop() timer {
	q := *h
	top, last := q[0], q[len(q)-1]
	q = q[:len(q)-1]
	if len(q) > 0 {
		q.siftDown(0, last)
	}
	*h = q
	return top
}

// siftDown puts t at index i, or below it where its children are earlier.
func (h timerHeap) siftDown(i int, t timer) {
	for {
		child := 2*i + 1
		if child >= len(h) {
			break
		}
		if child+1 < len(h) && h[child+1].at < h[child].at {
			child++
		}
		if t.at <= h[child].at {
			break
		}
		h[i], i = h[child], child
	}
	h[i] = t
}

// removeIf removes the timers for which obsolete returns true. It frees memory if few timers are left.
func (h *timerHeap) removeIf(obsolete func(timer) bool) {
	q := slices.DeleteFunc(*h, obsolete)
	if len(q) < cap(q)/4 {
		q = slices.Clone(q)
	}
	for i := len(q)/2 - 1; i >= 0; i-- {
		q.siftDown(i, q[i])
	}
	*h = q
}

// minTimersToPurge is the number of timers below which obsolete ones are left in the heap.
const minTimersToPurge = 4096

// pushTimer adds a timer. A request's timers run until its expiry, which may be an hour after its answer. So the obsolete timers
// are removed whenever the heap has grown to twice what was left of it the last time.
func (l *loop) pushTimer(t timer) {
	if len(l.timers) >= max(minTimersToPurge, 2*l.timersLeft) {
		l.timers.removeIf(l.timerObsolete)
		l.timersLeft = len(l.timers)
	}
	l.timers.push(t)
}

// runDueTimers fires the timers that are due and removes obsolete ones from the top of the heap.
func (l *loop) runDueTimers() {
	for len(l.timers) > 0 {
		t := l.timers[0]
		if t.at > l.now && !l.timerObsolete(t) {
			return
		}
		l.timers.pop()
		if t.at > l.now || l.timerObsolete(t) {
			continue
		}
		l.fireTimer(t)
		l.processEvents()
	}
}

// timerObsolete reports whether the txn, submission or connection that a timer was set for has ended, or whether the connection's
// next check has another timer by now.
func (l *loop) timerObsolete(t timer) bool {
	switch t.kind {
	case timerExpiry, timerHalfClose, timerSubTimeout, timerConnWait:
		c := l.findCall(logic.TxnID(t.token))
		return c == nil || t.kind != timerExpiry && t.kind != timerHalfClose && c.subs[t.subIndex].state == subEnded
	case timerModule: // a timer for a txn that has ended has no effect in the module
		return t.txnID != 0 && l.findCall(t.txnID) == nil
	case timerClientConn:
		cc := l.clientByToken(t.token)
		return cc == nil || cc.checkAt != t.at
	case timerWorkerConn:
		wc := l.workerByToken(t.token)
		return wc == nil || wc.checkAt != t.at
	}
	return false
}

// fireTimer handles a timer that is due and still applies.
func (l *loop) fireTimer(t timer) {
	switch t.kind {
	case timerModule:
		if t.token == 0 { // the module's housekeeping tick
			l.publishStats()
			if l.recorder != nil {
				l.recorder.FlushStale(l.now)
			}
		}
		l.enqueue(event{kind: evTimer, token: t.token})
	case timerExpiry:
		l.expireCall(l.findCall(logic.TxnID(t.token)))
	case timerHalfClose:
		l.halfCloseOutstanding(l.findCall(logic.TxnID(t.token)))
	case timerSubTimeout:
		l.stopSubmission(l.findCall(logic.TxnID(t.token)), int(t.subIndex), logic.TimedOut)
	case timerConnWait:
		if c := l.findCall(logic.TxnID(t.token)); c.subs[t.subIndex].state == subWaiting {
			l.endSubmission(c, int(t.subIndex), logic.ConnectFailed, nil)
		}
	case timerClientConn:
		if cc := l.clientByToken(t.token); cc != nil {
			cc.checkAt = 0
			l.checkClient(cc)
		}
	case timerClosingConns:
		l.checkClosing()
	case timerDrainEnd:
		l.finishDrain()
	case timerWorkerConn:
		if wc := l.workerByToken(t.token); wc != nil {
			wc.checkAt = 0
			l.checkWorkerConn(wc)
		}
	}
}

// expireCall ends the outstanding submissions of a call at its expiry, so that the module answers it at once.
func (l *loop) expireCall(c *call) {
	id := c.id()
	for n := 0; n < c.numSubs; n++ {
		l.stopSubmission(c, n, logic.TimedOut)
	}
	l.processEvents()
	if c = l.findCall(id); c != nil && c.admitted && !c.answered && !c.clientLeft {
		// The module still holds the txn although no submission is outstanding. Without this, the client would get no answer.
		l.stats.hostVoided++
		l.log.Error("txn held past its expiry, voided by the host", zap.Uint64("txn", uint64(c.id())))
		l.enqueue(event{kind: evClientLeft, call: c})
		l.respondVoided(c)
		l.processEvents()
	}
}

package edge

import (
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
		i := 0
		for {
			child := 2*i + 1
			if child >= len(q) {
				break
			}
			if child+1 < len(q) && q[child+1].at < q[child].at {
				child++
			}
			if last.at <= q[child].at {
				break
			}
			q[i], i = q[child], child
		}
		q[i] = last
	}
	*h = q
	return top
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

// timerObsolete reports whether the txn or submission that a timer was set for has ended.
func (l *loop) timerObsolete(t timer) bool {
	switch t.kind {
	case timerExpiry, timerHalfClose, timerSubTimeout, timerConnWait:
		c := l.findCall(logic.TxnID(t.token))
		return c == nil || t.kind != timerExpiry && t.kind != timerHalfClose && c.subs[t.subIndex].state == subEnded
	case timerModule: // a timer for a txn that has ended has no effect in the module
		return t.txnID != 0 && l.findCall(t.txnID) == nil
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

package edge

import (
	"dunegrade/logic"
	"dunegrade/trace/tracepb"
)

var _ logic.Sink = (*loop)(nil)

// The following methods implement logic.Sink. Actions on txns and timers are only queued, and executed once the module's
// method has returned.

// Submit implements logic.Sink.
func (l *loop) Submit(t logic.TxnID, w logic.WorkerID, timeout logic.Nanos) {
	if l.traced(t) {
		l.recorder.Submit(l.now, t, w, timeout)
	}
	l.actions = append(l.actions, action{kind: actionSubmit, txn: t, worker: w, duration: timeout})
}

// Cancel implements logic.Sink.
func (l *loop) Cancel(t logic.TxnID, number int) {
	if l.traced(t) {
		l.recorder.Event(l.now, tracepb.Kind_CANCEL, t, number, 0, 0)
	}
	l.actions = append(l.actions, action{kind: actionCancel, txn: t, subIndex: number})
}

// Decline implements logic.Sink.
func (l *loop) Decline(t logic.TxnID, retryAfter logic.Nanos) {
	if l.traced(t) {
		l.recorder.Event(l.now, tracepb.Kind_DECLINE, t, 0, 0, uint64(retryAfter))
	}
	l.actions = append(l.actions, action{kind: actionDecline, txn: t, duration: retryAfter})
}

// Void implements logic.Sink.
func (l *loop) Void(t logic.TxnID) {
	if l.traced(t) {
		l.recorder.Event(l.now, tracepb.Kind_VOID, t, 0, 0, 0)
	}
	l.actions = append(l.actions, action{kind: actionVoid, txn: t})
}

// SetTimer implements logic.Sink.
func (l *loop) SetTimer(after logic.Nanos, token uint64) {
	if l.recorder != nil {
		l.recorder.Event(l.now, tracepb.Kind_REMIND, 0, 0, token, uint64(after))
	}
	id := l.admitting
	if token == 0 { // the housekeeping tick belongs to no txn
		id = 0
	}
	l.actions = append(l.actions, action{kind: actionSetTimer, duration: after, token: token, txn: id})
}

// Vote implements logic.Sink.
func (l *loop) Vote(v logic.Verdict, rel logic.RelID, stage int) {
	if l.recorder != nil {
		l.recorder.Event(l.now, tracepb.Kind_VOTE, 0, int(v), uint64(rel), uint64(stage))
	}
	l.castVote(v, rel, stage)
}

// WatchWorkers implements logic.Sink.
func (l *loop) WatchWorkers() {
	if l.recorder != nil {
		l.recorder.Event(l.now, tracepb.Kind_WATCH, 0, 0, 0, 0)
	}
	l.p.source.Refresh()
}

// SendToPeer implements logic.Sink.
func (l *loop) SendToPeer(receiver int, data []byte) {
	if l.recorder != nil {
		l.recorder.SendToPeer(l.now, receiver, data)
	}
	l.p.sendToPeer(l.sentryIndex, receiver, data)
}

// Log implements logic.Sink.
func (l *loop) Log(text string) {
	if l.recorder != nil {
		l.recorder.Log(l.now, text)
	}
	l.log.Info(text)
}

// traced reports whether a txn is recorded.
func (l *loop) traced(t logic.TxnID) bool {
	if l.recorder == nil {
		return false
	}
	c := l.findCall(t)
	return c != nil && c.traced
}

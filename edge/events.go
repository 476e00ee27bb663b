package edge

import (
	"dunegrade/logic"
	"dunegrade/trace/tracepb"
)

// eventKind selects the decision module's method that an event is passed to.
type eventKind uint8

const (
	evAdmit eventKind = iota
	evOutcome
	evClientLeft
	evStreamStarted
	evAnswerStarted
	evTimer
	evFunc // runs a function, for rare events
)

// event is an event queued for the decision module. Which fields are set depends on the kind.
type event struct {
	kind    eventKind
	call    *call
	outcome logic.Outcome
	load    logic.Load
	hasLoad bool
	token   uint64
	run     func(now logic.Nanos)
}

// actionKind is the kind of an action that the module has decided on.
type actionKind uint8

const (
	actionSubmit actionKind = iota
	actionCancel
	actionDecline
	actionVoid
	actionSetTimer
)

// action is one decision of the module that the loop has yet to carry out.
type action struct {
	kind     actionKind
	txn      logic.TxnID
	worker   logic.WorkerID
	duration logic.Nanos
	subIndex int
	token    uint64
}

// enqueue appends an event to the queue for the module. processEvents processes the queue.
func (l *loop) enqueue(e event) {
	if e.call != nil {
		e.call.pendingEvents++
	}
	l.events = append(l.events, e)
}

// processEvents passes queued events to the module one by one, and executes the actions of each before the next event.
// Executing an action can end connections and so cause further events; these are queued, so that calls into the module don't
// nest.
func (l *loop) processEvents() {
	if l.processing {
		return
	}
	l.processing = true
	for len(l.events) > 0 || len(l.resumeReads) > 0 {
		for i := 0; i < len(l.events); i++ {
			l.dispatch(l.events[i])
		}
		l.events = l.events[:0]
		for i := 0; i < len(l.resumeReads); i++ {
			if cc := l.resumeReads[i]; !cc.closed {
				cc.resumeRead()
			}
		}
		l.resumeReads = l.resumeReads[:0]
	}
	if l.recorder != nil {
		l.recorder.WritePending()
	}
	l.processing = false
}

// dispatch passes one event to the module and executes the resulting actions.
func (l *loop) dispatch(e event) {
	c := e.call
	switch e.kind {
	case evAdmit:
		if l.recorder != nil {
			c.traced = l.recorder.Take(l.now, &c.txn, c.serial, c.traceID[0], c.traceID[1])
		}
		l.admitting = c.id() // timers that the module sets during this call are for this txn
		l.sentry.Take(l.now, c.txn)
		l.admitting = 0
	case evOutcome:
		if e.hasLoad {
			l.load = e.load
			e.outcome.Load = &l.load
		}
		if c.traced {
			l.recorder.Outcome(l.now, &e.outcome, c.status)
			c.status = 0
		}
		l.sentry.Outcome(l.now, e.outcome)
	case evClientLeft:
		if c.traced {
			l.recorder.Event(l.now, tracepb.Kind_LEFT, c.id(), 0, 0, 0)
		}
		l.sentry.ClientLeft(l.now, c.id())
	case evStreamStarted:
		if c.traced {
			l.recorder.Event(l.now, tracepb.Kind_STREAMING, c.id(), e.outcome.Number, 0, 0)
		}
		l.sentry.StreamStarted(l.now, c.id(), e.outcome.Number)
	case evAnswerStarted: // not recorded: no protocol with traces has this event
		l.sentry.ResponseStarted(l.now, c.id(), e.outcome.Number)
	case evTimer:
		if l.recorder != nil {
			l.recorder.Event(l.now, tracepb.Kind_TIMER, 0, 0, e.token, 0)
		}
		l.sentry.TimerFired(l.now, e.token)
	case evFunc:
		e.run(l.now)
	}
	for i := 0; i < len(l.actions); i++ {
		l.execute(l.actions[i])
	}
	l.actions = l.actions[:0]
	if c != nil {
		c.pendingEvents--
		l.releaseCall(c)
	}
}

// execute carries out one action of the module.
func (l *loop) execute(a action) {
	if a.kind == actionSetTimer {
		l.pushTimer(timer{at: l.now + a.duration, token: a.token, kind: timerModule, txnID: a.txn})
		return
	}
	c := l.findCall(a.txn)
	if c == nil {
		return
	}
	switch a.kind {
	case actionSubmit:
		l.startSubmission(c, a.worker, a.duration)
	case actionCancel:
		if a.subIndex >= 0 && a.subIndex < c.numSubs {
			l.stopSubmission(c, a.subIndex, logic.Cancelled)
		}
	case actionDecline:
		l.respondDeclined(c, a.duration)
	case actionVoid:
		l.respondVoided(c)
	}
}

// deliverWorkers, like the other deliver methods below, records an event in the trace and passes it to the module.
func (l *loop) deliverWorkers(mode logic.ListMode, list []logic.Worker) {
	l.dispatch(event{kind: evFunc, run: func(now logic.Nanos) {
		if l.recorder != nil {
			l.recorder.UpdateWorkers(now, mode, list)
		}
		l.sentry.UpdateWorkers(now, mode, list)
	}})
}

func (l *loop) deliverRelease(u logic.ReleaseUpdate) {
	l.dispatch(event{kind: evFunc, run: func(now logic.Nanos) {
		if l.recorder != nil {
			l.recorder.ReleaseUpdate(now, u)
		}
		l.sentry.ReleaseUpdate(now, u)
	}})
}

func (l *loop) deliverTally(t logic.Tally) {
	l.dispatch(event{kind: evFunc, run: func(now logic.Nanos) {
		if l.recorder != nil {
			l.recorder.Tally(now, t)
		}
		l.sentry.Tally(now, t)
	}})
}

func (l *loop) deliverContested(p logic.ProductID, w logic.WorkerID, age logic.Nanos) {
	l.dispatch(event{kind: evFunc, run: func(now logic.Nanos) {
		if l.recorder != nil {
			l.recorder.Contested(now, p, w, age)
		}
		l.sentry.Contested(now, p, w, age)
	}})
}

func (l *loop) deliverPeerMessage(sender int, data []byte) {
	l.dispatch(event{kind: evFunc, run: func(now logic.Nanos) {
		if l.recorder != nil {
			l.recorder.PeerMessage(now, sender, data)
		}
		l.sentry.PeerMessage(now, sender, data)
	}})
}

package edge

import "dunegrade/logic"

// maxSubs is the maximum number of submissions of a txn. The decision module has the same limit.
const maxSubs = 8

// subState is the state of a submission.
type subState uint8

const (
	subEnded      subState = iota
	subWaiting             // waits for a connection: nothing was sent
	subSent                // written to a worker, which may run it
	subHalfClosed          // cancelled by half-closing the connection; an answer already under way is still accepted
	subStreaming           // its answer is forwarded by a streamRelay
)

// submission is one attempt to run a txn on a worker.
type submission struct {
	pool      *pool
	conn      *workerConn // while sent
	startedAt logic.Nanos // when startSubmission was called
	state     subState
}

// call is one open txn: the client's request and the submissions made for it. A call exists from the end of the request's
// head until it is answered and all its submissions have ended.
type call struct {
	slot         int32       // index in loop.calls
	gen          uint32      // generation of the slot
	client       *clientConn // nil once the call is answered or its client has left
	request      []byte      // head and body, as sent to workers; empty once no further submission is made
	heldRequest  int         // capacity of request that loop.held and the client's held include
	bodyOffset   int         // where the body starts in request
	product      int
	isHead       bool // a HEAD request, whose answer has no body
	httpMinor    int  // the client's HTTP/1 minor version
	keepAlive    bool // the client connection may stay open after the answer
	closesConn   bool // the answer announces the close of the client connection
	txn          logic.Txn
	admitted     bool      // passed to the module
	wasSent      bool      // a submission was written to a worker, which may run it
	externalID   uint64    // id that the client gave the txn; 0 in protocols without such ids
	timeoutStart int       // offset in request of the client's timeout, for protocols that rewrite it
	timeoutEnd   int       // offset just past the client's timeout
	traced       bool      // recorded by the trace recorder
	traceID      [2]uint64 // trace id that the client sent; zeros when it sent none
	serial       uint64    // serial number of the txn in this run of the sentry
	status       int       // HTTP status of the answer just given, for the trace
	answered     bool
	clientLeft   bool // the client has left before its answer
	subs         [maxSubs]submission
	numSubs      int // submissions made
	outstanding  int // submissions that have not ended
	// pendingEvents is the number of events queued for the module.
	pendingEvents int
	freed         bool
	lastEnding    logic.Ending // ending of the submission that ended last; OK before any has
}

// slotBits is the number of low bits of a txn id that hold the call's slot; the bits above them hold the generation. This
// keeps ids small.
const slotBits = 20

// id returns the txn id by which the module refers to the call.
func (c *call) id() logic.TxnID { return logic.TxnID(uint64(c.gen)<<slotBits | uint64(c.slot)) }

// findCall returns the open call with the given txn id, or nil.
func (l *loop) findCall(id logic.TxnID) *call {
	slot, gen := int32(id&(1<<slotBits-1)), uint32(id>>slotBits)
	if int(slot) >= len(l.calls.items) || slot < 0 {
		return nil
	}
	if c := l.calls.items[slot]; c.gen == gen {
		return c
	}
	return nil
}

// newCall returns an empty call in a free slot. It may reuse the request buffer of the slot's previous call.
func (l *loop) newCall() *call {
	slot, c := l.calls.get()
	l.serial++
	*c = call{slot: slot, gen: c.gen + 1, serial: l.serial, request: c.request[:0], lastEnding: logic.OK}
	return c
}

// releaseCall frees a call unless it has outstanding submissions or queued events, or still owes its client an answer.
func (l *loop) releaseCall(c *call) {
	if c.freed || c.outstanding > 0 || c.pendingEvents > 0 || c.admitted && !c.answered && !c.clientLeft {
		return
	}
	c.freed = true
	l.releaseID(c)
	if c.traced {
		l.recorder.TxnDone(l.now, c.id())
	}
	if c.client != nil && c.client.call == c {
		c.client.call = nil
	}
	c.detachClient()
	c.gen++ // findCall no longer returns this call for timers and late events
	l.calls.put(c.slot)
}

// endSubmission marks submission n as ended and queues the outcome for the module. load may be nil.
func (l *loop) endSubmission(c *call, n int, e logic.Ending, load *logic.Load) {
	s := &c.subs[n]
	if s.state == subEnded {
		return
	}
	// The worker may have answered although no answer has arrived: it can still be in transit on a slow or stalled link.
	maybeAnswered := l.p.platform != nil && s.state >= subSent &&
		(e == logic.Cancelled || e == logic.TimedOut || e == logic.Disconnected || e == logic.MalformedResponse)
	s.state = subEnded
	s.conn = nil
	c.outstanding--
	c.lastEnding = e
	ev := event{kind: evOutcome, call: c, outcome: logic.Outcome{Txn: c.id(), Number: n, Ending: e,
		Elapsed: l.now - s.startedAt, Final: c.answered || c.clientLeft, MaybeAnswered: maybeAnswered}}
	if load != nil {
		ev.load, ev.hasLoad = *load, true
	}
	l.stats.endings[e]++
	l.enqueue(ev)
}

// endWaitingSubs ends the submissions of a finished call that still wait for a connection. If the configuration forbids
// cancelling, the module does not cancel them, and they would be sent although the client has left or has its answer.
func (l *loop) endWaitingSubs(c *call) {
	for n := 0; n < c.numSubs; n++ {
		if c.subs[n].state == subWaiting {
			l.endSubmission(c, n, logic.Skipped, nil)
		}
	}
}

// startSubmission starts submission n of a call at a worker.
func (l *loop) startSubmission(c *call, w logic.WorkerID, timeout logic.Nanos) {
	if c.numSubs >= maxSubs { // not reached: the module has the same limit
		return
	}
	n := c.numSubs
	c.numSubs++
	c.outstanding++
	p := l.pools[w]
	c.subs[n] = submission{pool: p, startedAt: l.now, state: subWaiting}
	if p == nil || c.answered || c.clientLeft {
		l.endSubmission(c, n, logic.Skipped, nil)
		return
	}
	if timeout > 0 && l.now+timeout < c.txn.Expiry {
		l.pushTimer(timer{at: l.now + timeout, token: uint64(c.id()), kind: timerSubTimeout, subIndex: uint8(n)})
	}
	if wc := l.takeIdleConn(p); wc != nil {
		l.assignConn(wc, c, n)
		return
	}
	p.waiting = append(p.waiting, waiter{c, c.gen, n})
	l.pushTimer(timer{at: l.now + l.connectTimeout, token: uint64(c.id()), kind: timerConnWait, subIndex: uint8(n)})
	l.queueDials(p)
}

// assignConn writes submission n of a call to a connection.
func (l *loop) assignConn(wc *workerConn, c *call, n int) {
	s := &c.subs[n]
	s.state, s.conn, c.wasSent = subSent, wc, true
	wc.call, wc.callGen, wc.subIndex = c, c.gen, n
	wc.hasLoad, wc.idledFor = false, l.now-wc.since
	if wc.numUses == 0 {
		wc.idledFor = 0
	}
	wc.numUses++
	l.stats.sent++
	if err := wc.protocol.writeSubmission(c, n); err != nil && !wc.closed {
		l.closeWorkerConn(wc, true)
		l.endSubmission(c, n, logic.Disconnected, nil)
	}
}

// stopSubmission ends a submission that the module cancels or whose time is up.
func (l *loop) stopSubmission(c *call, n int, e logic.Ending) {
	s := &c.subs[n]
	switch s.state {
	case subWaiting:
		if e == logic.Cancelled {
			e = logic.Skipped // the submission was never sent
		}
		if e == logic.TimedOut {
			e = logic.ConnectFailed
		}
		l.endSubmission(c, n, e, nil)
	case subSent:
		if s.conn.protocol.hasUnsent() { // a request that has not left this host completely cannot have run
			e = logic.ConnectFailed
		} else if e == logic.Cancelled && s.conn.protocol.halfClose() {
			l.startHalfClose(s)
			return
		}
		l.abortSubmission(s.conn, e)
	case subHalfClosed:
		if e == logic.TimedOut {
			l.abortSubmission(s.conn, e)
		}
	}
}

// abortSubmission ends a submission by closing its connection. A submission whose answer has started to arrive has run, so it
// must not be reported as timed out or cancelled.
func (l *loop) abortSubmission(wc *workerConn, e logic.Ending) {
	c, n := wc.call, wc.subIndex
	if (e == logic.TimedOut || e == logic.Cancelled) && wc.protocol.answerStarted() {
		e = logic.MalformedResponse
	}
	l.closeWorkerConn(wc, true)
	l.endSubmission(c, n, e, nil)
}

// halfCloseWait is how long a half-closed connection is kept open for an answer that is already on its way.
const halfCloseWait = 20 * logic.Millisecond

// startHalfClose marks a submission as half-closed and waits for an answer that was already on its way. The module must
// receive such an answer, because it makes the txn's key count as answered by the worker's build.
func (l *loop) startHalfClose(s *submission) {
	s.state = subHalfClosed
	s.conn.halfClosedAt = l.now
	l.scheduleWorkerCheck(s.conn, l.now+halfCloseWait)
}

// halfCloseOutstanding half-closes the connections of a call's outstanding submissions shortly before its expiry, so that
// answers already on their way still arrive in time.
func (l *loop) halfCloseOutstanding(c *call) {
	for n := 0; n < c.numSubs; n++ {
		if s := &c.subs[n]; s.state == subSent && !s.conn.protocol.hasUnsent() && s.conn.protocol.halfClose() {
			l.startHalfClose(s)
		}
	}
}

// halfCloseLead is how long before a call's expiry halfCloseOutstanding runs.
const halfCloseLead = 5 * logic.Millisecond

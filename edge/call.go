package edge

import (
	"slices"

	"dunegrade/logic"
)

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
	request      []byte      // head and body, as sent to workers
	bodyOffset   int         // where the body starts in request
	product      int
	isHead       bool // a HEAD request, whose answer has no body
	httpMinor    int  // the client's HTTP/1 minor version
	keepAlive    bool // the client connection may stay open after the answer
	closesConn   bool // the answer announces the close of the client connection
	txn          logic.Txn
	admitted     bool      // passed to the module
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
	request := c.request
	if cap(request) > maxReusedBuffer { // a single large request must not pin its memory forever
		request = nil
	}
	l.serial++
	*c = call{slot: slot, gen: c.gen + 1, serial: l.serial, request: request[:0], lastEnding: logic.OK}
	return c
}

// releaseCall frees a call unless it has outstanding submissions or queued events, or still owes its client an answer.
func (l *loop) releaseCall(c *call) {
	if c.freed || c.outstanding > 0 || c.pendingEvents > 0 || c.admitted && !c.answered && !c.clientLeft {
		return
	}
	c.freed = true
	if c.externalID != 0 {
		delete(l.externalIDs, c.externalID)
	}
	if c.traced {
		l.recorder.TxnDone(l.now, c.id())
	}
	if c.client != nil {
		if c.client.call == c {
			c.client.call = nil
		}
		c.client = nil
	}
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

// pool holds the connections to one worker.
type pool struct {
	id         logic.WorkerID
	address    string
	removed    bool          // the worker has left the list or changed its address, so connections are not kept
	idle       []*workerConn // in the order in which they became idle
	waiting    []waiter      // submissions that need a connection, oldest first
	numConns   int           // open or being opened
	numDialing int           // being opened
	// dialsQueued is whether the pool is in loop.dialQueue.
	dialsQueued bool
}

// waiter is a submission that waits for a connection.
type waiter struct {
	call     *call
	callGen  uint32 // generation of call when the submission was queued
	subIndex int    // index in call.subs
}

// valid reports whether the submission still waits and its answer is still wanted.
func (w waiter) valid() bool {
	return w.call.gen == w.callGen && w.call.subs[w.subIndex].state == subWaiting && !w.call.answered && !w.call.clientLeft
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
		l.timers.push(timer{at: l.now + timeout, token: uint64(c.id()), kind: timerSubTimeout, subIndex: uint8(n)})
	}
	for i := len(p.idle) - 1; i >= 0; i-- { // most recently used first: the worker may be about to close the others
		wc := p.idle[i]
		if l.now-wc.since > l.reuseLimit.idleLimit {
			l.closeWorkerConn(wc, false)
			continue
		}
		if l.now-wc.since < logic.Nanos(l.p.cfg.WorkerLimits.ReuseDelay) {
			l.scheduleWorkerCheck(wc, wc.since+logic.Nanos(l.p.cfg.WorkerLimits.ReuseDelay))
			continue // extra bytes that the worker sends after an answer would be taken for the next answer
		}
		if wc.protocol.stale() {
			l.stats.stale++
			l.closeWorkerConn(wc, true)
			continue
		}
		p.idle = append(p.idle[:i], p.idle[i+1:]...)
		l.assignConn(wc, c, n)
		return
	}
	p.waiting = append(p.waiting, waiter{c, c.gen, n})
	l.timers.push(timer{at: l.now + l.connectTimeout, token: uint64(c.id()), kind: timerConnWait, subIndex: uint8(n)})
	l.queueDials(p)
}

// queueDials queues a pool to open connections for its waiting submissions. openQueuedConns opens them at the end of the
// callback. Opening them at once could close idle connections of other pools in the middle of a walk over those, and take
// the room of a closed connection that the caller is about to take.
func (l *loop) queueDials(p *pool) {
	l.roomChanged = true
	if len(p.waiting) > 0 && !p.dialsQueued {
		p.dialsQueued = true
		l.dialQueue = append(l.dialQueue, p)
	}
}

// openQueuedConns opens connections for the queued pools. Pools for which no room is left stay queued in their order. It runs
// at the end of each callback and does nothing unless room may have become free or a pool was queued.
func (l *loop) openQueuedConns() {
	if !l.roomChanged || l.stopping {
		return
	}
	held := l.heldPools[:0]
	for i := 0; i < len(l.dialQueue); i++ { // not a range: closing an idle connection may queue its pool
		p := l.dialQueue[i]
		if p.dialsQueued = !l.openConnsFor(p); p.dialsQueued {
			held = append(held, p)
		}
	}
	clear(l.dialQueue) // so that removed pools can be collected
	l.dialQueue, l.heldPools = held, l.dialQueue[:0]
	l.roomChanged = false
}

// openConnsFor opens connections until one is being opened for each submission that waits in a pool, within the limits. It
// returns false if a limit on the connections to all workers leaves no room for the rest.
func (l *loop) openConnsFor(p *pool) bool {
	limits := &l.p.cfg.WorkerLimits
	p.waiting = slices.DeleteFunc(p.waiting, func(w waiter) bool { return !w.valid() })
	for p.numDialing < len(p.waiting) && p.numConns < limits.MaxConnections {
		if l.numDialing >= limits.MaxDialing || !l.makeRoom(p) {
			return false
		}
		l.countDial(p)
		l.stats.dials++
		l.dial(p)
	}
	return true
}

// countDial counts a connection that is being opened.
func (l *loop) countDial(p *pool) {
	p.numConns++
	l.numConns++
	p.numDialing++
	l.numDialing++
}

// makeRoom closes idle connections of other pools until another connection stays within the limit on all worker connections.
// It reports whether there is room.
func (l *loop) makeRoom(p *pool) bool {
	limit := l.p.cfg.WorkerLimits.MaxTotalConnections
	for limit > 0 && l.numConns >= limit {
		if !l.closeLongestIdle(p) {
			return false
		}
	}
	return true
}

// closeLongestIdle closes the connection that has been idle for longest, leaving out the given pool. It reports whether there
// was an idle connection.
func (l *loop) closeLongestIdle(except *pool) bool {
	var oldest *workerConn
	for _, wc := range l.workerConns.items {
		if !wc.closed && wc.pool != nil && wc.pool != except && wc.call == nil && !wc.handshaking &&
			(oldest == nil || wc.since < oldest.since) {
			oldest = wc
		}
	}
	if oldest != nil {
		l.closeWorkerConn(oldest, false)
	}
	return oldest != nil
}

// dialFailed handles a failed dial for a pool.
func (l *loop) dialFailed(p *pool) {
	p.numDialing--
	p.numConns--
	l.numConns--
	l.numDialing--
	l.stats.dialsFailed++
	l.failOldestWaiter(p)
	l.queueDials(p)
}

// failOldestWaiter ends the submission that has waited longest in a pool, after a connection could not be opened.
func (l *loop) failOldestWaiter(p *pool) {
	for len(p.waiting) > 0 {
		w := p.waiting[0]
		p.waiting = p.waiting[1:]
		if w.valid() {
			l.endSubmission(w.call, w.subIndex, logic.ConnectFailed, nil)
			break
		}
	}
}

// endPoolWaiters ends the waiting submissions of a pool whose worker gets no more submissions. They were never sent.
func (l *loop) endPoolWaiters(p *pool) {
	waiting := p.waiting
	p.waiting = nil
	for _, w := range waiting {
		if w.valid() {
			l.endSubmission(w.call, w.subIndex, logic.Skipped, nil)
		}
	}
}

// offerConn assigns a free connection to the submission that has waited longest, or adds it to the idle connections. A
// connection that has just delivered an answer is not reused before the configured delay, as some workers send extra bytes
// after an answer.
func (l *loop) offerConn(wc *workerConn) {
	p := wc.pool
	reuseDelay := logic.Nanos(l.p.cfg.WorkerLimits.ReuseDelay)
	if wc.numUses == 0 || reuseDelay == 0 {
		if l.serveOldestWaiter(wc) {
			return
		}
	}
	if p.removed || l.stopping {
		l.closeWorkerConn(wc, false)
		return
	}
	wc.since = l.now
	p.idle = append(p.idle, wc)
	l.roomChanged = true
	if len(p.waiting) > 0 {
		l.scheduleWorkerCheck(wc, l.now+reuseDelay)
		return
	}
	l.scheduleWorkerCheck(wc, l.now+l.workerIdleTimeout)
}

// serveOldestWaiter assigns the connection to the submission that has waited longest in its pool and that the module still
// allows. It reports whether there was such a submission.
func (l *loop) serveOldestWaiter(wc *workerConn) bool {
	p := wc.pool
	for len(p.waiting) > 0 {
		w := p.waiting[0]
		p.waiting = p.waiting[1:]
		if !w.valid() {
			continue
		}
		if l.sentry.StillAllowed(l.now, w.call.id(), w.subIndex) {
			l.assignConn(wc, w.call, w.subIndex)
			return true
		}
		l.endSubmission(w.call, w.subIndex, logic.Skipped, nil)
	}
	return false
}

// assignConn writes submission n of a call to a connection.
func (l *loop) assignConn(wc *workerConn, c *call, n int) {
	s := &c.subs[n]
	s.state, s.conn = subSent, wc
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

// reuseLimit estimates how long a connection may be idle and still be reused. A middlebox may silently drop idle connections,
// and earlier than announced; each reuse of a dropped connection costs a submission that may have run.
type reuseLimit struct {
	// resetRates holds the smoothed shares of connections reset on reuse, by bucket of idle time. Bucket 0 is for connections
	// in steady use.
	resetRates [idleBuckets]float64
	idleLimit  logic.Nanos // longest idle time at which a connection is reused
	maxIdle    logic.Nanos // upper bound of idleLimit
	decayedAt  logic.Nanos // when resetRates were last decayed
}

const (
	idleBuckets        = 9                      // buckets of idle time, each twice as long as the one before
	firstIdleBucketEnd = 20 * logic.Millisecond // upper bound of bucket 0
	promptReset        = 3 * logic.Millisecond  // a reset within this time of the write counts as a reset on reuse
	resetRateGain      = 0.03                   // weight of a new observation in the smoothed rate
	resetRateDecay     = 0.95                   // factor by which all rates are reduced every second
	maxExcessResetRate = 0.08                   // excess over bucket 0's rate at which a bucket is not used
)

// observe records whether a connection that had been idle for the given time was reset on reuse.
func (r *reuseLimit) observe(now, idledFor logic.Nanos, reset bool) {
	if now-r.decayedAt > logic.Second { // so that buckets excluded from reuse are tried again after a while
		r.decayedAt = now
		for i := range r.resetRates {
			r.resetRates[i] *= resetRateDecay
		}
	}
	bucket, observed := 0, 0.0
	for end := firstIdleBucketEnd; idledFor > end && bucket < idleBuckets-1; end *= 2 {
		bucket++
	}
	if reset {
		observed = 1
	}
	r.resetRates[bucket] += resetRateGain * (observed - r.resetRates[bucket])
	r.idleLimit = r.maxIdle
	for i, end := 1, firstIdleBucketEnd; i < idleBuckets; i, end = i+1, end*2 {
		if r.resetRates[i] > r.resetRates[0]+maxExcessResetRate {
			r.idleLimit = min(r.idleLimit, end)
			break
		}
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

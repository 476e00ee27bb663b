package edge

import (
	"slices"

	"dunegrade/logic"
)

const maxSubs = 8 // submissions of a txn, as in the module

// subState is where a submission stands.
type subState uint8

const (
	subEnded      subState = iota
	subWaiting             // for a connection: nothing was sent
	subSent                // it may run
	subHalfClosed          // we have ended our sending; what crosses that is heard yet
	subStreaming           // its answer streams, a carrier has it
)

type submission struct {
	pool  *pool
	conn  *workerConn // while sent
	since logic.Nanos
	state subState
}

// call is one txn in hand: the client's request and what was sent of it. A call lives from the end of its head
// until it is answered, and all that was sent of it has ended.
type call struct {
	slot                     int32
	gen                      uint32
	client                   *clientConn // nil once answered, or left by its client
	request                  []byte      // as it goes to workers, head and body
	bodyOffset               int         // where the body starts in request
	product                  int
	isHead                   bool // a HEAD: its answer has no body
	httpMinor                int  // of the client's version
	keepAlive                bool // the client's connection stays open
	closesConn               bool // its answer says that the connection ends with it
	txn                      logic.Txn
	admitted                 bool      // the module has it
	externalID               uint64    // its id as its client knows it, where ids are its clients'
	timeoutStart, timeoutEnd int       // where in request its patience stands, where it stands in the request
	traced                   bool      // it is recorded
	traceID                  [2]uint64 // that the client sent
	serial                   uint64    // of the txn in this sentry's life
	status                   int       // of the answer that it was just given, for its record
	answered                 bool
	clientLeft               bool // by its client
	subs                     [maxSubs]submission
	n, outstanding           int // submissions made, and of them not ended
	pendingEvents            int // events queued for the module
	freed                    bool
	lastEnding               logic.Ending
}

// The id of a txn is its place in the slab below its generation: as small a number as can be.
const slotBits = 20

func (c *call) id() logic.TxnID { return logic.TxnID(uint64(c.gen)<<slotBits | uint64(c.slot)) }

// call finds a txn in hand by its id, or nil.
func (l *loop) findCall(id logic.TxnID) *call {
	at, gen := int32(id&(1<<slotBits-1)), uint32(id>>slotBits)
	if int(at) >= len(l.calls.items) || at < 0 {
		return nil
	}
	if c := l.calls.items[at]; c.gen == gen {
		return c
	}
	return nil
}

func (l *loop) newCall() *call {
	at, c := l.calls.get()
	request := c.request
	if cap(request) > maxReusedBuffer { // one large request must not pin its memory for good
		request = nil
	}
	l.serial++
	*c = call{slot: at, gen: c.gen + 1, serial: l.serial, request: request[:0], lastEnding: logic.OK}
	return c
}

// releaseCall frees a call once nothing of it is out or queued and its client has had the answer, or was never owed one.
func (l *loop) releaseCall(c *call) {
	if c.freed || c.outstanding > 0 || c.pendingEvents > 0 || c.admitted && !c.answered && !c.clientLeft {
		return
	}
	c.freed = true
	if c.externalID != 0 {
		delete(l.externalIDs, c.externalID)
	}
	if c.traced {
		l.recorder.Done(l.now, c.id())
	}
	if c.client != nil {
		if c.client.call == c {
			c.client.call = nil
		}
		c.client = nil
	}
	c.gen++ // timers and late endings find nothing
	l.calls.put(c.slot)
}

// endSubmission books the end of submission n and queues the outcome for the module.
func (l *loop) endSubmission(c *call, n int, e logic.Ending, load *logic.Load) {
	s := &c.subs[n]
	if s.state == subEnded {
		return
	}
	// Danger: a link that is slow, or falls silent, may hold an answer that was given.
	given := l.p.platform != nil && s.state >= subSent &&
		(e == logic.Cancelled || e == logic.TimedOut || e == logic.Disconnected || e == logic.MalformedResponse)
	s.state = subEnded
	s.conn = nil
	c.outstanding--
	c.lastEnding = e
	ev := event{kind: evOutcome, call: c, outcome: logic.Outcome{Txn: c.id(), Number: n, Ending: e,
		Elapsed: l.now - s.since, Final: c.answered || c.clientLeft, MaybeAnswered: given}}
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
	removed    bool
	idle       []*workerConn
	waiting    []waiter // submissions that need a connection, oldest first
	numConns   int      // open or being opened
	numDialing int
}

type waiter struct {
	call *call
	gen  uint32
	n    int
}

func (w waiter) valid() bool {
	return w.call.gen == w.gen && w.call.subs[w.n].state == subWaiting && !w.call.answered && !w.call.clientLeft
}

// endWaitingSubs ends what waits for a connection for a call that is over. Danger: where nothing may be called off, the module
// says nothing of it, and it would be sent for a client that has gone, or has its answer.
func (l *loop) endWaitingSubs(c *call) {
	for n := 0; n < c.n; n++ {
		if c.subs[n].state == subWaiting {
			l.endSubmission(c, n, logic.Skipped, nil)
		}
	}
}

// startSubmission starts submission n of a call at a worker.
func (l *loop) startSubmission(c *call, w logic.WorkerID, timeout logic.Nanos) {
	if c.n >= maxSubs { // the module holds no more either
		return
	}
	n := c.n
	c.n++
	c.outstanding++
	p := l.pools[w]
	c.subs[n] = submission{pool: p, since: l.now, state: subWaiting}
	if p == nil || c.answered || c.clientLeft {
		l.endSubmission(c, n, logic.Skipped, nil)
		return
	}
	if timeout > 0 && l.now+timeout < c.txn.Expiry {
		l.timers.push(timer{at: l.now + timeout, token: uint64(c.id()), kind: timerSubTimeout, n: uint8(n)})
	}
	for i := len(p.idle) - 1; i >= 0; i-- { // the one used last, as the others may be closing
		wc := p.idle[i]
		if l.now-wc.since > l.reuseLimit.idleLimit {
			l.closeWorkerConn(wc, false)
			continue
		}
		if l.now-wc.since < logic.Nanos(l.p.cfg.WorkerLimits.ReuseDelay) {
			l.armWorker(wc, wc.since+logic.Nanos(l.p.cfg.WorkerLimits.ReuseDelay))
			continue // Danger: what a worker sends behind an answer would pass for the next one
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
	l.timers.push(timer{at: l.now + l.connectTimeout, token: uint64(c.id()), kind: timerConnWait, n: uint8(n)})
	l.dialForWaiters(p)
}

// dialForWaiters dials where a submission waits and no connection is on its way for it.
func (l *loop) dialForWaiters(p *pool) {
	if len(p.waiting) == 0 {
		return
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(w waiter) bool { return !w.valid() })
	for p.numDialing < len(p.waiting) && p.numConns < l.p.cfg.WorkerLimits.MaxConnections &&
		l.numDialing < l.p.cfg.WorkerLimits.MaxDialing && !l.stopping {
		if total := l.p.cfg.WorkerLimits.MaxTotalConnections; total > 0 && l.numConns >= total && !l.closeLongestIdle(p) {
			l.starvedPools = append(l.starvedPools, p)
			return
		}
		l.numConns++
		p.numDialing++
		p.numConns++
		l.numDialing++
		l.stats.dials++
		l.dial(p)
	}
}

// closeLongestIdle ends the connection of another pool that has been idle for longest, and tells whether there was one.
func (l *loop) closeLongestIdle(but *pool) bool {
	var best *workerConn
	for _, wc := range l.workerConns.items {
		if !wc.closed && wc.pool != nil && wc.pool != but && wc.call == nil && !wc.handshaking &&
			(best == nil || wc.since < best.since) {
			best = wc
		}
	}
	if best != nil {
		l.closeWorkerConn(best, false)
	}
	return best != nil
}

// dialStarvedPools opens connections for pools that found none to be had.
func (l *loop) dialStarvedPools() {
	for len(l.starvedPools) > 0 && l.numConns < l.p.cfg.WorkerLimits.MaxTotalConnections {
		p := l.starvedPools[0]
		l.starvedPools = l.starvedPools[1:]
		l.dialForWaiters(p)
	}
}

// dialed takes the end of a dial that failed.
func (l *loop) dialFailed(p *pool) {
	p.numDialing--
	p.numConns--
	l.numConns--
	l.numDialing--
	l.stats.dialsFailed++
	l.failOldestWaiter(p)
	l.dialForWaiters(p)
}

// failOldestWaiter tells the submission that has waited longest that there is no connection for it.
func (l *loop) failOldestWaiter(p *pool) {
	for len(p.waiting) > 0 {
		w := p.waiting[0]
		p.waiting = p.waiting[1:]
		if w.valid() {
			l.endSubmission(w.call, w.n, logic.ConnectFailed, nil)
			break
		}
	}
}

// endPoolWaiters ends what waits for a connection to a worker that is wanted no more; it was never sent.
func (l *loop) endPoolWaiters(p *pool) {
	waiting := p.waiting
	p.waiting = nil
	for _, w := range waiting {
		if w.valid() {
			l.endSubmission(w.call, w.n, logic.Skipped, nil)
		}
	}
}

// offerConn gives a free connection to the submission that has waited longest, or keeps it. One that has just answered
// rests first, where workers are known to send more than belongs to an answer.
func (l *loop) offerConn(wc *workerConn) {
	p := wc.pool
	rest := logic.Nanos(l.p.cfg.WorkerLimits.ReuseDelay)
	if wc.numUses == 0 || rest == 0 {
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
	if len(p.waiting) > 0 {
		l.armWorker(wc, l.now+rest)
		return
	}
	l.armWorker(wc, l.now+l.workerIdleTimeout)
}

// serveOldestWaiter writes the submission that has waited longest for one of the pool's connections, and tells whether there
// was one.
func (l *loop) serveOldestWaiter(wc *workerConn) bool {
	p := wc.pool
	for len(p.waiting) > 0 {
		w := p.waiting[0]
		p.waiting = p.waiting[1:]
		if !w.valid() {
			continue
		}
		if l.sentry.StillAllowed(l.now, w.call.id(), w.n) {
			l.assignConn(wc, w.call, w.n)
			return true
		}
		l.endSubmission(w.call, w.n, logic.Skipped, nil)
	}
	return false
}

// assignConn puts a call's request on a connection.
func (l *loop) assignConn(wc *workerConn, c *call, n int) {
	s := &c.subs[n]
	s.state, s.conn = subSent, wc
	wc.call, wc.gen, wc.n = c, c.gen, n
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

// reuseLimit learns how long an idle connection is good for. Danger: what stands between may drop idle connections without a
// sign, sooner than is told; then each that is used again costs a submission that may have run.
type reuseLimit struct {
	resetRates [idleBuckets]float64 // share that is reset at once, by how long they had been idle; the first: hardly
	idleLimit  logic.Nanos          // how long one may have been idle
	maxIdle    logic.Nanos
	decayedAt  logic.Nanos // when old experience was last made less of
}

const (
	idleBuckets        = 9 // each twice as long as the one before
	firstIdleBucket    = 20 * logic.Millisecond
	promptReset        = 3 * logic.Millisecond // a reset so soon speaks against the connection
	resetRateGain      = 0.03
	maxExcessResetRate = 0.08 // than a connection in steady use, by so much, and a span is not used
)

// observe notes how a connection fared that had been idle for so long.
func (r *reuseLimit) observe(now, idled logic.Nanos, died bool) {
	if now-r.decayedAt > logic.Second { // what is not used any more is tried again in time
		r.decayedAt = now
		for i := range r.resetRates {
			r.resetRates[i] *= 0.95
		}
	}
	at, hit := 0, 0.0
	for end := firstIdleBucket; idled > end && at < idleBuckets-1; end *= 2 {
		at++
	}
	if died {
		hit = 1
	}
	r.resetRates[at] += resetRateGain * (hit - r.resetRates[at])
	r.idleLimit = r.maxIdle
	for i, end := 1, firstIdleBucket; i < idleBuckets; i, end = i+1, end*2 {
		if r.resetRates[i] > r.resetRates[0]+maxExcessResetRate {
			r.idleLimit = min(r.idleLimit, end)
			break
		}
	}
}

// stopSubmission ends a submission from our side.
func (l *loop) stopSubmission(c *call, n int, e logic.Ending) {
	s := &c.subs[n]
	switch s.state {
	case subWaiting:
		if e == logic.Cancelled {
			e = logic.Skipped // it was never sent
		}
		if e == logic.TimedOut {
			e = logic.ConnectFailed
		}
		l.endSubmission(c, n, e, nil)
	case subSent:
		if s.conn.protocol.hasUnsent() { // what never left this host whole cannot have run
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

// abortSubmission ends a submission with its connection. Danger: one whose answer had begun has run, and counts as answered.
func (l *loop) abortSubmission(wc *workerConn, e logic.Ending) {
	c, n := wc.call, wc.n
	if (e == logic.TimedOut || e == logic.Cancelled) && wc.protocol.answerStarted() {
		e = logic.MalformedResponse
	}
	l.closeWorkerConn(wc, true)
	l.endSubmission(c, n, e, nil)
}

// halfCloseWait is how long an answer that crosses our giving up is waited for.
const halfCloseWait = 20 * logic.Millisecond

// startHalfClose ends our sending on a submission's connection. Danger: an answer that crosses this has been given, and the module
// must hear of it: the key counts as answered by its build.
func (l *loop) startHalfClose(s *submission) {
	s.state = subHalfClosed
	s.conn.halfClosedAt = l.now
	l.armWorker(s.conn, l.now+halfCloseWait)
}

// halfCloseOutstanding gives up what is out of a call so shortly before its expiry that what crosses is still heard.
func (l *loop) halfCloseOutstanding(c *call) {
	for n := 0; n < c.n; n++ {
		if s := &c.subs[n]; s.state == subSent && !s.conn.protocol.hasUnsent() && s.conn.protocol.halfClose() {
			l.startHalfClose(s)
		}
	}
}

// halfCloseLead is how long before a call's expiry that is.
const halfCloseLead = 5 * logic.Millisecond

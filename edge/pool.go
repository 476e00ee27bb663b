package edge

import (
	"slices"

	"dunegrade/logic"
)

// pool holds the connections to one worker.
type pool struct {
	id          logic.WorkerID
	address     string
	removed     bool          // the worker has left the list or changed its address, so connections are not kept
	idle        []*workerConn // in the order in which they became idle
	waiting     []waiter      // submissions that need a connection, oldest first
	numConns    int           // open or being opened
	numDialing  int           // being opened
	dialsQueued bool          // whether the pool is in loop.dialQueue
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

// takeIdleConn takes a usable connection out of a pool's idle ones, or returns nil if there is none. It closes connections that
// have been idle for too long or that the worker has ended.
func (l *loop) takeIdleConn(p *pool) *workerConn {
	reuseDelay := logic.Nanos(l.p.cfg.WorkerLimits.ReuseDelay)
	for i := len(p.idle) - 1; i >= 0; i-- { // most recently used first: the worker may be about to close the others
		wc := p.idle[i]
		idleFor := l.now - wc.since
		switch {
		case idleFor > l.reuseLimit.idleLimit:
			l.closeWorkerConn(wc, false)
		case idleFor < reuseDelay: // extra bytes that the worker sends after an answer would be taken for the next answer
			l.scheduleWorkerCheck(wc, wc.since+reuseDelay)
		case wc.protocol.stale():
			l.stats.stale++
			l.closeWorkerConn(wc, true)
		default:
			p.removeIdle(wc)
			return wc
		}
	}
	return nil
}

// removeIdle removes a connection from the pool's idle ones, if it is among them.
func (p *pool) removeIdle(wc *workerConn) {
	if i := slices.Index(p.idle, wc); i >= 0 {
		p.idle = slices.Delete(p.idle, i, i+1)
	}
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

// closeIdleConns closes the pool's idle connections.
func (l *loop) closeIdleConns(p *pool) {
	for len(p.idle) > 0 {
		wc := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		l.closeWorkerConn(wc, false)
	}
}

package edge

import (
	"cmp"

	"github.com/panjf2000/gnet/v2"

	"dunegrade/logic"
)

// acceptedClient is the context with which a client connection is enrolled in its event loop.
type acceptedClient struct {
	buffered []byte // bytes read before the enrollment; only set on a connection that returns from a streamRelay
}

// clientState is the state of a client connection.
type clientState uint8

const (
	stateReading        clientState = iota // reads a request or waits for one
	stateAwaitingAnswer                    // a txn awaits its answer
	stateFlushing                          // the last answer is being sent; the connection closes after it
)

// clientConn is one client connection.
type clientConn struct {
	l                *loop
	c                gnet.Conn
	slot             int32  // index in loop.clientConns
	gen              uint32 // generation of the slot
	serial           uint64 // number of the connection among those its sentry has accepted
	state            clientState
	closed           bool
	protocol         clientProtocol
	call             *call           // the call being read, or the one whose answer is sent next
	pipelined        []pipelinedCall // calls admitted behind call, in order of arrival
	closeAfterAnswer bool            // no further requests are admitted; the connection closes after the last answer
	inputDropped     bool            // pipelined input was discarded because it exceeded a limit
	input            inputBuffer
	openedAt         logic.Nanos
	stateSince       logic.Nanos // start of the current state
	checkAt          logic.Nanos // time of the next scheduled check; 0 when none is scheduled
	answersSent      uint64
	lastUnsent       int         // unsent bytes at the last check
	unsentSince      logic.Nanos // time since which lastUnsent has not changed
	held             heldBytes   // memory held for the connection, included in loop.held
	receivedBytes    int64       // total bytes received
	consumedBytes    int64       // total bytes consumed
	arrivals         []arrival   // arrival times of the unconsumed bytes, oldest first
	closeReason      endReason   // in stateFlushing: the reason for the close
	turn             uint64      // the loop's turn that turnRequests counts for
	turnRequests     int         // requests admitted in that turn
}

// pipelinedCall is a call admitted behind others of its connection. Its answer is held until the earlier ones are sent.
type pipelinedCall struct {
	call   *call // nil once answered
	answer []byte
}

// maxPipelinedTxns is the maximum number of txns of one connection that are admitted behind the first.
const maxPipelinedTxns = 7

// canPipeline reports whether another txn may be admitted behind the current one. If txns were handled one at a time, those
// behind a slow answer would exceed their clients' timeouts. Without limits, answers held for their turn would exhaust memory.
func (cc *clientConn) canPipeline() bool {
	answerBytes := 0
	for i := range cc.pipelined {
		answerBytes += len(cc.pipelined[i].answer)
	}
	return !cc.closed && !cc.closeAfterAnswer && cc.call != nil && cc.call.admitted && len(cc.pipelined) < maxPipelinedTxns &&
		int64(answerBytes) < cc.l.p.cfg.ClientLimits.MaxUnsentBytes
}

// clientByToken returns the open client connection with the given slotToken, or nil.
func (l *loop) clientByToken(token uint64) *clientConn {
	slot := int32(uint32(token))
	if int(slot) >= len(l.clientConns.items) {
		return nil
	}
	if cc := l.clientConns.items[slot]; cc.gen == uint32(token>>32) && !cc.closed {
		return cc
	}
	return nil
}

// openClient sets up a client connection that was enrolled in the event loop, new or returned from a streamRelay.
func (l *loop) openClient(c gnet.Conn, accepted *acceptedClient) {
	slot, cc := l.clientConns.get()
	reused, pipelined, arrivals := cc.protocol, cc.pipelined[:0], cc.arrivals[:0]
	*cc = clientConn{pipelined: pipelined, arrivals: arrivals, l: l, c: c, slot: slot, gen: cc.gen + 1, openedAt: l.now, stateSince: l.now}
	cc.protocol = l.p.protocol.newClientProtocol(cc, reused)
	c.SetContext(cc)
	l.stats.clientsAccepted++
	cc.serial = l.stats.clientsAccepted
	l.scheduleClientCheck(cc, l.now+logic.Nanos(min(l.p.cfg.ClientLimits.IdleTimeout, l.p.cfg.ClientLimits.HeadTimeout)))
	if len(accepted.buffered) > 0 {
		cc.receive(accepted.buffered)
		cc.read()
	}
	if l.draining && !cc.closed { // the connection has returned from a streamRelay: a draining process accepts no new ones
		l.scheduleClientCheck(cc, l.now)
	}
}

// scheduleClientCheck schedules a call of checkClient at the given time, unless an earlier one is scheduled.
func (l *loop) scheduleClientCheck(cc *clientConn, at logic.Nanos) {
	if cc.checkAt != 0 && cc.checkAt <= at {
		return
	}
	cc.checkAt = at
	l.pushTimer(timer{at: at, token: slotToken(cc.slot, cc.gen), kind: timerClientConn})
}

const (
	// outputCheckInterval is the interval between checks of a connection with unsent output.
	outputCheckInterval = 50 * logic.Millisecond
	// flushCheckInterval is the interval between checks of a connection that closes once its output is sent.
	flushCheckInterval = 2 * logic.Millisecond
	// unreadCheckInterval is the interval between checks of a connection whose socket has unread bytes.
	unreadCheckInterval = logic.Millisecond
)

// checkClient enforces the connection's timeouts and schedules the next check. Slow heads and bodies hold memory, so each
// has a timeout.
func (l *loop) checkClient(cc *clientConn) {
	limits := &l.p.cfg.ClientLimits
	nextCheck := logic.Nanos(0)
	switch cc.state {
	case stateReading:
		if l.draining && cc.quiescent() {
			l.drainClient(cc)
			return
		}
		if nextCheck = cc.protocol.checkTimeout(); cc.closed || nextCheck == 0 && cc.state == stateReading {
			return
		}
	case stateAwaitingAnswer:
		nextCheck = l.now + logic.Nanos(limits.IdleTimeout)
	}
	unsent := cc.c.OutboundBuffered()
	cc.setHeldUnsent(unsent)
	if unsent > 0 || cc.state == stateFlushing {
		if unsent == 0 {
			cc.close(cc.closeReason)
			return
		}
		if unsent != cc.lastUnsent {
			cc.lastUnsent, cc.unsentSince = unsent, l.now
		} else if cc.isStalled(unsent) {
			l.stats.slowReaders++
			cc.abort(endSlowReader)
			return
		}
		outputCheck := l.now + outputCheckInterval
		if cc.state == stateFlushing {
			outputCheck = l.now + flushCheckInterval
		}
		nextCheck = min(max(nextCheck, outputCheck), outputCheck)
	}
	l.scheduleClientCheck(cc, nextCheck)
}

// shed closes one idle connection if the connection limit is reached: preferably the oldest that has not sent a request
// yet, else the one that has been idle longest. Otherwise clients that open connections and send nothing would lock out the
// others.
func (l *loop) shed() {
	if l.p.openClients.Load() < int64(l.p.cfg.ClientLimits.MaxConnections) {
		return
	}
	var best *clientConn
	for _, cc := range l.clientConns.items {
		if cc.closed || cc.c == nil || cc.state != stateReading || !cc.protocol.betweenRequests() || cc.c.OutboundBuffered() > 0 || l.now-cc.stateSince < newConnGrace ||
			cc.answersSent > 0 && l.now-cc.stateSince < logic.Nanos(l.p.cfg.ClientLimits.PressureIdleTimeout) {
			continue
		}
		if best != nil && (cc.answersSent > 0 && best.answersSent == 0 || (cc.answersSent == 0) == (best.answersSent == 0) && cc.stateSince >= best.stateSince) {
			continue
		}
		if !cc.hasUnread() { // otherwise its next request has already arrived
			best = cc
		}
	}
	if best != nil && best.closeIfQuiescent(endShed) {
		l.stats.shed++
	}
}

// newConnGrace is how long a new connection is exempt from shedding, as its first request may be in flight.
const newConnGrace = 100 * logic.Millisecond

// teardown records the end of the connection, abandons its calls and frees its slot. It doesn't close the socket.
func (cc *clientConn) teardown(reason endReason) {
	l := cc.l
	cc.recordEnd(reason)
	cc.closed = true
	l.clientCount.Add(-1)
	l.p.openClients.Add(-1)
	current := cc.call
	cc.call = nil
	cc.abandonCall(current)
	for i := range cc.pipelined {
		cc.abandonCall(cc.pipelined[i].call)
		cc.pipelined[i] = pipelinedCall{}
	}
	cc.pipelined = cc.pipelined[:0]
	cc.releaseMemory()
	cc.c = nil
	cc.gen++
	l.clientConns.put(cc.slot)
}

// abandonCall detaches a call from its client and reports to the module that the client has left.
func (cc *clientConn) abandonCall(c *call) {
	if c == nil {
		return
	}
	l := cc.l
	c.detachClient()
	if !c.admitted || c.answered {
		l.releaseCall(c)
		return
	}
	c.clientLeft = true
	l.stats.clientLeft++
	l.enqueue(event{kind: evClientLeft, call: c})
	l.endWaitingSubs(c)
}

// admitCall hands a completely received txn to the module and sets its expiry timers.
func (cc *clientConn) admitCall(c *call) {
	l := cc.l
	if c == cc.call {
		cc.state, cc.stateSince = stateAwaitingAnswer, l.now
	}
	c.admitted = true
	cc.countTurnRequest()
	l.stats.admitted++
	c.txn.ID = c.id()
	if l.draining { // the txn expires early enough for its answer to be delivered
		c.txn.Expiry = min(c.txn.Expiry, l.answerDeadline)
	}
	if c.txn.Expiry < l.now { // the timeout passed while the request was received
		c.txn.Expiry = l.now + 1
	}
	if halfCloseAt := c.txn.Expiry - halfCloseLead; halfCloseAt > l.now && l.p.platform != nil {
		l.pushTimer(timer{at: halfCloseAt, token: uint64(c.id()), kind: timerHalfClose})
	}
	l.pushTimer(timer{at: c.txn.Expiry, token: uint64(c.id()), kind: timerExpiry})
	l.enqueue(event{kind: evAdmit, call: c})
}

// finish releases a call whose answer has been sent or held, on a connection that is still open.
func (cc *clientConn) finish(c *call) {
	if c == cc.call {
		cc.finishCurrent()
		return
	}
	for i := range cc.pipelined {
		if cc.pipelined[i].call == c {
			cc.pipelined[i].call = nil
			cc.closeAfterAnswer = cc.closeAfterAnswer || !c.keepAlive || c.closesConn
			c.answered = true
			c.detachClient()
			cc.l.releaseCall(c)
			return
		}
	}
}

// finishCurrent releases the current call and sends the held answers that follow it. Then the connection continues with the
// next call, is closed, or waits for the next request.
func (cc *clientConn) finishCurrent() {
	l, c := cc.l, cc.call
	closesConn := c.closesConn
	cc.closeAfterAnswer = cc.closeAfterAnswer || !c.keepAlive || closesConn
	c.answered, cc.call = true, nil
	c.detachClient()
	cc.answersSent++
	l.releaseCall(c)
	for len(cc.pipelined) > 0 && !cc.closed && cc.call == nil {
		next := cc.pipelined[0]
		n := copy(cc.pipelined, cc.pipelined[1:])
		cc.pipelined[n] = pipelinedCall{}
		cc.pipelined = cc.pipelined[:n]
		if cc.call = next.call; cc.call == nil {
			cc.answersSent++
			cc.addHeldAnswer(-len(next.answer))
			cc.write(next.answer)
		}
	}
	if cc.closed {
		return
	}
	if cc.call != nil {
		cc.stateSince = l.now
		l.resumeReads = append(l.resumeReads, cc)
		return
	}
	if cc.inputDropped && !closesConn { // send an error for the discarded requests behind this answer
		cc.protocol.terminate(endOverfull)
		return
	}
	if cc.closeAfterAnswer {
		cc.close(endAnswered)
		return
	}
	cc.state, cc.stateSince = stateReading, l.now
	l.scheduleClientCheck(cc, l.now+logic.Nanos(cmp.Or(l.p.cfg.ClientLimits.PressureIdleTimeout, l.p.cfg.ClientLimits.IdleTimeout)))
	cc.protocol.startNextRequest()
	if l.draining && len(cc.input.data) == 0 {
		l.drainClient(cc)
		return
	}
	l.resumeReads = append(l.resumeReads, cc) // pipelined requests that have been received are answered even during a drain
}

// respondDeclined answers that the txn was declined: it had no effect and can safely be retried.
func (l *loop) respondDeclined(c *call, retryAfter logic.Nanos) {
	if c.answered || c.clientLeft {
		return
	}
	l.stats.declined++
	cc := c.client
	cc.protocol.writeDeclined(c, retryAfter)
	if !cc.closed {
		cc.finish(c)
	}
}

// respondVoided answers that the txn failed and may have had its effect.
func (l *loop) respondVoided(c *call) {
	if c.answered || c.clientLeft {
		return
	}
	l.stats.voided++
	cc := c.client
	cc.protocol.writeVoided(c)
	if !cc.closed {
		cc.finish(c)
	}
}

package edge

import (
	"time"

	"go.uber.org/zap"

	"dunegrade/logic"
)

// A process stops by bringing each client connection, on the loop that owns it, into a state in which no further request
// can be read from it. The drain is complete when every connection is in that state. No new connection can arrive by then,
// as the listener is closed and its backlog is empty. So the check can't race with new requests and needs no grace period.

// answerMargin is how long before the deadline of a drain the last answers are written, so that they are delivered by the
// deadline. It is shortened to a quarter of a drain that is shorter than four margins.
const answerMargin = 100 * logic.Millisecond

// drain has every loop answer its admitted requests and close its connections. It reports whether all of them finished
// before the deadline.
func (p *Process) drain(deadline time.Time) bool {
	end := p.clock() + logic.Nanos(time.Until(deadline))
	for _, l := range p.loops {
		l.post(func() { l.beginDrain(end) })
	}
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	for _, l := range p.loops {
		select {
		case <-l.drained:
		case <-timeout.C:
			return false
		}
	}
	return true
}

// beginDrain closes the quiescent connections. The others close after their last answer, or at the answer deadline in
// finishDrain.
func (l *loop) beginDrain(end logic.Nanos) {
	l.draining = true
	l.answerDeadline = end - min(answerMargin, (end-l.now)/4)
	l.pushTimer(timer{at: l.answerDeadline, kind: timerDrainEnd})
	for _, cc := range l.clientConns.items {
		if !cc.closed && cc.c != nil && cc.state == stateReading {
			l.drainClient(cc)
		}
	}
}

// drainClient closes the connection if it is quiescent and has no unread request, or else schedules another check.
func (l *loop) drainClient(cc *clientConn) {
	if cc.hasUnread() && l.now < l.answerDeadline { // a request has just arrived: answering it saves the client a retry
		l.scheduleClientCheck(cc, l.now+unreadCheckInterval)
		return
	}
	if !cc.closeIfQuiescent(endDrain) {
		l.scheduleClientCheck(cc, l.now+flushCheckInterval)
	}
}

// finishDrain voids the admitted calls that are still unanswered, and closes the connections that have not sent a complete
// request by now.
func (l *loop) finishDrain() {
	for _, c := range l.calls.items {
		if !c.freed && c.admitted && !c.answered && !c.clientLeft {
			l.enqueue(event{kind: evClientLeft, call: c})
			l.respondVoided(c)
			l.processEvents()
		}
	}
	for _, cc := range l.clientConns.items {
		switch {
		case cc.closed || cc.c == nil || cc.state != stateReading:
		case cc.quiescent(): // the close may wait for an acknowledgement; a request that arrives meanwhile is refused, not dropped
			l.drainClient(cc)
		default:
			cc.protocol.terminate(endDrain)
		}
	}
}

// admitsRequests reports whether a complete request can still be admitted. It returns false only after the answer deadline
// of a drain.
func (l *loop) admitsRequests() bool { return !l.draining || l.now < l.answerDeadline }

// checkDrained closes drained, in a drain, once no connection is left from which a request could be read.
func (l *loop) checkDrained() {
	if !l.draining || l.drainSignaled || l.clientConns.inUse() > 0 || len(l.closingConns) > 0 || l.stats.streaming > 0 {
		return
	}
	l.drainSignaled = true
	close(l.drained)
}

// sum evaluates get on each loop in turn and adds up the results.
func (p *Process) sum(get func(l *loop) int64) int64 {
	sum := int64(0)
	for _, l := range p.loops {
		result := make(chan int64, 1)
		l.post(func() { result <- get(l) })
		sum += <-result
	}
	return sum
}

// connCounts counts the client connections of all loops by state.
func (p *Process) connCounts() connCounts {
	var n connCounts
	p.sum(func(l *loop) int64 { n = n.plus(l.connCounts()); return 0 })
	return n
}

// owedAtEnd returns the number of requests that were unanswered when their connection ended. Call it after the loops have
// stopped.
func (p *Process) owedAtEnd() uint64 {
	n := uint64(0)
	for _, l := range p.loops {
		for _, count := range l.stats.owedAtEnd {
			n += count
		}
	}
	return n
}

// clientEnds returns the number of ended client connections by the name of the reason. Call it after the loops have stopped.
func (p *Process) clientEnds() map[string]uint64 {
	n := map[string]uint64{}
	for _, l := range p.loops {
		for reason, count := range l.stats.clientEnds {
			if count > 0 {
				n[endReasonNames[reason]] += count
			}
		}
	}
	return n
}

// logDrained logs the result of the drain: as an error if it was incomplete.
func (p *Process) logDrained(complete bool) {
	log := p.log.Info
	if !complete {
		log = p.log.Error
	}
	log("stopping: drain ended", append(p.connCounts().logFields(), zap.Bool("whole", complete))...)
}

package edge

import (
	"time"

	"go.uber.org/zap"

	"dunegrade/logic"
)

// A process stops by bringing each connection of a client to a state from which no request can be read any more, on the loop that owns
// it, and ends when no connection is in another state. No new one can come by then: the listener is closed and its queue empty. So
// no count can be outdated between the look and the end, and no span has to be long enough.

// answerMargin is how long before the end of a drain the last answers are written, so that they are delivered by then.
const answerMargin = 100 * logic.Millisecond

// drain has every loop answer what it holds and end its connections, until a deadline at the latest. It tells whether all was done.
func (p *Process) drain(deadline time.Time) bool {
	end := p.clock() + logic.Nanos(time.Until(deadline))
	for _, l := range p.loops {
		l.post(func() { l.beginDrain(end) })
	}
	late := time.NewTimer(time.Until(deadline))
	defer late.Stop()
	for _, l := range p.loops {
		select {
		case <-l.drained:
		case <-late.C:
			return false
		}
	}
	return true
}

// beginDrain ends the connections that owe nothing. Each other one ends with its last answer.
func (l *loop) beginDrain(end logic.Nanos) {
	l.draining = true
	l.answerDeadline = end - min(answerMargin, (end-l.now)/4)
	l.timers.push(timer{at: l.answerDeadline, kind: timerDrainEnd})
	for _, cc := range l.clientConns.items {
		if !cc.closed && cc.c != nil && cc.state == stateReading {
			l.drainClient(cc)
		}
	}
}

// drainClient ends a connection on which nothing is owed, or has it looked at again.
func (l *loop) drainClient(cc *clientConn) {
	if cc.hasUnread() && l.now < l.answerDeadline { // a request has just come: its answer costs its client less than another try
		l.scheduleClientCheck(cc, l.now+logic.Millisecond)
		return
	}
	if !cc.closeIfQuiescent(endDrain) {
		l.scheduleClientCheck(cc, l.now+2*logic.Millisecond)
	}
}

// endDrain answers all that is still in hand, and ends what has not become a request by now.
func (l *loop) endDrain() {
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
		case cc.quiescent(): // it may have to wait for its acknowledgement; what is asked meanwhile is refused, not thrown away
			l.drainClient(cc)
		default:
			cc.protocol.terminate(endDrain)
		}
	}
}

// admitsRequests tells whether a request that has just come whole can still be handed on.
func (l *loop) admitsRequests() bool { return !l.draining || l.now < l.answerDeadline }

// checkDrained tells whoever waits for it that no connection is left from which a request could be read.
func (l *loop) checkDrained() {
	if !l.draining || l.drainSignaled || l.clientConns.inUse() > 0 || len(l.closingConns) > 0 || l.stats.streaming > 0 {
		return
	}
	l.drainSignaled = true
	close(l.drained)
}

// sum asks each loop in turn and adds up what they say.
func (p *Process) sum(ask func(l *loop) int64) int64 {
	sum := int64(0)
	for _, l := range p.loops {
		got := make(chan int64, 1)
		l.post(func() { got <- ask(l) })
		sum += <-got
	}
	return sum
}

// connCounts counts the connections of all loops by how they stand.
func (p *Process) connCounts() connCounts {
	var n connCounts
	p.sum(func(l *loop) int64 { n = n.plus(l.connCounts()); return 0 })
	return n
}

// owedAtEnd counts the requests that ended unanswered with their connections. The loops have ended.
func (p *Process) owedAtEnd() uint64 {
	n := uint64(0)
	for _, l := range p.loops {
		for _, one := range l.stats.owedAtEnd {
			n += one
		}
	}
	return n
}

// clientEnds counts the connections of clients that have ended, by reason. The loops have ended.
func (p *Process) clientEnds() map[string]uint64 {
	n := map[string]uint64{}
	for _, l := range p.loops {
		for why, one := range l.stats.clientEnds {
			if one > 0 {
				n[endReasonNames[why]] += one
			}
		}
	}
	return n
}

// logDrained tells how the drain ended.
func (p *Process) logDrained(whole bool) {
	write := p.log.Info
	if !whole {
		write = p.log.Error
	}
	write("stopping: drain ended", append(p.connCounts().logFields(), zap.Bool("whole", whole))...)
}

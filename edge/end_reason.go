package edge

import (
	"errors"
	"io"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"dunegrade/logic"
)

// endReason says why a client's connection ended.
type endReason uint8

const (
	endByClient   endReason = iota // the client closed or reset it, or said that it leaves
	endBroken                      // a read or write failed otherwise
	endAnswered                    // with the answer that was to be its last
	endIdle                        // nothing was asked for too long
	endShed                        // the descriptors were needed for others
	endDrain                       // the process stops
	endMalformed                   // what came cannot be read
	endSlow                        // a message or its body came too slowly
	endSlowReader                  // answers were not read
	endOverfull                    // too many bytes were held for it
	endCut                         // the loop ended under it
	numEndReasons                  // how many there are
)

var endReasonNames = [numEndReasons]string{"client", "broken", "answered", "idle", "shed", "drain", "malformed", "slow", "slow-reader", "overfull", "cut"}

func (r endReason) String() string { return endReasonNames[r] }

// byEdge tells whether this process chose to end the connection, so that what it had taken is still owed.
func (r endReason) byEdge() bool { return r != endByClient && r != endBroken }

var stateNames = [...]string{stateReading: "reading", stateInHand: "in-hand", stateFlushing: "flushing"}

func (s clientState) String() string { return stateNames[s] }

// endReasonOf gives the reason of an end that the event loop tells.
func (l *loop) endReasonOf(err error) endReason {
	switch {
	case err == nil && l.stopping:
		return endCut
	case err == nil, errors.Is(err, io.EOF), errors.Is(err, unix.ECONNRESET), errors.Is(err, unix.EPIPE):
		return endByClient
	}
	return endBroken
}

// recordEnd counts the end of a connection, and names each request that is owed its answer at that moment.
func (cc *clientConn) recordEnd(why endReason) {
	l := cc.l
	l.stats.clientEnds[why]++
	if !why.byEdge() {
		return
	}
	cc.recordOwed(cc.call, why)
	for i := range cc.pipelined {
		cc.recordOwed(cc.pipelined[i].call, why)
	}
}

// recordOwed counts and logs a request that ends unanswered. Any is a defect, but where its client does not read.
func (cc *clientConn) recordOwed(c *call, why endReason) {
	if c == nil || !c.admitted || c.answered {
		return
	}
	l := cc.l
	l.stats.owedAtEnd[why]++
	l.log.Error("connection ended with a request unanswered", zap.Uint64("connection", cc.serial), zap.Uint64("request", c.externalID),
		zap.Uint64("txn", uint64(c.id())), zap.Stringer("state", cc.state), zap.Stringer("reason", why),
		zap.Int("attempts", c.n), zap.Int("attempts-out", c.outstanding))
}

// connCounts is how the connections of clients stand at a moment.
type connCounts struct {
	unused         int64 // nothing was asked yet
	idle           int64 // between requests
	partialRequest int64 // a part of a request has come
	inHand         int64 // a request waits for its answer
	flushing       int64 // answers have not left this process
	relayed        int64 // a streamed answer is on its way
}

func (a connCounts) plus(b connCounts) connCounts {
	return connCounts{a.unused + b.unused, a.idle + b.idle, a.partialRequest + b.partialRequest, a.inHand + b.inHand, a.flushing + b.flushing, a.relayed + b.relayed}
}

func (a connCounts) logFields() []zap.Field {
	return []zap.Field{zap.Int64("silent", a.unused), zap.Int64("idle", a.idle), zap.Int64("partial", a.partialRequest),
		zap.Int64("in-hand", a.inHand), zap.Int64("unsent", a.flushing), zap.Int64("carried", a.relayed)}
}

// connCounts counts the loop's connections by how they stand.
func (l *loop) connCounts() connCounts {
	n := connCounts{relayed: l.stats.streaming}
	for _, cc := range l.clientConns.items {
		switch {
		case cc.closed || cc.c == nil:
		case cc.call != nil && cc.call.admitted:
			n.inHand++
		case cc.state == stateFlushing || cc.c.OutboundBuffered() > 0:
			n.flushing++
		case !cc.protocol.betweenRequests() || cc.call != nil:
			n.partialRequest++
		case cc.answersSent == 0:
			n.unused++
		default:
			n.idle++
		}
	}
	return n
}

// endIdle ends a connection on which nothing was asked for too long, or gives when to look at it again.
func (cc *clientConn) endIdle() (again logic.Nanos) {
	if cc.hasUnread() { // a request arrived at this moment
		return cc.l.now + logic.Millisecond
	}
	if cc.closeIfQuiescent(endIdle) {
		return 0
	}
	return cc.l.now + 50*logic.Millisecond
}

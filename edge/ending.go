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

// byUs tells whether this process chose to end the connection, so that what it had taken is still owed.
func (r endReason) byUs() bool { return r != endByClient && r != endBroken }

var stateNames = [...]string{reading: "reading", inHand: "in-hand", onlyOut: "flushing"}

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

// bookEnd counts the end of a connection, and names each request that is owed its answer at that moment.
func (cc *clientConn) bookEnd(why endReason) {
	l := cc.l
	l.stats.clientEnds[why]++
	if !why.byUs() {
		return
	}
	cc.bookOwed(cc.call, why)
	for i := range cc.behind {
		cc.bookOwed(cc.behind[i].call, why)
	}
}

// bookOwed counts and logs a request that ends unanswered. Any is a defect, but where its client does not read.
func (cc *clientConn) bookOwed(c *call, why endReason) {
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
	silent  int64 // nothing was asked yet
	idle    int64 // between requests
	partial int64 // a part of a request has come
	inHand  int64 // a request waits for its answer
	unsent  int64 // answers have not left this process
	carried int64 // a streamed answer is on its way
}

func (a connCounts) plus(b connCounts) connCounts {
	return connCounts{a.silent + b.silent, a.idle + b.idle, a.partial + b.partial, a.inHand + b.inHand, a.unsent + b.unsent, a.carried + b.carried}
}

func (a connCounts) logFields() []zap.Field {
	return []zap.Field{zap.Int64("silent", a.silent), zap.Int64("idle", a.idle), zap.Int64("partial", a.partial),
		zap.Int64("in-hand", a.inHand), zap.Int64("unsent", a.unsent), zap.Int64("carried", a.carried)}
}

// connCounts counts the loop's connections by how they stand.
func (l *loop) connCounts() connCounts {
	n := connCounts{carried: l.stats.streaming}
	for _, cc := range l.clientConns.items {
		switch {
		case cc.closed || cc.c == nil:
		case cc.call != nil && cc.call.admitted:
			n.inHand++
		case cc.state == onlyOut || cc.c.OutboundBuffered() > 0:
			n.unsent++
		case !cc.protocol.fresh() || cc.call != nil:
			n.partial++
		case cc.served == 0:
			n.silent++
		default:
			n.idle++
		}
	}
	return n
}

// endIdle ends a connection on which nothing was asked for too long, or gives when to look at it again.
func (cc *clientConn) endIdle() (again logic.Nanos) {
	if cc.unread() { // a request arrived at this moment
		return cc.l.now + logic.Millisecond
	}
	if cc.retire(endIdle) {
		return 0
	}
	return cc.l.now + 50*logic.Millisecond
}

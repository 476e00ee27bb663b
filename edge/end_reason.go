package edge

import (
	"errors"
	"io"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"dunegrade/logic"
)

// endReason is the reason why a client connection ended.
type endReason uint8

const (
	endByClient   endReason = iota // the client closed or reset the connection, or sent a terminate message
	endBroken                      // a read or write failed for another reason
	endAnswered                    // the answer after which the connection closes was sent
	endIdle                        // no request was received within the idle timeout
	endShed                        // closed to stay within the connection limit
	endDrain                       // the process stops
	endMalformed                   // the input could not be parsed
	endSlow                        // a message or its body was received too slowly
	endSlowReader                  // answers were read too slowly
	endOverfull                    // too much unprocessed input was held
	endCut                         // the event loop stopped while the connection was open
	numEndReasons
)

// endReasonNames holds the values of the reason label in metrics and logs.
var endReasonNames = [numEndReasons]string{"client", "broken", "answered", "idle", "shed", "drain", "malformed", "slow", "slow-reader", "overfull", "cut"}

// String returns the reason's name in metrics and logs.
func (r endReason) String() string { return endReasonNames[r] }

// byEdge reports whether this process ended the connection, and so still owed answers to admitted requests.
func (r endReason) byEdge() bool { return r != endByClient && r != endBroken }

// stateNames holds the values of the state field in logs.
var stateNames = [...]string{stateReading: "reading", stateAwaitingAnswer: "in-hand", stateFlushing: "flushing"}

// String returns the state's name in logs.
func (s clientState) String() string { return stateNames[s] }

// endReasonOf returns the reason for a close reported by the event loop with this error.
func (l *loop) endReasonOf(err error) endReason {
	switch {
	case err == nil && l.stopping:
		return endCut
	case err == nil, errors.Is(err, io.EOF), errors.Is(err, unix.ECONNRESET), errors.Is(err, unix.EPIPE):
		return endByClient
	}
	return endBroken
}

// recordEnd counts the end of the connection. If this process ended it, recordEnd also reports each unanswered request.
func (cc *clientConn) recordEnd(reason endReason) {
	l := cc.l
	l.stats.clientEnds[reason]++
	if !reason.byEdge() {
		return
	}
	cc.recordOwed(cc.call, reason)
	for i := range cc.pipelined {
		cc.recordOwed(cc.pipelined[i].call, reason)
	}
}

// recordOwed counts and logs a request that is left unanswered. Each one is a defect, unless the client is a slow reader.
func (cc *clientConn) recordOwed(c *call, reason endReason) {
	if c == nil || !c.admitted || c.answered {
		return
	}
	l := cc.l
	l.stats.owedAtEnd[reason]++
	l.log.Error("connection ended with a request unanswered", zap.Uint64("connection", cc.serial), zap.Uint64("request", c.externalID),
		zap.Uint64("txn", uint64(c.id())), zap.Stringer("state", cc.state), zap.Stringer("reason", reason),
		zap.Int("attempts", c.numSubs), zap.Int("attempts-out", c.outstanding))
}

// connCounts is the number of client connections by state.
type connCounts struct {
	unused         int64 // no request received yet
	idle           int64 // between requests
	partialRequest int64 // part of a request received
	awaitingAnswer int64 // a request awaits its answer
	flushing       int64 // answers have not completely left this process
	relayed        int64 // a streamRelay forwards an answer
}

func (c connCounts) plus(other connCounts) connCounts {
	return connCounts{c.unused + other.unused, c.idle + other.idle, c.partialRequest + other.partialRequest,
		c.awaitingAnswer + other.awaitingAnswer, c.flushing + other.flushing, c.relayed + other.relayed}
}

func (c connCounts) logFields() []zap.Field {
	return []zap.Field{zap.Int64("silent", c.unused), zap.Int64("idle", c.idle), zap.Int64("partial", c.partialRequest),
		zap.Int64("in-hand", c.awaitingAnswer), zap.Int64("unsent", c.flushing), zap.Int64("carried", c.relayed)}
}

// connCounts counts the loop's client connections by state.
func (l *loop) connCounts() connCounts {
	n := connCounts{relayed: l.stats.streaming}
	for _, cc := range l.clientConns.items {
		switch {
		case cc.closed || cc.c == nil:
		case cc.call != nil && cc.call.admitted:
			n.awaitingAnswer++
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

// closeIdle closes a connection whose idle timeout has expired. It returns 0 if the connection was closed, else the time of
// the next check.
func (cc *clientConn) closeIdle() (nextCheck logic.Nanos) {
	if cc.hasUnread() { // a request has just arrived
		return cc.l.now + unreadCheckInterval
	}
	if cc.closeIfQuiescent(endIdle) {
		return 0
	}
	return cc.l.now + outputCheckInterval
}

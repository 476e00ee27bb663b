package edge

import (
	"os"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"dunegrade/logic"
)

// closingConn is a client connection that has left the event loop. Nothing is read from it any more, and it is closed
// once the client's host has acknowledged all sent data.
//
// A request that arrives meanwhile stays unread, so that the kernel resets the connection and the client knows that the
// request can be sent again. Closing before the acknowledgement would let that reset destroy the last answer.
type closingConn struct {
	fd       int
	closedAt logic.Nanos
}

const (
	// closingPollInterval is the interval at which closing connections are checked, as the kernel doesn't notify
	// applications of acknowledgements.
	closingPollInterval = logic.Millisecond
	// unknownDeliveryWait is how long a connection is kept open to deliver its last answer if the kernel doesn't report
	// the unacknowledged bytes. It is Linux's minimum retransmission timeout.
	unknownDeliveryWait = 200 * logic.Millisecond
)

// close closes the connection once all written data has left this process. Calls that are unanswered by then are
// abandoned.
func (cc *clientConn) close(reason endReason) {
	cc.flushBatch()
	if cc.closed || cc.leaveLoop(reason) {
		return
	}
	cc.state, cc.closeReason = stateFlushing, reason
	cc.l.scheduleClientCheck(cc, cc.l.now+flushCheckInterval)
}

// leaveLoop removes the connection from the event loop: it is closed now, or once its last answer has been delivered. It
// reports whether the connection was removed; if not, nothing has changed.
func (cc *clientConn) leaveLoop(reason endReason) bool {
	l, c := cc.l, cc.c
	if c.OutboundBuffered() > 0 {
		return false
	}
	if unackedBytes(c.Fd()) == 0 {
		cc.teardown(reason)
		l.eventLoop.Close(c)
		return true
	}
	fd, err := c.Dup()
	if err != nil && l.releaseFD() { // out of descriptors; closing c below frees one that reserveFD can take
		fd, err = c.Dup()
	}
	if err != nil { // the caller retries; no descriptor is needed once the last answer is acknowledged
		l.reserveFD()
		return false
	}
	unix.Shutdown(fd, unix.SHUT_WR) // an error is ignored: checkClosing detects a broken connection
	l.p.openClients.Add(1)          // counts as open until closed; teardown subtracts it below
	l.clientCount.Add(1)
	cc.teardown(reason)
	l.eventLoop.Close(c)
	l.reserveFD()
	l.closingConns = append(l.closingConns, closingConn{fd, l.now})
	l.scheduleClosingCheck()
	return true
}

// abort resets the connection at once and discards undelivered data.
func (cc *clientConn) abort(reason endReason) {
	if cc.closed {
		return
	}
	cc.c.SetLinger(0)
	c := cc.c
	cc.teardown(reason)
	cc.l.eventLoop.Close(c)
}

// quiescent reports whether the connection has no work left: no request or part of one has been received, and all answers
// have left this process.
func (cc *clientConn) quiescent() bool {
	return cc.state == stateReading && cc.call == nil && cc.protocol.betweenRequests() && len(cc.input.data) == 0 && cc.c.OutboundBuffered() == 0
}

// closeIfQuiescent closes the connection if it is quiescent, and reports whether it did. No input can be read between the
// check and the close, since both run on the event loop that reads.
func (cc *clientConn) closeIfQuiescent(reason endReason) bool {
	return cc.quiescent() && cc.leaveLoop(reason)
}

// scheduleClosingCheck sets the timer for the next check of the closing connections, unless it is set.
func (l *loop) scheduleClosingCheck() {
	if !l.closingTimerSet {
		l.closingTimerSet = true
		l.pushTimer(timer{at: l.now + closingPollInterval, kind: timerClosingConns})
	}
}

// checkClosing closes the closing connections for which canClose returns true.
func (l *loop) checkClosing() {
	l.closingTimerSet = false
	remaining := l.closingConns[:0]
	for _, c := range l.closingConns {
		if !l.canClose(c) {
			remaining = append(remaining, c)
			continue
		}
		unix.Close(c.fd)
		l.p.openClients.Add(-1)
		l.clientCount.Add(-1)
	}
	l.closingConns = remaining
	l.reserveFD()
	if len(remaining) > 0 {
		l.scheduleClosingCheck()
	}
}

// canClose reports whether a closing connection can be closed: its data is acknowledged, its time is up or it is broken.
func (l *loop) canClose(c closingConn) bool {
	elapsed := l.now - c.closedAt
	switch unacked := unackedBytes(c.fd); {
	case unacked == 0:
		return true
	case unacked < 0:
		return elapsed >= unknownDeliveryWait
	case elapsed >= logic.Nanos(l.p.cfg.ClientLimits.SlowReaderTimeout):
		l.stats.slowReaders++
		return true
	}
	_, err := peekByte(c.fd)
	return err != nil && err != unix.EAGAIN // then the connection is broken
}

// reserveFD opens the reserve descriptor for leaveLoop, unless it is open. Without it, in a process out of descriptors, a
// connection whose client sends a new request on each answer would never be found fully acknowledged and would delay a
// drain.
func (l *loop) reserveFD() {
	if l.spareFD >= 0 {
		return
	}
	if fd, err := unix.Open(os.DevNull, unix.O_RDONLY|unix.O_CLOEXEC, 0); err == nil {
		l.spareFD = fd
	}
}

// releaseFD closes the reserve descriptor, and reports whether there was one.
func (l *loop) releaseFD() bool {
	if l.spareFD < 0 {
		return false
	}
	unix.Close(l.spareFD)
	l.spareFD = -1
	return true
}

// closeAllClosing closes the remaining closing connections and the reserve descriptor when the loop ends.
func (l *loop) closeAllClosing() {
	if n := len(l.closingConns); n > 0 {
		l.log.Warn("answers not acknowledged at the end", zap.Int("connections", n))
	}
	for _, c := range l.closingConns {
		unix.Close(c.fd)
	}
	l.closingConns = nil
	l.releaseFD()
}

// unackedBytes returns how many sent bytes, including the FIN, the peer host has not acknowledged, or a negative number if
// the kernel doesn't report it.
func unackedBytes(fd int) int {
	for {
		n, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		if err == unix.EINTR {
			continue
		}
		if err != nil {
			return -1
		}
		return n
	}
}

// endIfDeparted ends the connection if its client has closed it, or its sending side, even if received requests are unread or
// wait for their turn: nobody waits for their answers. It reports whether the connection has ended.
func (cc *clientConn) endIfDeparted() bool {
	if !cc.l.peerClosed(cc.c.Fd()) {
		return false
	}
	c := cc.c
	cc.teardown(endByClient)
	cc.l.eventLoop.Close(c)
	return true
}

// peerClosed reports whether the peer has closed or reset a connection, or closed its sending side. Unlike a read, it sees this
// before the bytes received earlier are read.
func (l *loop) peerClosed(fd int) bool {
	l.pollFDs[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLRDHUP}
	for {
		n, err := unix.Poll(l.pollFDs[:], 0)
		if err == unix.EINTR {
			continue
		}
		return err == nil && n > 0 && l.pollFDs[0].Revents&unix.POLLRDHUP != 0 // Linux sets it on a reset, too
	}
}

// peekByte returns 1 if the socket has unread bytes and 0 at the end of the stream; the error is unix.EAGAIN if neither.
func peekByte(fd int) (n int, err error) {
	var b [1]byte
	for {
		n, _, err = unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if err != unix.EINTR {
			return n, err
		}
	}
}

// hasUnread reports whether the socket has received bytes that were not read yet.
func (cc *clientConn) hasUnread() bool {
	n, err := peekByte(cc.c.Fd())
	return err == nil && n > 0
}

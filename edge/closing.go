package edge

import (
	"os"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"dunegrade/logic"
)

// closingConn is a client's connection that has left the event loop: nothing is read from it any more, and it is closed once its client's
// host has acknowledged all that was sent.
//
// A request that crosses this is left unread, and the kernel answers it with a reset, by which its client knows that it may be sent
// again. A close before the acknowledgement would let that reset destroy the last answer.
type closingConn struct {
	fd       int
	closedAt logic.Nanos
}

const (
	// closingPollInterval is how often such connections are looked at; the kernel tells nobody of an acknowledgement.
	closingPollInterval = logic.Millisecond
	// unknownDeliveryWait is how long a connection is left to deliver its last answer where the kernel does not tell what is
	// acknowledged: the least time after which Linux sends a segment again.
	unknownDeliveryWait = 200 * logic.Millisecond
)

// close ends the connection once what was written has left this process. What is still in hand loses its client.
func (cc *clientConn) close(why endReason) {
	if cc.closed || cc.leaveLoop(why) {
		return
	}
	cc.state, cc.closeReason = stateFlushing, why
	cc.l.scheduleClientCheck(cc, cc.l.now+2*logic.Millisecond)
}

// leaveLoop takes the connection off the event loop, closed or to be closed when its last answer has been delivered. It tells whether it
// could; else nothing has changed.
func (cc *clientConn) leaveLoop(why endReason) bool {
	l, c := cc.l, cc.c
	if c.OutboundBuffered() > 0 {
		return false
	}
	if unackedBytes(c.Fd()) == 0 {
		cc.gone(why)
		l.eventLoop.Close(c)
		return true
	}
	fd, err := c.Dup()
	if err != nil && l.releaseFD() { // out of descriptors: its own becomes free in a moment
		fd, err = c.Dup()
	}
	if err != nil { // it needs none once its last answer is acknowledged
		l.reserveFD()
		return false
	}
	unix.Shutdown(fd, unix.SHUT_WR) // one that is gone tells so by itself
	l.p.openClients.Add(1)          // until it is closed
	l.clientCount.Add(1)
	cc.gone(why)
	l.eventLoop.Close(c)
	l.reserveFD()
	l.closingConns = append(l.closingConns, closingConn{fd, l.now})
	l.scheduleClosingCheck()
	return true
}

// abort ends the connection at once, with a reset in place of what was not delivered.
func (cc *clientConn) abort(why endReason) {
	if cc.closed {
		return
	}
	cc.c.SetLinger(0)
	c := cc.c
	cc.gone(why)
	cc.l.eventLoop.Close(c)
}

// quiescent tells whether nothing is owed on the connection: no request nor a part of one has come, and all answers have left this process.
func (cc *clientConn) quiescent() bool {
	return cc.state == stateReading && cc.call == nil && cc.protocol.betweenRequests() && len(cc.input()) == 0 && cc.c.OutboundBuffered() == 0
}

// closeIfQuiescent ends a connection on which nothing is owed, and tells whether it could.
//
// Nothing is read between the look at what has come in and the end, as both happen on the loop that reads.
func (cc *clientConn) closeIfQuiescent(why endReason) bool {
	return cc.quiescent() && cc.leaveLoop(why)
}

func (l *loop) scheduleClosingCheck() {
	if !l.closingTimerSet {
		l.closingTimerSet = true
		l.timers.push(timer{at: l.now + closingPollInterval, kind: timerClosingConns})
	}
}

// checkClosing closes the connections whose last answer has been delivered, is undeliverable, or has taken too long.
func (l *loop) checkClosing() {
	l.closingTimerSet = false
	kept := l.closingConns[:0]
	for _, c := range l.closingConns {
		if !l.delivered(c) {
			kept = append(kept, c)
			continue
		}
		unix.Close(c.fd)
		l.p.openClients.Add(-1)
		l.clientCount.Add(-1)
	}
	l.closingConns = kept
	l.reserveFD()
	if len(kept) > 0 {
		l.scheduleClosingCheck()
	}
}

func (l *loop) delivered(c closingConn) bool {
	waited := l.now - c.closedAt
	switch left := unackedBytes(c.fd); {
	case left == 0:
		return true
	case left < 0:
		return waited >= unknownDeliveryWait
	case waited >= logic.Nanos(l.p.cfg.ClientLimits.SlowReaderTimeout):
		l.stats.slowReaders++
		return true
	}
	_, err := peekByte(c.fd)
	return err != nil && err != unix.EAGAIN // it broke
}

// reserveFD holds a descriptor for when none is left. Without it a connection whose client asks again at each answer would never be seen with all
// acknowledged, and hold up a stop.
func (l *loop) reserveFD() {
	if l.spareFD >= 0 {
		return
	}
	if fd, err := unix.Open(os.DevNull, unix.O_RDONLY|unix.O_CLOEXEC, 0); err == nil {
		l.spareFD = fd
	}
}

// releaseFD gives that descriptor back, and tells whether there was one.
func (l *loop) releaseFD() bool {
	if l.spareFD < 0 {
		return false
	}
	unix.Close(l.spareFD)
	l.spareFD = -1
	return true
}

// closeAllClosing closes what still waits when the loop ends.
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

// unackedBytes gives how many bytes sent on a connection, its end included, the other host has not acknowledged; negative where the
// kernel does not tell.
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

// peekByte looks whether bytes have come that were not read yet, 0 at the end of what is to come.
func peekByte(fd int) (n int, err error) {
	var b [1]byte
	for {
		n, _, err = unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if err != unix.EINTR {
			return n, err
		}
	}
}

// hasUnread tells whether bytes have come to the socket that were not read yet.
func (cc *clientConn) hasUnread() bool {
	n, err := peekByte(cc.c.Fd())
	return err == nil && n > 0
}

package edge

import (
	"fmt"
	"net"
	"syscall"
	"time"
)

// wakeContext is the gnet context of the loop's end of the wake-up socket pair.
type wakeContext struct{}

// post runs a function on the loop's goroutine. Any goroutine may call it.
func (l *loop) post(do func()) {
	l.mu.Lock()
	first := len(l.postedFuncs) == 0
	l.postedFuncs = append(l.postedFuncs, do)
	l.mu.Unlock()
	if first {
		l.wake()
	}
}

// wakeByte is written to wakeConn to wake the loop.
var wakeByte = []byte{1}

// wake wakes the loop. Any goroutine may call it.
func (l *loop) wake() {
	// A full socket buffer would block the caller, so the write has a deadline. A write that times out does no harm, as the
	// bytes in the buffer still wake the loop.
	l.wakeConn.SetWriteDeadline(time.Now().Add(time.Second))
	l.wakeConn.Write(wakeByte)
}

// newWakePair returns a socket pair for waking a loop: ours is written to, theirs is read by the loop.
func newWakePair() (ours, theirs net.Conn, err error) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, nil, fmt.Errorf("socketpair: %w", err)
	}
	if ours, err = connFromFD(fds[0], nil); err != nil {
		return nil, nil, err
	}
	theirs, err = connFromFD(fds[1], nil)
	return ours, theirs, err
}

// runAlarm wakes the loop when its next timer is due. Each loop has one such goroutine, which ends when quit is closed.
func (l *loop) runAlarm() {
	defer l.group.Done()
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		select {
		case <-l.quit:
			return
		case <-l.alarmChanged:
			if at := l.alarmAt.Load(); at != 0 {
				t.Reset(max(0, time.Duration(at-int64(l.p.clock()))))
			}
		case <-t.C:
			if l.alarmAt.Swap(0) != 0 {
				l.wake()
			}
		}
	}
}

package edge

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// accept hands each new connection to the loop that has fewest.
func (p *Process) accept() {
	failed := 0 // in a row
	for {
		c, err := p.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
				return
			}
			// Out of descriptors, most likely: going on at once would spin, and a line for each would fill the disk.
			if failed++; failed == 1 {
				p.log.Warn("accept failed", zap.Error(err))
			}
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if failed > 0 {
			p.log.Info("accepts again", zap.Int("failed", failed))
			failed = 0
		}
		p.assignToLoop(c)
	}
}

// assignToLoop hands a new connection to the loop that has fewest, or resets it where there are far too many. Nothing of it was read.
func (p *Process) assignToLoop(c net.Conn) {
	over := p.openClients.Load() - int64(p.cfg.ClientLimits.MaxConnections)
	if over >= int64(p.cfg.ClientLimits.OverflowConnections) {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
		return
	}
	if over >= 0 {
		p.loops[0].post(p.loops[0].shed)
	}
	best := p.loops[0]
	for _, l := range p.loops[1:] {
		if l.clientCount.Load() < best.clientCount.Load() {
			best = l
		}
	}
	p.openClients.Add(1)
	best.clientCount.Add(1)
	if _, err := best.client.EnrollContext(c, &acceptedClient{}); err != nil {
		p.openClients.Add(-1)
		best.clientCount.Add(-1)
	}
}

// maxBacklog bounds what can wait to be accepted when the listener ends; a crowd that goes on coming must not hold that up.
const maxBacklog = 4096

// closeListener takes the connections that the kernel has accepted so far and closes the listener, which resets those that come in between:
// nothing of them was read. When it returns, each connection that was taken is on the books of its loop.
func (p *Process) closeListener(accepting *sync.WaitGroup) {
	defer accepting.Wait()
	defer p.listener.Close()
	l, ok := p.listener.(*net.TCPListener)
	if !ok {
		return
	}
	l.SetDeadline(time.Now())
	accepting.Wait()
	raw, err := l.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) {
		for range maxBacklog {
			c, err := acceptPending(int(fd))
			if err != nil {
				if err != unix.EAGAIN {
					p.log.Warn("the last accept failed", zap.Error(err))
				}
				return
			}
			p.assignToLoop(c)
		}
	})
}

// acceptPending takes a connection that waits to be accepted; the error is unix.EAGAIN where there is none.
func acceptPending(listener int) (net.Conn, error) {
	for {
		fd, _, err := unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
			return connFromFD(fd, nil)
		case unix.EINTR, unix.ECONNABORTED, unix.EPROTO, unix.ENETDOWN, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH,
			unix.EOPNOTSUPP, unix.ENETUNREACH: // accept(2): faults of one connection, or none
		default:
			return nil, err
		}
	}
}

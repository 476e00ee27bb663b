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

// acceptRetryDelay is the pause after a failed accept.
const acceptRetryDelay = 10 * time.Millisecond

// accept accepts connections until the listener is closed or its deadline passes.
func (p *Process) accept() {
	failures := 0 // consecutive failed accepts
	for {
		c, err := p.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
				return
			}
			// Most likely out of descriptors. Retrying at once would busy-loop, and logging each failure would fill the disk.
			if failures++; failures == 1 {
				p.log.Warn("accept failed", zap.Error(err))
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		if failures > 0 {
			p.log.Info("accepts again", zap.Int("failed", failures))
			failures = 0
		}
		p.assignToLoop(c)
	}
}

// assignToLoop hands a new connection to the loop with the fewest clients. At the connection limit it also requests that an
// idle connection be shed. At the limit plus the allowed overflow it resets the new connection, from which nothing was read.
func (p *Process) assignToLoop(c net.Conn) {
	excess := p.openClients.Load() - int64(p.cfg.ClientLimits.MaxConnections)
	if excess >= int64(p.cfg.ClientLimits.OverflowConnections) {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
		return
	}
	if excess >= 0 {
		p.loops[0].post(p.loops[0].shed)
	}
	target := p.loops[0]
	for _, l := range p.loops[1:] {
		if l.clientCount.Load() < target.clientCount.Load() {
			target = l
		}
	}
	p.openClients.Add(1)
	target.clientCount.Add(1)
	if _, err := target.client.EnrollContext(c, &acceptedClient{}); err != nil {
		p.openClients.Add(-1)
		target.clientCount.Add(-1)
	}
}

// maxBacklog bounds the connections accepted while the listener closes, so that a steady stream of new ones can't delay a
// stop.
const maxBacklog = 4096

// closeListener accepts the connections in the kernel's backlog and closes the listener. Connections that arrive in between
// are reset by the close; nothing was read from them. When it returns, each accepted connection is assigned to a loop and
// counted.
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

// acceptPending accepts a connection from the backlog; the error is unix.EAGAIN if there is none.
func acceptPending(listener int) (net.Conn, error) {
	for {
		fd, _, err := unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
			return connFromFD(fd, nil)
		case unix.EINTR, unix.ECONNABORTED, unix.EPROTO, unix.ENETDOWN, unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH,
			unix.EOPNOTSUPP, unix.ENETUNREACH: // accept(2): retry after interrupts and errors of a single connection
		default:
			return nil, err
		}
	}
}

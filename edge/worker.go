package edge

import (
	"context"
	"net"
	"unsafe"

	"github.com/panjf2000/gnet/v2"

	"dunegrade/logic"
)

// workerConn is one connection to a worker. It carries one submission at a time.
type workerConn struct {
	l            *loop
	c            gnet.Conn
	pool         *pool
	slot         int32  // index in loop.workerConns
	gen          uint32 // generation of the slot
	closed       bool
	call         *call  // the call whose submission the connection carries, or nil
	callGen      uint32 // generation of call when it was assigned
	subIndex     int    // index in call.subs of that submission
	numUses      int    // submissions carried so far
	protocol     workerProtocol
	load         logic.Load  // the worker's last load report
	hasLoad      bool        // whether load came with the current answer
	idledFor     logic.Nanos // idle time before the current use
	handshaking  bool        // the connection is open but not ready for submissions
	halfClosedAt logic.Nanos // when it was half-closed; 0 when it was not
	since        logic.Nanos // when it was opened or became idle
	checkAt      logic.Nanos // time of the next scheduled check; 0 when none is scheduled
}

// workerByToken returns the open worker connection with the given slotToken, or nil.
func (l *loop) workerByToken(token uint64) *workerConn {
	slot := int32(uint32(token))
	if int(slot) >= len(l.workerConns.items) {
		return nil
	}
	if wc := l.workerConns.items[slot]; wc.gen == uint32(token>>32) && !wc.closed {
		return wc
	}
	return nil
}

// dial opens a connection on a separate goroutine, which passes the result to OnOpen or dialFailed.
func (l *loop) dial(p *pool) {
	l.group.Add(1)
	address := p.address
	go func() {
		defer l.group.Done()
		d := net.Dialer{Timeout: l.p.cfg.WorkerLimits.ConnectTimeout}
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go func() { // halting the loop cancels the dial
			select {
			case <-l.quit:
				stop()
			case <-ctx.Done():
			}
		}()
		c, err := d.DialContext(ctx, "tcp", address)
		if err == nil {
			_, err = l.client.EnrollContext(c, p)
		}
		if err != nil {
			l.post(func() { l.dialFailed(p) })
		}
	}()
}

// openWorkerConn sets up a new worker connection, on which the protocol's handshake starts.
func (l *loop) openWorkerConn(c gnet.Conn, p *pool) {
	slot, wc := l.workerConns.get()
	reused := wc.protocol
	*wc = workerConn{l: l, c: c, pool: p, slot: slot, gen: wc.gen + 1, handshaking: true, since: l.now}
	wc.protocol = l.p.protocol.newWorkerProtocol(wc, reused)
	c.SetContext(wc)
	l.scheduleWorkerCheck(wc, l.now+l.connectTimeout)
	wc.protocol.handleOpen()
}

// reopenWorkerConn takes back a connection whose answer a streamRelay has forwarded. It returns false if others have taken its
// room meanwhile, since the limits don't count the connections of relays.
func (l *loop) reopenWorkerConn(c gnet.Conn, p *pool) bool {
	limits := &l.p.cfg.WorkerLimits
	if p.numConns >= limits.MaxConnections || limits.MaxTotalConnections > 0 && l.numConns >= limits.MaxTotalConnections {
		return false
	}
	l.countDial(p) // handleReady, which openWorkerConn leads to, takes it for a dialed connection
	l.openWorkerConn(c, p)
	return true
}

// handleReady handles a connection that has become ready for submissions.
func (l *loop) handleReady(wc *workerConn) {
	if wc.handshaking {
		wc.handshaking = false
		wc.pool.numDialing--
		l.numDialing--
		l.roomChanged = true
	}
	l.offerConn(wc)
}

// scheduleWorkerCheck schedules a call of checkWorkerConn at the given time, unless an earlier one is scheduled.
func (l *loop) scheduleWorkerCheck(wc *workerConn, at logic.Nanos) {
	if wc.checkAt != 0 && wc.checkAt <= at {
		return
	}
	wc.checkAt = at
	l.pushTimer(timer{at: at, token: slotToken(wc.slot, wc.gen), kind: timerWorkerConn})
}

// checkWorkerConn enforces the connection's time limits: for the handshake, for the wait after a half-close, for the delay
// before reuse and for idle time.
func (l *loop) checkWorkerConn(wc *workerConn) {
	if wc.handshaking { // a worker that accepts but stays silent must not hold the connection and the submissions waiting for it
		if wc.since+l.connectTimeout > l.now {
			l.scheduleWorkerCheck(wc, wc.since+l.connectTimeout)
			return
		}
		l.closeWorkerConn(wc, true)
		return
	}
	if wc.call != nil {
		if wc.halfClosedAt == 0 {
			return // the next check is scheduled when the connection becomes idle
		}
		if wc.halfClosedAt+halfCloseWait > l.now {
			l.scheduleWorkerCheck(wc, wc.halfClosedAt+halfCloseWait)
			return
		}
		l.abortSubmission(wc, logic.Cancelled)
		return
	}
	if reuseDelay := logic.Nanos(l.p.cfg.WorkerLimits.ReuseDelay); l.now-wc.since < reuseDelay {
		l.scheduleWorkerCheck(wc, wc.since+reuseDelay)
		return
	}
	if len(wc.pool.waiting) > 0 {
		if wc.protocol.stale() {
			l.stats.stale++
			l.closeWorkerConn(wc, true)
			return
		}
		wc.pool.removeIdle(wc)
		if l.serveOldestWaiter(wc) {
			return
		}
		wc.pool.idle = append(wc.pool.idle, wc)
	}
	if wc.since+l.workerIdleTimeout <= l.now {
		l.stats.idleClosed++
		l.closeWorkerConn(wc, false)
		return
	}
	l.scheduleWorkerCheck(wc, wc.since+l.workerIdleTimeout)
}

// closeWorkerConn closes a connection. With reset it sends a TCP reset, so that the worker knows at once that no answer is
// wanted. The caller must end the submission that the connection carried.
func (l *loop) closeWorkerConn(wc *workerConn, reset bool) {
	if wc.closed {
		return
	}
	if reset {
		wc.c.SetLinger(0)
	}
	c := wc.c
	wc.releaseSlot()
	l.eventLoop.Close(c)
}

// releaseSlot marks the connection as closed, frees its slot and queues its pool to open connections for submissions that wait
// for one. It closes and opens no other connection, so callers may be walking connections.
func (wc *workerConn) releaseSlot() {
	l, p := wc.l, wc.pool
	wc.closed, wc.call, wc.c = true, nil, nil
	wc.gen++
	p.numConns--
	l.numConns--
	if wc.handshaking { // the connection never became ready
		wc.handshaking = false
		p.numDialing--
		l.numDialing--
		l.stats.dialsFailed++
		l.failOldestWaiter(p)
	}
	p.removeIdle(wc)
	wc.protocol.releaseBuffers()
	l.workerConns.put(wc.slot)
	l.queueDials(p)
}

// handleClose handles a connection that the worker has closed or that failed.
func (wc *workerConn) handleClose(err error) {
	l := wc.l
	c, n := wc.call, wc.subIndex
	if c != nil && wc.protocol.completeOnClose(err) {
		if !wc.closed {
			wc.releaseSlot()
		}
		return
	}
	// A request that has not left this host completely cannot have run.
	e := logic.Disconnected
	if c != nil && wc.protocol.hasUnsent() {
		e = logic.ConnectFailed
	}
	if wc.halfClosedAt > 0 {
		e = logic.Cancelled
	}
	if c != nil && e != logic.ConnectFailed && wc.protocol.answerStarted() {
		e = logic.MalformedResponse
	}
	if c != nil {
		l.reuseLimit.observe(l.now, wc.idledFor, l.now-c.subs[n].startedAt <= promptReset)
	}
	wc.releaseSlot()
	if c != nil {
		l.endSubmission(c, n, e, nil)
	}
}

// read passes the bytes received from a worker to the protocol.
func (wc *workerConn) read() {
	l := wc.l
	for !wc.closed {
		size := wc.c.InboundBuffered()
		if wc.call == nil && !wc.handshaking && size > 0 {
			// Unsolicited bytes would be taken for the next txn's answer.
			l.stats.malformedAnswers++
			l.closeWorkerConn(wc, true)
			return
		}
		in, _ := wc.c.Peek(size)
		if !wc.protocol.read(in) {
			return
		}
	}
}

// failMalformed ends a submission whose answer is malformed. The submission may have run.
func (wc *workerConn) failMalformed() {
	l, c, n := wc.l, wc.call, wc.subIndex
	l.stats.malformedAnswers++
	l.closeWorkerConn(wc, true)
	l.endSubmission(c, n, logic.MalformedResponse, nil)
}

// completeSubmission handles a complete answer. e is the submission's ending; if it is OK, clientAnswer is sent to the client.
// With mustClose the connection cannot be used again.
func (l *loop) completeSubmission(wc *workerConn, e logic.Ending, clientAnswer []byte, mustClose bool) {
	c, n := wc.call, wc.subIndex
	if wc.halfClosedAt > 0 { // a half-closed connection takes no more submissions
		if mustClose = true; e != logic.OK {
			e = logic.Cancelled
		}
	}
	l.reuseLimit.observe(l.now, wc.idledFor, false)
	if e == logic.OK && !c.answered && !c.clientLeft {
		l.stats.settled++
		cc := c.client
		if cc.answer(c, clientAnswer); !cc.closed {
			cc.finish(c)
		}
	}
	// Bytes after a complete answer belong to no request, so the connection is not used again.
	hasExtra := !wc.closed && wc.c.InboundBuffered() > 0
	var load *logic.Load
	if wc.hasLoad {
		load = &wc.load
	}
	if !wc.closed {
		wc.call = nil
		wc.protocol.releaseBuffers()
	}
	l.endSubmission(c, n, e, load)
	if c.answered || c.clientLeft {
		l.endWaitingSubs(c)
	}
	if wc.closed {
		return
	}
	if hasExtra {
		l.stats.malformedAnswers++
	}
	if mustClose || hasExtra {
		l.closeWorkerConn(wc, hasExtra)
		return
	}
	l.offerConn(wc)
}

// plausibleLoad reports whether a load report's values are in a plausible range. A single NaN would stay in a smoothed value
// forever.
func plausibleLoad(l *logic.Load) bool {
	for _, f := range [3]float64{l.Util, l.Queue, l.Busy} {
		if !(f >= -1 && f < 1e9) {
			return false
		}
	}
	return true
}

// unsafeString returns b as a string without a copy. The result must not be used after b changes.
func unsafeString(b []byte) string { return unsafe.String(unsafe.SliceData(b), len(b)) }

// equalFold reports whether a header's name equals want, ignoring ASCII case. An empty want matches nothing.
func equalFold(b []byte, want string) bool {
	if len(b) != len(want) || want == "" {
		return false
	}
	for i := range b {
		x, y := b[i], want[i]
		if x != y && (x|0x20 != y|0x20 || x|0x20 < 'a' || x|0x20 > 'z') {
			return false
		}
	}
	return true
}

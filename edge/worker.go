package edge

import (
	"context"
	"net"
	"slices"
	"unsafe"

	"github.com/panjf2000/gnet/v2"

	"dunegrade/logic"
)

// workerConn is one connection to a worker. It carries one submission at a time.
type workerConn struct {
	l            *loop
	c            gnet.Conn
	pool         *pool
	slot         int32
	connGen      uint32 // of this place
	closed       bool
	call         *call // whose submission n is out here, or nil
	gen          uint32
	n            int
	numUses      int // submissions it has carried
	protocol     workerProtocol
	load         logic.Load
	hasLoad      bool
	idledFor     logic.Nanos // before its last use
	handshaking  bool        // it stands, and cannot be asked yet
	halfClosedAt logic.Nanos // when we ended our sending; 0: we did not
	since        logic.Nanos // when it became idle
	armed        logic.Nanos
}

func (l *loop) workerByToken(token uint64) *workerConn {
	at := int32(uint32(token))
	if int(at) >= len(l.workerConns.items) {
		return nil
	}
	if wc := l.workerConns.items[at]; wc.connGen == uint32(token>>32) && !wc.closed {
		return wc
	}
	return nil
}

// dial opens a connection beside the loop; it comes back through OnOpen, or as a failure.
func (l *loop) dial(p *pool) {
	l.group.Add(1)
	address := p.address
	go func() {
		defer l.group.Done()
		d := net.Dialer{Timeout: l.p.cfg.WorkerLimits.ConnectTimeout}
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go func() { // a loop that halts does not wait for dials
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

func (l *loop) openWorkerConn(c gnet.Conn, p *pool) {
	at, wc := l.workerConns.get()
	was := wc.protocol
	*wc = workerConn{l: l, c: c, pool: p, slot: at, connGen: wc.connGen + 1, handshaking: true, since: l.now}
	wc.protocol = l.p.protocol.newWorkerProtocol(wc, was)
	c.SetContext(wc)
	l.armWorker(wc, l.now+l.connectTimeout)
	wc.protocol.handleOpen()
}

// ready takes a connection that can be asked.
func (l *loop) ready(wc *workerConn) {
	if wc.handshaking {
		wc.handshaking = false
		wc.pool.numDialing--
		l.numDialing--
	}
	l.offerConn(wc)
}

func (l *loop) armWorker(wc *workerConn, at logic.Nanos) {
	if wc.armed != 0 && wc.armed <= at {
		return
	}
	wc.armed = at
	l.timers.push(timer{at: at, token: slotToken(wc.slot, wc.connGen), kind: timerWorkerConn})
}

// checkWorkerConn closes a connection that has been idle for too long.
func (l *loop) checkWorkerConn(wc *workerConn) {
	if wc.handshaking { // Danger: a worker that takes connections and says nothing would hold them, and who waits for them
		if wc.since+l.connectTimeout > l.now {
			l.armWorker(wc, wc.since+l.connectTimeout)
			return
		}
		l.closeWorkerConn(wc, true)
		return
	}
	if wc.call != nil {
		if wc.halfClosedAt == 0 {
			return // armed again when it is idle
		}
		if wc.halfClosedAt+halfCloseWait > l.now {
			l.armWorker(wc, wc.halfClosedAt+halfCloseWait)
			return
		}
		l.abortSubmission(wc, logic.Cancelled)
		return
	}
	if rest := logic.Nanos(l.p.cfg.WorkerLimits.ReuseDelay); l.now-wc.since < rest {
		l.armWorker(wc, wc.since+rest)
		return
	}
	if len(wc.pool.waiting) > 0 {
		if wc.protocol.stale() {
			l.stats.stale++
			l.closeWorkerConn(wc, true)
			return
		}
		wc.pool.idle = slices.DeleteFunc(wc.pool.idle, func(x *workerConn) bool { return x == wc })
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
	l.armWorker(wc, wc.since+l.workerIdleTimeout)
}

func (l *loop) closeIdleConns(p *pool) {
	for len(p.idle) > 0 {
		wc := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		l.closeWorkerConn(wc, false)
	}
}

// closeWorkerConn ends a connection from our side; hard resets it, so that the worker sees at once that nobody
// waits. What was out on it is not told to anyone: the caller does that.
func (l *loop) closeWorkerConn(wc *workerConn, hard bool) {
	if wc.closed {
		return
	}
	if hard {
		wc.c.SetLinger(0)
	}
	c := wc.c
	wc.releaseSlot()
	l.eventLoop.Close(c)
}

// releaseSlot gives up the connection's place.
func (wc *workerConn) releaseSlot() {
	l, p := wc.l, wc.pool
	wc.closed, wc.call, wc.c = true, nil, nil
	wc.connGen++
	p.numConns--
	l.numConns--
	if wc.handshaking { // it never came up
		wc.handshaking = false
		p.numDialing--
		l.numDialing--
		l.stats.dialsFailed++
		l.failOldestWaiter(p)
	}
	for i, x := range p.idle {
		if x == wc {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			break
		}
	}
	wc.protocol.releaseBuffers()
	l.workerConns.put(wc.slot)
	l.dialForWaiters(p)
	l.dialStarvedPools()
}

// handleClose takes a connection that the worker has closed, or that broke.
func (wc *workerConn) handleClose(err error) {
	l := wc.l
	c, n := wc.call, wc.n
	if c != nil && wc.protocol.completeOnClose(err) {
		if !wc.closed {
			wc.releaseSlot()
		}
		return
	}
	// What never left this host whole cannot have run.
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
		l.reuseLimit.observe(l.now, wc.idledFor, l.now-c.subs[n].since <= promptReset)
	}
	wc.releaseSlot()
	if c != nil {
		l.endSubmission(c, n, e, nil)
	}
}

// read takes what a worker sends.
func (wc *workerConn) read() {
	l := wc.l
	for !wc.closed {
		size := wc.c.InboundBuffered()
		if wc.call == nil && !wc.handshaking && size > 0 {
			// Danger: bytes that nobody asked for would pass for the next txn's answer.
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

// failMalformed ends a submission whose answer makes no sense. It may have run.
func (wc *workerConn) failMalformed() {
	l, c, n := wc.l, wc.call, wc.n
	l.stats.malformedAnswers++
	l.closeWorkerConn(wc, true)
	l.endSubmission(c, n, logic.MalformedResponse, nil)
}

// complete takes a whole answer: how the submission ended, and what its client is to get where it is OK.
func (l *loop) complete(wc *workerConn, e logic.Ending, out []byte, shut bool) {
	c, n := wc.call, wc.n
	if wc.halfClosedAt > 0 { // the connection has had its last
		if shut = true; e != logic.OK {
			e = logic.Cancelled
		}
	}
	l.reuseLimit.observe(l.now, wc.idledFor, false)
	if e == logic.OK && !c.answered && !c.clientLeft {
		l.stats.settled++
		cc := c.client
		if cc.answer(c, out); !cc.closed {
			cc.finish(c)
		}
	}
	// Danger: bytes after a whole answer are an answer to nothing; the connection is not used again.
	extra := !wc.closed && wc.c.InboundBuffered() > 0
	var load *logic.Load
	if wc.hasLoad {
		load = &wc.load
	}
	if !wc.closed {
		wc.call = nil
	}
	l.endSubmission(c, n, e, load)
	if c.answered || c.clientLeft {
		l.endWaitingSubs(c)
	}
	if wc.closed {
		return
	}
	if extra {
		l.stats.malformedAnswers++
	}
	if shut || extra {
		l.closeWorkerConn(wc, extra)
		return
	}
	l.offerConn(wc)
}

// plausibleLoad refuses what no worker can mean. Danger: one NaN in a smoothed figure stays there for good.
func plausibleLoad(l *logic.Load) bool {
	for _, f := range [3]float64{l.Util, l.Queue, l.Busy} {
		if !(f >= -1 && f < 1e9) {
			return false
		}
	}
	return true
}

// unsafeString looks at bytes as a string for the length of a call.
func unsafeString(b []byte) string { return unsafe.String(unsafe.SliceData(b), len(b)) }

// equalFold compares a header's name without regard to ASCII case; an empty want fits nothing.
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

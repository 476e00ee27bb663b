package edge

import "dunegrade/logic"

// maxBatchBytes is the size in bytes up to which the answers to one read are collected before they are written.
const maxBatchBytes = 16 << 10

// write sends bytes to the client. While the connection's input is parsed, they are collected, so that the answers to many
// small requests take one system call and not one each.
func (cc *clientConn) write(b []byte) {
	if cc.closed {
		return
	}
	l := cc.l
	if l.batching != cc {
		cc.send(b)
		return
	}
	l.batch = append(l.batch, b...)
	if len(l.batch) >= maxBatchBytes {
		cc.flushBatch()
	}
}

// flushBatch sends the collected bytes, if there are any for this connection.
func (cc *clientConn) flushBatch() {
	l := cc.l
	if l.batching != cc || len(l.batch) == 0 {
		return
	}
	b := l.batch
	l.batch = l.batch[:0]
	cc.send(b)
}

// send passes bytes to the kernel or the event library, and aborts the connection if too many remain unsent.
func (cc *clientConn) send(b []byte) {
	if cc.closed {
		return
	}
	wasBehind := cc.c.OutboundBuffered() > 0
	cc.c.Write(b) // an error closes the connection and calls OnClose
	if cc.closed {
		return
	}
	unsent := cc.c.OutboundBuffered()
	cc.setHeldUnsent(unsent)
	if unsent == 0 {
		return
	}
	if int64(unsent) > cc.l.p.cfg.ClientLimits.MaxUnsentBytes || wasBehind && unsent > max(minUnsentAllowance, cc.l.heldAllowance()) {
		cc.l.stats.slowReaders++
		cc.abort(endSlowReader)
		return
	}
	cc.l.scheduleClientCheck(cc, cc.l.now+outputCheckInterval)
}

// stalledReaderTimeout is how long a client may read nothing while its unsent output exceeds its allowance.
const stalledReaderTimeout = 100 * logic.Millisecond

// isStalled reports whether the client has read nothing of its unsent output for too long: for its timeout, or for a moment if
// memory is short.
func (cc *clientConn) isStalled(unsent int) bool {
	l := cc.l
	stalled := l.now - cc.unsentSince
	return stalled > logic.Nanos(l.p.cfg.ClientLimits.SlowReaderTimeout) || stalled >= stalledReaderTimeout && unsent > l.heldAllowance()
}

// answer sends c's answer, or holds it until the answers before it are sent. If the connection may not hold it, an error takes
// its place.
func (cc *clientConn) answer(c *call, b []byte) {
	if c == cc.call {
		cc.write(b)
		return
	}
	if len(b) > minHeldAllowance && !cc.mayHold(len(b)) {
		cc.l.stats.overHeldBytes++
		cc.protocol.writeVoided(c)
		return
	}
	for i := range cc.pipelined {
		if cc.pipelined[i].call == c {
			cc.pipelined[i].answer = append([]byte(nil), b...)
			cc.addHeldAnswer(len(b))
		}
	}
}

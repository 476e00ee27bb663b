package edge

import (
	"github.com/panjf2000/gnet/v2"

	"dunegrade/logic"
)

// acceptedClient is what the acceptor hands over with a connection: bytes that were read before, where it comes back
// from a carrier.
type acceptedClient struct{ early []byte }

// clientState is what a client's connection waits for.
type clientState uint8

const (
	reading clientState = iota // a request, or waiting for one
	inHand                     // the txn's answer
	onlyOut                    // the last answer leaves, then the connection closes
)

// clientConn is one connection of a client.
type clientConn struct {
	l        *loop
	c        gnet.Conn
	at       int32
	gen      uint32
	serial   uint64 // of the connection in this sentry's life
	state    clientState
	closed   bool
	protocol clientProtocol
	call     *call   // that is being read, or is in hand: the one whose answer is next
	behind   []queue // what was taken behind it, in order
	last     bool    // nothing more is taken, and after the last answer the connection ends
	overfull bool    // more was sent ahead of its answers than is kept
	early    []byte
	opened   logic.Nanos
	since    logic.Nanos // when this state began
	armed    logic.Nanos // when it will be looked at; 0: not
	served   uint64
	unsent   int // bytes not sent when last looked at
	unsentN  logic.Nanos
	holds    int       // bytes that came and were not used yet
	came     int64     // bytes that came in all, and
	usedUp   int64     // those that were used
	marks    []mark    // when those that were not used came, oldest first
	ends     endReason // where the last answer leaves: why the connection ends then
}

// queue is a txn taken behind others of its connection. Its answer waits for its turn.
type queue struct {
	call   *call // nil once it is answered
	answer []byte
}

// mark notes that a connection's bytes up to one had come by a time.
type mark struct {
	end int64
	at  logic.Nanos
}

// marksMost is how many pieces of what waits are told apart.
const marksMost = 64

// recordArrival notes what has just come. Danger: what waits behind others has its time from when it came, not from when its turn
// comes. Of very many small pieces the later ones count as come with those before: too early does no harm.
func (cc *clientConn) recordArrival() {
	n := len(cc.early) + cc.c.InboundBuffered() - cc.holds
	if n <= 0 {
		return
	}
	cc.came += int64(n)
	if last := len(cc.marks) - 1; len(cc.marks) >= marksMost || last >= 0 && cc.marks[last].at == cc.l.now {
		cc.marks[last].end = cc.came
		return
	}
	cc.marks = append(cc.marks, mark{cc.came, cc.l.now})
}

// cameBy gives when the last of the next size bytes came.
func (cc *clientConn) cameBy(size int) logic.Nanos {
	for _, m := range cc.marks {
		if m.end >= cc.usedUp+int64(size) {
			return m.at
		}
	}
	return cc.l.now
}

// aheadMost is how many txns of one connection may be in hand behind the first.
const aheadMost = 7

// mayTakeAhead tells whether a txn may be taken behind one that is in hand. Danger: one by one, those behind a slow answer
// would wait for longer than their clients do; without a bound, answers that wait for their turn would fill memory.
func (cc *clientConn) mayTakeAhead() bool {
	held := 0
	for i := range cc.behind {
		held += len(cc.behind[i].answer)
	}
	return !cc.closed && !cc.last && cc.call != nil && cc.call.admitted && len(cc.behind) < aheadMost && int64(held) < cc.l.p.cfg.ClientLimits.MaxUnsentBytes
}

func (l *loop) clientByToken(token uint64) *clientConn {
	at := int32(uint32(token))
	if int(at) >= len(l.clientConns.items) {
		return nil
	}
	if cc := l.clientConns.items[at]; cc.gen == uint32(token>>32) && !cc.closed {
		return cc
	}
	return nil
}

func (l *loop) openClient(c gnet.Conn, d *acceptedClient) {
	at, cc := l.clientConns.get()
	was, behind, marks := cc.protocol, cc.behind[:0], cc.marks[:0]
	*cc = clientConn{behind: behind, marks: marks, l: l, c: c, at: at, gen: cc.gen + 1, opened: l.now, since: l.now, early: d.early}
	cc.protocol = l.p.protocol.newClientProtocol(cc, was)
	c.SetContext(cc)
	l.stats.clientsAccepted++
	cc.serial = l.stats.clientsAccepted
	l.armClient(cc, l.now+logic.Nanos(min(l.p.cfg.ClientLimits.IdleTimeout, l.p.cfg.ClientLimits.HeadTimeout)))
	if len(cc.early) > 0 {
		cc.read()
	}
	if l.draining && !cc.closed { // it came back from a carrier
		l.armClient(cc, l.now)
	}
}

// armClient has the connection looked at by then; it is in the heap once at the most.
func (l *loop) armClient(cc *clientConn, at logic.Nanos) {
	if cc.armed != 0 && cc.armed <= at {
		return
	}
	cc.armed = at
	l.timers.push(timer{at: at, token: slotToken(cc.at, cc.gen), kind: timerClientConn})
}

// checkClient ends what has waited for too long. Slow heads and bodies hold memory, so each has its limit.
func (l *loop) checkClient(cc *clientConn) {
	d := &l.p.cfg.ClientLimits
	until := logic.Nanos(0)
	switch cc.state {
	case reading:
		if l.draining && cc.rests() {
			l.drainClient(cc)
			return
		}
		if until = cc.protocol.waits(); cc.closed || until == 0 && cc.state == reading {
			return
		}
	case inHand:
		until = l.now + logic.Nanos(d.IdleTimeout)
	}
	if out := cc.c.OutboundBuffered(); out > 0 || cc.state == onlyOut {
		if out == 0 {
			cc.close(cc.ends)
			return
		}
		if out != cc.unsent {
			cc.unsent, cc.unsentN = out, l.now
		} else if l.now-cc.unsentN > logic.Nanos(d.SlowReaderTimeout) {
			l.stats.slowReaders++
			cc.abort(endSlowReader)
			return
		}
		wait := l.now + 50*logic.Millisecond
		if cc.state == onlyOut {
			wait = l.now + 2*logic.Millisecond
		}
		until = min(max(until, wait), wait)
	}
	l.armClient(cc, until)
}

// shed ends the connection that can best be done without, where there is one: one that has asked nothing for longest,
// else one that is idle for longest. Danger: clients that open connections and say nothing would lock out the others.
func (l *loop) shed() {
	if l.p.openClients.Load() < int64(l.p.cfg.ClientLimits.MaxConnections) {
		return
	}
	var best *clientConn
	for _, cc := range l.clientConns.items {
		if cc.closed || cc.c == nil || cc.state != reading || !cc.protocol.fresh() || cc.c.OutboundBuffered() > 0 || l.now-cc.since < newcomer ||
			cc.served > 0 && l.now-cc.since < logic.Nanos(l.p.cfg.ClientLimits.PressureIdleTimeout) {
			continue
		}
		if best != nil && (cc.served > 0 && best.served == 0 || (cc.served == 0) == (best.served == 0) && cc.since >= best.since) {
			continue
		}
		if !cc.unread() { // else its request is here already
			best = cc
		}
	}
	if best != nil && best.retire(endShed) {
		l.stats.shed++
	}
}

// newcomer is how long a connection that has asked nothing yet is spared: its first request may be on its way.
const newcomer = 100 * logic.Millisecond

// gone books the end of the connection; a txn in hand loses its client.
func (cc *clientConn) gone(why endReason) {
	l := cc.l
	cc.bookEnd(why)
	cc.closed = true
	l.clientCount.Add(-1)
	l.p.openClients.Add(-1)
	first := cc.call
	cc.call = nil
	cc.leaves(first)
	for i := range cc.behind {
		cc.leaves(cc.behind[i].call)
		cc.behind[i] = queue{}
	}
	cc.behind = cc.behind[:0]
	l.heldBytes -= cc.holds
	cc.c, cc.early, cc.holds = nil, nil, 0
	cc.gen++
	l.clientConns.put(cc.at)
}

// leaves books that a txn's client has gone.
func (cc *clientConn) leaves(c *call) {
	if c == nil {
		return
	}
	l := cc.l
	c.client = nil
	if !c.admitted || c.answered {
		l.releaseCall(c)
		return
	}
	c.clientLeft = true
	l.stats.clientLeft++
	l.enqueue(event{kind: evClientLeft, call: c})
	l.endWaitingSubs(c)
}

// account counts the bytes that are held for clients. Danger: each connection's are bounded, but those of many at once
// would still fill memory; past the bound in sum the one that holds most gives its up.
func (cc *clientConn) account() {
	l := cc.l
	if cc.closed {
		return
	}
	n := len(cc.early) + cc.c.InboundBuffered()
	l.heldBytes += n - cc.holds
	cc.holds = n
	bound := l.p.cfg.ClientLimits.MaxHeldBytes
	for bound > 0 && l.heldBytes > bound {
		most := cc
		for _, other := range l.clientConns.items {
			if !other.closed && other.c != nil && other.holds > most.holds {
				most = other
			}
		}
		l.stats.overHeldBytes++
		if most.call != nil && most.call.admitted { // its answer is owed; what it sent behind that is not looked at
			most.last, most.overfull, most.call.keepAlive = true, true, false
			most.used(len(most.input()))
			l.heldBytes -= most.holds
			most.holds = 0
		} else {
			most.abort(endOverfull)
		}
	}
}

// input gives the bytes in hand. used says how many of them were taken.
func (cc *clientConn) input() []byte {
	if len(cc.early) > 0 {
		if n := cc.c.InboundBuffered(); n > 0 {
			more, _ := cc.c.Peek(n)
			cc.early = append(cc.early, more...)
			cc.c.Discard(n)
		}
		return cc.early
	}
	n := cc.c.InboundBuffered()
	if n == 0 {
		return nil
	}
	b, _ := cc.c.Peek(n)
	return b
}

func (cc *clientConn) used(n int) {
	if n == 0 {
		return
	}
	cc.usedUp += int64(n)
	for len(cc.marks) > 0 && cc.marks[0].end <= cc.usedUp {
		cc.marks = cc.marks[:copy(cc.marks, cc.marks[1:])]
	}
	if len(cc.early) > 0 {
		if cc.early = cc.early[n:]; len(cc.early) == 0 {
			cc.early = nil
		}
		return
	}
	cc.c.Discard(n)
}

// read takes what has come in, and counts what is left of it.
func (cc *clientConn) read() {
	cc.take()
	cc.account()
}

// take takes what has come in as far as it goes. It stops at a whole txn, since answers keep their order.
func (cc *clientConn) take() {
	l := cc.l
	for !cc.closed {
		in := cc.input()
		if cc.state == reading || cc.state == inHand && cc.protocol.ahead() && cc.mayTakeAhead() {
			if len(in) == 0 || !cc.protocol.read(in) {
				return
			}
			continue
		}
		// Danger: the event loop reads on whatever is sent, so a client that pipelines without end fills
		// memory. Past the limit its further requests are dropped, and the connection after its answer.
		if len(in) > l.p.cfg.ClientLimits.MaxPipelinedBytes || cc.state == onlyOut {
			cc.used(len(in))
			cc.last, cc.overfull = true, cc.state != onlyOut
			if cc.call != nil {
				cc.call.keepAlive = false
			}
		}
		return
	}
}

// whole hands a txn that has come in whole to the module.
func (cc *clientConn) whole(c *call) {
	l := cc.l
	if c == cc.call {
		cc.state, cc.since = inHand, l.now
	}
	c.admitted = true
	l.stats.admitted++
	c.txn.ID = c.id()
	if l.draining { // it is answered while its answer can still be delivered
		c.txn.Expiry = min(c.txn.Expiry, l.answerDeadline)
	}
	if c.txn.Expiry < l.now { // the body took all the time there was
		c.txn.Expiry = l.now + 1
	}
	if at := c.txn.Expiry - halfCloseLead; at > l.now && l.p.platform != nil {
		l.timers.push(timer{at: at, token: uint64(c.id()), kind: timerHalfClose})
	}
	l.timers.push(timer{at: c.txn.Expiry, token: uint64(c.id()), kind: timerExpiry})
	l.enqueue(event{kind: evAdmit, call: c})
}

// ---- Answers ----

// put sends bytes to the client.
func (cc *clientConn) put(b []byte) {
	if cc.closed {
		return
	}
	cc.c.Write(b) // a fault closes the connection, which OnClose tells
	if cc.closed {
		return
	}
	if out := cc.c.OutboundBuffered(); out > 0 {
		if int64(out) > cc.l.p.cfg.ClientLimits.MaxUnsentBytes {
			cc.l.stats.slowReaders++
			cc.abort(endSlowReader)
			return
		}
		cc.l.armClient(cc, cc.l.now+50*logic.Millisecond)
	}
}

// answer sends what c's client is to get, or keeps it for its turn.
func (cc *clientConn) answer(c *call, b []byte) {
	if c == cc.call {
		cc.put(b)
		return
	}
	for i := range cc.behind {
		if cc.behind[i].call == c {
			cc.behind[i].answer = append([]byte(nil), b...)
		}
	}
}

// finish ends a txn that has its answer, on a connection that is still open.
func (cc *clientConn) finish(c *call) {
	if c == cc.call {
		cc.answered()
		return
	}
	for i := range cc.behind {
		if cc.behind[i].call == c {
			cc.behind[i].call = nil
			cc.last = cc.last || !c.keepAlive || c.closesConn
			c.answered, c.client = true, nil
			cc.l.releaseCall(c)
			return
		}
	}
}

// answered ends the txn in hand for its client, and sends the answers that waited for it.
func (cc *clientConn) answered() {
	l, c := cc.l, cc.call
	closes := c.closesConn
	cc.last = cc.last || !c.keepAlive || closes
	c.answered, c.client, cc.call = true, nil, nil
	cc.served++
	l.releaseCall(c)
	for len(cc.behind) > 0 && !cc.closed && cc.call == nil {
		next := cc.behind[0]
		n := copy(cc.behind, cc.behind[1:])
		cc.behind[n] = queue{}
		cc.behind = cc.behind[:n]
		if cc.call = next.call; cc.call == nil {
			cc.served++
			cc.put(next.answer)
		}
	}
	if cc.closed {
		return
	}
	if cc.call != nil {
		cc.since = l.now
		l.resumeReads = append(l.resumeReads, cc)
		return
	}
	if cc.overfull && !closes { // what came behind this answer was thrown away, and is told so
		cc.protocol.stop(endOverfull)
		return
	}
	if cc.last {
		cc.close(endAnswered)
		return
	}
	cc.state, cc.since = reading, l.now
	cc.protocol.begin()
	if l.draining && len(cc.input()) == 0 {
		l.drainClient(cc)
		return
	}
	l.resumeReads = append(l.resumeReads, cc) // what came in behind it is owed its answer, also in a drain
}

// respondDeclined tells the client that trying again does no harm.
func (l *loop) respondDeclined(c *call, after logic.Nanos) {
	if c.answered || c.clientLeft {
		return
	}
	l.stats.declined++
	cc := c.client
	cc.protocol.declined(c, after)
	if !cc.closed {
		cc.finish(c)
	}
}

// respondVoided tells the client that the txn failed, and promises nothing about its effect.
func (l *loop) respondVoided(c *call) {
	if c.answered || c.clientLeft {
		return
	}
	l.stats.voided++
	cc := c.client
	cc.protocol.voided(c)
	if !cc.closed {
		cc.finish(c)
	}
}

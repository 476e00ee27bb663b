package edge

import "math"

// heldBytes is the memory that is held for one client, or for all clients of a loop, in bytes by purpose.
type heldBytes struct {
	input    int // received and not consumed
	requests int // of open calls
	answers  int // held until the answers before them are sent
	unsent   int // answers that the client's host has not taken yet
}

// total returns the sum of all purposes.
func (h heldBytes) total() int { return h.input + h.requests + h.answers + h.unsent }

// setHeldInput accounts for the connection's input buffer.
func (cc *clientConn) setHeldInput(size int) {
	cc.l.held.input += size - cc.held.input
	cc.held.input = size
}

// setHeldUnsent accounts for the connection's unsent output.
func (cc *clientConn) setHeldUnsent(size int) {
	cc.l.held.unsent += size - cc.held.unsent
	cc.held.unsent = size
}

// addHeldAnswer accounts for an answer that is held for its turn; size is negative when it no longer is.
func (cc *clientConn) addHeldAnswer(size int) {
	cc.l.held.answers += size
	cc.held.answers += size
}

// accountRequest accounts for a call's request buffer, which has been filled or has grown.
func (c *call) accountRequest() {
	cc := c.client
	growth := cap(c.request) - c.heldRequest
	c.heldRequest += growth
	cc.held.requests += growth
	cc.l.held.requests += growth
}

// detachClient separates a call from its client, which has its answer or has left. The call makes no further submission, so
// its request is freed; a small buffer is kept for the slot's next call.
func (c *call) detachClient() {
	if c.client == nil {
		return
	}
	c.client.held.requests -= c.heldRequest
	c.client.l.held.requests -= c.heldRequest
	c.client, c.heldRequest = nil, 0
	c.request = c.request[:0]
	if cap(c.request) > maxKeptRequestBytes {
		c.request = nil
	}
}

// maxKeptRequestBytes is the size in bytes up to which a call's request buffer is kept for the next call. There are as many
// buffers as there were calls open at once.
const maxKeptRequestBytes = 2 << 10

// releaseMemory frees the connection's input, and stops accounting for all that it held.
func (cc *clientConn) releaseMemory() {
	held := &cc.l.held
	held.input -= cc.held.input
	held.requests -= cc.held.requests
	held.answers -= cc.held.answers
	held.unsent -= cc.held.unsent
	cc.held, cc.input = heldBytes{}, inputBuffer{}
}

const (
	// heldShareDivisor sets how much of the free memory one connection may hold. The more connections hold memory, the less
	// each of them may hold, so that some is always free for the others.
	heldShareDivisor = 4
	// minHeldAllowance is what each connection may hold in any case, in bytes: enough for usual requests.
	minHeldAllowance = 4 << 10
	// minUnsentAllowance is how much unsent output, in bytes, a connection may have in any case when a further answer is sent.
	minUnsentAllowance = 64 << 10
)

// heldAllowance returns how many bytes one connection may hold now. Each connection's input, requests and answers are bounded,
// but many connections together could still exhaust memory.
func (l *loop) heldAllowance() int {
	limit := l.p.cfg.ClientLimits.MaxHeldBytes
	if limit == 0 {
		return math.MaxInt
	}
	return max(minHeldAllowance, (limit-l.held.total())/heldShareDivisor)
}

// mayHold reports whether the connection may hold size more bytes.
func (cc *clientConn) mayHold(size int) bool { return cc.held.total()+size <= cc.l.heldAllowance() }

// limitHeldBytes accounts for the connection's input. A connection that holds more than its allowance loses its input: it
// gets an error behind the answers that are still owed to it, and is closed.
func (cc *clientConn) limitHeldBytes() {
	if cc.closed {
		return
	}
	cc.input.retain()
	cc.setHeldInput(cc.input.memory())
	if len(cc.input.data) == 0 || cc.mayHold(0) || cc.state == stateFlushing {
		return
	}
	cc.l.stats.overHeldBytes++
	if cc.call != nil && cc.call.admitted {
		cc.dropInput()
	} else {
		cc.protocol.terminate(endOverfull)
	}
	cc.setHeldInput(cc.input.memory())
}

package edge

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

// releaseRequest frees the request buffer of a call that makes no further submission. A small buffer is kept for the slot's
// next call.
func (l *loop) releaseRequest(c *call) {
	l.held.requests -= c.heldRequest
	if c.client != nil {
		c.client.held.requests -= c.heldRequest
	}
	c.heldRequest = 0
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

// limitHeldBytes accounts for the connection's input and enforces the limit on the input of all connections. Each
// connection's input is bounded, but many connections together could still exhaust memory. Over the limit, the connection
// that holds the most bytes loses its input.
func (cc *clientConn) limitHeldBytes() {
	l := cc.l
	if cc.closed {
		return
	}
	cc.input.retain()
	cc.setHeldInput(cc.input.memory())
	limit := l.p.cfg.ClientLimits.MaxHeldBytes
	for limit > 0 && l.held.input > limit {
		largest := cc
		for _, other := range l.clientConns.items {
			if !other.closed && other.c != nil && other.held.input > largest.held.input {
				largest = other
			}
		}
		l.stats.overHeldBytes++
		if largest.call != nil && largest.call.admitted { // the admitted call is still answered; input behind it is discarded
			largest.dropInput()
			largest.setHeldInput(largest.input.memory())
		} else {
			largest.abort(endOverfull)
		}
	}
}

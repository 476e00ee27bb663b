package edge

import "dunegrade/logic"

// maxKeptInputBytes is the size in bytes up to which an empty input buffer is kept for the connection's next partial request.
const maxKeptInputBytes = 1 << 10

// inputBuffer holds the bytes that were received from a client and not consumed yet. A received chunk is borrowed from the
// event library until retain copies what is left of it, so that a request that arrives whole is parsed without a copy.
type inputBuffer struct {
	data     []byte // the unconsumed bytes
	storage  []byte // memory of the connection, empty but for its capacity
	borrowed bool   // data lies in the event library's read buffer, not in storage
}

// receive appends a chunk. The chunk must stay valid until retain or consume of all bytes.
func (b *inputBuffer) receive(chunk []byte) {
	if len(b.data) == 0 {
		b.data, b.borrowed = chunk, true
		return
	}
	b.retain()
	if len(b.data)+len(chunk) > cap(b.data) { // reuse the space of consumed bytes before growing
		b.data = append(b.storage, b.data...)
		b.data = append(b.data, chunk...)
		b.storage = b.data[:0]
		return
	}
	b.data = append(b.data, chunk...)
}

// retain copies borrowed bytes into the buffer's own memory.
func (b *inputBuffer) retain() {
	if !b.borrowed {
		return
	}
	b.borrowed = false
	b.data = append(b.storage, b.data...)
	b.storage = b.data[:0]
}

// consume removes the first n bytes.
func (b *inputBuffer) consume(n int) {
	b.data = b.data[n:]
	if len(b.data) > 0 {
		return
	}
	b.data, b.borrowed = nil, false
	if cap(b.storage) > maxKeptInputBytes {
		b.storage = nil
	}
}

// detach gives the buffer's own memory up if the first n bytes are all that it holds; the caller keeps its slice of them. It
// reports whether it did.
func (b *inputBuffer) detach(n int) bool {
	if b.borrowed || len(b.data) != n {
		return false
	}
	b.data, b.storage = nil, nil
	return true
}

// memory returns the buffer's own memory in bytes.
func (b *inputBuffer) memory() int { return cap(b.storage) }

// arrival records that all bytes of a connection's input before offset were received by the time at.
type arrival struct {
	offset int64 // in bytes from the start of the connection
	at     logic.Nanos
}

// maxArrivals bounds the arrival records of one connection.
const maxArrivals = 64

// receive adds a chunk of received bytes to the input and records its arrival time. A pipelined statement's timeout runs
// from its arrival, not from when its turn comes. Beyond maxArrivals records, new bytes get the time of the last one: a time
// that is too early does no harm.
func (cc *clientConn) receive(chunk []byte) {
	if len(chunk) == 0 {
		return
	}
	cc.input.receive(chunk)
	cc.receivedBytes += int64(len(chunk))
	if last := len(cc.arrivals) - 1; len(cc.arrivals) >= maxArrivals || last >= 0 && cc.arrivals[last].at == cc.l.now {
		cc.arrivals[last].offset = cc.receivedBytes
		return
	}
	cc.arrivals = append(cc.arrivals, arrival{cc.receivedBytes, cc.l.now})
}

// arrivalTime returns when the last of the next size unconsumed bytes was received.
func (cc *clientConn) arrivalTime(size int) logic.Nanos {
	for _, a := range cc.arrivals {
		if a.offset >= cc.consumedBytes+int64(size) {
			return a.at
		}
	}
	return cc.l.now
}

// discardInput consumes the first n bytes of the input.
func (cc *clientConn) discardInput(n int) {
	if n == 0 {
		return
	}
	cc.countConsumed(n)
	cc.input.consume(n)
}

// countConsumed counts n bytes as consumed, and drops the arrival records that they end.
func (cc *clientConn) countConsumed(n int) {
	cc.consumedBytes += int64(n)
	for len(cc.arrivals) > 0 && cc.arrivals[0].offset <= cc.consumedBytes {
		cc.arrivals = cc.arrivals[:copy(cc.arrivals, cc.arrivals[1:])]
	}
}

// takeRequest consumes the first size bytes of the input and appends request, which is part of them, to dst. A large request
// that is all of the input is not copied.
func (cc *clientConn) takeRequest(dst, request []byte, size int) []byte {
	if size > maxKeptRequestBytes && cc.input.detach(size) {
		cc.countConsumed(size)
		cc.setHeldInput(cc.input.memory())
		return request
	}
	dst = append(dst, request...)
	cc.discardInput(size)
	return dst
}

// mayTakeRequest reports whether the connection may hold the request of the given size that is at the start of its input.
func (cc *clientConn) mayTakeRequest(size int) bool {
	isWholeInput := !cc.input.borrowed && len(cc.input.data) == size
	return isWholeInput || cc.mayHold(size)
}

// discardAllInput consumes the whole input.
func (cc *clientConn) discardAllInput() { cc.discardInput(len(cc.input.data)) }

// read processes the received input, and accounts for what remains of it.
func (cc *clientConn) read() {
	cc.l.batching = cc
	cc.parseInput()
	cc.flushBatch()
	cc.l.batching = nil
	cc.limitHeldBytes()
}

// parseInput parses requests from the input until it is incomplete. It stops after a complete request unless further ones
// may be pipelined, since answers are sent in the order of requests.
func (cc *clientConn) parseInput() {
	if len(cc.input.data) > 0 && cc.state != stateFlushing && cc.endIfDeparted() {
		return
	}
	for !cc.closed {
		in := cc.input.data
		if cc.state == stateReading || cc.state == stateAwaitingAnswer && cc.protocol.supportsPipelining() && cc.canPipeline() {
			if len(in) == 0 || !cc.protocol.read(in) {
				return
			}
			continue
		}
		// The event loop cannot stop reading, so a client that pipelines without limit would exhaust memory. Over the
		// limit, further requests are discarded and the connection closes after its answer.
		if len(in) > cc.l.p.cfg.ClientLimits.MaxPipelinedBytes || cc.inputDropped || cc.state == stateFlushing {
			cc.dropInput()
		}
		return
	}
}

// dropInput discards the input of a connection that is not in stateReading. The connection closes after its answer, with an
// error for the discarded requests.
func (cc *clientConn) dropInput() {
	cc.discardAllInput()
	cc.closeAfterAnswer, cc.inputDropped = true, cc.state != stateFlushing
	if cc.call != nil {
		cc.call.keepAlive = false
	}
}

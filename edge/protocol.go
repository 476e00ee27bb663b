package edge

import "dunegrade/logic"

// protocol is the seam between host and wire: how requests, answers and the host's own answers look as bytes.
// A protocol decides nothing about a txn; it tells the host what has come in whole, and writes what the host says.
type protocol interface {
	// newClientProtocol makes the client's side of a new connection; was is one of an ended connection, or nil.
	newClientProtocol(cc *clientConn, was clientProtocol) clientProtocol
	// newWorkerProtocol makes the worker's side of a new connection; was is one of an ended connection, or nil.
	newWorkerProtocol(wc *workerConn, was workerProtocol) workerProtocol
}

// clientProtocol is one client's connection in a protocol.
type clientProtocol interface {
	// read takes a part of what has come in, and tells whether there may be more to do. What is whole goes to
	// clientConn.whole.
	read(in []byte) bool
	// checkTimeout gives when the connection, with nothing in hand, is to be looked at again. Where what it waited for is
	// over, it has ended the connection and gives 0.
	checkTimeout() logic.Nanos
	// betweenRequests tells whether nothing of a request has come, and begin that the next one may.
	betweenRequests() bool
	startNextRequest()
	// terminate ends a connection in the middle of what was sent on it, and tells the client so.
	terminate(why endReason)
	// supportsPipelining tells whether read takes txns behind one that is in hand.
	supportsPipelining() bool
	// declined and voided answer a txn that is in hand.
	declined(c *call, after logic.Nanos)
	voided(c *call)
}

// workerProtocol is one connection to a worker in a protocol.
type workerProtocol interface {
	// handleOpen is told that the connection stands. It calls loop.ready, now or once a greeting is through.
	handleOpen()
	// writeSubmission writes submission n of a call.
	writeSubmission(c *call, n int) error
	// read takes what has come in, up to a whole answer at the most, which goes to loop.complete; it tells whether
	// there may be more to do.
	read(in []byte) bool
	// completeOnClose tells whether the connection's end was the end of an answer, which it has then completed.
	completeOnClose(err error) bool
	// hasUnsent tells whether a part of what was asked is still in this host.
	hasUnsent() bool
	// stale tells whether an idle connection has come to something that was not read yet: its end, or bytes that
	// nobody asked for.
	stale() bool
	// answerStarted tells whether a part of an answer has come, where the protocol cares.
	answerStarted() bool
	// halfClose ends our sending and leaves what comes readable; it tells whether the protocol knows that.
	halfClose() bool
	// releaseBuffers frees what large answers have left behind.
	releaseBuffers()
}

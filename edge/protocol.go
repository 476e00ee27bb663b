package edge

import "dunegrade/logic"

// protocol encodes and decodes the wire protocol spoken with clients and workers. It makes no decisions about a txn: it
// passes complete requests and answers to the loop, and writes the requests and answers that the loop passes to it.
type protocol interface {
	// newClientProtocol returns the protocol state of a new client connection. reused is the state of a closed
	// connection that may be recycled, or nil.
	newClientProtocol(cc *clientConn, reused clientProtocol) clientProtocol
	// newWorkerProtocol returns the protocol state of a new worker connection. reused is the state of a closed
	// connection that may be recycled, or nil.
	newWorkerProtocol(wc *workerConn, reused workerProtocol) workerProtocol
}

// clientProtocol is the protocol state of one client connection.
type clientProtocol interface {
	// read processes a part of the input, and reports whether more of it may be processed. A complete request is passed
	// to clientConn.admitCall.
	read(in []byte) bool
	// checkTimeout enforces the timeouts of a connection in stateReading. It returns when to check again, or 0 if it has
	// ended the connection.
	checkTimeout() logic.Nanos
	// betweenRequests reports whether no part of a next request has been read.
	betweenRequests() bool
	// startNextRequest prepares for the next request after an answer.
	startNextRequest()
	// terminate sends an error with the reason, and closes the connection.
	terminate(reason endReason)
	// supportsPipelining reports whether read admits txns while an earlier one awaits its answer.
	supportsPipelining() bool
	// writeDeclined answers an admitted txn that was declined.
	writeDeclined(c *call, retryAfter logic.Nanos)
	// writeVoided answers an admitted txn that was voided.
	writeVoided(c *call)
}

// workerProtocol is the protocol state of one worker connection.
type workerProtocol interface {
	// handleOpen is called once the connection is established. It calls loop.handleReady, either at once or when the
	// protocol's handshake is complete.
	handleOpen()
	// writeSubmission writes submission n of a call.
	writeSubmission(c *call, n int) error
	// read processes a part of the input, at most one complete answer, which is passed to
	// loop.completeSubmission. It reports whether more input may be processed.
	read(in []byte) bool
	// completeOnClose reports whether the close of the connection marks the end of an answer, which it then completes.
	completeOnClose(err error) bool
	// hasUnsent reports whether part of the submission has not left this host.
	hasUnsent() bool
	// stale reports whether an idle connection has been closed by the worker or has unexpected bytes to read.
	stale() bool
	// answerStarted reports whether part of an answer has arrived. Protocols that don't track this return false.
	answerStarted() bool
	// halfClose shuts down the sending direction and keeps reading. It reports whether the protocol supports that.
	halfClose() bool
	// releaseBuffers frees buffers that large answers have grown.
	releaseBuffers()
}

package edge

// A turn is one callback of the event loop. A client whose requests are answered as soon as they are read could be served
// without end within a turn, while all other clients wait. So each client gets a limited number of requests in a turn, and the
// rest of its input is read in the next one.

// maxTurnRequests is the number of requests of one client that are admitted in a turn.
const maxTurnRequests = 16

// countTurnRequest counts a request that was admitted in this turn.
func (cc *clientConn) countTurnRequest() {
	if cc.turn != cc.l.turn {
		cc.turn, cc.turnRequests = cc.l.turn, 0
	}
	cc.turnRequests++
}

// turnOver reports whether the client has had its requests of this turn.
func (cc *clientConn) turnOver() bool {
	return cc.turn == cc.l.turn && cc.turnRequests >= maxTurnRequests
}

// resumeRead reads on after an answer, or in the next turn if the client has had its requests of this one.
func (cc *clientConn) resumeRead() {
	if !cc.turnOver() {
		cc.read()
		return
	}
	l := cc.l
	if len(l.deferredReads) == 0 {
		l.post(l.readDeferred)
	}
	l.deferredReads = append(l.deferredReads, slotToken(cc.slot, cc.gen))
}

// readDeferred reads on from the clients whose turn was over.
func (l *loop) readDeferred() {
	tokens := l.deferredReads
	l.deferredReads = nil
	for _, token := range tokens {
		if cc := l.clientByToken(token); cc != nil {
			cc.read()
		}
	}
}

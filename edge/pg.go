package edge

import (
	"errors"
	"strconv"

	"golang.org/x/sys/unix"

	"dunegrade/logic"
	"dunegrade/pgwire"
)

// StatementInfo is what a statement says of itself.
type StatementInfo struct {
	ID                       uint64 // by which its client knows it; no two are open at once
	Product                  logic.ProductID
	Customer                 logic.CustomerID
	Key                      logic.KeyID
	Cost                     logic.Nanos
	Repeat                   bool
	Timeout                  logic.Nanos // from when the client sent it
	TimeoutStart, TimeoutEnd int         // where the statement tells its patience, in whole milliseconds
}

// Dialect reads what clients and workers write inside PostgreSQL'proto messages. It keeps no state.
type Dialect interface {
	// ParseStatement reads a statement. Its error is what the client is told.
	ParseStatement(statement []byte, to *StatementInfo) *pgwire.ProtocolError
	// Load reads a load report, and tells whether it is one.
	Load(report []byte, to *logic.Load) bool
	// EncodeStartup gives the start-up message for workers, and the name of the parameter that holds load reports.
	EncodeStartup() (message []byte, gauge string)
}

// pgProtocol is PostgreSQL'proto protocol behind the seam.
type pgProtocol struct {
	dialect   Dialect
	startup   []byte
	loadParam string
}

func newPgProtocol(d Dialect) *pgProtocol {
	proto := &pgProtocol{dialect: d}
	proto.startup, proto.loadParam = d.EncodeStartup()
	return proto
}

func (proto *pgProtocol) newClientProtocol(cc *clientConn, was clientProtocol) clientProtocol {
	pc, ok := was.(*pgClient)
	if !ok {
		pc = &pgClient{}
	}
	*pc = pgClient{cc: cc, proto: proto}
	return pc
}

func (proto *pgProtocol) newWorkerProtocol(wc *workerConn, was workerProtocol) workerProtocol {
	pw, ok := was.(*pgWorker)
	if !ok {
		pw = &pgWorker{}
	}
	pw.wc, pw.proto, pw.writing = wc, proto, false
	pw.parser.Reset(proto.loadParam, int(wc.l.p.cfg.ClientLimits.AnswerBufferBytes))
	return pw
}

// pgClient is a client'proto connection.
type pgClient struct {
	cc             *clientConn
	proto          *pgProtocol
	parser         pgwire.FrontendParser
	partialSince   logic.Nanos // when a part of a message was first seen; 0: there is none
	readinessSince logic.Nanos // when it asked whether this edge can serve, which it could not; 0: it did not
}

func (pc *pgClient) betweenRequests() bool    { return pc.partialSince == 0 }
func (pc *pgClient) supportsPipelining() bool { return true }
func (pc *pgClient) startNextRequest()        { pc.partialSince = 0 }

// checkTimeout ends a client that does not get on with its start-up, or with what it began.
func (pc *pgClient) checkTimeout() (until logic.Nanos) {
	cc := pc.cc
	l := cc.l
	door := &l.p.cfg.ClientLimits
	switch {
	case pc.readinessSince > 0:
		pc.readinessSince = 0
		cc.read()
		if cc.closed || cc.state != stateReading {
			return 0
		}
		return l.now + 5*logic.Millisecond
	case cc.answersSent == 0 && (pc.partialSince > 0 || !pc.parser.Started()):
		if until = cc.openedAt + logic.Nanos(door.HeadTimeout); until <= l.now {
			l.stats.refused++
			pc.closeWithError(endSlow, "08P01", "the first message came too slowly")
			return 0
		}
	case pc.partialSince > 0:
		if until = pc.partialSince + logic.Nanos(door.BodyTimeout); until <= l.now {
			l.stats.refused++
			pc.closeWithError(endSlow, "08P01", "the message came too slowly")
			return 0
		}
	default:
		patience := door.IdleTimeout
		if l.p.openClients.Load() > int64(door.MaxConnections/2) {
			patience = door.PressureIdleTimeout
		}
		if until = cc.stateSince + logic.Nanos(patience); until <= l.now {
			return cc.endIdle()
		}
		until = min(until, l.now+logic.Nanos(door.PressureIdleTimeout))
	}
	return until
}

// closeWithError tells the client what was wrong, and ends the connection: what follows cannot be trusted to be a message.
func (pc *pgClient) closeWithError(why endReason, code, text string) {
	cc := pc.cc
	l := cc.l
	cc.discardInput(len(cc.input()))
	l.scratch = pgwire.AppendError(l.scratch[:0], true, code, text, "")
	cc.write(l.scratch)
	cc.close(why)
}

const shutdownText = "the process stops: trying again elsewhere does no harm"

func (pc *pgClient) terminate(why endReason) {
	if why == endOverfull {
		pc.closeWithError(why, "53300", "declined: too much was sent ahead of its answers")
		return
	}
	pc.closeWithError(why, "57P03", shutdownText)
}

func (pc *pgClient) read(in []byte) bool {
	cc := pc.cc
	l := cc.l
	size, want, text, err := pc.parser.Next(in)
	if cc.call != nil { // a txn is in hand: only another one may be taken, what else comes is answered in its turn
		if err != nil || want != pgwire.Query {
			return false
		}
		return pc.handlePipelined(size, text)
	}
	if err == pgwire.ErrIncomplete {
		if pc.partialSince == 0 {
			pc.partialSince = l.now
			l.scheduleClientCheck(cc, min(l.now+logic.Nanos(l.p.cfg.ClientLimits.BodyTimeout), max(l.now, cc.openedAt+logic.Nanos(l.p.cfg.ClientLimits.HeadTimeout))))
		}
		return false
	}
	if err != nil {
		var f *pgwire.ProtocolError
		errors.As(err, &f)
		l.stats.refused++
		pc.closeWithError(endMalformed, f.Code, f.Message)
		return false
	}
	pc.partialSince = 0
	switch want {
	case pgwire.EncryptionRequest:
		cc.discardInput(size)
		cc.write(pgwire.NoEncryption)
	case pgwire.Startup:
		cc.discardInput(size)
		cc.write(pgwire.StartupResponse)
		cc.stateSince = l.now
		l.scheduleClientCheck(cc, l.now+logic.Nanos(l.p.cfg.ClientLimits.PressureIdleTimeout))
	case pgwire.Terminate:
		cc.discardInput(size)
		cc.close(endByClient)
	case pgwire.EmptyQuery:
		if !l.canServe() && l.draining {
			pc.terminate(endDrain)
			return false
		}
		if !l.canServe() {
			pc.readinessSince = l.now
			l.scheduleClientCheck(cc, l.now+5*logic.Millisecond)
			return false
		}
		cc.discardInput(size)
		cc.write(pgwire.EmptyQueryAnswer)
	case pgwire.Query:
		pc.handleStatement(size, text)
	}
	return !cc.closed
}

// handleStatement hands a txn to the module, or says what is wrong with it.
func (pc *pgClient) handleStatement(size int, text []byte) {
	cc := pc.cc
	l := cc.l
	var a StatementInfo
	if f := pc.proto.dialect.ParseStatement(text, &a); f != nil {
		l.stats.refused++
		cc.discardInput(size)
		pc.writeError(f.Code, f.Message, "")
		return
	}
	// Danger: two txns under one id would be one to the workers, and one answer pass for the other'proto.
	if _, open := l.externalIDs[a.ID]; open {
		l.stats.refused++
		cc.discardInput(size)
		pc.writeError("42710", "this id is open already", "")
		return
	}
	if l.calls.inUse() >= l.p.cfg.ClientLimits.MaxOpenTxns {
		l.stats.overLimit++
		cc.discardInput(size)
		pc.writeError("53300", "declined: too many are open", "")
		return
	}
	if !l.admitsRequests() {
		l.stats.overLimit++
		cc.discardInput(size)
		pc.writeError("57P03", shutdownText, "")
		return
	}
	pc.startCall(size, text, &a, true)
}

// handlePipelined takes a txn handlePipelined others of its connection, and tells whether it did. One with a fault waits for its turn.
func (pc *pgClient) handlePipelined(size int, text []byte) bool {
	l := pc.cc.l
	var a StatementInfo
	if pc.proto.dialect.ParseStatement(text, &a) != nil || l.calls.inUse() >= l.p.cfg.ClientLimits.MaxOpenTxns || !l.admitsRequests() {
		return false
	}
	if _, open := l.externalIDs[a.ID]; open {
		return false
	}
	pc.startCall(size, text, &a, false)
	return true
}

// startCall makes a call of what was asked and hands it on; first: it is the one whose answer is next.
func (pc *pgClient) startCall(size int, text []byte, a *StatementInfo, first bool) {
	cc := pc.cc
	l := cc.l
	c := l.newCall()
	c.client = cc
	if first {
		cc.call = c
	} else {
		cc.pipelined = append(cc.pipelined, pipelinedCall{call: c})
	}
	c.product, c.keepAlive, c.externalID = int(a.Product), true, a.ID
	c.txn = logic.Txn{Product: a.Product, Customer: a.Customer, Key: a.Key, Cost: a.Cost, Repeat: a.Repeat,
		Expiry: max(l.now, cc.arrivalTime(size)+a.Timeout)} // one whose time is over is given up by the module
	c.request = append(c.request[:0], text...)
	c.timeoutStart, c.timeoutEnd = a.TimeoutStart, a.TimeoutEnd
	l.externalIDs[a.ID] = struct{}{}
	cc.discardInput(size)
	cc.admitCall(c)
}

// writeError answers what was never taken.
func (pc *pgClient) writeError(code, text, detail string) {
	l := pc.cc.l
	l.scratch = pgwire.AppendError(l.scratch[:0], false, code, text, detail)
	pc.cc.write(l.scratch)
}

// answerError answers a txn that was.
func (pc *pgClient) answerError(c *call, code, text, detail string) {
	l := pc.cc.l
	l.scratch = pgwire.AppendError(l.scratch[:0], false, code, text, detail)
	pc.cc.answer(c, l.scratch)
}

func (pc *pgClient) declined(c *call, after logic.Nanos) {
	detail := ""
	if after > 0 {
		detail = strconv.FormatInt(int64((after+logic.Millisecond-1)/logic.Millisecond), 10)
	}
	pc.answerError(c, "53300", "declined: trying again does no harm", detail)
}

func (pc *pgClient) voided(c *call) {
	if l := pc.cc.l; c.lastEnding == logic.TimedOut || c.lastEnding == logic.Cancelled || l.now >= c.txn.Expiry {
		pc.answerError(c, "57014", "voided: no answer in time; it may have had its effect", "")
	} else {
		pc.answerError(c, "58000", "voided: it may have had its effect", "")
	}
}

// pgWorker is a connection to a worker.
type pgWorker struct {
	wc            *workerConn
	proto         *pgProtocol
	parser        pgwire.BackendParser
	writing       bool
	startReported bool // the module has heard that an answer began
}

func (pw *pgWorker) handleOpen() { pw.wc.c.Write(pw.proto.startup) }

// writeSubmission writes a statement, with the patience that is left.
func (pw *pgWorker) writeSubmission(c *call, n int) error {
	wc := pw.wc
	l := wc.l
	pw.writing, pw.startReported = true, false
	if !pw.parser.BeginQuery() {
		return errors.New("the connection is not idle")
	}
	left := max(1, int64((c.txn.Expiry-l.now)/logic.Millisecond))
	var digits [20]byte
	l.scratch = pgwire.AppendQuery(l.scratch[:0], c.request[:c.timeoutStart], strconv.AppendInt(digits[:0], left, 10), c.request[c.timeoutEnd:])
	l.stats.bytesToWorkers += uint64(len(l.scratch))
	_, err := wc.c.Write(l.scratch)
	pw.writing = false
	return err
}

func (pw *pgWorker) hasUnsent() bool {
	return pw.writing || !pw.wc.closed && pw.wc.c.OutboundBuffered() > 0
}

// stale looks at the socket itself. Danger: a second copy of an answer that has arrived and was not read yet would pass
// for the next one.
func (pw *pgWorker) stale() bool {
	_, err := peekByte(pw.wc.c.Fd())
	return err != unix.EAGAIN
}

// answerStarted tells whether a part of an answer has come, be it unread.
func (pw *pgWorker) answerStarted() bool {
	if pw.parser.AnswerStarted() || pw.wc.c.InboundBuffered() > 0 {
		return true
	}
	n, err := peekByte(pw.wc.c.Fd())
	return err == nil && n > 0
}

func (pw *pgWorker) halfClose() bool {
	unix.Shutdown(pw.wc.c.Fd(), unix.SHUT_WR) // a connection that is gone tells so by itself
	return true
}

func (pw *pgWorker) releaseBuffers() {
	if cap(pw.parser.Answer) > 8<<10 {
		pw.parser.Answer = nil
	}
}

func (pw *pgWorker) completeOnClose(error) bool {
	if pw.wc.call == nil || !pw.parser.ErrorPending() {
		return false
	}
	pw.completeWithError(true)
	return true
}

func (pw *pgWorker) read(in []byte) bool {
	wc := pw.wc
	l := wc.l
	if len(in) == 0 {
		pw.reportAnswerStart()
		return false
	}
	size, told, err := pw.parser.Next(in)
	if err == pgwire.ErrIncomplete {
		pw.reportAnswerStart()
		return false
	}
	if err != nil {
		if wc.handshaking {
			l.stats.malformedAnswers++
			l.closeWorkerConn(wc, true)
		} else {
			wc.failMalformed()
		}
		return false
	}
	wc.c.Discard(size)
	switch told {
	case pgwire.SessionReady:
		l.ready(wc)
		return !wc.closed
	case pgwire.ValueReceived:
		pw.load()
		out := append(pw.parser.Answer, pgwire.ReadyForQuery...)
		l.complete(wc, logic.OK, out, false)
		return false
	case pgwire.ErrorReceived:
		if wc.handshaking { // too many connections: nothing was asked
			l.closeWorkerConn(wc, true)
			return false
		}
		pw.completeWithError(pw.parser.ErrorPending())
		return false
	}
	return true
}

// reportAnswerStart tells the module, once, of an answer that has begun and is not whole yet.
func (pw *pgWorker) reportAnswerStart() {
	if wc := pw.wc; wc.call != nil && !pw.startReported && pw.answerStarted() {
		pw.startReported = true
		wc.l.enqueue(event{kind: evAnswerBegun, call: wc.call, outcome: logic.Outcome{Number: wc.n}})
	}
}

// completeWithError completes a submission that was answered with an error.
func (pw *pgWorker) completeWithError(shut bool) {
	pw.load()
	e := logic.ErrorResponse
	if pw.parser.Code == "53300" {
		e = logic.Rejected
	}
	pw.wc.l.complete(pw.wc, e, nil, shut)
}

func (pw *pgWorker) load() {
	wc := pw.wc
	wc.hasLoad = pw.parser.Load != nil && pw.proto.dialect.Load(pw.parser.Load, &wc.load) && plausibleLoad(&wc.load)
}

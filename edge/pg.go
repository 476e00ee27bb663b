package edge

import (
	"errors"
	"strconv"

	"golang.org/x/sys/unix"

	"dunegrade/logic"
	"dunegrade/pgwire"
)

const (
	// probeCheckInterval is the interval at which a held readiness probe is retried.
	probeCheckInterval = 5 * logic.Millisecond
	// maxKeptAnswerBytes is the size of the largest answer buffer that is kept for reuse.
	maxKeptAnswerBytes = 8 << 10
)

// StatementInfo holds the attributes of a statement.
type StatementInfo struct {
	ID           uint64 // assigned by the client; unique among the open statements
	Product      logic.ProductID
	Customer     logic.CustomerID
	Key          logic.KeyID
	Cost         logic.Nanos
	Repeat       bool
	Timeout      logic.Nanos // counted from when the client sent the statement
	TimeoutStart int         // offset in the statement of the timeout, given as digits in whole milliseconds
	TimeoutEnd   int         // offset just past the timeout's digits
}

// Dialect parses and encodes the application's content of PostgreSQL messages. It is stateless.
type Dialect interface {
	// ParseStatement parses a statement into dst. An error is sent to the client.
	ParseStatement(statement []byte, dst *StatementInfo) *pgwire.ProtocolError
	// ParseLoad parses a load report into dst, and reports whether it is valid.
	ParseLoad(report []byte, dst *logic.Load) bool
	// EncodeStartup returns the startup message for workers and the name of the parameter that carries load reports.
	EncodeStartup() (message []byte, loadParam string)
}

// pgProtocol implements protocol for the PostgreSQL wire protocol.
type pgProtocol struct {
	dialect   Dialect
	startup   []byte // startup message sent to workers
	loadParam string // name of the parameter that carries load reports
}

func newPgProtocol(d Dialect) *pgProtocol {
	proto := &pgProtocol{dialect: d}
	proto.startup, proto.loadParam = d.EncodeStartup()
	return proto
}

func (proto *pgProtocol) newClientProtocol(cc *clientConn, reused clientProtocol) clientProtocol {
	pc, ok := reused.(*pgClient)
	if !ok {
		pc = &pgClient{}
	}
	*pc = pgClient{cc: cc, proto: proto}
	return pc
}

func (proto *pgProtocol) newWorkerProtocol(wc *workerConn, reused workerProtocol) workerProtocol {
	pw, ok := reused.(*pgWorker)
	if !ok {
		pw = &pgWorker{}
	}
	pw.wc, pw.proto, pw.writing = wc, proto, false
	pw.parser.Reset(proto.loadParam, int(wc.l.p.cfg.ClientLimits.AnswerBufferBytes))
	return pw
}

// pgClient implements clientProtocol for one PostgreSQL connection.
type pgClient struct {
	cc           *clientConn
	proto        *pgProtocol
	parser       pgwire.FrontendParser
	partialSince logic.Nanos // when part of an incomplete message was first seen; 0 when there is none
	probeSince   logic.Nanos // when a readiness probe (an empty query) was held until the edge can serve; 0 when none is held
}

func (pc *pgClient) betweenRequests() bool    { return pc.partialSince == 0 }
func (pc *pgClient) supportsPipelining() bool { return true }
func (pc *pgClient) startNextRequest()        { pc.partialSince = 0 }

// checkTimeout enforces the timeouts for the startup, for incomplete messages and for idle connections, and retries a
// held readiness probe. Idle connections get a shorter timeout while more than half of the connection limit is in use.
func (pc *pgClient) checkTimeout() (deadline logic.Nanos) {
	cc := pc.cc
	l := cc.l
	limits := &l.p.cfg.ClientLimits
	switch {
	case pc.probeSince > 0:
		pc.probeSince = 0
		cc.read()
		if cc.closed || cc.state != stateReading {
			return 0
		}
		return l.now + probeCheckInterval
	case cc.answersSent == 0 && (pc.partialSince > 0 || !pc.parser.Started()):
		if deadline = cc.openedAt + logic.Nanos(limits.HeadTimeout); deadline <= l.now {
			l.stats.refused++
			pc.closeWithError(endSlow, "08P01", "the first message came too slowly")
			return 0
		}
	case pc.partialSince > 0:
		if deadline = pc.partialSince + logic.Nanos(limits.BodyTimeout); deadline <= l.now {
			l.stats.refused++
			pc.closeWithError(endSlow, "08P01", "the message came too slowly")
			return 0
		}
	default:
		idleTimeout := limits.IdleTimeout
		if l.p.openClients.Load() > int64(limits.MaxConnections/2) {
			idleTimeout = limits.PressureIdleTimeout
		}
		if deadline = cc.stateSince + logic.Nanos(idleTimeout); deadline <= l.now {
			return cc.closeIdle()
		}
		deadline = min(deadline, l.now+logic.Nanos(limits.PressureIdleTimeout))
	}
	return deadline
}

// closeWithError sends a fatal error and closes the connection, since the input that follows cannot be trusted to start
// with a message.
func (pc *pgClient) closeWithError(reason endReason, code, text string) {
	cc := pc.cc
	l := cc.l
	cc.discardAllInput()
	l.scratch = pgwire.AppendError(l.scratch[:0], true, code, text, "")
	cc.write(l.scratch)
	cc.close(reason)
}

// shutdownText is the error message for requests that arrive too late in a drain.
const shutdownText = "the process stops: trying again elsewhere does no harm"

func (pc *pgClient) terminate(reason endReason) {
	if reason == endOverfull {
		pc.closeWithError(reason, "53300", "declined: more was sent than can be held")
		return
	}
	pc.closeWithError(reason, "57P03", shutdownText)
}

func (pc *pgClient) read(in []byte) bool {
	cc := pc.cc
	l := cc.l
	size, kind, text, err := pc.parser.Next(in)
	if cc.call != nil { // while a txn awaits its answer, only further statements are admitted; other messages wait
		if err != nil || kind != pgwire.Query {
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
		var protocolErr *pgwire.ProtocolError
		errors.As(err, &protocolErr)
		l.stats.refused++
		pc.closeWithError(endMalformed, protocolErr.Code, protocolErr.Message)
		return false
	}
	pc.partialSince = 0
	switch kind {
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
			pc.probeSince = l.now
			l.scheduleClientCheck(cc, l.now+probeCheckInterval)
			return false
		}
		cc.discardInput(size)
		cc.write(pgwire.EmptyQueryAnswer)
	case pgwire.Query:
		pc.handleStatement(size, text)
	}
	return !cc.closed
}

// refusal is the reason why a statement is not admitted.
type refusal struct {
	code, text string
	counter    *uint64 // the statistic that counts it
}

// parseAdmissible parses a statement and checks whether its txn can be admitted now. It returns the reason if not.
func (pc *pgClient) parseAdmissible(size int, text []byte, info *StatementInfo) *refusal {
	l := pc.cc.l
	if err := pc.proto.dialect.ParseStatement(text, info); err != nil {
		return &refusal{err.Code, err.Message, &l.stats.refused}
	}
	switch {
	case l.idTaken(info.ID):
		return &refusal{"42710", "this id is open already, or its client has left", &l.stats.refused}
	case l.calls.inUse() >= l.p.cfg.ClientLimits.MaxOpenTxns:
		return &refusal{"53300", "declined: too many are open", &l.stats.overLimit}
	case !pc.cc.mayTakeRequest(size):
		return &refusal{"53300", "declined: too much memory is held for clients", &l.stats.overHeldBytes}
	case !l.admitsRequests():
		return &refusal{"57P03", shutdownText, &l.stats.overLimit}
	}
	return nil
}

// handleStatement admits a statement's txn, or answers with the reason for its refusal.
func (pc *pgClient) handleStatement(size int, text []byte) {
	var info StatementInfo
	if refused := pc.parseAdmissible(size, text, &info); refused != nil {
		*refused.counter++
		pc.cc.discardInput(size)
		pc.writeError(refused.code, refused.text, "")
		return
	}
	pc.startCall(size, text, &info, true)
}

// handlePipelined admits a txn behind others of its connection, and reports whether it did. A statement that has to be
// refused stays in the input until its turn, so that its error is sent in order.
func (pc *pgClient) handlePipelined(size int, text []byte) bool {
	var info StatementInfo
	if pc.parseAdmissible(size, text, &info) != nil {
		return false
	}
	pc.startCall(size, text, &info, false)
	return true
}

// startCall creates and admits the call of a statement. isCurrent is false if other calls of the connection are answered
// first.
func (pc *pgClient) startCall(size int, text []byte, info *StatementInfo, isCurrent bool) {
	cc := pc.cc
	l := cc.l
	c := l.newCall()
	c.client = cc
	if isCurrent {
		cc.call = c
	} else {
		cc.pipelined = append(cc.pipelined, pipelinedCall{call: c})
	}
	c.product, c.keepAlive, c.externalID = int(info.Product), true, info.ID
	c.txn = logic.Txn{Product: info.Product, Customer: info.Customer, Key: info.Key, Cost: info.Cost, Repeat: info.Repeat,
		Expiry: max(l.now, cc.arrivalTime(size)+info.Timeout)} // the module gives up a txn that has already expired
	c.timeoutStart, c.timeoutEnd = info.TimeoutStart, info.TimeoutEnd
	l.externalIDs[info.ID] = struct{}{}
	c.request = cc.takeRequest(c.request[:0], text, size)
	c.accountRequest()
	cc.admitCall(c)
}

// writeError answers a statement that was not admitted.
func (pc *pgClient) writeError(code, text, detail string) {
	l := pc.cc.l
	l.scratch = pgwire.AppendError(l.scratch[:0], false, code, text, detail)
	pc.cc.write(l.scratch)
}

// answerError answers an admitted txn with an error.
func (pc *pgClient) answerError(c *call, code, text, detail string) {
	l := pc.cc.l
	l.scratch = pgwire.AppendError(l.scratch[:0], false, code, text, detail)
	pc.cc.answer(c, l.scratch)
}

func (pc *pgClient) writeDeclined(c *call, retryAfter logic.Nanos) {
	detail := ""
	if retryAfter > 0 {
		detail = strconv.FormatInt(int64((retryAfter+logic.Millisecond-1)/logic.Millisecond), 10)
	}
	pc.answerError(c, "53300", "declined: trying again does no harm", detail)
}

func (pc *pgClient) writeVoided(c *call) {
	if l := pc.cc.l; c.lastEnding == logic.TimedOut || c.lastEnding == logic.Cancelled || l.now >= c.txn.Expiry {
		pc.answerError(c, "57014", "voided: no answer in time; it may have had its effect", "")
	} else {
		pc.answerError(c, "58000", "voided: it may have had its effect", "")
	}
}

// pgWorker implements workerProtocol for one PostgreSQL connection.
type pgWorker struct {
	wc            *workerConn
	proto         *pgProtocol
	parser        pgwire.BackendParser
	writing       bool // writeSubmission is in progress
	startReported bool // whether the start of the current answer was reported to the module
}

func (pw *pgWorker) handleOpen() { pw.wc.c.Write(pw.proto.startup) }

// writeSubmission writes the call's statement with its timeout replaced by the time that remains.
func (pw *pgWorker) writeSubmission(c *call, n int) error {
	wc := pw.wc
	l := wc.l
	pw.writing, pw.startReported = true, false
	if !pw.parser.BeginQuery() {
		return errors.New("the connection is not idle")
	}
	remaining := max(1, int64((c.txn.Expiry-l.now)/logic.Millisecond))
	var digits [20]byte
	l.scratch = pgwire.AppendQuery(l.scratch[:0], c.request[:c.timeoutStart], strconv.AppendInt(digits[:0], remaining, 10), c.request[c.timeoutEnd:])
	l.stats.bytesToWorkers += uint64(len(l.scratch))
	_, err := wc.c.Write(l.scratch)
	pw.writing = false
	return err
}

func (pw *pgWorker) hasUnsent() bool {
	return pw.writing || !pw.wc.closed && pw.wc.c.OutboundBuffered() > 0
}

// stale peeks at the socket, where a duplicate of an answer may have arrived that was not read yet. It would be taken for
// the next answer.
func (pw *pgWorker) stale() bool {
	_, err := peekByte(pw.wc.c.Fd())
	return err != unix.EAGAIN
}

// answerStarted reports whether part of an answer has arrived, including bytes that were not read yet.
func (pw *pgWorker) answerStarted() bool {
	if pw.parser.AnswerStarted() || pw.wc.c.InboundBuffered() > 0 {
		return true
	}
	n, err := peekByte(pw.wc.c.Fd())
	return err == nil && n > 0
}

func (pw *pgWorker) halfClose() bool {
	unix.Shutdown(pw.wc.c.Fd(), unix.SHUT_WR) // an error is ignored: the event loop reports a broken connection
	return true
}

func (pw *pgWorker) releaseBuffers() {
	if cap(pw.parser.Answer) > maxKeptAnswerBytes {
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
	size, kind, err := pw.parser.Next(in)
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
	switch kind {
	case pgwire.SessionReady:
		l.handleReady(wc)
		return !wc.closed
	case pgwire.ValueReceived:
		pw.parseLoad()
		answer := append(pw.parser.Answer, pgwire.ReadyForQuery...)
		l.completeSubmission(wc, logic.OK, answer, false)
		return false
	case pgwire.ErrorReceived:
		if wc.handshaking { // the worker refuses the session, e.g. for too many connections; nothing was submitted
			l.closeWorkerConn(wc, true)
			return false
		}
		pw.completeWithError(pw.parser.ErrorPending())
		return false
	}
	return true
}

// reportAnswerStart reports to the module, once per submission, that an incomplete answer has started to arrive.
func (pw *pgWorker) reportAnswerStart() {
	if wc := pw.wc; wc.call != nil && !pw.startReported && pw.answerStarted() {
		pw.startReported = true
		wc.l.enqueue(event{kind: evAnswerStarted, call: wc.call, outcome: logic.Outcome{Number: wc.subIndex}})
	}
}

// completeWithError completes a submission that was answered with an error.
func (pw *pgWorker) completeWithError(workerCloses bool) {
	pw.parseLoad()
	e := logic.ErrorResponse
	if pw.parser.Code == "53300" {
		e = logic.Rejected
	}
	pw.wc.l.completeSubmission(pw.wc, e, nil, workerCloses)
}

// parseLoad parses the load report that came with the answer.
func (pw *pgWorker) parseLoad() {
	wc := pw.wc
	wc.hasLoad = pw.parser.Load != nil && pw.proto.dialect.ParseLoad(pw.parser.Load, &wc.load) && plausibleLoad(&wc.load)
}

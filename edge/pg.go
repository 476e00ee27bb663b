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

// Dialect reads what clients and workers write inside PostgreSQL's messages. It keeps no state.
type Dialect interface {
	// ParseStatement reads a statement. Its error is what the client is told.
	ParseStatement(statement []byte, to *StatementInfo) *pgwire.ProtocolError
	// Load reads a load report, and tells whether it is one.
	Load(report []byte, to *logic.Load) bool
	// EncodeStartup gives the start-up message for workers, and the name of the parameter that holds load reports.
	EncodeStartup() (message []byte, gauge string)
}

// pgProtocol is PostgreSQL's protocol behind the seam.
type pgProtocol struct {
	dialect Dialect
	hello   []byte
	gauge   string
}

func newPgProtocol(d Dialect) *pgProtocol {
	s := &pgProtocol{dialect: d}
	s.hello, s.gauge = d.EncodeStartup()
	return s
}

func (s *pgProtocol) newClientProtocol(cc *clientConn, was clientProtocol) clientProtocol {
	d, ok := was.(*pgFront)
	if !ok {
		d = &pgFront{}
	}
	*d = pgFront{cc: cc, s: s}
	return d
}

func (s *pgProtocol) newWorkerProtocol(wc *workerConn, was workerProtocol) workerProtocol {
	k, ok := was.(*pgBack)
	if !ok {
		k = &pgBack{}
	}
	k.wc, k.s, k.writing = wc, s, false
	k.from.Reset(s.gauge, int(wc.l.p.cfg.ClientLimits.AnswerBufferBytes))
	return k
}

// pgFront is a client's connection.
type pgFront struct {
	cc     *clientConn
	s      *pgProtocol
	from   pgwire.FrontendParser
	partAt logic.Nanos // when a part of a message was first seen; 0: there is none
	asksAt logic.Nanos // when it asked whether this edge can serve, which it could not; 0: it did not
}

func (d *pgFront) fresh() bool { return d.partAt == 0 }
func (d *pgFront) ahead() bool { return true }
func (d *pgFront) begin()      { d.partAt = 0 }

// waits ends a client that does not get on with its start-up, or with what it began.
func (d *pgFront) waits() (until logic.Nanos) {
	cc := d.cc
	l := cc.l
	door := &l.p.cfg.ClientLimits
	switch {
	case d.asksAt > 0:
		d.asksAt = 0
		cc.read()
		if cc.closed || cc.state != reading {
			return 0
		}
		return l.now + 5*logic.Millisecond
	case cc.served == 0 && (d.partAt > 0 || !d.from.Started()):
		if until = cc.opened + logic.Nanos(door.HeadTimeout); until <= l.now {
			l.stats.refused++
			d.end(endSlow, "08P01", "the first message came too slowly")
			return 0
		}
	case d.partAt > 0:
		if until = d.partAt + logic.Nanos(door.BodyTimeout); until <= l.now {
			l.stats.refused++
			d.end(endSlow, "08P01", "the message came too slowly")
			return 0
		}
	default:
		patience := door.IdleTimeout
		if l.p.openClients.Load() > int64(door.MaxConnections/2) {
			patience = door.PressureIdleTimeout
		}
		if until = cc.since + logic.Nanos(patience); until <= l.now {
			return cc.endIdle()
		}
		until = min(until, l.now+logic.Nanos(door.PressureIdleTimeout))
	}
	return until
}

// end tells the client what was wrong, and ends the connection: what follows cannot be trusted to be a message.
func (d *pgFront) end(why endReason, code, text string) {
	cc := d.cc
	l := cc.l
	cc.used(len(cc.input()))
	l.scratch = pgwire.AppendError(l.scratch[:0], true, code, text, "")
	cc.put(l.scratch)
	cc.close(why)
}

const stopText = "the process stops: trying again elsewhere does no harm"

func (d *pgFront) stop(why endReason) {
	if why == endOverfull {
		d.end(why, "53300", "declined: too much was sent ahead of its answers")
		return
	}
	d.end(why, "57P03", stopText)
}

func (d *pgFront) read(in []byte) bool {
	cc := d.cc
	l := cc.l
	size, want, text, err := d.from.Next(in)
	if cc.call != nil { // a txn is in hand: only another one may be taken, what else comes is answered in its turn
		if err != nil || want != pgwire.Query {
			return false
		}
		return d.behind(size, text)
	}
	if err == pgwire.ErrIncomplete {
		if d.partAt == 0 {
			d.partAt = l.now
			l.armClient(cc, min(l.now+logic.Nanos(l.p.cfg.ClientLimits.BodyTimeout), max(l.now, cc.opened+logic.Nanos(l.p.cfg.ClientLimits.HeadTimeout))))
		}
		return false
	}
	if err != nil {
		var f *pgwire.ProtocolError
		errors.As(err, &f)
		l.stats.refused++
		d.end(endMalformed, f.Code, f.Message)
		return false
	}
	d.partAt = 0
	switch want {
	case pgwire.EncryptionRequest:
		cc.used(size)
		cc.put(pgwire.NoEncryption)
	case pgwire.Startup:
		cc.used(size)
		cc.put(pgwire.StartupResponse)
		cc.since = l.now
		l.armClient(cc, l.now+logic.Nanos(l.p.cfg.ClientLimits.PressureIdleTimeout))
	case pgwire.Terminate:
		cc.used(size)
		cc.close(endByClient)
	case pgwire.EmptyQuery:
		if !l.canServe() && l.draining {
			d.stop(endDrain)
			return false
		}
		if !l.canServe() {
			d.asksAt = l.now
			l.armClient(cc, l.now+5*logic.Millisecond)
			return false
		}
		cc.used(size)
		cc.put(pgwire.EmptyQueryAnswer)
	case pgwire.Query:
		d.statement(size, text)
	}
	return !cc.closed
}

// statement hands a txn to the module, or says what is wrong with it.
func (d *pgFront) statement(size int, text []byte) {
	cc := d.cc
	l := cc.l
	var a StatementInfo
	if f := d.s.dialect.ParseStatement(text, &a); f != nil {
		l.stats.refused++
		cc.used(size)
		d.error(f.Code, f.Message, "")
		return
	}
	// Danger: two txns under one id would be one to the workers, and one answer pass for the other's.
	if _, open := l.externalIDs[a.ID]; open {
		l.stats.refused++
		cc.used(size)
		d.error("42710", "this id is open already", "")
		return
	}
	if l.calls.inUse() >= l.p.cfg.ClientLimits.MaxOpenTxns {
		l.stats.overLimit++
		cc.used(size)
		d.error("53300", "declined: too many are open", "")
		return
	}
	if !l.inDrainTime() {
		l.stats.overLimit++
		cc.used(size)
		d.error("57P03", stopText, "")
		return
	}
	d.begins(size, text, &a, true)
}

// behind takes a txn behind others of its connection, and tells whether it did. One with a fault waits for its turn.
func (d *pgFront) behind(size int, text []byte) bool {
	l := d.cc.l
	var a StatementInfo
	if d.s.dialect.ParseStatement(text, &a) != nil || l.calls.inUse() >= l.p.cfg.ClientLimits.MaxOpenTxns || !l.inDrainTime() {
		return false
	}
	if _, open := l.externalIDs[a.ID]; open {
		return false
	}
	d.begins(size, text, &a, false)
	return true
}

// begins makes a call of what was asked and hands it on; first: it is the one whose answer is next.
func (d *pgFront) begins(size int, text []byte, a *StatementInfo, first bool) {
	cc := d.cc
	l := cc.l
	c := l.newCall()
	c.client = cc
	if first {
		cc.call = c
	} else {
		cc.behind = append(cc.behind, queue{call: c})
	}
	c.product, c.keepAlive, c.externalID = int(a.Product), true, a.ID
	c.txn = logic.Txn{Product: a.Product, Customer: a.Customer, Key: a.Key, Cost: a.Cost, Repeat: a.Repeat,
		Expiry: max(l.now, cc.cameBy(size)+a.Timeout)} // one whose time is over is given up by the module
	c.request = append(c.request[:0], text...)
	c.timeoutStart, c.timeoutEnd = a.TimeoutStart, a.TimeoutEnd
	l.externalIDs[a.ID] = struct{}{}
	cc.used(size)
	cc.whole(c)
}

// error answers what was never taken.
func (d *pgFront) error(code, text, detail string) {
	l := d.cc.l
	l.scratch = pgwire.AppendError(l.scratch[:0], false, code, text, detail)
	d.cc.put(l.scratch)
}

// fails answers a txn that was.
func (d *pgFront) fails(c *call, code, text, detail string) {
	l := d.cc.l
	l.scratch = pgwire.AppendError(l.scratch[:0], false, code, text, detail)
	d.cc.answer(c, l.scratch)
}

func (d *pgFront) declined(c *call, after logic.Nanos) {
	detail := ""
	if after > 0 {
		detail = strconv.FormatInt(int64((after+logic.Millisecond-1)/logic.Millisecond), 10)
	}
	d.fails(c, "53300", "declined: trying again does no harm", detail)
}

func (d *pgFront) voided(c *call) {
	if l := d.cc.l; c.lastEnding == logic.TimedOut || c.lastEnding == logic.Cancelled || l.now >= c.txn.Expiry {
		d.fails(c, "57014", "voided: no answer in time; it may have had its effect", "")
	} else {
		d.fails(c, "58000", "voided: it may have had its effect", "")
	}
}

// pgBack is a connection to a worker.
type pgBack struct {
	wc      *workerConn
	s       *pgProtocol
	from    pgwire.BackendParser
	writing bool
	begun   bool // the module has heard that an answer began
}

func (k *pgBack) handleOpen() { k.wc.c.Write(k.s.hello) }

// writeSubmission writes a statement, with the patience that is left.
func (k *pgBack) writeSubmission(c *call, n int) error {
	wc := k.wc
	l := wc.l
	k.writing, k.begun = true, false
	if !k.from.BeginQuery() {
		return errors.New("the connection is not idle")
	}
	left := max(1, int64((c.txn.Expiry-l.now)/logic.Millisecond))
	var digits [20]byte
	l.scratch = pgwire.AppendQuery(l.scratch[:0], c.request[:c.timeoutStart], strconv.AppendInt(digits[:0], left, 10), c.request[c.timeoutEnd:])
	l.stats.bytesToWorkers += uint64(len(l.scratch))
	_, err := wc.c.Write(l.scratch)
	k.writing = false
	return err
}

func (k *pgBack) hasUnsent() bool { return k.writing || !k.wc.closed && k.wc.c.OutboundBuffered() > 0 }

// stale looks at the socket itself. Danger: a second copy of an answer that has arrived and was not read yet would pass
// for the next one.
func (k *pgBack) stale() bool {
	_, err := peekByte(k.wc.c.Fd())
	return err != unix.EAGAIN
}

// answerStarted tells whether a part of an answer has come, be it unread.
func (k *pgBack) answerStarted() bool {
	if k.from.AnswerStarted() || k.wc.c.InboundBuffered() > 0 {
		return true
	}
	n, err := peekByte(k.wc.c.Fd())
	return err == nil && n > 0
}

func (k *pgBack) halfClose() bool {
	unix.Shutdown(k.wc.c.Fd(), unix.SHUT_WR) // a connection that is gone tells so by itself
	return true
}

func (k *pgBack) releaseBuffers() {
	if cap(k.from.Answer) > 8<<10 {
		k.from.Answer = nil
	}
}

func (k *pgBack) completeOnClose(error) bool {
	if k.wc.call == nil || !k.from.ErrorPending() {
		return false
	}
	k.refused(true)
	return true
}

func (k *pgBack) read(in []byte) bool {
	wc := k.wc
	l := wc.l
	if len(in) == 0 {
		k.waits()
		return false
	}
	size, told, err := k.from.Next(in)
	if err == pgwire.ErrIncomplete {
		k.waits()
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
		k.load()
		out := append(k.from.Answer, pgwire.ReadyForQuery...)
		l.complete(wc, logic.OK, out, false)
		return false
	case pgwire.ErrorReceived:
		if wc.handshaking { // too many connections: nothing was asked
			l.closeWorkerConn(wc, true)
			return false
		}
		k.refused(k.from.ErrorPending())
		return false
	}
	return true
}

// waits tells the module, once, of an answer that has begun and is not whole yet.
func (k *pgBack) waits() {
	if wc := k.wc; wc.call != nil && !k.begun && k.answerStarted() {
		k.begun = true
		wc.l.enqueue(event{kind: evAnswerBegun, call: wc.call, outcome: logic.Outcome{Number: wc.n}})
	}
}

// refused completes a submission that was answered with an error.
func (k *pgBack) refused(shut bool) {
	k.load()
	e := logic.ErrorResponse
	if k.from.Code == "53300" {
		e = logic.Rejected
	}
	k.wc.l.complete(k.wc, e, nil, shut)
}

func (k *pgBack) load() {
	wc := k.wc
	wc.hasLoad = k.from.Load != nil && k.s.dialect.Load(k.from.Load, &wc.load) && plausibleLoad(&wc.load)
}

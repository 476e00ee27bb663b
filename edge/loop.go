package edge

import (
	"encoding/binary"
	"fmt"
	"math/rand"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"

	"dunegrade/api"
	"dunegrade/http1"
	"dunegrade/logic"
	"dunegrade/trace"
	"dunegrade/trace/tracepb"
)

const (
	keptBuffer = 64 << 10         // a buffer larger than that is not kept for reuse
	wakeGap    = time.Millisecond // wakes come no closer than that
)

// eventKind says which of the module's methods an event is for.
type eventKind uint8

const (
	evAdmit eventKind = iota
	evOutcome
	evClientLeft
	evStreaming
	evAnswerBegun
	evTimer
	evCall // anything rare, as a function
)

type event struct {
	kind    eventKind
	call    *call
	outcome logic.Outcome
	load    logic.Load
	loaded  bool
	token   uint64
	do      func(now logic.Nanos)
}

// actKind says what the module wants done.
type actKind uint8

const (
	actSubmit actKind = iota
	actCancel
	actDecline
	actVoid
	actRemind
)

type act struct {
	kind   actKind
	txn    logic.TxnID
	worker logic.WorkerID
	span   logic.Nanos
	n      int
	token  uint64
}

// loop is one event loop with the sentry that lives on it. Everything here is touched on that loop's goroutine
// alone, but for what is marked otherwise.
type loop struct {
	gnet.BuiltinEventEngine
	p         *Process
	number    int // of the sentry among all
	client    *gnet.Client
	eventLoop gnet.EventLoop
	log       *zap.Logger
	rng       *rand.Rand
	now       logic.Nanos
	sentry    *logic.Sentry
	rec       *trace.Recorder // nil: nothing is recorded
	taking    logic.TxnID     // the txn that the module is being handed; 0: none
	runID     uint64          // drawn at the start
	serial    uint64          // of the last txn

	calls        slab[call]
	externalIDs  map[uint64]struct{} // ids of the calls in hand, where clients give them
	clientConns  slab[clientConn]
	workerConns  slab[workerConn]
	pools        map[logic.WorkerID]*pool
	workerStarts map[logic.WorkerID]workerStart
	listSeen     bool // of a first list
	startsTold   bool // by the source, for each worker; 0: long past
	dialing      int
	reuse        reuse
	conns        int     // to workers, open or being opened
	starved      []*pool // that wait for one of them to end
	heldBytes    int     // bytes that came from clients and were not used yet
	timers       timerHeap

	events      []event
	acts        []act
	resumeReads []*clientConn // answered; their next request may be in hand
	pumping     bool
	depth       int // of calls from gnet within one another
	load        logic.Load

	req     http1.Request // of the moment
	resp    http1.Response
	scratch []byte
	fields  []byte

	connectTimeout, workerIdle logic.Nanos
	draining, stopping         bool
	answerDeadline             logic.Nanos   // in a drain: when what is in hand is answered at the latest
	drained                    chan struct{} // closed when no request can be read any more
	drainSignaled              bool
	closingConns               []closingConn
	closingTimerSet            bool
	spareFD                    int  // a descriptor held for when none is left; -1: none
	listed                     bool // the list of the moment has come
	voting                     bool
	stats                      stats
	shown                      atomic.Pointer[stats] // for whoever asks; any goroutine
	clientCount                atomic.Int64          // open connections of clients; any goroutine

	// Work from other goroutines, and what wakes the loop for it.
	mu     sync.Mutex
	posted []func()
	waker  net.Conn
	armed  atomic.Int64 // when the alarm goes off; 0: it does not
	rearm  chan struct{}
	lastWk logic.Nanos
	group  sync.WaitGroup // dials, votes, carriers, the alarm
	quit   chan struct{}
}

// workerStart is what tells one process from the next under its id, with its start by this host's clock.
type workerStart struct {
	stamp     int64
	address   string
	build     int
	startedAt logic.Nanos
}

func newLoop(p *Process, i int) *loop {
	number := int(p.cfg.Module["index"].(float64)) + i
	// One seed for each sentry, and nothing that two sentries share.
	seed := int64(xxhash.Sum64(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil,
		uint64(p.cfg.Seed)), uint64(number))) >> 1)
	l := &loop{p: p, number: number, log: p.log.With(zap.Int("sentry", number)), rng: rand.New(rand.NewSource(seed)),
		externalIDs: map[uint64]struct{}{}, pools: map[logic.WorkerID]*pool{}, workerStarts: map[logic.WorkerID]workerStart{}, rearm: make(chan struct{}, 1), drained: make(chan struct{}), spareFD: -1,
		startsTold: p.platform != nil, quit: make(chan struct{}), connectTimeout: logic.Nanos(p.cfg.WorkerLimits.ConnectTimeout),
		workerIdle: logic.Nanos(p.cfg.WorkerLimits.IdleTimeout), reuse: reuse{upTo: logic.Nanos(p.cfg.WorkerLimits.IdleTimeout), most: logic.Nanos(p.cfg.WorkerLimits.IdleTimeout)}}
	l.runID = xxhash.Sum64(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64([]byte(p.cfg.Name), uint64(p.epoch)), uint64(number)))
	return l
}

// start brings up the event loop and its sentry; list and news are what was known before a restart.
func (l *loop) start(list *api.WorkersEvent, news *logic.ReleaseUpdate) error {
	var err error
	l.client, err = gnet.NewClient(l, gnet.WithLogger(quiet{l.p.log}), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithReadBufferCap(64<<10), gnet.WithNumEventLoop(1))
	if err != nil {
		return err
	}
	if err := l.client.Start(); err != nil {
		return err
	}
	ours, theirs, err := wakePair()
	if err != nil {
		return err
	}
	l.waker = ours
	l.reserveFD()
	c, err := l.client.EnrollContext(theirs, wakeMark{})
	if err != nil {
		return err
	}
	l.eventLoop = c.EventLoop()
	l.group.Add(1)
	go l.alarm()
	ready := make(chan struct{})
	l.post(func() {
		l.hand(event{kind: evCall, do: func(now logic.Nanos) {
			settings := map[string]any{}
			for k, v := range l.p.cfg.Module {
				settings[k] = v
			}
			settings["index"] = float64(l.number)
			seed := l.rng.Int63()
			if err = l.record(settings); err != nil {
				return
			}
			if l.rec != nil {
				l.rec.Start(now, seed)
			}
			l.sentry = logic.New(now, seed, settings, l)
		}})
		if err != nil {
			close(ready)
			return
		}
		if list != nil {
			l.list(logic.Restored, *list)
		}
		if news != nil {
			l.tellNews(*news)
		}
		close(ready)
	})
	<-ready
	return err
}

// record opens the recorder where the plan wants one.
func (l *loop) record(settings map[string]any) (err error) {
	t := &l.p.cfg.Trace
	if t.Dir == "" {
		return nil
	}
	h := &tracepb.Header{Edge: l.p.cfg.Name, Sentry: uint32(l.number), Customers: l.p.cfg.Customers, Life: l.runID,
		Wall: time.Now().UnixNano(), Start: int64(l.p.clock())}
	switch t.Level {
	case "sampled":
		h.Level, h.OneIn = trace.LevelSampled, t.OneIn
	case "decisions":
		h.Level = trace.LevelDecisions
	}
	for i := range l.p.cfg.Products {
		h.Products = append(h.Products, l.p.cfg.Products[i].Name)
	}
	l.rec, err = trace.NewTailed(trace.Disk(t.Dir), t.TailDir, trace.Keep{SegmentBytes: t.SegmentBytes, SegmentAge: t.SegmentAge,
		TotalBytes: t.TotalBytes}, h, settings, l.log)
	return err
}

// tellList and the methods below hand rare events to the module, and record them first.
func (l *loop) tellList(mode logic.ListMode, list []logic.Worker) {
	l.hand(event{kind: evCall, do: func(now logic.Nanos) {
		if l.rec != nil {
			l.rec.List(now, mode, list)
		}
		l.sentry.UpdateWorkers(now, mode, list)
	}})
}

func (l *loop) tellNews(n logic.ReleaseUpdate) {
	l.hand(event{kind: evCall, do: func(now logic.Nanos) {
		if l.rec != nil {
			l.rec.News(now, n)
		}
		l.sentry.ReleaseUpdate(now, n)
	}})
}

func (l *loop) tellTally(t logic.Tally) {
	l.hand(event{kind: evCall, do: func(now logic.Nanos) {
		if l.rec != nil {
			l.rec.Tally(now, t)
		}
		l.sentry.Tally(now, t)
	}})
}

func (l *loop) tellContested(p logic.ProductID, w logic.WorkerID, age logic.Nanos) {
	l.hand(event{kind: evCall, do: func(now logic.Nanos) {
		if l.rec != nil {
			l.rec.Contested(now, p, w, age)
		}
		l.sentry.Contested(now, p, w, age)
	}})
}

func (l *loop) tellTold(from int, data []byte) {
	l.hand(event{kind: evCall, do: func(now logic.Nanos) {
		if l.rec != nil {
			l.rec.Told(now, from, data)
		}
		l.sentry.PeerMessage(now, from, data)
	}})
}

type wakeMark struct{}

// post runs a function on the loop. Any goroutine may call it.
func (l *loop) post(do func()) {
	l.mu.Lock()
	first := len(l.posted) == 0
	l.posted = append(l.posted, do)
	l.mu.Unlock()
	if first {
		l.wake()
	}
}

var oneByte = []byte{1}

func (l *loop) wake() {
	// Danger: a full pipe would block whoever posts; but then the loop has a wake to read already.
	l.waker.SetWriteDeadline(time.Now().Add(time.Second))
	l.waker.Write(oneByte)
}

// wakePair gives two ends of a pipe for waking a loop: ours to write, and the loop's.
func wakePair() (ours, theirs net.Conn, err error) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, nil, fmt.Errorf("socketpair: %w", err)
	}
	if ours, err = connFromFD(fds[0], nil); err != nil {
		return nil, nil, err
	}
	theirs, err = connFromFD(fds[1], nil)
	return ours, theirs, err
}

// alarm wakes the loop when its next timer is due. One a loop, ended by quit.
func (l *loop) alarm() {
	defer l.group.Done()
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		select {
		case <-l.quit:
			return
		case <-l.rearm:
			if at := l.armed.Load(); at != 0 {
				t.Reset(max(0, time.Duration(at-int64(l.p.clock()))))
			}
		case <-t.C:
			if l.armed.Swap(0) != 0 {
				l.wake()
			}
		}
	}
}

// enter notes the time; every call from gnet begins with it.
func (l *loop) enter() {
	l.now = l.p.clock()
	l.depth++
}

// leave runs what is due and sets the alarm for what comes next; every call from gnet ends with it.
func (l *loop) leave() {
	l.due()
	l.checkDrained()
	l.depth--
	if len(l.timers) == 0 {
		return
	}
	at := int64(max(l.timers[0].at, l.lastWk+logic.Nanos(wakeGap)))
	if armed := l.armed.Load(); armed == 0 || at < armed {
		l.armed.Store(at)
		select {
		case l.rearm <- struct{}{}:
		default:
		}
	}
}

// due runs the timers whose time has come, and drops those that no longer matter.
func (l *loop) due() {
	for len(l.timers) > 0 {
		t := l.timers[0]
		if t.at > l.now && !l.stale(t) {
			return
		}
		l.timers.pop()
		if t.at > l.now || l.stale(t) {
			continue
		}
		l.fire(t)
		l.processEvents()
	}
}

// stale tells whether what a timer was set for has ended.
func (l *loop) stale(t timer) bool {
	switch t.kind {
	case timerExpiry, timerHalfClose, subEnd, connWait:
		c := l.callOf(logic.TxnID(t.token))
		return c == nil || t.kind != timerExpiry && t.kind != timerHalfClose && c.subs[t.n].state == subOver
	case remind: // about a txn that is over: the module has nothing to do
		return t.of != 0 && l.callOf(t.of) == nil
	}
	return false
}

func (l *loop) fire(t timer) {
	switch t.kind {
	case remind:
		if t.token == 0 { // the module's beat
			l.show()
			if l.rec != nil {
				l.rec.Flush(l.now)
			}
		}
		l.enqueue(event{kind: evTimer, token: t.token})
	case timerExpiry:
		l.expired(l.callOf(logic.TxnID(t.token)))
	case timerHalfClose:
		l.lastCall(l.callOf(logic.TxnID(t.token)))
	case subEnd:
		l.stop(l.callOf(logic.TxnID(t.token)), int(t.n), logic.TimedOut)
	case connWait:
		if c := l.callOf(logic.TxnID(t.token)); c.subs[t.n].state == subWaiting {
			l.endSubmission(c, int(t.n), logic.ConnectFailed, nil)
		}
	case timerClientConn:
		if cc := l.clientByToken(t.token); cc != nil {
			cc.armed = 0
			l.checkClient(cc)
		}
	case timerClosingConns:
		l.checkClosing()
	case timerDrainEnd:
		l.endDrain()
	case workerAt:
		if wc := l.workerOf(t.token); wc != nil {
			wc.armed = 0
			l.lookAtWorker(wc)
		}
	}
}

// expired ends what is out of a call whose client gives up, so that the module answers at once.
func (l *loop) expired(c *call) {
	id := c.id()
	for n := 0; n < c.n; n++ {
		l.stop(c, n, logic.TimedOut)
	}
	l.processEvents()
	if c = l.callOf(id); c != nil && c.admitted && !c.answered && !c.clientLeft {
		// Danger: a txn that the module holds with nothing out would never be answered.
		l.stats.hostVoided++
		l.log.Error("txn held past its expiry, voided by the host", zap.Uint64("txn", uint64(c.id())))
		l.enqueue(event{kind: evClientLeft, call: c})
		l.respondVoided(c)
		l.processEvents()
	}
}

// enqueue lines up an event for the module; pump hands it over.
func (l *loop) enqueue(e event) {
	if e.call != nil {
		e.call.pending++
	}
	l.events = append(l.events, e)
}

// processEvents hands queued events to the module, one by one, and does what it decides before the next.
// Danger: doing what was decided can end connections, and so bring events, in the middle of a decision; they wait here.
func (l *loop) processEvents() {
	if l.pumping {
		return
	}
	l.pumping = true
	for len(l.events) > 0 || len(l.resumeReads) > 0 {
		for i := 0; i < len(l.events); i++ {
			l.hand(l.events[i])
		}
		l.events = l.events[:0]
		for i := 0; i < len(l.resumeReads); i++ {
			if cc := l.resumeReads[i]; !cc.closed {
				cc.read()
			}
		}
		l.resumeReads = l.resumeReads[:0]
	}
	if l.rec != nil {
		l.rec.Settle()
	}
	l.pumping = false
}

// hand gives one event to the module and does what it decides.
func (l *loop) hand(e event) {
	c := e.call
	switch e.kind {
	case evAdmit:
		if l.rec != nil {
			c.traced = l.rec.Take(l.now, &c.txn, c.serial, c.traceID[0], c.traceID[1])
		}
		l.taking = c.id() // what it wants to be reminded of now is this txn
		l.sentry.Take(l.now, c.txn)
		l.taking = 0
	case evOutcome:
		if e.loaded {
			l.load = e.load
			e.outcome.Load = &l.load
		}
		if c.traced {
			l.rec.Outcome(l.now, &e.outcome, c.status)
			c.status = 0
		}
		l.sentry.Outcome(l.now, e.outcome)
	case evClientLeft:
		if c.traced {
			l.rec.Event(l.now, tracepb.Kind_LEFT, c.id(), 0, 0, 0)
		}
		l.sentry.ClientLeft(l.now, c.id())
	case evStreaming:
		if c.traced {
			l.rec.Event(l.now, tracepb.Kind_STREAMING, c.id(), e.outcome.Number, 0, 0)
		}
		l.sentry.StreamStarted(l.now, c.id(), e.outcome.Number)
	case evAnswerBegun: // not recorded: no protocol that is has it
		l.sentry.ResponseStarted(l.now, c.id(), e.outcome.Number)
	case evTimer:
		if l.rec != nil {
			l.rec.Event(l.now, tracepb.Kind_TIMER, 0, 0, e.token, 0)
		}
		l.sentry.TimerFired(l.now, e.token)
	case evCall:
		e.do(l.now)
	}
	for i := 0; i < len(l.acts); i++ {
		l.perform(l.acts[i])
	}
	l.acts = l.acts[:0]
	if c != nil {
		c.pending--
		l.releaseCall(c)
	}
}

// perform does one thing that the module decided.
func (l *loop) perform(a act) {
	if a.kind == actRemind {
		l.timers.push(timer{at: l.now + a.span, token: a.token, kind: remind, of: a.txn})
		return
	}
	c := l.callOf(a.txn)
	if c == nil {
		return
	}
	switch a.kind {
	case actSubmit:
		l.send(c, a.worker, a.span)
	case actCancel:
		if a.n >= 0 && a.n < c.n {
			l.stop(c, a.n, logic.Cancelled)
		}
	case actDecline:
		l.respondDeclined(c, a.span)
	case actVoid:
		l.respondVoided(c)
	}
}

// The methods below are the module's Sink. They only note what is wanted: it is done when the module is through.

// Submit is a part of logic.Sink, as are the methods below.
func (l *loop) Submit(t logic.TxnID, w logic.WorkerID, timeout logic.Nanos) {
	if l.traced(t) {
		l.rec.Submit(l.now, t, w, timeout)
	}
	l.acts = append(l.acts, act{kind: actSubmit, txn: t, worker: w, span: timeout})
}
func (l *loop) Cancel(t logic.TxnID, number int) {
	if l.traced(t) {
		l.rec.Event(l.now, tracepb.Kind_CANCEL, t, number, 0, 0)
	}
	l.acts = append(l.acts, act{kind: actCancel, txn: t, n: number})
}
func (l *loop) Decline(t logic.TxnID, retryAfter logic.Nanos) {
	if l.traced(t) {
		l.rec.Event(l.now, tracepb.Kind_DECLINE, t, 0, 0, uint64(retryAfter))
	}
	l.acts = append(l.acts, act{kind: actDecline, txn: t, span: retryAfter})
}
func (l *loop) Void(t logic.TxnID) {
	if l.traced(t) {
		l.rec.Event(l.now, tracepb.Kind_VOID, t, 0, 0, 0)
	}
	l.acts = append(l.acts, act{kind: actVoid, txn: t})
}
func (l *loop) SetTimer(after logic.Nanos, token uint64) {
	if l.rec != nil {
		l.rec.Event(l.now, tracepb.Kind_REMIND, 0, 0, token, uint64(after))
	}
	of := l.taking
	if token == 0 { // the beat is about no txn
		of = 0
	}
	l.acts = append(l.acts, act{kind: actRemind, span: after, token: token, txn: of})
}
func (l *loop) Vote(v logic.Verdict, rel logic.RelID, stage int) {
	if l.rec != nil {
		l.rec.Event(l.now, tracepb.Kind_VOTE, 0, int(v), uint64(rel), uint64(stage))
	}
	l.vote(v, rel, stage)
}
func (l *loop) WatchWorkers() {
	if l.rec != nil {
		l.rec.Event(l.now, tracepb.Kind_WATCH, 0, 0, 0, 0)
	}
	l.p.source.Refresh()
}
func (l *loop) SendToPeer(to int, data []byte) {
	if l.rec != nil {
		l.rec.Tell(l.now, to, data)
	}
	l.p.tell(l.number, to, data)
}
func (l *loop) Log(text string) {
	if l.rec != nil {
		l.rec.Log(l.now, text)
	}
	l.log.Info(text)
}

// traced tells whether a txn is recorded.
func (l *loop) traced(t logic.TxnID) bool {
	if l.rec == nil {
		return false
	}
	c := l.callOf(t)
	return c != nil && c.traced
}

// ---- gnet's side ----

// OnOpen takes a new connection, of a client or to a worker.
func (l *loop) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	l.enter()
	switch ctx := c.Context().(type) {
	case *acceptedClient:
		l.openClient(c, ctx)
	case *pool:
		l.openWorker(c, ctx)
	case *returnedWorker:
		ctx.pool.conns++
		l.conns++
		ctx.pool.dialing++
		l.dialing++
		l.openWorker(c, ctx.pool)
	}
	l.processEvents()
	l.leave()
	return nil, gnet.None
}

// OnTraffic takes bytes.
func (l *loop) OnTraffic(c gnet.Conn) gnet.Action {
	l.enter()
	switch ctx := c.Context().(type) {
	case *clientConn:
		ctx.recordArrival()
		ctx.read()
	case *workerConn:
		ctx.read()
	case wakeMark:
		c.Discard(-1)
		l.lastWk = l.now
		l.mu.Lock()
		todo := l.posted
		l.posted = nil
		l.mu.Unlock()
		for _, do := range todo {
			do()
			l.processEvents()
		}
	}
	l.processEvents()
	l.leave()
	return gnet.None
}

// OnClose takes the end of a connection.
func (l *loop) OnClose(c gnet.Conn, err error) gnet.Action {
	outer := l.depth == 0
	if outer {
		l.enter()
	}
	switch ctx := c.Context().(type) {
	case *clientConn:
		if !ctx.closed {
			ctx.gone(l.endReasonOf(err))
		}
	case *workerConn:
		if !ctx.closed {
			ctx.gone(err)
		}
	}
	// Danger: a write that fails closes its connection in the middle of whatever wrote; what follows waits till that
	// is through.
	if outer {
		l.processEvents()
		l.leave()
	}
	return gnet.None
}

// halt ends the loop: what it still holds is cut. Call it from outside, once, when nothing more is handed in.
func (l *loop) halt() {
	done := make(chan struct{})
	l.post(func() { l.stopping = true; close(done) })
	<-done
	close(l.quit)
	l.group.Wait() // dials and carriers come back to a loop that still runs
	l.client.Stop()
	l.closeAllClosing()
	l.waker.Close()
	if l.rec != nil {
		l.rec.Close(l.p.clock())
	}
}

// quiet passes gnet's own lines on as debug: what matters is logged by whoever decides on it.
type quiet struct{ log *zap.Logger }

func (q quiet) Debugf(format string, args ...any) { q.log.Sugar().Debugf(format, args...) }
func (q quiet) Infof(format string, args ...any)  { q.log.Sugar().Debugf(format, args...) }
func (q quiet) Warnf(format string, args ...any)  { q.log.Sugar().Debugf(format, args...) }
func (q quiet) Errorf(format string, args ...any) { q.log.Sugar().Debugf(format, args...) }
func (q quiet) Fatalf(format string, args ...any) { q.log.Sugar().Errorf(format, args...) }

var _ logic.Sink = (*loop)(nil)

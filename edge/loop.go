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
	maxReusedBuffer = 64 << 10         // size in bytes above which a buffer is freed rather than kept for reuse
	minWakeInterval = time.Millisecond // minimum time between two wake-ups of a loop by its timers
)

// eventKind selects the decision module's method that an event is passed to.
type eventKind uint8

const (
	evAdmit eventKind = iota
	evOutcome
	evClientLeft
	evStreamStarted
	evAnswerStarted
	evTimer
	evFunc // runs a function, for rare events
)

// event is an event queued for the decision module. Which fields are set depends on the kind.
type event struct {
	kind    eventKind
	call    *call
	outcome logic.Outcome
	load    logic.Load
	hasLoad bool
	token   uint64
	run     func(now logic.Nanos)
}

// actionKind is the kind of an action that the module has decided on.
type actionKind uint8

const (
	actionSubmit actionKind = iota
	actionCancel
	actionDecline
	actionVoid
	actionSetTimer
)

// action is one decision of the module that the loop has yet to carry out.
type action struct {
	kind     actionKind
	txn      logic.TxnID
	worker   logic.WorkerID
	duration logic.Nanos
	subIndex int
	token    uint64
}

// loop is one event loop and the sentry that runs on it. Its fields are accessed only on the loop's goroutine, unless
// marked otherwise.
type loop struct {
	gnet.BuiltinEventEngine
	p           *Process
	sentryIndex int // index of this sentry among the sentries of all edges
	client      *gnet.Client
	eventLoop   gnet.EventLoop
	log         *zap.Logger
	rng         *rand.Rand
	now         logic.Nanos // time at the start of the current callback
	sentry      *logic.Sentry
	recorder    *trace.Recorder // nil when traces are off
	admitting   logic.TxnID     // the txn that is being passed to the module; 0 when none is
	runID       uint64          // identifies this run of the sentry; derived from name, start time and index
	serial      uint64          // serial number of the last txn

	calls       slab[call]
	externalIDs map[uint64]struct{} // the clients' ids of the open calls, for protocols that have them
	clientConns slab[clientConn]
	workerConns slab[workerConn]

	pools              map[logic.WorkerID]*pool
	workerStarts       map[logic.WorkerID]workerStart
	listSeen           bool       // whether a worker list has been applied, also a restored one
	startTimesReported bool       // whether the source reports each worker's start; a missing one then means long ago
	numDialing         int        // worker connections being opened
	reuseLimit         reuseLimit // limits how long an idle worker connection may be reused
	numConns           int        // worker connections, open or being opened
	dialQueue          []*pool    // pools whose submissions wait for connections to be opened, in the order of service
	heldPools          []*pool    // buffer of openQueuedConns
	roomChanged        bool       // whether openQueuedConns may be able to open connections
	heldBytes          int        // bytes received from clients and not consumed yet
	timers             timerHeap

	events        []event
	actions       []action
	resumeReads   []*clientConn // connections just answered, whose next request may have been received
	processing    bool          // whether processEvents is running
	callbackDepth int           // nesting depth of callbacks from gnet
	load          logic.Load    // the load report of the outcome being dispatched

	// Buffers reused between callbacks.
	req     http1.Request
	resp    http1.Response
	scratch []byte
	fields  []byte

	connectTimeout    logic.Nanos
	workerIdleTimeout logic.Nanos
	draining          bool
	stopping          bool
	answerDeadline    logic.Nanos   // in a drain: time by which all open txns are answered
	drained           chan struct{} // closed when no request can be read any more
	drainSignaled     bool          // whether drained is closed
	closingConns      []closingConn
	closingTimerSet   bool
	spareFD           int  // the reserve descriptor of reserveFD; -1 when there is none
	listCurrent       bool // whether a worker list from the source has been applied
	voteInFlight      bool
	stats             stats
	statsSnapshot     atomic.Pointer[stats] // copy of stats for readers on any goroutine
	clientCount       atomic.Int64          // open client connections; read and written by any goroutine

	// Functions posted by other goroutines, and the means of waking the loop to run them or its timers.
	mu           sync.Mutex // guards postedFuncs
	postedFuncs  []func()
	wakeConn     net.Conn       // a byte written here wakes the loop
	alarmAt      atomic.Int64   // when runAlarm wakes the loop; 0 when no alarm is set
	alarmChanged chan struct{}  // signals a change of alarmAt to runAlarm
	lastWake     logic.Nanos    // when the loop was last woken
	group        sync.WaitGroup // goroutines of dials, votes, relays and runAlarm
	quit         chan struct{}  // closed by halt
}

// workerStart identifies one process of a worker id, so that a replacement under the same id is recognized.
type workerStart struct {
	reported  int64 // start time as reported, by the platform's clock; 0 when none was reported
	address   string
	build     int
	startedAt logic.Nanos // start time by the local clock; 0 when long ago
}

// newLoop returns the process's loop i, not yet started.
func newLoop(p *Process, i int) *loop {
	sentryIndex := int(p.cfg.ModuleSettings["index"].(float64)) + i
	// Each sentry has a seed of its own, so that no two share a random sequence.
	seed := int64(xxhash.Sum64(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil,
		uint64(p.cfg.Seed)), uint64(sentryIndex))) >> 1)
	l := &loop{p: p, sentryIndex: sentryIndex, log: p.log.With(zap.Int("sentry", sentryIndex)), rng: rand.New(rand.NewSource(seed)),
		externalIDs: map[uint64]struct{}{}, pools: map[logic.WorkerID]*pool{}, workerStarts: map[logic.WorkerID]workerStart{},
		alarmChanged: make(chan struct{}, 1), drained: make(chan struct{}), spareFD: -1,
		startTimesReported: p.platform != nil, quit: make(chan struct{}), connectTimeout: logic.Nanos(p.cfg.WorkerLimits.ConnectTimeout),
		workerIdleTimeout: logic.Nanos(p.cfg.WorkerLimits.IdleTimeout),
		reuseLimit:        reuseLimit{idleLimit: logic.Nanos(p.cfg.WorkerLimits.IdleTimeout), maxIdle: logic.Nanos(p.cfg.WorkerLimits.IdleTimeout)}}
	l.runID = xxhash.Sum64(binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64([]byte(p.cfg.Name), uint64(p.epoch)), uint64(sentryIndex)))
	return l
}

// start starts the event loop and its sentry. list and update are the state to begin with, or nil.
func (l *loop) start(list *api.WorkersEvent, update *logic.ReleaseUpdate) error {
	var err error
	l.client, err = gnet.NewClient(l, gnet.WithLogger(gnetLogger{l.p.log}), gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithReadBufferCap(64<<10), gnet.WithNumEventLoop(1))
	if err != nil {
		return err
	}
	if err := l.client.Start(); err != nil {
		return err
	}
	ours, theirs, err := newWakePair()
	if err != nil {
		return err
	}
	l.wakeConn = ours
	l.reserveFD()
	c, err := l.client.EnrollContext(theirs, wakeContext{})
	if err != nil {
		return err
	}
	l.eventLoop = c.EventLoop()
	l.group.Add(1)
	go l.runAlarm()
	ready := make(chan struct{})
	l.post(func() {
		l.dispatch(event{kind: evFunc, run: func(now logic.Nanos) {
			settings := map[string]any{}
			for k, v := range l.p.cfg.ModuleSettings {
				settings[k] = v
			}
			settings["index"] = float64(l.sentryIndex)
			seed := l.rng.Int63()
			if err = l.openRecorder(settings); err != nil {
				return
			}
			if l.recorder != nil {
				l.recorder.Start(now, seed)
			}
			l.sentry = logic.New(now, seed, settings, l)
		}})
		if err != nil {
			close(ready)
			return
		}
		if list != nil {
			l.applyWorkerList(logic.Restored, *list)
		}
		if update != nil {
			l.deliverRelease(*update)
		}
		close(ready)
	})
	<-ready
	return err
}

// openRecorder opens the trace recorder if the configuration has a directory for traces.
func (l *loop) openRecorder(settings map[string]any) (err error) {
	t := &l.p.cfg.Trace
	if t.Dir == "" {
		return nil
	}
	h := &tracepb.Header{Edge: l.p.cfg.Name, Sentry: uint32(l.sentryIndex), Customers: l.p.cfg.Customers, Life: l.runID,
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
	l.recorder, err = trace.NewRecorderWithTail(trace.OSDirectory(t.Dir), t.TailDir, trace.Retention{SegmentBytes: t.SegmentBytes, SegmentAge: t.SegmentAge,
		TotalBytes: t.TotalBytes}, h, settings, l.log)
	return err
}

// deliverWorkers, like the other deliver methods below, records an event in the trace and passes it to the module.
func (l *loop) deliverWorkers(mode logic.ListMode, list []logic.Worker) {
	l.dispatch(event{kind: evFunc, run: func(now logic.Nanos) {
		if l.recorder != nil {
			l.recorder.UpdateWorkers(now, mode, list)
		}
		l.sentry.UpdateWorkers(now, mode, list)
	}})
}

func (l *loop) deliverRelease(u logic.ReleaseUpdate) {
	l.dispatch(event{kind: evFunc, run: func(now logic.Nanos) {
		if l.recorder != nil {
			l.recorder.ReleaseUpdate(now, u)
		}
		l.sentry.ReleaseUpdate(now, u)
	}})
}

func (l *loop) deliverTally(t logic.Tally) {
	l.dispatch(event{kind: evFunc, run: func(now logic.Nanos) {
		if l.recorder != nil {
			l.recorder.Tally(now, t)
		}
		l.sentry.Tally(now, t)
	}})
}

func (l *loop) deliverContested(p logic.ProductID, w logic.WorkerID, age logic.Nanos) {
	l.dispatch(event{kind: evFunc, run: func(now logic.Nanos) {
		if l.recorder != nil {
			l.recorder.Contested(now, p, w, age)
		}
		l.sentry.Contested(now, p, w, age)
	}})
}

func (l *loop) deliverPeerMessage(sender int, data []byte) {
	l.dispatch(event{kind: evFunc, run: func(now logic.Nanos) {
		if l.recorder != nil {
			l.recorder.PeerMessage(now, sender, data)
		}
		l.sentry.PeerMessage(now, sender, data)
	}})
}

// wakeContext is the gnet context of the loop's end of the wake-up socket pair.
type wakeContext struct{}

// post runs a function on the loop's goroutine. Any goroutine may call it.
func (l *loop) post(do func()) {
	l.mu.Lock()
	first := len(l.postedFuncs) == 0
	l.postedFuncs = append(l.postedFuncs, do)
	l.mu.Unlock()
	if first {
		l.wake()
	}
}

// wakeByte is written to wakeConn to wake the loop.
var wakeByte = []byte{1}

// wake wakes the loop. Any goroutine may call it.
func (l *loop) wake() {
	// A full socket buffer would block the caller, so the write has a deadline. A write that times out does no harm, as the
	// bytes in the buffer still wake the loop.
	l.wakeConn.SetWriteDeadline(time.Now().Add(time.Second))
	l.wakeConn.Write(wakeByte)
}

// newWakePair returns a socket pair for waking a loop: ours is written to, theirs is read by the loop.
func newWakePair() (ours, theirs net.Conn, err error) {
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

// runAlarm wakes the loop when its next timer is due. Each loop has one such goroutine, which ends when quit is closed.
func (l *loop) runAlarm() {
	defer l.group.Done()
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		select {
		case <-l.quit:
			return
		case <-l.alarmChanged:
			if at := l.alarmAt.Load(); at != 0 {
				t.Reset(max(0, time.Duration(at-int64(l.p.clock()))))
			}
		case <-t.C:
			if l.alarmAt.Swap(0) != 0 {
				l.wake()
			}
		}
	}
}

// beginCallback updates the loop's time. Every callback from gnet begins with it.
func (l *loop) beginCallback() {
	l.now = l.p.clock()
	l.callbackDepth++
}

// endCallback runs the due timers, opens the worker connections that are needed, and sets the alarm for the next timer. Every
// callback from gnet ends with it.
func (l *loop) endCallback() {
	l.runDueTimers()
	l.openQueuedConns()
	l.checkDrained()
	l.callbackDepth--
	if len(l.timers) == 0 {
		return
	}
	at := int64(max(l.timers[0].at, l.lastWake+logic.Nanos(minWakeInterval)))
	if alarmAt := l.alarmAt.Load(); alarmAt == 0 || at < alarmAt {
		l.alarmAt.Store(at)
		select {
		case l.alarmChanged <- struct{}{}:
		default:
		}
	}
}

// runDueTimers fires the timers that are due and removes obsolete ones from the top of the heap.
func (l *loop) runDueTimers() {
	for len(l.timers) > 0 {
		t := l.timers[0]
		if t.at > l.now && !l.timerObsolete(t) {
			return
		}
		l.timers.pop()
		if t.at > l.now || l.timerObsolete(t) {
			continue
		}
		l.fireTimer(t)
		l.processEvents()
	}
}

// timerObsolete reports whether the txn or submission that a timer was set for has ended.
func (l *loop) timerObsolete(t timer) bool {
	switch t.kind {
	case timerExpiry, timerHalfClose, timerSubTimeout, timerConnWait:
		c := l.findCall(logic.TxnID(t.token))
		return c == nil || t.kind != timerExpiry && t.kind != timerHalfClose && c.subs[t.subIndex].state == subEnded
	case timerModule: // a timer for a txn that has ended has no effect in the module
		return t.txnID != 0 && l.findCall(t.txnID) == nil
	}
	return false
}

// fireTimer handles a timer that is due and still applies.
func (l *loop) fireTimer(t timer) {
	switch t.kind {
	case timerModule:
		if t.token == 0 { // the module's housekeeping tick
			l.publishStats()
			if l.recorder != nil {
				l.recorder.FlushStale(l.now)
			}
		}
		l.enqueue(event{kind: evTimer, token: t.token})
	case timerExpiry:
		l.expireCall(l.findCall(logic.TxnID(t.token)))
	case timerHalfClose:
		l.halfCloseOutstanding(l.findCall(logic.TxnID(t.token)))
	case timerSubTimeout:
		l.stopSubmission(l.findCall(logic.TxnID(t.token)), int(t.subIndex), logic.TimedOut)
	case timerConnWait:
		if c := l.findCall(logic.TxnID(t.token)); c.subs[t.subIndex].state == subWaiting {
			l.endSubmission(c, int(t.subIndex), logic.ConnectFailed, nil)
		}
	case timerClientConn:
		if cc := l.clientByToken(t.token); cc != nil {
			cc.checkAt = 0
			l.checkClient(cc)
		}
	case timerClosingConns:
		l.checkClosing()
	case timerDrainEnd:
		l.finishDrain()
	case timerWorkerConn:
		if wc := l.workerByToken(t.token); wc != nil {
			wc.checkAt = 0
			l.checkWorkerConn(wc)
		}
	}
}

// expireCall ends the outstanding submissions of a call at its expiry, so that the module answers it at once.
func (l *loop) expireCall(c *call) {
	id := c.id()
	for n := 0; n < c.numSubs; n++ {
		l.stopSubmission(c, n, logic.TimedOut)
	}
	l.processEvents()
	if c = l.findCall(id); c != nil && c.admitted && !c.answered && !c.clientLeft {
		// The module still holds the txn although no submission is outstanding. Without this, the client would get no answer.
		l.stats.hostVoided++
		l.log.Error("txn held past its expiry, voided by the host", zap.Uint64("txn", uint64(c.id())))
		l.enqueue(event{kind: evClientLeft, call: c})
		l.respondVoided(c)
		l.processEvents()
	}
}

// enqueue appends an event to the queue for the module. processEvents processes the queue.
func (l *loop) enqueue(e event) {
	if e.call != nil {
		e.call.pendingEvents++
	}
	l.events = append(l.events, e)
}

// processEvents passes queued events to the module one by one, and executes the actions of each before the next event.
// Executing an action can end connections and so cause further events; these are queued, so that calls into the module don't
// nest.
func (l *loop) processEvents() {
	if l.processing {
		return
	}
	l.processing = true
	for len(l.events) > 0 || len(l.resumeReads) > 0 {
		for i := 0; i < len(l.events); i++ {
			l.dispatch(l.events[i])
		}
		l.events = l.events[:0]
		for i := 0; i < len(l.resumeReads); i++ {
			if cc := l.resumeReads[i]; !cc.closed {
				cc.read()
			}
		}
		l.resumeReads = l.resumeReads[:0]
	}
	if l.recorder != nil {
		l.recorder.WritePending()
	}
	l.processing = false
}

// dispatch passes one event to the module and executes the resulting actions.
func (l *loop) dispatch(e event) {
	c := e.call
	switch e.kind {
	case evAdmit:
		if l.recorder != nil {
			c.traced = l.recorder.Take(l.now, &c.txn, c.serial, c.traceID[0], c.traceID[1])
		}
		l.admitting = c.id() // timers that the module sets during this call are for this txn
		l.sentry.Take(l.now, c.txn)
		l.admitting = 0
	case evOutcome:
		if e.hasLoad {
			l.load = e.load
			e.outcome.Load = &l.load
		}
		if c.traced {
			l.recorder.Outcome(l.now, &e.outcome, c.status)
			c.status = 0
		}
		l.sentry.Outcome(l.now, e.outcome)
	case evClientLeft:
		if c.traced {
			l.recorder.Event(l.now, tracepb.Kind_LEFT, c.id(), 0, 0, 0)
		}
		l.sentry.ClientLeft(l.now, c.id())
	case evStreamStarted:
		if c.traced {
			l.recorder.Event(l.now, tracepb.Kind_STREAMING, c.id(), e.outcome.Number, 0, 0)
		}
		l.sentry.StreamStarted(l.now, c.id(), e.outcome.Number)
	case evAnswerStarted: // not recorded: no protocol with traces has this event
		l.sentry.ResponseStarted(l.now, c.id(), e.outcome.Number)
	case evTimer:
		if l.recorder != nil {
			l.recorder.Event(l.now, tracepb.Kind_TIMER, 0, 0, e.token, 0)
		}
		l.sentry.TimerFired(l.now, e.token)
	case evFunc:
		e.run(l.now)
	}
	for i := 0; i < len(l.actions); i++ {
		l.execute(l.actions[i])
	}
	l.actions = l.actions[:0]
	if c != nil {
		c.pendingEvents--
		l.releaseCall(c)
	}
}

// execute carries out one action of the module.
func (l *loop) execute(a action) {
	if a.kind == actionSetTimer {
		l.timers.push(timer{at: l.now + a.duration, token: a.token, kind: timerModule, txnID: a.txn})
		return
	}
	c := l.findCall(a.txn)
	if c == nil {
		return
	}
	switch a.kind {
	case actionSubmit:
		l.startSubmission(c, a.worker, a.duration)
	case actionCancel:
		if a.subIndex >= 0 && a.subIndex < c.numSubs {
			l.stopSubmission(c, a.subIndex, logic.Cancelled)
		}
	case actionDecline:
		l.respondDeclined(c, a.duration)
	case actionVoid:
		l.respondVoided(c)
	}
}

// The following methods implement logic.Sink. Actions on txns and timers are only queued, and executed once the module's
// method has returned.

// Submit implements logic.Sink.
func (l *loop) Submit(t logic.TxnID, w logic.WorkerID, timeout logic.Nanos) {
	if l.traced(t) {
		l.recorder.Submit(l.now, t, w, timeout)
	}
	l.actions = append(l.actions, action{kind: actionSubmit, txn: t, worker: w, duration: timeout})
}

// Cancel implements logic.Sink.
func (l *loop) Cancel(t logic.TxnID, number int) {
	if l.traced(t) {
		l.recorder.Event(l.now, tracepb.Kind_CANCEL, t, number, 0, 0)
	}
	l.actions = append(l.actions, action{kind: actionCancel, txn: t, subIndex: number})
}

// Decline implements logic.Sink.
func (l *loop) Decline(t logic.TxnID, retryAfter logic.Nanos) {
	if l.traced(t) {
		l.recorder.Event(l.now, tracepb.Kind_DECLINE, t, 0, 0, uint64(retryAfter))
	}
	l.actions = append(l.actions, action{kind: actionDecline, txn: t, duration: retryAfter})
}

// Void implements logic.Sink.
func (l *loop) Void(t logic.TxnID) {
	if l.traced(t) {
		l.recorder.Event(l.now, tracepb.Kind_VOID, t, 0, 0, 0)
	}
	l.actions = append(l.actions, action{kind: actionVoid, txn: t})
}

// SetTimer implements logic.Sink.
func (l *loop) SetTimer(after logic.Nanos, token uint64) {
	if l.recorder != nil {
		l.recorder.Event(l.now, tracepb.Kind_REMIND, 0, 0, token, uint64(after))
	}
	id := l.admitting
	if token == 0 { // the housekeeping tick belongs to no txn
		id = 0
	}
	l.actions = append(l.actions, action{kind: actionSetTimer, duration: after, token: token, txn: id})
}

// Vote implements logic.Sink.
func (l *loop) Vote(v logic.Verdict, rel logic.RelID, stage int) {
	if l.recorder != nil {
		l.recorder.Event(l.now, tracepb.Kind_VOTE, 0, int(v), uint64(rel), uint64(stage))
	}
	l.castVote(v, rel, stage)
}

// WatchWorkers implements logic.Sink.
func (l *loop) WatchWorkers() {
	if l.recorder != nil {
		l.recorder.Event(l.now, tracepb.Kind_WATCH, 0, 0, 0, 0)
	}
	l.p.source.Refresh()
}

// SendToPeer implements logic.Sink.
func (l *loop) SendToPeer(receiver int, data []byte) {
	if l.recorder != nil {
		l.recorder.SendToPeer(l.now, receiver, data)
	}
	l.p.sendToPeer(l.sentryIndex, receiver, data)
}

// Log implements logic.Sink.
func (l *loop) Log(text string) {
	if l.recorder != nil {
		l.recorder.Log(l.now, text)
	}
	l.log.Info(text)
}

// traced reports whether a txn is recorded.
func (l *loop) traced(t logic.TxnID) bool {
	if l.recorder == nil {
		return false
	}
	c := l.findCall(t)
	return c != nil && c.traced
}

// The following methods are callbacks from gnet.

// OnOpen handles a new connection, from a client or to a worker.
func (l *loop) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	l.beginCallback()
	action := gnet.None
	switch ctx := c.Context().(type) {
	case *acceptedClient:
		l.openClient(c, ctx)
	case *pool:
		l.openWorkerConn(c, ctx)
	case *returnedWorker:
		if !l.reopenWorkerConn(c, ctx.pool) {
			action = gnet.Close
		}
	}
	l.processEvents()
	l.endCallback()
	return nil, action
}

// OnTraffic handles received bytes.
func (l *loop) OnTraffic(c gnet.Conn) gnet.Action {
	l.beginCallback()
	switch ctx := c.Context().(type) {
	case *clientConn:
		ctx.recordArrival()
		ctx.read()
	case *workerConn:
		ctx.read()
	case wakeContext:
		c.Discard(-1)
		l.lastWake = l.now
		l.mu.Lock()
		posted := l.postedFuncs
		l.postedFuncs = nil
		l.mu.Unlock()
		for _, do := range posted {
			do()
			l.processEvents()
		}
	}
	l.processEvents()
	l.endCallback()
	return gnet.None
}

// OnClose handles the end of a connection.
func (l *loop) OnClose(c gnet.Conn, err error) gnet.Action {
	outermost := l.callbackDepth == 0
	if outermost {
		l.beginCallback()
	}
	switch ctx := c.Context().(type) {
	case *clientConn:
		if !ctx.closed {
			ctx.teardown(l.endReasonOf(err))
		}
	case *workerConn:
		if !ctx.closed {
			ctx.handleClose(err)
		}
	}
	// A failed write closes its connection within the callback that wrote. The resulting events wait until the outermost
	// callback processes them.
	if outermost {
		l.processEvents()
		l.endCallback()
	}
	return gnet.None
}

// halt ends the loop and cuts its remaining connections. It is called once, from another goroutine, when no new connections
// are passed to the loop any more.
func (l *loop) halt() {
	done := make(chan struct{})
	l.post(func() { l.stopping = true; close(done) })
	<-done
	close(l.quit)
	l.group.Wait() // dials and relays post their results to the loop, so they must end before it
	l.client.Stop()
	l.closeAllClosing()
	l.wakeConn.Close()
	if l.recorder != nil {
		l.recorder.Close(l.p.clock())
	}
}

// gnetLogger logs gnet's messages at debug level, since the code that handles an error also logs it. Fatal messages are
// logged as errors.
type gnetLogger struct{ log *zap.Logger }

func (g gnetLogger) Debugf(format string, args ...any) { g.log.Sugar().Debugf(format, args...) }
func (g gnetLogger) Infof(format string, args ...any)  { g.log.Sugar().Debugf(format, args...) }
func (g gnetLogger) Warnf(format string, args ...any)  { g.log.Sugar().Debugf(format, args...) }
func (g gnetLogger) Errorf(format string, args ...any) { g.log.Sugar().Debugf(format, args...) }
func (g gnetLogger) Fatalf(format string, args ...any) { g.log.Sugar().Errorf(format, args...) }

var _ logic.Sink = (*loop)(nil)

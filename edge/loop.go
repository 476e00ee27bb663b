package edge

import (
	"encoding/binary"
	"math/rand"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/panjf2000/gnet/v2"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"dunegrade/api"
	"dunegrade/http1"
	"dunegrade/logic"
	"dunegrade/trace"
	"dunegrade/trace/tracepb"
)

const (
	maxReusedBuffer = 64 << 10         // size in bytes above which a worker connection's buffer is freed rather than kept for reuse
	readBufferBytes = 32 << 10         // size in bytes of what is read from a connection at once, before the others have their turn
	minWakeInterval = time.Millisecond // minimum time between two wake-ups of a loop by its timers
)

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
	recentIDs   recentIDs           // ids of calls whose clients have left
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
	held               heldBytes  // memory held for all clients
	timers             timerHeap
	timersLeft         int // timers that were left when the obsolete ones were last removed

	events        []event
	actions       []action
	resumeReads   []*clientConn // connections just answered, whose next request may have been received
	deferredReads []uint64      // slotTokens of the connections that are read from in the next turn
	turn          uint64        // number of the current callback
	processing    bool          // whether processEvents is running
	callbackDepth int           // nesting depth of callbacks from gnet
	load          logic.Load    // the load report of the outcome being dispatched

	batching *clientConn // the connection whose input is being parsed; its output is collected in batch
	batch    []byte

	// Buffers reused between callbacks.
	pollFDs [1]unix.PollFd
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
		gnet.WithReadBufferCap(readBufferBytes), gnet.WithNumEventLoop(1))
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

// beginCallback updates the loop's time. Every callback from gnet begins with it.
func (l *loop) beginCallback() {
	l.now = l.p.clock()
	l.turn++
	l.callbackDepth++
}

// endCallback runs the due timers, opens the worker connections that are needed, and sets the alarm for the next timer. Every
// callback from gnet ends with it.
func (l *loop) endCallback() {
	l.runDueTimers()
	l.openQueuedConns()
	l.checkDrained()
	l.callbackDepth--
	l.stats.callbacks.observe(l.p.clock() - l.now)
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
		chunk, _ := c.Next(-1) // all of it, so that the event library keeps none
		ctx.receive(chunk)
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

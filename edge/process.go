// Package edge hosts sentries: it turns socket traffic, timers and platform updates into events for the decision module,
// and the module's actions into bytes on the wire. It decides nothing about a txn, a worker or a build.
package edge

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dunegrade/api"
	"dunegrade/config"
	"dunegrade/logic"
)

// Process is one edge: a listener, event loops with one sentry each, and a source of worker lists and release updates.
type Process struct {
	cfg         *config.Edge
	log         *zap.Logger
	loops       []*loop
	routes      routeMatcher
	protocol    protocol
	platform    *PlatformOptions // nil when the source is a file or the HTTP API
	customerIDs map[string]int
	zoneIDs     map[string]int
	kindIDs     map[string]int
	productIDs  map[string]int
	source      Source
	openClients atomic.Int64 // open client connections of all loops
	listener    net.Listener
	startedAt   time.Time
	epoch       int64        // wall clock at startedAt, in Unix nanoseconds
	peerConn    *net.UDPConn // nil when messages between sentries are off
	peerAddrs   []*net.UDPAddr

	mu          sync.Mutex            // guards the fields down to saveFailed; never taken on the request path
	workers     map[string]api.Worker // the current worker list by id
	release     api.Release           // the release state in force
	clockOffset int64                 // platform clock minus the local wall clock at the last list update, in nanoseconds
	saveTimer   *time.Timer           // pending state save, or nil
	saveClosed  bool                  // set by saveFinal: later saves do nothing
	saveFailed  bool                  // whether the last save failed

	saveMu       sync.Mutex  // serializes writers of the state file
	listReceived atomic.Bool // whether the source has delivered a worker list
}

// New returns an edge for a validated configuration. It starts listening when Run is called.
func New(cfg *config.Edge, log *zap.Logger) *Process {
	p := newProcess(cfg, log)
	if cfg.Source.APIURL != "" {
		p.source = newAPISource(cfg.Source.APIURL, cfg.Name, log)
	} else {
		p.source = newFileSource(cfg.Source.File, log)
	}
	return p
}

func newProcess(cfg *config.Edge, log *zap.Logger) *Process {
	p := &Process{cfg: cfg, log: log, routes: newRouteTable(cfg.Routes), protocol: httpProtocol{}, customerIDs: indexNames(cfg.Customers, 1),
		zoneIDs: indexNames(cfg.Zones, 0), kindIDs: indexNames(cfg.Kinds, 0), productIDs: map[string]int{}, startedAt: time.Now(),
		workers: map[string]api.Worker{}}
	p.epoch = p.startedAt.UnixNano()
	for i := range cfg.Products {
		p.productIDs[cfg.Products[i].Name] = i
	}
	return p
}

// indexNames maps each name to its index, counted from firstIndex.
func indexNames(names []string, firstIndex int) map[string]int {
	m := map[string]int{}
	for i, n := range names {
		m[n] = i + firstIndex
	}
	return m
}

// clock returns a monotonic time that equals the wall clock at the start of the process. It is rounded down to microseconds:
// finer differences are below the cost of a system call and would only enlarge the traces.
func (p *Process) clock() logic.Nanos {
	return logic.Nanos((p.epoch + int64(time.Since(p.startedAt))) / 1000 * 1000)
}

// Refresh requests that the source deliver its full state again, as on a SIGHUP.
func (p *Process) Refresh() { p.source.Refresh() }

// Run serves until ctx ends, then drains: it accepts no new connections and gives every admitted txn one final answer
// within the configured drain time. listening, if not nil, is called with the listener's address. The error is nil after
// a clean drain.
func (p *Process) Run(ctx context.Context, listening func(net.Addr)) error {
	// An event loop that is blocked in a system call can hold its P (the scheduler's processor) for up to 10 ms before the
	// runtime retakes it. Without a spare P, this would delay all timers and other loops.
	if runtime.GOMAXPROCS(0) < p.cfg.Loops+1 {
		runtime.GOMAXPROCS(p.cfg.Loops + 1)
	}
	list, update := p.restoreState()
	if p.platform != nil {
		list, update = p.platform.initialState()
	}
	if err := p.listenPeers(); err != nil {
		return err
	}
	for i := 0; i < p.cfg.Loops; i++ {
		l := newLoop(p, i)
		if err := l.start(list, update); err != nil {
			return fmt.Errorf("event loop %d: %w", i, err)
		}
		p.loops = append(p.loops, l)
	}
	if p.peerConn != nil {
		go p.readPeerMessages() // ends when the socket is closed; datagrams that arrived before wait in the socket buffer
	}
	admin, err := p.serveAdmin() // before the listener opens: a later failure would cut accepted connections
	if err != nil {
		p.stopLoops()
		return err
	}
	if p.listener, err = net.Listen("tcp", p.cfg.Listen); err != nil {
		if admin != nil {
			admin.Close()
		}
		p.stopLoops()
		return fmt.Errorf("listen: %w", err)
	}
	var group sync.WaitGroup
	sourceCtx, stopSource := context.WithCancel(context.Background())
	defer stopSource()
	group.Go(func() { p.source.Run(sourceCtx, p) })
	var accepting sync.WaitGroup
	accepting.Go(p.accept)
	p.log.Info("serving", zap.String("name", p.cfg.Name), zap.Stringer("address", p.listener.Addr()),
		zap.Int("loops", p.cfg.Loops))
	if listening != nil {
		listening(p.listener.Addr())
	}
	<-ctx.Done()
	began := time.Now()
	deadline := began.Add(p.cfg.ShutdownDelay + p.cfg.DrainTimeout)
	p.log.Info("stopping: still accepting", zap.Int64("open", p.openClients.Load()), zap.Duration("for", p.cfg.ShutdownDelay))
	time.Sleep(p.cfg.ShutdownDelay) // clients may still connect during this time
	p.closeListener(&accepting)
	p.log.Info("stopping: listener closed", p.connCounts().logFields()...)
	complete := p.drain(deadline)
	p.logDrained(complete)
	if admin != nil {
		admin.Close()
	}
	stopSource()
	group.Wait()
	p.stopLoops()
	p.saveFinal()
	owedAtEnd := p.owedAtEnd()
	p.log.Info("stopped", zap.Duration("drained-in", time.Since(began)), zap.Uint64("owed", owedAtEnd), zap.Any("ends", p.clientEnds()))
	if !complete {
		return fmt.Errorf("drain: incomplete after %v, %d requests unanswered", p.cfg.ShutdownDelay+p.cfg.DrainTimeout, owedAtEnd)
	}
	return nil
}

// stopLoops halts the event loops, and closes the socket for other sentries' messages.
func (p *Process) stopLoops() {
	for _, l := range p.loops {
		l.halt()
	}
	if p.peerConn != nil {
		p.peerConn.Close()
	}
}

func itoa(n int) string { return strconv.Itoa(n) }

// Package edge hosts sentries: it turns sockets, timers and news into events of the decision module, and the
// module's actions into bytes. It decides nothing about a txn, a worker or a build.
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

// Process is one edge: a listener, some event loops with a sentry each, and a source of news.
type Process struct {
	cfg         *config.Edge
	log         *zap.Logger
	loops       []*loop
	routes      classifier
	protocol    protocol
	platform    *PlatformOptions // nil: by file or API
	customerIDs map[string]int
	zoneIDs     map[string]int
	kindIDs     map[string]int
	productIDs  map[string]int
	source      Source
	openClients atomic.Int64 // connections of clients
	listener    net.Listener
	startedAt   time.Time
	epoch       int64
	peerConn    *net.UDPConn
	peerAddrs   []*net.UDPAddr

	mu           sync.Mutex // guards what follows; never held on the ordinary path
	workers      map[string]api.Worker
	release      api.Release // the last one told
	clockOffset  int64       // of the platform's clock before ours, when it last told the list
	saveTimer    *time.Timer
	saveClosed   bool // nothing is saved any more
	saveFailed   bool // the last save failed
	saveMu       sync.Mutex
	listReceived atomic.Bool
}

// New makes an edge of a checked plan. It listens when Run is called.
func New(plan *config.Edge, log *zap.Logger) *Process {
	p := newProcess(plan, log)
	if plan.Source.APIURL != "" {
		p.source = newAPISource(plan.Source.APIURL, plan.Name, log)
	} else {
		p.source = newFileSource(plan.Source.File, log)
	}
	return p
}

func newProcess(plan *config.Edge, log *zap.Logger) *Process {
	p := &Process{cfg: plan, log: log, routes: newRouteTable(plan.Routes), protocol: httpProtocol{}, customerIDs: indexNames(plan.Customers, 1),
		zoneIDs: indexNames(plan.Zones, 0), kindIDs: indexNames(plan.Kinds, 0), productIDs: map[string]int{}, startedAt: time.Now(),
		workers: map[string]api.Worker{}}
	p.epoch = p.startedAt.UnixNano()
	for i := range plan.Products {
		p.productIDs[plan.Products[i].Name] = i
	}
	return p
}

func indexNames(names []string, from int) map[string]int {
	m := map[string]int{}
	for i, n := range names {
		m[n] = i + from
	}
	return m
}

// clock is the process's time: near the wall clock at the start, and never going back after. It moves in whole
// microseconds: what is finer than a system call is noise, and would only swell the traces.
func (p *Process) clock() logic.Nanos {
	return logic.Nanos((p.epoch + int64(time.Since(p.startedAt))) / 1000 * 1000)
}

// Refresh has the source tell everything again, as after a SIGHUP.
func (p *Process) Refresh() { p.source.Refresh() }

// Run serves until ctx ends, then drains: no new connection, one final answer for every txn taken, within the
// bound that the plan states. listening, if not nil, is told the address. The error is nil after a clean drain.
func (p *Process) Run(ctx context.Context, listening func(net.Addr)) error {
	// Danger: an event loop that waits in the kernel keeps its processor from the others for up to 10 ms, so that
	// with no processor to spare every timer and every other loop is late by that.
	if runtime.GOMAXPROCS(0) < p.cfg.Loops+1 {
		runtime.GOMAXPROCS(p.cfg.Loops + 1)
	}
	list, news := p.restoreState()
	if p.platform != nil {
		list, news = p.platform.initialState()
	}
	if err := p.listenPeers(); err != nil {
		return err
	}
	for i := 0; i < p.cfg.Loops; i++ {
		l := newLoop(p, i)
		if err := l.start(list, news); err != nil {
			return fmt.Errorf("event loop %d: %w", i, err)
		}
		p.loops = append(p.loops, l)
	}
	if p.peerConn != nil {
		go p.readPeerMessages() // ended by the socket's close; what came before waits in the kernel
	}
	admin, err := p.serveAdmin() // before anything is accepted that a failure here would cut
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
	time.Sleep(p.cfg.ShutdownDelay) // clients still come for as long
	p.closeListener(&accepting)
	p.log.Info("stopping: listener closed", p.connCounts().logFields()...)
	whole := p.drain(deadline)
	p.logDrained(whole)
	if admin != nil {
		admin.Close()
	}
	stopSource()
	group.Wait()
	p.stopLoops()
	p.saveFinal()
	owedAtEnd := p.owedAtEnd()
	p.log.Info("stopped", zap.Duration("drained-in", time.Since(began)), zap.Uint64("owed", owedAtEnd), zap.Any("ends", p.clientEnds()))
	if !whole {
		return fmt.Errorf("drain: not through after %v, %d requests were still owed", p.cfg.ShutdownDelay+p.cfg.DrainTimeout, owedAtEnd)
	}
	return nil
}

func (p *Process) stopLoops() {
	for _, l := range p.loops {
		l.halt()
	}
	if p.peerConn != nil {
		p.peerConn.Close()
	}
}

func itoa(n int) string { return strconv.Itoa(n) }

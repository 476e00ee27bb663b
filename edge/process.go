// Package edge hosts sentries: it turns sockets, timers and news into events of the decision module, and the
// module's actions into bytes. It decides nothing about a txn, a worker or a build.
package edge

import (
	"cmp"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"dunegrade/api"
	"dunegrade/config"
	"dunegrade/logic"
)

// Process is one edge: a listener, some event loops with a sentry each, and a source of news.
type Process struct {
	plan      *config.Edge
	log       *zap.Logger
	loops     []*loop
	routes    classifier
	speech    speech
	live      *Live // nil: by file or API
	customers map[string]int
	zones     map[string]int
	kinds     map[string]int
	products  map[string]int
	source    Source
	open      atomic.Int64 // connections of clients
	listener  net.Listener
	began     time.Time
	epoch     int64
	tells     *net.UDPConn
	peers     []*net.UDPAddr

	mu     sync.Mutex // guards what follows; never held on the ordinary path
	kept   map[string]api.Worker
	newest api.Release // the last one told
	ahead  int64       // of the platform's clock before ours, when it last told the list
	saving *time.Timer
	closed bool // nothing is saved any more
	unkept bool // the last save failed
	disk   sync.Mutex
	listed atomic.Bool
}

// New makes an edge of a checked plan. It listens when Run is called.
func New(plan *config.Edge, log *zap.Logger) *Process {
	p := newProcess(plan, log)
	if plan.Source.API != "" {
		p.source = newAPISource(plan.Source.API, plan.Name, log)
	} else {
		p.source = newFileSource(plan.Source.File, log)
	}
	return p
}

func newProcess(plan *config.Edge, log *zap.Logger) *Process {
	p := &Process{plan: plan, log: log, routes: newTable(plan.Routes), speech: httpSpeech{}, customers: numbers(plan.Customers, 1),
		zones: numbers(plan.Zones, 0), kinds: numbers(plan.Kinds, 0), products: map[string]int{}, began: time.Now(),
		kept: map[string]api.Worker{}}
	p.epoch = p.began.UnixNano()
	for i := range plan.Products {
		p.products[plan.Products[i].Name] = i
	}
	return p
}

func numbers(names []string, from int) map[string]int {
	m := map[string]int{}
	for i, n := range names {
		m[n] = i + from
	}
	return m
}

// clock is the process's time: near the wall clock at the start, and never going back after. It moves in whole
// microseconds: what is finer than a system call is noise, and would only swell the traces.
func (p *Process) clock() logic.Nanos {
	return logic.Nanos((p.epoch + int64(time.Since(p.began))) / 1000 * 1000)
}

// Refresh has the source tell everything again, as after a SIGHUP.
func (p *Process) Refresh() { p.source.Refresh() }

// Run serves until ctx ends, then drains: no new connection, one final answer for every txn taken, within the
// bound that the plan states. listening, if not nil, is told the address. The error is nil after a clean drain.
func (p *Process) Run(ctx context.Context, listening func(net.Addr)) error {
	// Danger: an event loop that waits in the kernel keeps its processor from the others for up to 10 ms, so that
	// with no processor to spare every timer and every other loop is late by that.
	if runtime.GOMAXPROCS(0) < p.plan.Loops+1 {
		runtime.GOMAXPROCS(p.plan.Loops + 1)
	}
	list, news := p.restore()
	if p.live != nil {
		list, news = p.live.told()
	}
	if err := p.openPeers(); err != nil {
		return err
	}
	for i := 0; i < p.plan.Loops; i++ {
		l := newLoop(p, i)
		if err := l.start(list, news); err != nil {
			return fmt.Errorf("event loop %d: %w", i, err)
		}
		p.loops = append(p.loops, l)
	}
	if p.tells != nil {
		go p.hearPeers() // ended by the socket's close; what came before waits in the kernel
	}
	var err error
	if p.listener, err = net.Listen("tcp", p.plan.Listen); err != nil {
		p.stopLoops()
		return fmt.Errorf("listen: %w", err)
	}
	var group sync.WaitGroup
	sourceCtx, stopSource := context.WithCancel(context.Background())
	defer stopSource()
	group.Go(func() { p.source.Run(sourceCtx, p) })
	var accepting sync.WaitGroup
	accepting.Go(p.accept)
	admin, err := p.serveAdmin()
	if err != nil {
		p.listener.Close()
		accepting.Wait()
		stopSource()
		group.Wait()
		p.stopLoops()
		return err
	}
	p.log.Info("serving", zap.String("name", p.plan.Name), zap.Stringer("address", p.listener.Addr()),
		zap.Int("loops", p.plan.Loops))
	if listening != nil {
		listening(p.listener.Addr())
	}
	<-ctx.Done()
	began := time.Now()
	deadline := began.Add(p.plan.KeepOpen + p.plan.DrainWithin)
	p.log.Info("stopping: still accepting", zap.Int64("open", p.open.Load()), zap.Duration("for", p.plan.KeepOpen))
	time.Sleep(p.plan.KeepOpen) // clients still come for as long
	p.endAccepting(&accepting)
	p.log.Info("stopping: listener closed", p.census().fields()...)
	whole := p.drain(deadline)
	p.logDrained(whole)
	if admin != nil {
		admin.Close()
	}
	stopSource()
	group.Wait()
	p.stopLoops()
	p.lastSave()
	owed := p.owed()
	p.log.Info("stopped", zap.Duration("drained-in", time.Since(began)), zap.Uint64("owed", owed))
	if !whole {
		return fmt.Errorf("drain: not through after %v, %d requests were still owed", p.plan.KeepOpen+p.plan.DrainWithin, owed)
	}
	return nil
}

func (p *Process) stopLoops() {
	for _, l := range p.loops {
		l.halt()
	}
	if p.tells != nil {
		p.tells.Close()
	}
}

// wakePair gives two ends of a pipe for waking a loop: ours to write, and the loop's.
func wakePair() (ours, theirs net.Conn, err error) {
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, nil, fmt.Errorf("socketpair: %w", err)
	}
	if ours, err = dup(fds[0], nil); err != nil {
		return nil, nil, err
	}
	theirs, err = dup(fds[1], nil)
	return ours, theirs, err
}

// ---- What the source tells ----

// Workers takes a list event. A line that makes no sense is named and changes nothing, but that what it takes out of
// service goes out of service; the others count.
func (p *Process) Workers(e api.WorkersEvent) {
	lines := make([]api.Worker, 0, len(e.Workers))
	p.mu.Lock()
	for _, w := range e.Workers {
		if err := w.Check(); err != nil {
			p.log.Error("line of the list not heeded", zap.Uint64("revision", e.Revision), zap.Error(err))
			held, known := p.kept[w.ID]
			if !known {
				continue
			}
			switch w.State {
			case api.Up:
			case "": // Danger: kept as it is, it would have the whole list refused at the next start
				held.State = api.Draining
			default:
				held.State = w.State
			}
			w = held
		}
		lines = append(lines, w)
	}
	e.Workers = lines
	if e.Type == api.Whole {
		clear(p.kept)
	}
	for _, w := range e.Workers {
		if w.State == api.Gone {
			delete(p.kept, w.ID)
		} else {
			p.kept[w.ID] = w
		}
	}
	p.ahead = e.Now - time.Now().UnixNano()
	p.mu.Unlock()
	mode := logic.Changes
	if e.Type == api.Whole {
		mode = logic.Whole
	}
	for _, l := range p.loops {
		l.post(func() { l.list(mode, e) })
	}
	p.listed.Store(true)
	p.saveSoon()
}

var states = map[string]logic.State{api.Up: logic.Up, api.Draining: logic.Draining, api.Gone: logic.Gone}

// list hands a list event to the module, in this host's numbers and clock.
func (l *loop) list(mode logic.ListMode, e api.WorkersEvent) {
	list := make([]logic.Worker, 0, len(e.Workers))
	listed := map[logic.WorkerID]bool{}
	for _, w := range e.Workers {
		id := logic.WorkerID(w.ID)
		listed[id] = true
		start := l.started(id, w, e.Now)
		state, known := states[w.State]
		if !known {
			state = logic.Draining // a standing that a newer planner knows gets nothing new
		}
		list = append(list, logic.Worker{ID: id, Zone: logic.ZoneID(numberOf(l.p.zones, w.Zone)), Kind: logic.KindID(numberOf(l.p.kinds, w.Kind)),
			Cell: w.Cell, State: state, Weight: w.Weight, Rel: logic.RelID(w.Build), Start: start})
		pool := l.poolOf(id, w.Address)
		if pool.gone = state == logic.Gone; pool.gone {
			delete(l.starts, id)
		}
		if state != logic.Up {
			l.dropWaiting(pool)
		}
	}
	if mode == logic.Whole {
		for id, pool := range l.pools {
			if !listed[id] {
				pool.gone = true
				delete(l.starts, id)
				l.dropWaiting(pool)
			}
		}
	}
	l.heard = true
	l.listed = l.listed || mode != logic.Restored
	l.tellList(mode, list)
	for id, pool := range l.pools {
		if pool.gone {
			l.closeIdle(pool)
			if pool.conns == 0 && len(pool.waiting) == 0 && pool.dialing == 0 {
				delete(l.pools, id)
			}
		}
	}
}

// started gives a worker's start by this host's clock, the same for each telling of one process. Danger: a process that
// took another's place without a start of its own would pass for warm, and answer for what that one did. So where the
// address or the build has changed, or an id appears after the first list, what is not told to have started earlier
// counts as started now.
func (l *loop) started(id logic.WorkerID, w api.Worker, platform int64) logic.Nanos {
	was, known := l.starts[id]
	if known && (w.State != api.Up || was.stamp == w.StartedAt && was.address == w.Address && was.build == w.Build) {
		return was.local
	}
	is := startOf{stamp: w.StartedAt, address: w.Address, build: w.Build}
	switch {
	case w.StartedAt == 0 && l.startsTold: // each start is told
	case w.StartedAt != 0 && (!known || was.stamp != w.StartedAt || l.startsTold):
		// The clocks differ, the age does not; it is taken once, or each telling would look like a new start.
		is.local = l.now - logic.Nanos(max(0, platform-w.StartedAt))
	case known || l.heard:
		is.local = l.now
	}
	l.starts[id] = is
	return is.local
}

// numberOf gives the number of a zone or kind. Danger: a name that the settings lack must not pass for the first of
// them, or a repeat that may go to workers of the same zone only would leave it; so it gets a number of its own.
func numberOf(names map[string]int, name string) int {
	if n, known := names[name]; known || len(names) == 0 && name == "" {
		return n
	}
	return 1<<16 + int(xxhash.Sum64String(name)>>34)
}

// poolOf gives the pool of a worker at its address; a worker that has moved gets a new one.
func (l *loop) poolOf(id logic.WorkerID, address string) *pool {
	p := l.pools[id]
	if p == nil || p.address != address {
		if p != nil {
			p.gone = true
			l.closeIdle(p)
			l.dropWaiting(p)
		}
		p = &pool{id: id, address: address}
		l.pools[id] = p
	}
	return p
}

var phases = map[string]logic.Phase{api.OnTrial: logic.OnTrial, api.GoingBack: logic.GoingBack,
	api.Released: logic.Released, api.Withdrawn: logic.Withdrawn}

func newsOf(e api.ReleaseEvent, answer bool) logic.News {
	return logic.News{Stage: e.Release.Stage, Answer: answer, Rel: logic.RelID(e.Release.Build), Cap: e.Release.Cap,
		Phase: phases[e.Release.Phase], Age: logic.Nanos(max(0, e.Now-e.Release.Since))}
}

// heeds notes where the newest build stands, as pushed or in answer to a vote, and passes it on where it counts; it tells
// whether it did. Danger: answers and pushes come on connections of their own, so either may have been overtaken. What
// began before that which is in force, by the platform's clock, must not loosen it again; what tightens is always
// heeded. It is passed on under the lock, or two that come at once would reach a loop in the other order.
func (p *Process) heeds(r api.Release, pass func()) bool {
	if err := r.Check(); err != nil {
		p.log.Error("news of a release not heeded", zap.Error(err))
		return false
	}
	back := func(phase string) bool { return phase == api.GoingBack || phase == api.Withdrawn }
	p.mu.Lock()
	was := p.newest
	overtaken := r.Since < was.Since && (r.Build < was.Build || r.Build == was.Build &&
		(r.Cap > was.Cap || back(was.Phase) && !back(r.Phase)))
	if !overtaken {
		p.newest = r
		pass()
	}
	p.mu.Unlock()
	if overtaken {
		p.log.Warn("news of a release was overtaken, not heeded", zap.Int("build", r.Build), zap.Int("stage", r.Stage),
			zap.String("phase", r.Phase), zap.Float64("cap", r.Cap))
	} else if r != was {
		p.saveSoon()
	}
	return !overtaken
}

func (p *Process) Release(e api.ReleaseEvent) {
	n := newsOf(e, false)
	p.heeds(e.Release, func() {
		for _, l := range p.loops {
			l.post(func() { l.tellNews(n) })
		}
	})
}

// saveSoon writes what is to outlive a restart; a storm of changes is written once.
func (p *Process) saveSoon() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.saving == nil && !p.closed && p.plan.State != "" {
		p.saving = time.AfterFunc(100*time.Millisecond, func() { p.save(false) }) // of no effect after lastSave
	}
}

// lastSave writes what is kept at the end of the process, and lets nothing be written after.
func (p *Process) lastSave() {
	p.mu.Lock()
	p.closed = true
	if p.saving != nil {
		p.saving.Stop()
	}
	p.mu.Unlock()
	p.save(true)
}

func (p *Process) Report(r api.Report) {
	product, known := p.products[r.Product]
	if !known {
		return
	}
	for _, l := range p.loops {
		if l.number == r.Sentry || len(p.loops) == 1 {
			l.post(func() {
				l.tellContested(logic.ProductID(product), logic.WorkerID(r.Worker), logic.Nanos(max(0, r.Age)))
			})
		}
	}
}

func (p *Process) Tally(t api.Tally) {
	product, known := p.products[t.Product]
	if !known {
		return
	}
	for _, l := range p.loops {
		l.post(func() {
			l.tellTally(logic.Tally{Rel: logic.RelID(t.Build), Product: logic.ProductID(product), Many: t.Many, Bad: t.Bad,
				Mean: logic.Nanos(t.Mean)})
		})
	}
}

var verdicts = map[logic.Verdict]string{logic.NoVote: api.VoteNone, logic.On: api.VoteOn, logic.Hold: api.VoteHold,
	logic.Back: api.VoteBack}

// vote casts the sentry's vote beside the loop, one at a time; its answer comes back as news.
func (l *loop) vote(v logic.Verdict, rel logic.RelID, stage int) {
	if l.voting || l.stopping {
		return
	}
	l.voting = true
	wait := time.Duration(l.p.plan.Module["release.vote-timeout"].(float64))
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		ctx, stop := context.WithTimeout(context.Background(), wait)
		defer stop()
		go func() {
			select {
			case <-l.quit:
				stop()
			case <-ctx.Done():
			}
		}()
		e, err := l.p.source.Vote(ctx, api.Vote{Edge: l.p.plan.Name, Sentry: l.number, Verdict: verdicts[v],
			Build: int(rel), Stage: stage})
		news := newsOf(e, true)
		pass := func() {
			l.post(func() {
				l.voting = false
				l.tellNews(news)
			})
		}
		if err == nil && l.p.heeds(e.Release, pass) {
			return
		}
		switch {
		case errors.Is(err, api.ErrMoot):
			news.Ending = logic.Moot
		case errors.Is(err, api.ErrFull):
			news.Ending = logic.Full
		case errors.Is(err, api.ErrUnknown):
			news.Ending = logic.TimedOut
		default:
			news.Ending = logic.Erred
		}
		pass()
	}()
}

// ---- Messages between sentries ----

const longestTell = 256

// openPeers opens the socket for other sentries' messages. hearPeers reads from it, once there are loops to hand them to.
func (p *Process) openPeers() error {
	if !p.plan.Module["allow.messages"].(bool) {
		return nil // addresses may stand in the settings all the same
	}
	for _, a := range p.plan.Peers {
		u, err := net.ResolveUDPAddr("udp", a)
		if err != nil {
			return fmt.Errorf("peer %s: %w", a, err)
		}
		p.peers = append(p.peers, u)
	}
	own := p.peers[int(p.plan.Module["index"].(float64))]
	var err error
	if p.plan.PeerListen != "" {
		if own, err = net.ResolveUDPAddr("udp", p.plan.PeerListen); err != nil {
			return fmt.Errorf("peer %s: %w", p.plan.PeerListen, err)
		}
	}
	if p.tells, err = net.ListenUDP("udp", own); err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	return nil
}

// hearPeers reads other sentries' messages until the socket is closed. Danger: others send at any time, so it is started
// only when every loop stands: after a restart under load a message came before, and there was no loop to hand it to.
func (p *Process) hearPeers() {
	buf := make([]byte, 4+longestTell+1)
	for {
		n, from, err := p.tells.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if p.plan.PeerListen != "" { // bare: its sender's address says whose it is
			if err == nil && n <= longestTell {
				p.hearPeer(from, append([]byte(nil), buf[:n]...))
			}
			continue
		}
		if err != nil || n < 4 || n > 4+longestTell {
			continue
		}
		sender, to := int(binary.BigEndian.Uint16(buf)), int(binary.BigEndian.Uint16(buf[2:]))
		data := append([]byte(nil), buf[4:n]...)
		for _, l := range p.loops {
			if l.number == to {
				l.post(func() { l.tellTold(sender, data) })
			}
		}
	}
}

// hearPeer passes on what another sentry sent; what comes from elsewhere is dropped.
func (p *Process) hearPeer(from netip.AddrPort, data []byte) {
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	for i, a := range p.peers {
		if at := a.AddrPort(); netip.AddrPortFrom(at.Addr().Unmap(), at.Port()) == from {
			l := p.loops[0]
			l.post(func() { l.tellTold(i, data) })
			return
		}
	}
}

// tell sends a message to another sentry, or loses it.
func (p *Process) tell(from, to int, data []byte) {
	if p.tells == nil || to < 0 || to >= len(p.peers) || len(data) > longestTell {
		return
	}
	if p.plan.PeerListen != "" {
		p.tells.WriteToUDP(data, p.peers[to])
		return
	}
	msg := binary.BigEndian.AppendUint16(nil, uint16(from))
	msg = binary.BigEndian.AppendUint16(msg, uint16(to))
	p.tells.WriteToUDP(append(msg, data...), p.peers[to])
}

// ---- What outlives a restart ----

// keptList is the file of the last list.
type keptList struct {
	Version int          `json:"version"`
	Saved   int64        `json:"saved"`           // by this host's clock
	Clock   int64        `json:"clock,omitempty"` // the platform's at that moment: starts are told by it
	Workers []api.Worker `json:"workers"`
	Release api.Release  `json:"release"`
}

// check gives what no list can hold.
func (k *keptList) check() error {
	if k.Version != 1 {
		return fmt.Errorf("version: found %d, wanted 1", k.Version)
	}
	seen := map[string]bool{}
	for i := range k.Workers {
		w := &k.Workers[i]
		if err := w.Check(); err != nil {
			return fmt.Errorf("entry %d: %w", i+1, err)
		}
		if seen[w.ID] {
			return fmt.Errorf("entry %d: found a second worker %q, wanted ids that differ", i+1, w.ID)
		}
		seen[w.ID] = true
	}
	if k.Release == (api.Release{}) { // none had been told
		return nil
	}
	return k.Release.Check()
}

func (p *Process) statePath() string { return filepath.Join(p.plan.State, p.plan.Name+".list.json") }

// save writes the last list beside its place and moves it there, so that a crash leaves the old one or the new.
func (p *Process) save(last bool) {
	p.disk.Lock() // Danger: two writers of one file would leave a mixture of both
	defer p.disk.Unlock()
	p.mu.Lock()
	if p.saving = nil; p.closed && !last {
		p.mu.Unlock()
		return
	}
	now := time.Now().UnixNano()
	k := keptList{Version: 1, Saved: now, Clock: now + p.ahead, Release: p.newest}
	for _, w := range p.kept {
		k.Workers = append(k.Workers, w)
	}
	p.mu.Unlock()
	if p.plan.State == "" || len(k.Workers) == 0 {
		return
	}
	slices.SortFunc(k.Workers, func(a, b api.Worker) int { return cmp.Compare(a.ID, b.ID) })
	data, err := json.Marshal(k)
	if err == nil {
		err = replaceFile(p.statePath(), data)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	failed := err != nil
	if failed && !p.closed && p.saving == nil { // Danger: else the next start would not know of it until something else changes
		p.saving = time.AfterFunc(time.Second, func() { p.save(false) })
	}
	if failed == p.unkept {
		return
	}
	if p.unkept = failed; failed {
		p.log.Warn("the last list could not be kept", zap.Error(err))
	} else {
		p.log.Info("the last list is kept again", zap.Int("workers", len(k.Workers)))
	}
}

// replaceFile puts data in a file's place. Danger: what is moved before it is on the disk is empty after a power cut.
func replaceFile(path string, data []byte) error {
	f, err := os.Create(path + ".new")
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	return err
}

// restore reads the last list, as an event with the platform's clock as it should be by now. One that is malformed is
// named and not used.
func (p *Process) restore() (list *api.WorkersEvent, news *logic.News) {
	if p.plan.State == "" {
		return nil, nil
	}
	if err := os.MkdirAll(p.plan.State, 0o755); err != nil {
		p.log.Warn("no folder for state", zap.Error(err))
		return nil, nil
	}
	data, err := os.ReadFile(p.statePath())
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	var k keptList
	if err == nil {
		err = json.Unmarshal(data, &k)
	}
	if err == nil {
		err = k.check()
	}
	if err != nil {
		p.log.Warn("the kept list is refused", zap.String("file", p.statePath()), zap.Error(err))
		return nil, nil
	}
	now := time.Now().UnixNano()
	age := max(0, now-k.Saved)
	list = &api.WorkersEvent{Type: api.Whole, Now: now, Workers: k.Workers}
	if k.Clock != 0 {
		list.Now = k.Clock + age
	}
	p.ahead = list.Now - now
	for _, w := range k.Workers {
		p.kept[w.ID] = w
	}
	p.log.Info("last list restored", zap.Int("workers", len(k.Workers)), zap.Duration("age", time.Duration(age)))
	// What was released stays so till the platform says otherwise. A build on trial may have lost its cap meanwhile,
	// so it gets nothing until then.
	if k.Release != (api.Release{}) {
		p.newest = k.Release
		n := newsOf(api.ReleaseEvent{Release: k.Release}, false)
		if n.Phase != logic.Released {
			n.Cap = 0
		}
		news = &n
	}
	return list, news
}

// ---- Health and figures ----

func (p *Process) serveAdmin() (*http.Server, error) {
	if p.plan.Admin == "" {
		return nil, nil
	}
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector{p})
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, r *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, r *http.Request) {
		if !p.listed.Load() {
			http.Error(w, "no list of workers yet", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ok")
	})
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	ln, err := net.Listen("tcp", p.plan.Admin)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	s := &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go s.Serve(ln) // ended by Close
	return s, nil
}

func itoa(n int) string { return strconv.Itoa(n) }

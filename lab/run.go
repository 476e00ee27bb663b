package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dunegrade/fleet"
)

// Runner plays a day. Its edges are processes of their own, started by a command that it is given.
type Runner struct {
	Day  *Day
	Out  string                              // folder of settings, state and logs of the edges
	Edge func(settingsPath string) *exec.Cmd // the command of one edge
	Live func(Snapshot)                      // told once a second, if not nil

	begins  func(r *run)               // called when the platform serves and no edge runs, if not nil
	entered func(r *run, state string) // played in each state of the platform from the day's begin on, if not nil
}

// Snapshot is what a run looks like at a moment.
type Snapshot struct {
	At      time.Duration
	Length  time.Duration
	Phase   string
	Build   int
	Stage   int
	Asked   int // txns of the last second
	InTime  int
	Late    int
	Decline int
	Voided  int
	Lost    int
	Trial   int // submissions at the newest build
	Marks   []string
}

// proc is one edge process.
type proc struct {
	n        int
	settings string
	admin    string
	cmd      *exec.Cmd
	log      *os.File
	life     int
	target   *edgeEndpoint
	down     bool
}

type run struct {
	*Runner
	began    time.Time
	offset   atomic.Int64 // of the day's moment 0 from began
	rec      *Record
	park     *workerFleet
	platform *platform
	clients  *clients
	procs    []*proc
	group    sync.WaitGroup
	quit     chan struct{}
	rng      *rand.Rand
	hand     sync.Mutex // of whoever writes a list file
}

var runs atomic.Int64 // of this process, for addresses that differ

func (r *run) now() runTime { return time.Since(r.began) - time.Duration(r.offset.Load()) }

// Run plays the day and gives its record. An error means that the run could not be made, not that a rule broke.
func (q *Runner) Run(ctx context.Context) (*Record, error) {
	if err := os.MkdirAll(q.Out, 0o755); err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	r := &run{Runner: q, began: time.Now(), rec: &Record{}, quit: make(chan struct{}), rng: rand.New(rand.NewSource(q.Day.Seed + 7))}
	// An address of the loopback range of this run's own: no other run's connections take its ports.
	id := os.Getpid() + int(runs.Add(1))<<12
	host := fmt.Sprintf("127.%d.%d.%d", 32+id>>14&63, id>>7&127, 1+id&127)
	r.park = newWorkerFleet(q.Day, r.rec, r.now, host)
	r.platform = newPlatform(q.Day, r.rec, r.park, r.now)
	r.clients = newClients(q.Day, r.rec, r.now, r.platform.reportWrongAnswer)
	defer r.park.close()
	if err := r.platform.start(host); err != nil {
		return nil, err
	}
	defer r.platform.close()
	if q.begins != nil {
		q.begins(r)
	}
	defer r.stopEdges()
	if err := r.startEdges(ctx, host); err != nil {
		return nil, err
	}
	// The day begins when all edges serve.
	r.rebase()
	if q.entered != nil {
		r.platform.mu.Lock()
		r.platform.stateHook = func(state string) { q.entered(r, state) }
		r.platform.runStateHook()
		r.platform.mu.Unlock()
	}
	r.group.Go(r.troubles)
	if q.Live != nil {
		r.group.Go(r.live)
	}
	done := make(chan struct{})
	go func() { r.clients.run(r.quit); close(done) }()
	var err error
	select {
	case <-done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	close(r.quit)
	<-done
	r.group.Wait()
	r.platform.awaitStateHooks()
	r.rec.builds = r.platform.summary()
	r.rec.maxSendDelay = time.Duration(r.clients.maxSendDelay.Load())
	return r.rec, err
}

// rebase sets all that the start-up has noted to moment 0: it was all there when the day began.
func (r *run) rebase() {
	r.platform.mu.Lock()
	defer r.platform.mu.Unlock()
	r.rec.mu.Lock()
	defer r.rec.mu.Unlock()
	r.offset.Store(int64(r.now()))
	for i := range r.platform.workerChanges {
		r.platform.workerChanges[i].at = 0
	}
	for i := range r.platform.releaseUpdates {
		r.platform.releaseUpdates[i].at = 0
	}
	for i := range r.rec.Updates {
		r.rec.Updates[i].At = 0
	}
	for i := range r.rec.Incarnations {
		r.rec.Incarnations[i].StartedAt = 0
	}
}

func freeAddress(host string) (string, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

func (r *run) startEdges(ctx context.Context, host string) error {
	d := r.Day
	var peers []string
	if d.Messages {
		for i := 0; i < d.Sentries; i++ {
			a, err := freeAddress(host)
			if err != nil {
				return err
			}
			for k := 0; k < d.Loops; k++ {
				peers = append(peers, a)
			}
		}
	}
	for i := 0; i < d.Sentries; i++ {
		listen, err := freeAddress(host)
		if err != nil {
			return err
		}
		admin, err := freeAddress(host)
		if err != nil {
			return err
		}
		p := &proc{n: i, admin: admin, settings: filepath.Join(r.Out, fmt.Sprintf("edge-%d.sexp", i))}
		text := d.EdgeSettings(i, listen, admin, r.platform.url, filepath.Join(r.Out, "state"), peers)
		if err := os.WriteFile(p.settings, []byte(text), 0o644); err != nil {
			return err
		}
		if p.log, err = os.Create(filepath.Join(r.Out, fmt.Sprintf("edge-%d.log", i))); err != nil {
			return err
		}
		weight := 1.0
		if len(d.Weights) > 0 {
			weight = d.Weights[i]
		}
		p.target = &edgeEndpoint{index: i, address: listen, weight: weight}
		r.clients.edges = append(r.clients.edges, p.target)
		r.procs = append(r.procs, p)
	}
	for _, p := range r.procs {
		if err := r.startEdge(p); err != nil {
			return err
		}
	}
	for _, p := range r.procs {
		if err := r.awaitReady(ctx, p, 10*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// startEdge starts a process; its life counts from here.
func (r *run) startEdge(p *proc) error {
	p.cmd = r.Edge(p.settings)
	p.cmd.Stderr, p.cmd.Stdout = p.log, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it must not outlive us
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("edge %d: %w", p.n, err)
	}
	r.rec.mu.Lock()
	p.life = len(r.rec.Incarnations)
	r.rec.Incarnations = append(r.rec.Incarnations, Incarnation{Edge: p.n, Number: p.life, StartedAt: r.now()})
	r.rec.mu.Unlock()
	p.target.incarnation.Store(int64(p.life))
	p.down = false
	return nil
}

func (r *run) awaitReady(ctx context.Context, p *proc, limit time.Duration) error {
	until := time.Now().Add(limit)
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for time.Now().Before(until) {
		resp, err := c.Get("http://" + p.admin + "/readyz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
	text, _ := os.ReadFile(p.log.Name()) // a test's folder is gone when somebody would look
	return fmt.Errorf("edge %d was not ready within %v; its log %s ends: %s", p.n, limit, p.log.Name(), text[max(0, len(text)-600):])
}

// endEdge kills an edge, or asks it to stop, and waits for its end.
func (r *run) endEdge(p *proc, sig syscall.Signal) error {
	if p.down {
		return nil
	}
	p.down = true
	asked := r.now()
	r.rec.mu.Lock()
	r.rec.Incarnations[p.life].StopRequestedAt = asked
	r.rec.Incarnations[p.life].Killed = sig == syscall.SIGKILL
	r.rec.mu.Unlock()
	if err := p.cmd.Process.Signal(sig); err != nil {
		return err
	}
	err := p.cmd.Wait()
	r.rec.mu.Lock()
	r.rec.Incarnations[p.life].EndedAt = r.now()
	r.rec.mu.Unlock()
	p.target.closeIdle()
	var exit *exec.ExitError
	if sig == syscall.SIGKILL && errors.As(err, &exit) {
		return nil
	}
	return err
}

func (r *run) stopEdges() {
	for _, p := range r.procs {
		if p.cmd != nil && p.cmd.Process != nil {
			if err := r.endEdge(p, syscall.SIGTERM); err != nil {
				r.platform.logEvent("edge %d did not stop cleanly: %v", p.n, err)
			}
		}
		if p.log != nil {
			p.log.Close()
		}
	}
}

// sleep waits till a moment of the day; false: the day is over.
func (r *run) sleep(until runTime) bool {
	t := time.NewTimer(max(0, until-r.now()))
	defer t.Stop()
	select {
	case <-r.quit:
		return false
	case <-t.C:
		return true
	}
}

// troubles plays what goes wrong, each trouble beside the others.
func (r *run) troubles() {
	for _, t := range r.Day.Troubles {
		t := t
		var on []int
		count := r.Day.Machines
		if t.Kind == "sentry-kill" || t.Kind == "sentry-roll" {
			count = r.Day.Sentries
		}
		if on = t.On; len(on) == 0 {
			on = r.rng.Perm(count)[:min(t.Many, count)]
		}
		r.group.Go(func() {
			if r.sleep(t.At) {
				r.platform.logEvent("%s begins: %v for %v, size %g", t.Kind, on, t.For, t.Size)
				r.trouble(t, on)
				r.platform.logEvent("%s ends", t.Kind)
			}
		})
	}
}

// at what runs at places now.
func (r *run) workers(places []int) []*worker {
	r.platform.mu.Lock()
	defer r.platform.mu.Unlock()
	var out []*worker
	for _, n := range places {
		if n < 0 || n >= len(r.platform.replicas) {
			continue
		}
		s := r.platform.replicas[n]
		if s.newWorker != nil {
			out = append(out, s.newWorker)
		} else if s.oldWorker != nil {
			out = append(out, s.oldWorker)
		}
	}
	return out
}

// trouble plays one, to its end.
func (r *run) trouble(t Trouble, on []int) {
	end := t.At + t.For
	ill := func(set, unset func(*fleet.MachineFault)) {
		ws := r.workers(on)
		for _, w := range ws {
			w.changeFault(set)
		}
		r.sleep(end)
		for _, w := range ws {
			w.changeFault(unset)
		}
	}
	switch t.Kind {
	case "crash":
		r.crash(r.workers(on), end)
	case "vanish":
		ws := r.workers(on)
		for _, w := range ws {
			w.setSilent(true)
		}
		r.sleep(end)
		for _, w := range ws {
			w.setSilent(false)
		}
	case "hang":
		ill(func(a *fleet.MachineFault) { a.Hangs = true }, func(a *fleet.MachineFault) { a.Hangs = false })
		for _, w := range r.workers(on) { // what hung is restarted by whoever looks after it
			w.setSilent(false)
		}
	case "slow":
		ill(func(a *fleet.MachineFault) { a.Slow = t.Size }, func(a *fleet.MachineFault) { a.Slow = 0 })
	case "fast-errors":
		ill(func(a *fleet.MachineFault) { a.FailureRate = t.Size }, func(a *fleet.MachineFault) { a.FailureRate = 0 })
	case "neighbour":
		ill(func(a *fleet.MachineFault) { a.NeighbourShare = min(0.95, t.Size) }, func(a *fleet.MachineFault) { a.NeighbourShare = 0 })
	case "late-reports":
		ill(func(a *fleet.MachineFault) { a.ReportsStale = true }, func(a *fleet.MachineFault) { a.ReportsStale = false })
	case "false-reports":
		ill(func(a *fleet.MachineFault) { a.ReportsIdle = true }, func(a *fleet.MachineFault) { a.ReportsIdle = false })
	case "costly-connect", "garbage":
		set := func(ws []*worker, cost time.Duration, share float64) {
			r.park.mu.Lock()
			defer r.park.mu.Unlock()
			for _, w := range ws {
				w.connectDelay, w.garbageRate = cost, share
			}
		}
		ws := r.workers(on)
		if t.Kind == "garbage" {
			set(ws, 0, t.Size)
		} else {
			set(ws, time.Duration(t.Size*float64(time.Millisecond)), 0)
		}
		r.sleep(end)
		set(ws, 0, 0)
	case "burst":
		storeFloat(&r.clients.rateFactor, max(0.01, t.Size))
		r.sleep(end)
		storeFloat(&r.clients.rateFactor, 1)
	case "give-up":
		storeFloat(&r.clients.giveUpShare, t.Size)
		r.sleep(end)
		storeFloat(&r.clients.giveUpShare, 0)
	case "bad-requests":
		storeFloat(&r.clients.badKeyShare, t.Size)
		r.sleep(end)
		storeFloat(&r.clients.badKeyShare, 0)
	case "sentry-kill", "sentry-roll":
		sig := syscall.SIGKILL
		if t.Kind == "sentry-roll" {
			sig = syscall.SIGTERM
		}
		for _, n := range on {
			if n < 0 || n >= len(r.procs) {
				continue
			}
			p := r.procs[n]
			if err := r.endEdge(p, sig); err != nil {
				r.platform.logEvent("edge %d did not stop cleanly: %v", n, err)
			}
			if sig == syscall.SIGKILL {
				r.sleep(end)
			}
			if err := r.startEdge(p); err != nil {
				r.platform.logEvent("%v", err)
				continue
			}
			if sig == syscall.SIGTERM {
				r.awaitReady(context.Background(), p, 5*time.Second)
			}
		}
	case "stalled", "late-news":
		r.platform.mu.Lock()
		if t.Kind == "stalled" {
			r.platform.stalled = true
		} else {
			r.platform.extraUpdateDelay = time.Duration(t.Size * float64(time.Second))
		}
		r.platform.mu.Unlock()
		r.sleep(end)
		r.platform.mu.Lock()
		if t.Kind == "stalled" {
			r.platform.stalled = false
		} else {
			r.platform.extraUpdateDelay = 0
		}
		r.platform.mu.Unlock()
	}
}

// crash ends machines at once; the list hears of it a while later, and of their cold start.
func (r *run) crash(ws []*worker, end runTime) {
	p := r.platform
	for _, w := range ws {
		w.stop()
	}
	p.mu.Lock()
	for _, w := range ws {
		p.addWorkerChange(p.day.WorkerListDelay+500*time.Millisecond, w, "gone")
	}
	p.mu.Unlock()
	r.sleep(end)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range ws {
		s := p.replicas[w.replica]
		if s.newWorker != w && s.oldWorker != w {
			continue // replaced meanwhile
		}
		if err := w.start(true); err != nil {
			p.logEvent("%v", err)
			continue
		}
		p.addWorkerChange(p.day.WorkerListDelay, w, "up")
	}
}

// live tells once a second how the day goes.
func (r *run) live() {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	marks, txns, arrivals := 0, 0, 0
	for {
		select {
		case <-r.quit:
			return
		case <-t.C:
		}
		r.platform.mu.Lock()
		s := Snapshot{At: r.now(), Length: r.Day.Length, Phase: r.platform.phase, Build: r.platform.build, Stage: r.platform.stage}
		r.platform.mu.Unlock()
		r.rec.mu.Lock()
		for _, x := range r.rec.Txns[txns:] {
			s.Asked++
			switch {
			case x.Status == 200 && x.AnsweredAt-x.SentAt <= r.Day.Products[x.Product].SLA:
				s.InTime++
			case x.Status == 200:
				s.Late++
			case x.Outcome == "declined":
				s.Decline++
			case x.Outcome == "voided":
				s.Voided++
			default:
				s.Lost++
			}
		}
		txns = len(r.rec.Txns)
		for _, a := range r.rec.Submissions[arrivals:] {
			if a.Build == s.Build {
				s.Trial++
			}
		}
		arrivals = len(r.rec.Submissions)
		s.Marks = append(s.Marks, r.rec.Marks[marks:]...)
		marks = len(r.rec.Marks)
		r.rec.mu.Unlock()
		r.Live(s)
	}
}

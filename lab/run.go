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

// Runner runs a day against edges in separate processes, which it starts with the given command.
type Runner struct {
	Day         *Day
	Out         string                              // directory for the edges' settings, state and logs
	EdgeCommand func(settingsPath string) *exec.Cmd // returns the command that runs one edge
	OnProgress  func(Snapshot)                      // called once a second; may be nil

	// beforeEdges, if not nil, is called after the platform has started to serve and before the first edge starts.
	beforeEdges func(r *run)
	// stateHook, if not nil, is called whenever the platform enters a state, from the start of the day on.
	stateHook func(r *run, state string)
}

// Snapshot is the state of a run at one moment, with the counts and events since the previous snapshot.
type Snapshot struct {
	At                  time.Duration // since the start of the day
	Length              time.Duration
	Phase               string
	Build               int
	Stage               int
	Asked               int // txns that ended since the previous snapshot; the next five fields divide them by result
	InTime              int
	Late                int
	Declined            int
	Voided              int
	Lost                int
	NewBuildSubmissions int      // submissions to the newest build
	Events              []string // events of the run
}

// edgeProcess is the process of one edge.
type edgeProcess struct {
	index        int
	settingsPath string
	adminAddress string
	cmd          *exec.Cmd
	logFile      *os.File
	incarnation  int // index of the current incarnation in Record.Incarnations
	endpoint     *edgeEndpoint
	stopped      bool // whether the process has been sent a signal to stop
}

// run is one run of a day.
type run struct {
	*Runner
	startTime  time.Time    // when the run started, before its edges
	dayOffset  atomic.Int64 // from startTime to the start of the day, in nanoseconds
	rec        *Record
	fleet      *workerFleet
	platform   *platform
	clients    *clients
	edges      []*edgeProcess
	group      sync.WaitGroup
	quit       chan struct{}
	rng        *rand.Rand
	listFileMu sync.Mutex // guards the list file
}

// runCount counts the runs that this process has started. It gives each run its own address.
var runCount atomic.Int64

// crashDetectionTime is the time that the platform takes to notice that a worker has crashed.
const crashDetectionTime = 500 * time.Millisecond

// now returns the time since the start of the day.
func (r *run) now() runTime { return time.Since(r.startTime) - time.Duration(r.dayOffset.Load()) }

// Run runs the day and returns its record. An error means that the run failed; violated rules are not an error.
func (runner *Runner) Run(ctx context.Context) (*Record, error) {
	if err := os.MkdirAll(runner.Out, 0o755); err != nil {
		return nil, fmt.Errorf("lab: %w", err)
	}
	r := &run{Runner: runner, startTime: time.Now(), rec: &Record{}, quit: make(chan struct{}), rng: rand.New(rand.NewSource(runner.Day.Seed + 7))}
	// Each run has its own loopback address, so that connections of other runs do not occupy its ports.
	id := os.Getpid() + int(runCount.Add(1))<<12
	host := fmt.Sprintf("127.%d.%d.%d", 32+id>>14&63, id>>7&127, 1+id&127)
	r.fleet = newWorkerFleet(runner.Day, r.rec, r.now, host)
	r.platform = newPlatform(runner.Day, r.rec, r.fleet, r.now)
	r.clients = newClients(runner.Day, r.rec, r.now, r.platform.reportWrongAnswer)
	defer r.fleet.close()
	if err := r.platform.start(host); err != nil {
		return nil, err
	}
	defer r.platform.close()
	if runner.beforeEdges != nil {
		runner.beforeEdges(r)
	}
	defer r.stopEdges()
	if err := r.startEdges(ctx, host); err != nil {
		return nil, err
	}
	// The day starts when all edges serve.
	r.beginDay()
	if runner.stateHook != nil {
		r.platform.mu.Lock()
		r.platform.stateHook = func(state string) { runner.stateHook(r, state) }
		r.platform.runStateHook()
		r.platform.mu.Unlock()
	}
	r.group.Go(r.scheduleFaults)
	if runner.OnProgress != nil {
		r.group.Go(r.reportProgress)
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

// beginDay sets the start of the day to the current time, and the times of everything recorded during start-up to 0.
func (r *run) beginDay() {
	r.platform.mu.Lock()
	defer r.platform.mu.Unlock()
	r.rec.mu.Lock()
	defer r.rec.mu.Unlock()
	r.dayOffset.Store(int64(r.now()))
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

// freeAddress returns an address of the host with a port that is unused at present.
func freeAddress(host string) (string, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// startEdges writes the edges' settings, starts all edges and waits until they are ready.
func (r *run) startEdges(ctx context.Context, host string) error {
	d := r.Day
	var peers []string
	if d.PeerMessages {
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
		p := &edgeProcess{index: i, adminAddress: admin, settingsPath: filepath.Join(r.Out, fmt.Sprintf("edge-%d.sexp", i))}
		text := d.EdgeSettings(i, listen, admin, r.platform.url, filepath.Join(r.Out, "state"), peers)
		if err := os.WriteFile(p.settingsPath, []byte(text), 0o644); err != nil {
			return err
		}
		if p.logFile, err = os.Create(filepath.Join(r.Out, fmt.Sprintf("edge-%d.log", i))); err != nil {
			return err
		}
		weight := 1.0
		if len(d.EdgeWeights) > 0 {
			weight = d.EdgeWeights[i]
		}
		p.endpoint = &edgeEndpoint{index: i, address: listen, weight: weight}
		r.clients.edges = append(r.clients.edges, p.endpoint)
		r.edges = append(r.edges, p)
	}
	for _, p := range r.edges {
		if err := r.startEdge(p); err != nil {
			return err
		}
	}
	for _, p := range r.edges {
		if err := r.awaitReady(ctx, p, 10*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// startEdge starts an edge's process and records its incarnation.
func (r *run) startEdge(p *edgeProcess) error {
	p.cmd = r.EdgeCommand(p.settingsPath)
	p.cmd.Stderr, p.cmd.Stdout = p.logFile, p.logFile
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the edge must not outlive the lab
	if err := p.cmd.Start(); err != nil {
		return fmt.Errorf("edge %d: %w", p.index, err)
	}
	r.rec.mu.Lock()
	p.incarnation = len(r.rec.Incarnations)
	r.rec.Incarnations = append(r.rec.Incarnations, Incarnation{Edge: p.index, Number: p.incarnation, StartedAt: r.now()})
	r.rec.mu.Unlock()
	p.endpoint.incarnation.Store(int64(p.incarnation))
	p.stopped = false
	return nil
}

// awaitReady waits until an edge reports that it is ready.
func (r *run) awaitReady(ctx context.Context, p *edgeProcess, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for time.Now().Before(deadline) {
		resp, err := c.Get("http://" + p.adminAddress + "/readyz")
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
	text, _ := os.ReadFile(p.logFile.Name()) // quoted in the error, because a test removes its directory with the log
	return fmt.Errorf("edge %d was not ready within %v; its log %s ends: %s", p.index, timeout, p.logFile.Name(), text[max(0, len(text)-600):])
}

// stopEdge sends a signal to an edge, SIGKILL or SIGTERM, and waits for its exit.
func (r *run) stopEdge(p *edgeProcess, sig syscall.Signal) error {
	if p.stopped {
		return nil
	}
	p.stopped = true
	requestedAt := r.now()
	r.rec.mu.Lock()
	r.rec.Incarnations[p.incarnation].StopRequestedAt = requestedAt
	r.rec.Incarnations[p.incarnation].Killed = sig == syscall.SIGKILL
	r.rec.mu.Unlock()
	if err := p.cmd.Process.Signal(sig); err != nil {
		return err
	}
	err := p.cmd.Wait()
	r.rec.mu.Lock()
	r.rec.Incarnations[p.incarnation].EndedAt = r.now()
	r.rec.mu.Unlock()
	p.endpoint.closeIdle()
	var exit *exec.ExitError
	if sig == syscall.SIGKILL && errors.As(err, &exit) {
		return nil
	}
	return err
}

// stopEdges stops all edges that still run, with SIGTERM.
func (r *run) stopEdges() {
	for _, p := range r.edges {
		if p.cmd != nil && p.cmd.Process != nil {
			if err := r.stopEdge(p, syscall.SIGTERM); err != nil {
				r.platform.logEvent("edge %d did not stop cleanly: %v", p.index, err)
			}
		}
		if p.logFile != nil {
			p.logFile.Close()
		}
	}
}

// sleepUntil waits until a time of the day. It returns false if the run ends first.
func (r *run) sleepUntil(until runTime) bool {
	t := time.NewTimer(max(0, until-r.now()))
	defer t.Stop()
	select {
	case <-r.quit:
		return false
	case <-t.C:
		return true
	}
}

// scheduleFaults starts a goroutine for each fault of the day, which injects it at its time.
func (r *run) scheduleFaults() {
	for _, fault := range r.Day.Faults {
		fault := fault
		var targets []int
		candidates := r.Day.Machines
		if fault.Kind == "sentry-kill" || fault.Kind == "sentry-roll" {
			candidates = r.Day.Sentries
		}
		if targets = fault.Targets; len(targets) == 0 {
			targets = r.rng.Perm(candidates)[:min(fault.Count, candidates)]
		}
		r.group.Go(func() {
			if r.sleepUntil(fault.At) {
				r.platform.logEvent("%s begins: %v for %v, size %g", fault.Kind, targets, fault.Duration, fault.Magnitude)
				r.injectFault(fault, targets)
				r.platform.logEvent("%s ends", fault.Kind)
			}
		})
	}
}

// workersAt returns the workers that currently serve the given replicas, the newer one where a replica has two.
func (r *run) workersAt(replicas []int) []*worker {
	r.platform.mu.Lock()
	defer r.platform.mu.Unlock()
	var workers []*worker
	for _, index := range replicas {
		if index < 0 || index >= len(r.platform.replicas) {
			continue
		}
		replica := r.platform.replicas[index]
		if replica.newWorker != nil {
			workers = append(workers, replica.newWorker)
		} else if replica.oldWorker != nil {
			workers = append(workers, replica.oldWorker)
		}
	}
	return workers
}

// injectFault injects a fault into the given targets and removes it at its end.
func (r *run) injectFault(fault Fault, targets []int) {
	end := fault.At + fault.Duration
	withMachineFault := func(set, unset func(*fleet.MachineFault)) {
		workers := r.workersAt(targets)
		for _, w := range workers {
			w.changeFault(set)
		}
		r.sleepUntil(end)
		for _, w := range workers {
			w.changeFault(unset)
		}
	}
	switch fault.Kind {
	case "crash":
		r.crashWorkers(r.workersAt(targets), end)
	case "vanish":
		workers := r.workersAt(targets)
		for _, w := range workers {
			w.setSilent(true)
		}
		r.sleepUntil(end)
		for _, w := range workers {
			w.setSilent(false)
		}
	case "hang":
		withMachineFault(func(m *fleet.MachineFault) { m.Hangs = true }, func(m *fleet.MachineFault) { m.Hangs = false })
		for _, w := range r.workersAt(targets) { // resets connections and jobs, like a restart by a supervisor
			w.setSilent(false)
		}
	case "slow":
		withMachineFault(func(m *fleet.MachineFault) { m.SlowdownFactor = fault.Magnitude }, func(m *fleet.MachineFault) { m.SlowdownFactor = 0 })
	case "fast-errors":
		withMachineFault(func(m *fleet.MachineFault) { m.FailureRate = fault.Magnitude }, func(m *fleet.MachineFault) { m.FailureRate = 0 })
	case "neighbour":
		withMachineFault(func(m *fleet.MachineFault) { m.NeighbourShare = min(0.95, fault.Magnitude) }, func(m *fleet.MachineFault) { m.NeighbourShare = 0 })
	case "late-reports":
		withMachineFault(func(m *fleet.MachineFault) { m.ReportsStale = true }, func(m *fleet.MachineFault) { m.ReportsStale = false })
	case "false-reports":
		withMachineFault(func(m *fleet.MachineFault) { m.ReportsIdle = true }, func(m *fleet.MachineFault) { m.ReportsIdle = false })
	case "costly-connect", "garbage":
		set := func(workers []*worker, connectDelay time.Duration, garbageRate float64) {
			r.fleet.mu.Lock()
			defer r.fleet.mu.Unlock()
			for _, w := range workers {
				w.connectDelay, w.garbageRate = connectDelay, garbageRate
			}
		}
		workers := r.workersAt(targets)
		if fault.Kind == "garbage" {
			set(workers, 0, fault.Magnitude)
		} else {
			set(workers, time.Duration(fault.Magnitude*float64(time.Millisecond)), 0)
		}
		r.sleepUntil(end)
		set(workers, 0, 0)
	case "burst":
		storeFloat(&r.clients.rateFactor, max(0.01, fault.Magnitude))
		r.sleepUntil(end)
		storeFloat(&r.clients.rateFactor, 1)
	case "give-up":
		storeFloat(&r.clients.giveUpShare, fault.Magnitude)
		r.sleepUntil(end)
		storeFloat(&r.clients.giveUpShare, 0)
	case "bad-requests":
		storeFloat(&r.clients.badKeyShare, fault.Magnitude)
		r.sleepUntil(end)
		storeFloat(&r.clients.badKeyShare, 0)
	case "sentry-kill", "sentry-roll":
		sig := syscall.SIGKILL
		if fault.Kind == "sentry-roll" {
			sig = syscall.SIGTERM
		}
		for _, i := range targets {
			if i < 0 || i >= len(r.edges) {
				continue
			}
			p := r.edges[i]
			if err := r.stopEdge(p, sig); err != nil {
				r.platform.logEvent("edge %d did not stop cleanly: %v", i, err)
			}
			if sig == syscall.SIGKILL {
				r.sleepUntil(end)
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
		if fault.Kind == "stalled" {
			r.platform.stalled = true
		} else {
			r.platform.extraUpdateDelay = time.Duration(fault.Magnitude * float64(time.Second))
		}
		r.platform.mu.Unlock()
		r.sleepUntil(end)
		r.platform.mu.Lock()
		if fault.Kind == "stalled" {
			r.platform.stalled = false
		} else {
			r.platform.extraUpdateDelay = 0
		}
		r.platform.mu.Unlock()
	}
}

// crashWorkers stops workers abruptly and restarts them cold at end. The worker list shows both changes with a delay.
func (r *run) crashWorkers(workers []*worker, end runTime) {
	p := r.platform
	for _, w := range workers {
		w.stop()
	}
	p.mu.Lock()
	for _, w := range workers {
		p.addWorkerChange(p.day.WorkerListDelay+crashDetectionTime, w, "gone")
	}
	p.mu.Unlock()
	r.sleepUntil(end)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range workers {
		replica := p.replicas[w.replica]
		if replica.newWorker != w && replica.oldWorker != w {
			continue // replaced in the meantime
		}
		if err := w.start(true); err != nil {
			p.logEvent("%v", err)
			continue
		}
		p.addWorkerChange(p.day.WorkerListDelay, w, "up")
	}
}

// reportProgress calls OnProgress once a second.
func (r *run) reportProgress() {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	eventCount, txnCount, submissionCount := 0, 0, 0
	for {
		select {
		case <-r.quit:
			return
		case <-t.C:
		}
		r.platform.mu.Lock()
		snapshot := Snapshot{At: r.now(), Length: r.Day.Length, Phase: r.platform.phase, Build: r.platform.build, Stage: r.platform.stage}
		r.platform.mu.Unlock()
		r.rec.mu.Lock()
		for _, txn := range r.rec.Txns[txnCount:] {
			snapshot.Asked++
			switch {
			case txn.Status == 200 && txn.AnsweredAt-txn.SentAt <= r.Day.Products[txn.Product].SLA:
				snapshot.InTime++
			case txn.Status == 200:
				snapshot.Late++
			case txn.Outcome == "declined":
				snapshot.Declined++
			case txn.Outcome == "voided":
				snapshot.Voided++
			default:
				snapshot.Lost++
			}
		}
		txnCount = len(r.rec.Txns)
		for _, submission := range r.rec.Submissions[submissionCount:] {
			if submission.Build == snapshot.Build {
				snapshot.NewBuildSubmissions++
			}
		}
		submissionCount = len(r.rec.Submissions)
		snapshot.Events = append(snapshot.Events, r.rec.Events[eventCount:]...)
		eventCount = len(r.rec.Events)
		r.rec.mu.Unlock()
		r.OnProgress(snapshot)
	}
}

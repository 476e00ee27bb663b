package lab

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"dunegrade/api"
	"dunegrade/fleet"
)

const (
	stepInterval        = 20 * time.Millisecond  // between updates of machines and releases
	stepsPerSlowdown    = 5                      // steps between updates of the fleet's slowdown (100 ms)
	streamPollInterval  = 10 * time.Millisecond  // between polls for new lines of a watch
	bookmarkInterval    = 500 * time.Millisecond // silence of a watch after which a bookmark is sent
	voteLifetime        = 4 * time.Second        // age up to which a vote counts
	stalledVoteTimeout  = 5 * time.Second        // how long a stalled platform holds a request with a vote
	shutdownTimeout     = 2 * time.Second        // for the requests that are pending at the end of the run
	maxVoteBytes        = 64 << 10               // size of a vote's request body
	stageShareTolerance = 1e-9                   // rounding error of a stage's share times the number of replicas
)

// platform simulates the release platform: it manages workers, builds, stages and caps, counts votes, and serves the REST
// API. It keeps no state on disk.
type platform struct {
	day        *Day
	rec        *Record
	workers    *workerFleet
	now        func() runTime
	rng        *rand.Rand
	http       *http.Server
	url        string
	goroutines sync.WaitGroup
	stateHooks sync.WaitGroup // running calls of stateHook
	quit       chan struct{}

	mu               sync.Mutex
	replicas         []*replicaState
	workerChanges    []workerChange  // log of the worker list; an entry's revision is its index + 1
	releaseUpdates   []releaseUpdate // log of the release; an entry's revision is its index + 1
	build            int             // number of the newest build
	previousBuild    int             // number of the build that the newest one replaces
	builds           map[int]fleet.Build
	stage            int
	phase            string
	phaseSince       runTime
	stageReadyAt     runTime            // when all machines of the stage were up; 0: not yet
	latestVotes      map[int]VoteRecord // by sentry
	voteTokens       float64            // tokens in the bucket that limits votes
	tokensRefilledAt runTime
	stalled          bool                    // whether the platform makes no progress and answers nothing
	extraUpdateDelay time.Duration           // of release updates, on top of the day's
	reports          map[string][]api.Report // reports of wrong answers that are not sent yet, by edge
	tallies          []scheduledTally
	talliedAt        runTime
	stageElapsed     time.Duration // time on the stage's clock, under the vote rule clocked
	steppedAt        runTime
	latestEntries    map[string]api.Worker
	nextOffer        int                                   // index into the day's offers
	stateHook        func(state string)                    // called on entry to each state, which lasts until the call returns; may be nil
	runningHooks     int                                   // number of running calls of stateHook
	corruptLine      func(w http.ResponseWriter, line any) // called before each line of a watch is written; may be nil
	wentBackAt       map[int]runTime                       // when each build first went back
	releasedAt       map[int]runTime
	offeredAt        map[int]runTime
}

// replicaState is one replica of the fleet with the workers that serve it.
type replicaState struct {
	index          int
	speed          float64
	oldWorker      *worker // of the previous build; nil: none
	newWorker      *worker // of the newest build; nil: none
	stopAt         runTime // when drainingWorker is to be stopped
	drainingWorker *worker
	bootDoneAt     runTime // when bootingWorker is to start serving
	bootingWorker  *worker
}

// workerChange is a change of the worker list. Edges receive it from the given time on.
type workerChange struct {
	at     runTime
	worker api.Worker
}

// scheduledTally is a tally. Edges receive it from the given time on.
type scheduledTally struct {
	at    runTime
	tally api.Tally
}

// releaseUpdate is a state of the newest build's release. Edges receive it from the given time on.
type releaseUpdate struct {
	at      runTime
	release api.Release
}

// newPlatform returns a platform on which build 1 is released. It is not running yet.
func newPlatform(day *Day, rec *Record, workers *workerFleet, now func() runTime) *platform {
	p := &platform{day: day, rec: rec, workers: workers, now: now, rng: rand.New(rand.NewSource(day.Seed + 17)), quit: make(chan struct{}),
		build: 1, previousBuild: 1, builds: map[int]fleet.Build{1: {Number: 1, Flaw: fleet.NoFlaw, Speed: 1}}, phase: api.PhaseReleased,
		stage: len(day.StageShares) - 1, latestVotes: map[int]VoteRecord{}, voteTokens: 2 * day.VotesPerSecond, reports: map[string][]api.Report{},
		latestEntries: map[string]api.Worker{}, wentBackAt: map[int]runTime{}, releasedAt: map[int]runTime{}, offeredAt: map[int]runTime{}}
	return p
}

// start starts the first workers, and the API on a free port of host.
func (p *platform) start(host string) error {
	for i := 0; i < p.day.Machines; i++ {
		replica := &replicaState{index: i, speed: p.day.MinSpeed + (p.day.MaxSpeed-p.day.MinSpeed)*p.rng.Float64()}
		replica.oldWorker = p.workers.newWorker(i, p.builds[1], replica.speed, fleet.MachineFault{})
		if err := replica.oldWorker.start(false); err != nil {
			return err
		}
		p.replicas = append(p.replicas, replica)
		p.addWorkerChange(0, replica.oldWorker, api.WorkerUp)
	}
	p.addReleaseUpdate(0)
	ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	p.url = "http://" + ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/workers", p.watchWorkers)
	mux.HandleFunc("GET /v1/releases", p.watchReleases)
	mux.HandleFunc("GET /v1/reports", p.watchReports)
	mux.HandleFunc("GET /v1/tallies", p.watchTallies)
	mux.HandleFunc("POST /v1/releases/{name}/votes", p.handleVote)
	p.http = &http.Server{Handler: mux}
	p.goroutines.Go(func() { p.http.Serve(ln) })
	p.goroutines.Go(p.run)
	return nil
}

// close stops the API and waits for the platform's goroutines. The workers keep running.
func (p *platform) close() {
	close(p.quit)
	ctx, stop := context.WithTimeout(context.Background(), shutdownTimeout)
	defer stop()
	p.http.Shutdown(ctx)
	p.http.Close()
	p.goroutines.Wait()
}

// awaitStateHooks waits for the running state hooks, which may still be stopping edges, and prevents further calls.
func (p *platform) awaitStateHooks() {
	p.mu.Lock()
	p.stateHook = nil
	p.mu.Unlock()
	p.stateHooks.Wait()
}

// addWorkerChange adds a change to the worker list. Edges receive it after delay. The caller holds the lock, unless the API
// is not served yet.
func (p *platform) addWorkerChange(delay time.Duration, w *worker, state string) {
	entry := api.Worker{ID: w.id, Address: w.address, Zone: "lab", Kind: "std", State: state, Weight: 1, Build: w.build.Number,
		StartedAt: int64(w.startedAt)}
	visibleAt := p.now() + delay
	if n := len(p.workerChanges); n > 0 {
		visibleAt = max(visibleAt, p.workerChanges[n-1].at) // keeps changes in order
	}
	p.workerChanges = append(p.workerChanges, workerChange{visibleAt, entry})
}

// state returns the name that tests use for the state of the release.
func (p *platform) state() string {
	switch {
	case p.phase == api.PhaseOnTrial && p.stage == 0 && p.build > p.previousBuild+1:
		return "next build after one withdrawn"
	case p.phase == api.PhaseOnTrial && p.stage == 0:
		return "first stage"
	case p.phase == api.PhaseOnTrial && p.stage == len(p.day.StageShares)-1:
		return "last stage"
	case p.phase == api.PhaseOnTrial:
		return "stage change"
	case p.phase == api.PhaseGoingBack:
		return "going back"
	case p.phase == api.PhaseWithdrawn:
		return "withdrawn"
	case p.build == 1:
		return "no trial"
	}
	return "after release"
}

// runStateHook calls the state hook, if any, in a goroutine. The platform stays in the state until the hook returns. The
// caller holds the lock.
func (p *platform) runStateHook() {
	if p.stateHook == nil {
		return
	}
	state, hook := p.state(), p.stateHook
	p.runningHooks++
	p.stateHooks.Go(func() {
		hook(state)
		p.mu.Lock()
		p.runningHooks--
		p.mu.Unlock()
	})
}

// addReleaseUpdate adds an update with the current state of the release. Edges receive it after delay. The caller holds the
// lock, unless the API is not served yet.
func (p *platform) addReleaseUpdate(delay time.Duration) {
	p.runStateHook()
	exposureCap := 0.0
	switch p.phase {
	case api.PhaseOnTrial:
		exposureCap = p.day.stageCaps()[p.stage]
	case api.PhaseReleased:
		exposureCap = 1
	}
	visibleAt := p.now() + delay
	if n := len(p.releaseUpdates); n > 0 {
		visibleAt = max(visibleAt, p.releaseUpdates[n-1].at)
	}
	p.releaseUpdates = append(p.releaseUpdates, releaseUpdate{visibleAt, api.Release{Name: strconv.Itoa(p.build), Build: p.build, Stage: p.stage,
		Phase: p.phase, Cap: exposureCap, Since: int64(p.phaseSince)}})
}

// logEvent adds a line with the current time to the run's events.
func (p *platform) logEvent(format string, args ...any) {
	text := fmt.Sprintf("%6.2fs  ", p.now().Seconds()) + fmt.Sprintf(format, args...)
	p.rec.mu.Lock()
	p.rec.Events = append(p.rec.Events, text)
	p.rec.mu.Unlock()
}

// run updates machines and releases every stepInterval.
func (p *platform) run() {
	t := time.NewTicker(stepInterval)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-p.quit:
			return
		case <-t.C:
		}
		if n%stepsPerSlowdown == 0 {
			p.workers.updateSlowdown()
		}
		p.mu.Lock()
		if !p.stalled {
			p.step()
		} else {
			p.steppedAt = p.now() // the stage's clock does not advance
		}
		p.mu.Unlock()
	}
}

// step updates machines and releases. The caller holds the lock.
func (p *platform) step() {
	now := p.now()
	if p.nextOffer < len(p.day.Offers) && now >= p.day.Offers[p.nextOffer].At && p.phase != api.PhaseGoingBack && p.runningHooks == 0 {
		if p.phase == api.PhaseOnTrial { // the build on trial goes back before the next one is offered
			p.sendBack("the next build is offered")
			return
		}
		p.offerBuild(p.day.Offers[p.nextOffer])
		p.nextOffer++
	}
	p.emitTallies(now)
	elapsed := now - p.steppedAt
	p.steppedAt = now
	for _, replica := range p.replicas {
		p.stepReplica(now, replica)
	}
	switch p.phase {
	case api.PhaseOnTrial:
		p.stepTrial(now, elapsed)
	case api.PhaseGoingBack:
		for _, replica := range p.replicas {
			if replica.newWorker != nil || replica.oldWorker == nil || replica.bootingWorker != nil || p.runningHooks > 0 {
				return
			}
		}
		p.phase, p.phaseSince = api.PhaseWithdrawn, now
		p.logEvent("build %d withdrawn", p.build)
		p.addReleaseUpdate(p.day.ReleaseUpdateDelay)
	}
}

// offerBuild puts the next build on trial. The caller holds the lock.
func (p *platform) offerBuild(offer Offer) {
	// The new build replaces the released one. After a withdrawal, the released one is still previousBuild.
	if p.phase == api.PhaseReleased {
		p.previousBuild = p.build
	}
	p.build++
	p.offeredAt[p.build] = p.now()
	p.builds[p.build] = fleet.Build{Number: p.build, Flaw: offer.Flaw, Strength: offer.Strength, Product: max(0, p.day.productIndex(offer.Product)),
		Speed: offer.Speed}
	p.stage, p.phase, p.phaseSince, p.stageReadyAt = 0, api.PhaseOnTrial, p.now(), 0
	clear(p.latestVotes)
	p.logEvent("build %d offered (%s %g)", p.build, offer.Flaw, offer.Strength)
	for _, replica := range p.replicas {
		if replica.newWorker != nil { // all machines run one build now
			replica.oldWorker, replica.newWorker = replica.newWorker, nil
		}
	}
	p.addReleaseUpdate(p.day.ReleaseUpdateDelay)
}

// bootWorker starts to boot a worker for a replica.
func (p *platform) bootWorker(replica *replicaState, build fleet.Build) {
	replica.bootingWorker = p.workers.newWorker(replica.index, build, replica.speed, fleet.MachineFault{})
	replica.bootDoneAt = p.now() + p.day.BootTime
}

// drainWorker starts to drain a worker of a replica.
func (p *platform) drainWorker(replica *replicaState, w *worker) {
	replica.drainingWorker, replica.stopAt = w, p.now()+p.day.WorkerListDelay+p.day.DrainTime
	p.addWorkerChange(p.day.WorkerListDelay, w, api.WorkerDraining)
}

// stepReplica starts a worker that has booted, stops one that has drained, and replaces workers as the phase requires. The
// caller holds the lock.
func (p *platform) stepReplica(now runTime, replica *replicaState) {
	if replica.drainingWorker != nil && now >= replica.stopAt {
		replica.drainingWorker.stop()
		p.addWorkerChange(p.day.WorkerListDelay, replica.drainingWorker, api.WorkerGone)
		replica.drainingWorker = nil
	}
	if replica.bootingWorker != nil && now >= replica.bootDoneAt {
		w := replica.bootingWorker
		replica.bootingWorker = nil
		if err := w.start(true); err != nil {
			p.logEvent("%v", err)
			return
		}
		p.addWorkerChange(p.day.WorkerListDelay, w, api.WorkerUp)
		if w.build.Number == p.build && (p.phase == api.PhaseOnTrial || p.phase == api.PhaseReleased) {
			replica.newWorker = w
			if p.day.RolloutStyle == "in-place" && replica.oldWorker != nil {
				p.drainWorker(replica, replica.oldWorker)
				replica.oldWorker = nil
			}
		} else {
			replica.oldWorker = w
		}
	}
	if p.phase == api.PhaseGoingBack && replica.drainingWorker == nil {
		if replica.newWorker != nil &&
			(replica.oldWorker != nil || replica.bootingWorker != nil || p.day.RolloutStyle == "in-place") {
			p.drainWorker(replica, replica.newWorker)
			replica.newWorker = nil
		}
	}
	if p.phase == api.PhaseGoingBack && replica.oldWorker == nil && replica.bootingWorker == nil {
		p.bootWorker(replica, p.builds[p.previousBuild])
	}
	if p.phase == api.PhaseReleased && p.day.RolloutStyle == "beside" &&
		replica.newWorker != nil && replica.oldWorker != nil && replica.drainingWorker == nil {
		p.drainWorker(replica, replica.oldWorker)
		replica.oldWorker = nil
	}
}

// stepTrial boots the workers of the stage, counts the votes, and advances the release or sends it back. elapsed is the time
// since the last step. The caller holds the lock.
func (p *platform) stepTrial(now runTime, elapsed time.Duration) {
	wanted := min(len(p.replicas), int(math.Ceil(p.day.StageShares[p.stage]*float64(len(p.replicas))-stageShareTolerance)))
	assigned, running := 0, 0
	for _, replica := range p.replicas {
		if replica.newWorker != nil || replica.bootingWorker != nil && replica.bootingWorker.build.Number == p.build {
			assigned++
			if replica.newWorker != nil {
				running++
			}
		}
	}
	for _, replica := range p.replicas {
		if assigned < wanted && replica.newWorker == nil && replica.bootingWorker == nil && replica.drainingWorker == nil {
			p.bootWorker(replica, p.builds[p.build])
			assigned++
		}
	}
	if running < wanted {
		return
	}
	if p.stageReadyAt == 0 {
		p.stageReadyAt, p.stageElapsed = now, 0
	}
	onVotes, backVotes, holdVotes := 0, 0, 0
	for _, vote := range p.latestVotes {
		if now-vote.At > voteLifetime || vote.Build != p.build {
			continue
		}
		switch {
		case vote.Verdict == api.VoteBack:
			backVotes++
		case vote.Verdict == api.VoteOn && vote.Stage == p.stage:
			onVotes++
		case vote.Verdict == api.VoteHold:
			holdVotes++
		}
	}
	stageDone := onVotes >= p.day.OnVotesNeeded && now-p.stageReadyAt >= p.day.BakeTime
	if p.day.VoteRule == "single" {
		stageDone = onVotes >= 1 && now-p.stageReadyAt >= p.day.BakeTime
	}
	if p.day.VoteRule == "clocked" {
		if holdVotes < p.day.HoldVotesNeeded {
			p.stageElapsed += elapsed
		}
		stageDone = p.stageElapsed >= p.day.StageTime
	}
	backVotesNeeded := p.day.BackVotesNeeded
	if p.day.VoteRule == "single" {
		backVotesNeeded = 1
	}
	switch {
	case p.runningHooks > 0: // the state lasts until the hook returns
	case backVotes >= backVotesNeeded:
		p.sendBack("voted back")
	case stageDone:
		if p.stage++; p.stage == len(p.day.StageShares) {
			p.stage--
			p.phase = api.PhaseReleased
			p.releasedAt[p.build] = now
			p.logEvent("build %d released", p.build)
		} else {
			p.logEvent("build %d voted on to stage %d", p.build, p.stage)
		}
		p.phaseSince, p.stageReadyAt = now, 0
		p.addReleaseUpdate(p.day.ReleaseUpdateDelay)
	}
}

// sendBack makes the newest build go back. The caller holds the lock.
func (p *platform) sendBack(reason string) {
	if p.phase == api.PhaseGoingBack || p.phase == api.PhaseWithdrawn {
		return
	}
	p.phase, p.phaseSince = api.PhaseGoingBack, p.now()
	if _, known := p.wentBackAt[p.build]; !known {
		p.wentBackAt[p.build] = p.now()
	}
	for _, replica := range p.replicas {
		if replica.bootingWorker != nil && replica.bootingWorker.build.Number == p.build {
			replica.bootingWorker = nil
		}
		// A worker that still runs the previous build keeps serving.
		if replica.newWorker != nil && replica.newWorker.build.Number != p.build {
			replica.oldWorker, replica.newWorker = replica.newWorker, nil
		}
	}
	p.logEvent("build %d goes back: %s", p.build, reason)
	p.addReleaseUpdate(p.day.ReleaseUpdateDelay)
}

// handleVote serves POST /v1/releases/{name}/votes.
func (p *platform) handleVote(w http.ResponseWriter, r *http.Request) {
	var vote api.Vote
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxVoteBytes)).Decode(&vote); err != nil {
		http.Error(w, "malformed vote: "+err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	now := p.now()
	record := VoteRecord{Edge: parseEdgeIndex(vote.Edge), At: now, Verdict: vote.Verdict, Build: vote.Build, Stage: vote.Stage}
	status := http.StatusOK
	p.voteTokens = min(2*p.day.VotesPerSecond, p.voteTokens+p.day.VotesPerSecond*(now-p.tokensRefilledAt).Seconds())
	p.tokensRefilledAt = now
	stalled := p.stalled
	switch {
	case stalled:
		record.Counted = p.rng.Intn(2) == 0 // the vote may count although it is not answered
	case p.voteTokens < 1:
		status = http.StatusTooManyRequests
	case vote.Build != p.build || p.build == p.previousBuild || p.phase == api.PhaseGoingBack || p.phase == api.PhaseWithdrawn ||
		vote.Verdict == api.VoteOn && (vote.Stage != p.stage || p.phase != api.PhaseOnTrial || p.day.VoteRule == "clocked"),
		vote.Verdict == api.VoteHold && p.day.VoteRule != "clocked":
		status = http.StatusConflict
	default:
		p.voteTokens--
		record.Counted = true
	}
	if record.Counted {
		p.latestVotes[vote.Sentry] = record
		if vote.Verdict == api.VoteBack && p.phase == api.PhaseReleased && !stalled && p.runningHooks == 0 {
			p.sendBack("voted back after its release")
		}
	}
	event := p.currentRelease()
	p.mu.Unlock()
	p.rec.mu.Lock()
	p.rec.Votes = append(p.rec.Votes, record)
	p.rec.mu.Unlock()
	if stalled {
		select {
		case <-r.Context().Done():
		case <-p.quit:
		case <-time.After(stalledVoteTimeout):
		}
		status = http.StatusInternalServerError
	}
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	p.recordReleaseUpdate(record.Edge, event)
	json.NewEncoder(w).Encode(event)
}

// currentRelease returns the newest release update that edges can see by now. The caller holds the lock.
func (p *platform) currentRelease() api.ReleaseEvent {
	now := p.now()
	event := api.ReleaseEvent{Type: api.EventSnapshot, Now: int64(now)}
	for i, update := range p.releaseUpdates {
		if update.at+p.extraUpdateDelay <= now || i == 0 {
			event.Release, event.Revision = update.release, uint64(i+1)
		}
	}
	return event
}

// parseEdgeIndex returns the index that an edge's name contains, or -1.
func parseEdgeIndex(name string) int {
	n, err := strconv.Atoi(strings.TrimPrefix(name, "edge-"))
	if err != nil {
		return -1
	}
	return n
}

// recordReleaseUpdate records that a release update was sent to an edge.
func (p *platform) recordReleaseUpdate(edge int, event api.ReleaseEvent) {
	p.rec.addUpdate(EdgeUpdate{Edge: edge, At: p.now(), Release: &ReleaseState{event.Release.Build, event.Release.Stage,
		event.Release.Phase, event.Release.Cap}})
}

// stream writes the lines of a watch until the client closes it. It polls nextLines with the lock held, writes the lines
// that it returns, and then calls onSent for each of them.
func (p *platform) stream(w http.ResponseWriter, r *http.Request, nextLines func() []any, onSent func(line any)) {
	flusher, canFlush := w.(http.Flusher)
	if !canFlush || r.URL.Query().Get("watch") == "" {
		http.Error(w, "only watches are served here", http.StatusNotImplemented)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	flusher.Flush()
	encoder := json.NewEncoder(w)
	ticker := time.NewTicker(streamPollInterval)
	defer ticker.Stop()
	lastSentAt := p.now()
	for {
		p.mu.Lock()
		var lines []any
		if !p.stalled {
			lines = nextLines()
		}
		stalled, corruptLine := p.stalled, p.corruptLine
		p.mu.Unlock()
		if len(lines) == 0 && !stalled && p.now()-lastSentAt > bookmarkInterval {
			lines = append(lines, map[string]string{"type": api.EventBookmark})
		}
		for _, line := range lines {
			if corruptLine != nil {
				corruptLine(w, line)
			}
			if encoder.Encode(line) != nil {
				return
			}
		}
		if len(lines) > 0 {
			lastSentAt = p.now()
			flusher.Flush()
			for _, line := range lines {
				onSent(line)
			}
		}
		select {
		case <-r.Context().Done():
			return
		case <-p.quit:
			return
		case <-ticker.C:
		}
	}
}

// watchWorkers serves GET /v1/workers.
func (p *platform) watchWorkers(w http.ResponseWriter, r *http.Request) {
	edge := parseEdgeIndex(r.URL.Query().Get("edge"))
	revision, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	p.stream(w, r, func() (lines []any) {
		now := p.now()
		if revision == 0 || revision > uint64(len(p.workerChanges)) {
			event := api.WorkersEvent{Type: api.EventSnapshot, Now: int64(now)}
			indexByID := map[string]int{}
			for i, change := range p.workerChanges {
				if change.at > now {
					break
				}
				event.Revision = uint64(i + 1)
				if index, known := indexByID[change.worker.ID]; known {
					event.Workers[index] = change.worker
				} else {
					indexByID[change.worker.ID] = len(event.Workers)
					event.Workers = append(event.Workers, change.worker)
				}
			}
			present := event.Workers[:0]
			for _, entry := range event.Workers {
				if entry.State != api.WorkerGone {
					present = append(present, entry)
				}
			}
			event.Workers = present
			revision = event.Revision
			return []any{event}
		}
		for revision < uint64(len(p.workerChanges)) && p.workerChanges[revision].at <= now {
			lines = append(lines, api.WorkersEvent{Type: api.EventChange, Revision: revision + 1, Now: int64(now),
				Workers: []api.Worker{p.workerChanges[revision].worker}})
			revision++
		}
		return lines
	}, func(line any) {
		event, ok := line.(api.WorkersEvent)
		if !ok {
			return
		}
		now := p.now()
		if event.Type == api.EventSnapshot {
			p.rec.addUpdate(EdgeUpdate{Edge: edge, At: now, FullList: true})
		}
		for _, entry := range event.Workers {
			p.rec.addUpdate(EdgeUpdate{Edge: edge, At: now, Worker: entry.ID, State: entry.State, WorkerStartedAt: runTime(entry.StartedAt),
				Build: entry.Build})
		}
	})
}

// watchReleases serves GET /v1/releases.
func (p *platform) watchReleases(w http.ResponseWriter, r *http.Request) {
	edge := parseEdgeIndex(r.URL.Query().Get("edge"))
	var revision uint64
	var sentAt runTime
	p.stream(w, r, func() []any {
		event := p.currentRelease()
		if event.Revision == revision && p.now()-sentAt < p.day.PushInterval {
			return nil
		}
		revision, sentAt = event.Revision, p.now()
		return []any{event}
	}, func(line any) {
		if event, ok := line.(api.ReleaseEvent); ok {
			p.recordReleaseUpdate(edge, event)
		}
	})
}

// watchReports serves GET /v1/reports.
func (p *platform) watchReports(w http.ResponseWriter, r *http.Request) {
	edge := r.URL.Query().Get("edge")
	p.stream(w, r, func() (lines []any) {
		for _, report := range p.reports[edge] {
			lines = append(lines, report)
		}
		p.reports[edge] = nil
		return lines
	}, func(any) {})
}

// reportWrongAnswer queues a report of a wrong answer for the edge that forwarded it.
func (p *platform) reportWrongAnswer(edge int, product, worker string, age time.Duration) {
	p.mu.Lock()
	name := fmt.Sprintf("edge-%d", edge)
	p.reports[name] = append(p.reports[name], api.Report{Type: api.EventChange, Sentry: edge * p.day.Loops, Product: product, Worker: worker,
		Age: int64(age)})
	p.mu.Unlock()
}

// summary returns the builds offered, with the times from the offer until they were released or went back.
func (p *platform) summary() []BuildFigures {
	p.mu.Lock()
	defer p.mu.Unlock()
	var figures []BuildFigures
	for n := 2; n <= p.build; n++ {
		build := p.builds[n]
		figure := BuildFigures{Number: n, Flaw: string(build.Flaw), Strength: build.Strength, Offered: p.offeredAt[n].Seconds()}
		if wentBackAt, known := p.wentBackAt[n]; known {
			figure.Back = (wentBackAt - p.offeredAt[n]).Seconds()
		}
		if releasedAt, known := p.releasedAt[n]; known {
			figure.Released = (releasedAt - p.offeredAt[n]).Seconds()
		}
		figures = append(figures, figure)
	}
	return figures
}

// emitTallies schedules the tallies since the last emission, by build and product, if TallyInterval has passed. The caller
// holds the lock.
func (p *platform) emitTallies(now runTime) {
	if p.day.TallyInterval == 0 || now-p.talliedAt < p.day.TallyInterval {
		return
	}
	p.talliedAt = now
	p.workers.mu.Lock()
	defer p.workers.mu.Unlock()
	for build := 1; build <= p.build; build++ {
		for i := range p.day.Products {
			counts := p.workers.tallies[tallyKey{build, i}]
			if counts == nil || counts.answers == 0 {
				continue
			}
			event := api.Tally{Type: api.EventChange, Build: build, Product: p.day.Products[i].Name, Submissions: counts.answers, NotSettled: counts.failures}
			if counts.answers > counts.failures {
				event.Mean = int64(counts.totalTime) / int64(counts.answers-counts.failures)
			}
			*counts = tally{}
			p.tallies = append(p.tallies, scheduledTally{now + p.day.ReleaseUpdateDelay, event})
		}
	}
}

// watchTallies serves GET /v1/tallies. A watch starts with the tallies that are emitted after it opens.
func (p *platform) watchTallies(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	next := len(p.tallies)
	p.mu.Unlock()
	p.stream(w, r, func() (lines []any) {
		for now := p.now(); next < len(p.tallies) && p.tallies[next].at <= now; next++ {
			lines = append(lines, p.tallies[next].tally)
		}
		return lines
	}, func(any) {})
}

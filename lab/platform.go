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

// platform stands in for the planner: it holds workers, releases, steps and caps, counts votes, and speaks the REST
// API. It is a script's tool: no state outlives it.
type platform struct {
	day   *Day
	rec   *Record
	park  *workerFleet
	now   func() runTime
	rng   *rand.Rand
	http  *http.Server
	url   string
	group sync.WaitGroup
	plays sync.WaitGroup // what is played in a state
	quit  chan struct{}

	mu               sync.Mutex
	replicas         []*replicaState
	workerChanges    []change // of the list
	releaseUpdates   []newsItem
	build            int // the newest
	before           int // the one that it follows
	builds           map[int]fleet.Build
	stage            int
	phase            string
	since            runTime
	ready            runTime // when all machines of the stage ran; 0: not yet
	standing         map[int]VoteRecord
	tokens           float64
	refilled         runTime
	stalled          bool
	extraUpdateDelay time.Duration
	reports          map[string][]api.Report
	tallies          []tallyItem
	tallied          runTime
	clock            time.Duration // that the stage has run, under clocked
	stepped          runTime
	lists            map[string]api.Worker                 // as the last change left it
	next             int                                   // offer
	stateHook        func(state string)                    // played in each state, which does not end before it does; may be nil
	holds            int                                   // of them that are played
	corruptLine      func(w http.ResponseWriter, line any) // has its way before each line of a watch is written; may be nil
	backAt           map[int]runTime                       // when a build was called back
	released         map[int]runTime
	offered          map[int]runTime
}

// replicaState is one place of the fleet: what runs there, and what starts.
type replicaState struct {
	n         int
	speed     float64
	oldWorker *worker // of the earlier build, nil when gone
	newWorker *worker // of the newest, nil when there is none
	gone      runTime // when the drained one is to be stopped
	drain     *worker
	boots     runTime // when the starting one is up
	boot      *worker
}

type change struct {
	at     runTime
	worker api.Worker
}

type tallyItem struct {
	at    runTime
	tally api.Tally
}

type newsItem struct {
	at      runTime
	release api.Release
}

func newPlatform(day *Day, rec *Record, park *workerFleet, now func() runTime) *platform {
	p := &platform{day: day, rec: rec, park: park, now: now, rng: rand.New(rand.NewSource(day.Seed + 17)), quit: make(chan struct{}),
		build: 1, before: 1, builds: map[int]fleet.Build{1: {Number: 1, Flaw: fleet.NoFlaw, Speed: 1}}, phase: api.Released,
		stage: len(day.StageShares) - 1, standing: map[int]VoteRecord{}, tokens: 2 * day.VotesPerSecond, reports: map[string][]api.Report{},
		lists: map[string]api.Worker{}, backAt: map[int]runTime{}, released: map[int]runTime{}, offered: map[int]runTime{}}
	return p
}

// start brings up the first machines and the API at an address.
func (p *platform) start(host string) error {
	for i := 0; i < p.day.Machines; i++ {
		s := &replicaState{n: i, speed: p.day.MinSpeed + (p.day.MaxSpeed-p.day.MinSpeed)*p.rng.Float64()}
		s.oldWorker = p.park.newWorker(i, p.builds[1], s.speed, fleet.MachineFault{})
		if err := s.oldWorker.start(false); err != nil {
			return err
		}
		p.replicas = append(p.replicas, s)
		p.addWorkerChange(0, s.oldWorker, api.Up)
	}
	p.tell(0)
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
	mux.HandleFunc("POST /v1/releases/{name}/votes", p.takeVote)
	p.http = &http.Server{Handler: mux}
	p.group.Go(func() { p.http.Serve(ln) })
	p.group.Go(p.run)
	return nil
}

func (p *platform) close() {
	close(p.quit)
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
	defer stop()
	p.http.Shutdown(ctx)
	p.http.Close()
	p.group.Wait()
}

// awaitStateHooks waits for what is played in the last state: edges may be stopped by it. No other begins after.
func (p *platform) awaitStateHooks() {
	p.mu.Lock()
	p.stateHook = nil
	p.mu.Unlock()
	p.plays.Wait()
}

// addWorkerChange notes a change of the addWorkerChange, seen after the addWorkerChange's delay. The lock is held, or nobody else is there yet.
func (p *platform) addWorkerChange(delay time.Duration, w *worker, state string) {
	x := api.Worker{ID: w.id, Address: w.address, Zone: "lab", Kind: "std", State: state, Weight: 1, Build: w.build.Number,
		StartedAt: int64(w.startedAt)}
	when := p.now() + delay
	if n := len(p.workerChanges); n > 0 {
		when = max(when, p.workerChanges[n-1].at) // changes keep their order
	}
	p.workerChanges = append(p.workerChanges, change{when, x})
}

// state names where the platform stands, as reviews and tests do.
func (p *platform) state() string {
	switch {
	case p.phase == api.OnTrial && p.stage == 0 && p.build > p.before+1:
		return "next build after one withdrawn"
	case p.phase == api.OnTrial && p.stage == 0:
		return "first stage"
	case p.phase == api.OnTrial && p.stage == len(p.day.StageShares)-1:
		return "last stage"
	case p.phase == api.OnTrial:
		return "stage change"
	case p.phase == api.GoingBack:
		return "going back"
	case p.phase == api.Withdrawn:
		return "withdrawn"
	case p.build == 1:
		return "no trial"
	}
	return "after release"
}

// runStateHook has what is to be played in a state played beside the platform, which holds the state till then. The lock is held.
func (p *platform) runStateHook() {
	if p.stateHook == nil {
		return
	}
	state, entered := p.state(), p.stateHook
	p.holds++
	p.plays.Go(func() {
		entered(state)
		p.mu.Lock()
		p.holds--
		p.mu.Unlock()
	})
}

// tell notes news of the release, told after the news' delay.
func (p *platform) tell(delay time.Duration) {
	p.runStateHook()
	cap := 0.0
	switch p.phase {
	case api.OnTrial:
		cap = p.day.stageCaps()[p.stage]
	case api.Released:
		cap = 1
	}
	when := p.now() + delay
	if n := len(p.releaseUpdates); n > 0 {
		when = max(when, p.releaseUpdates[n-1].at)
	}
	p.releaseUpdates = append(p.releaseUpdates, newsItem{when, api.Release{Name: strconv.Itoa(p.build), Build: p.build, Stage: p.stage, Phase: p.phase,
		Cap: cap, Since: int64(p.since)}})
}

func (p *platform) logEvent(format string, args ...any) {
	text := fmt.Sprintf("%6.2fs  ", p.now().Seconds()) + fmt.Sprintf(format, args...)
	p.rec.mu.Lock()
	p.rec.Marks = append(p.rec.Marks, text)
	p.rec.mu.Unlock()
}

// run moves machines and releases on, fifty times a second.
func (p *platform) run() {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-p.quit:
			return
		case <-t.C:
		}
		if n%5 == 0 {
			p.park.updateSlowdown()
		}
		p.mu.Lock()
		if !p.stalled {
			p.step()
		} else {
			p.stepped = p.now() // a stage's clock stands still
		}
		p.mu.Unlock()
	}
}

// step is one look at everything. The lock is held.
func (p *platform) step() {
	now := p.now()
	if p.next < len(p.day.Offers) && now >= p.day.Offers[p.next].At && p.phase != api.GoingBack && p.holds == 0 {
		if p.phase == api.OnTrial { // one on trial when the next is due is taken off
			p.back("the next build is due")
			return
		}
		p.offer(p.day.Offers[p.next])
		p.next++
	}
	p.count(now)
	passed := now - p.stepped
	p.stepped = now
	for _, s := range p.replicas {
		p.stepPlace(now, s)
	}
	switch p.phase {
	case api.OnTrial:
		p.stepTrial(now, passed)
	case api.GoingBack:
		for _, s := range p.replicas {
			if s.newWorker != nil || s.oldWorker == nil || s.boot != nil || p.holds > 0 {
				return
			}
		}
		p.phase, p.since = api.Withdrawn, now
		p.logEvent("build %d withdrawn", p.build)
		p.tell(p.day.ReleaseUpdateDelay)
	}
}

func (p *platform) offer(o Offer) {
	// What was released is what the next follows; what was withdrawn left the one before in its place.
	if p.phase == api.Released {
		p.before = p.build
	}
	p.build++
	p.offered[p.build] = p.now()
	p.builds[p.build] = fleet.Build{Number: p.build, Flaw: o.Flaw, Strength: o.Strength, Product: max(0, p.day.productIndex(o.Product)),
		Speed: o.Speed}
	p.stage, p.phase, p.since, p.ready = 0, api.OnTrial, p.now(), 0
	clear(p.standing)
	p.logEvent("build %d offered (%s %g)", p.build, o.Flaw, o.Strength)
	for _, s := range p.replicas {
		if s.newWorker != nil { // all run one build now
			s.oldWorker, s.newWorker = s.newWorker, nil
		}
	}
	p.tell(p.day.ReleaseUpdateDelay)
}

// starting has a machine start at a place.
func (p *platform) starting(s *replicaState, b fleet.Build) {
	s.boot = p.park.newWorker(s.n, b, s.speed, fleet.MachineFault{})
	s.boots = p.now() + p.day.BootTime
}

func (p *platform) draining(s *replicaState, w *worker) {
	s.drain, s.gone = w, p.now()+p.day.WorkerListDelay+p.day.DrainTime
	p.addWorkerChange(p.day.WorkerListDelay, w, api.Draining)
}

// stepPlace lets what starts run and what has drained go.
func (p *platform) stepPlace(now runTime, s *replicaState) {
	if s.drain != nil && now >= s.gone {
		s.drain.stop()
		p.addWorkerChange(p.day.WorkerListDelay, s.drain, api.Gone)
		s.drain = nil
	}
	if s.boot != nil && now >= s.boots {
		w := s.boot
		s.boot = nil
		if err := w.start(true); err != nil {
			p.logEvent("%v", err)
			return
		}
		p.addWorkerChange(p.day.WorkerListDelay, w, api.Up)
		if w.build.Number == p.build && (p.phase == api.OnTrial || p.phase == api.Released) {
			s.newWorker = w
			if p.day.RolloutStyle == "in-place" && s.oldWorker != nil {
				p.draining(s, s.oldWorker)
				s.oldWorker = nil
			}
		} else {
			s.oldWorker = w
		}
	}
	if p.phase == api.GoingBack && s.drain == nil {
		if s.newWorker != nil && (s.oldWorker != nil || s.boot != nil || p.day.RolloutStyle == "in-place") {
			p.draining(s, s.newWorker)
			s.newWorker = nil
		}
	}
	if p.phase == api.GoingBack && s.oldWorker == nil && s.boot == nil {
		p.starting(s, p.builds[p.before])
	}
	if p.phase == api.Released && p.day.RolloutStyle == "beside" && s.newWorker != nil && s.oldWorker != nil && s.drain == nil {
		p.draining(s, s.oldWorker)
		s.oldWorker = nil
	}
}

// stepTrial brings in the stage's machines and counts the votes.
func (p *platform) stepTrial(now runTime, passed time.Duration) {
	want := min(len(p.replicas), int(math.Ceil(p.day.StageShares[p.stage]*float64(len(p.replicas))-1e-9)))
	have, run := 0, 0
	for _, s := range p.replicas {
		if s.newWorker != nil || s.boot != nil && s.boot.build.Number == p.build {
			have++
			if s.newWorker != nil {
				run++
			}
		}
	}
	for _, s := range p.replicas {
		if have < want && s.newWorker == nil && s.boot == nil && s.drain == nil {
			p.starting(s, p.builds[p.build])
			have++
		}
	}
	if run < want {
		return
	}
	if p.ready == 0 {
		p.ready, p.clock = now, 0
	}
	on, back, hold := 0, 0, 0
	for _, v := range p.standing {
		if now-v.At > 4*time.Second || v.Build != p.build {
			continue
		}
		switch {
		case v.Verdict == api.VoteBack:
			back++
		case v.Verdict == api.VoteOn && v.Stage == p.stage:
			on++
		case v.Verdict == api.VoteHold:
			hold++
		}
	}
	moves := on >= p.day.OnVotesNeeded && now-p.ready >= p.day.BakeTime
	if p.day.VoteRule == "single" {
		moves = on >= 1 && now-p.ready >= p.day.BakeTime
	}
	if p.day.VoteRule == "clocked" {
		if hold < p.day.HoldVotesNeeded {
			p.clock += passed
		}
		moves = p.clock >= p.day.StageTime
	}
	needBack := p.day.BackVotesNeeded
	if p.day.VoteRule == "single" {
		needBack = 1
	}
	switch {
	case p.holds > 0:
	case back >= needBack:
		p.back("voted back")
	case moves:
		if p.stage++; p.stage == len(p.day.StageShares) {
			p.stage--
			p.phase = api.Released
			p.released[p.build] = now
			p.logEvent("build %d released", p.build)
		} else {
			p.logEvent("build %d voted on to stage %d", p.build, p.stage)
		}
		p.since, p.ready = now, 0
		p.tell(p.day.ReleaseUpdateDelay)
	}
}

// back sends the newest build back. The lock is held.
func (p *platform) back(why string) {
	if p.phase == api.GoingBack || p.phase == api.Withdrawn {
		return
	}
	p.phase, p.since = api.GoingBack, p.now()
	if _, known := p.backAt[p.build]; !known {
		p.backAt[p.build] = p.now()
	}
	for _, s := range p.replicas {
		if s.boot != nil && s.boot.build.Number == p.build {
			s.boot = nil
		}
		// Machines of the build that went before count as what is there.
		if s.newWorker != nil && s.newWorker.build.Number != p.build {
			s.oldWorker, s.newWorker = s.newWorker, nil
		}
	}
	p.logEvent("build %d goes back: %s", p.build, why)
	p.tell(p.day.ReleaseUpdateDelay)
}

// takeVote is POST /v1/releases/{name}/votes.
func (p *platform) takeVote(w http.ResponseWriter, r *http.Request) {
	var v api.Vote
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10)).Decode(&v); err != nil {
		http.Error(w, "malformed vote: "+err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	now := p.now()
	rec := VoteRecord{Edge: edgeNumber(v.Edge), At: now, Verdict: v.Verdict, Build: v.Build, Stage: v.Stage}
	status := http.StatusOK
	p.tokens = min(2*p.day.VotesPerSecond, p.tokens+p.day.VotesPerSecond*(now-p.refilled).Seconds())
	p.refilled = now
	stalled := p.stalled
	switch {
	case stalled:
		rec.Counted = p.rng.Intn(2) == 0 // no answer; half of them count
	case p.tokens < 1:
		status = http.StatusTooManyRequests
	case v.Build != p.build || p.build == p.before || p.phase == api.GoingBack || p.phase == api.Withdrawn ||
		v.Verdict == api.VoteOn && (v.Stage != p.stage || p.phase != api.OnTrial || p.day.VoteRule == "clocked"),
		v.Verdict == api.VoteHold && p.day.VoteRule != "clocked":
		status = http.StatusConflict
	default:
		p.tokens--
		rec.Counted = true
	}
	if rec.Counted {
		p.standing[v.Sentry] = rec
		if v.Verdict == api.VoteBack && p.phase == api.Released && !stalled && p.holds == 0 {
			p.back("voted back after its release")
		}
	}
	e := p.currentRelease()
	p.mu.Unlock()
	p.rec.mu.Lock()
	p.rec.Votes = append(p.rec.Votes, rec)
	p.rec.mu.Unlock()
	if stalled {
		select {
		case <-r.Context().Done():
		case <-p.quit:
		case <-time.After(5 * time.Second):
		}
		status = http.StatusInternalServerError
	}
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	p.recordReleaseUpdate(rec.Edge, e)
	json.NewEncoder(w).Encode(e)
}

// currentRelease is the newest news that may be told by now. The lock is held.
func (p *platform) currentRelease() api.ReleaseEvent {
	now := p.now()
	e := api.ReleaseEvent{Type: api.Whole, Now: int64(now)}
	for i, n := range p.releaseUpdates {
		if n.at+p.extraUpdateDelay <= now || i == 0 {
			e.Release, e.Revision = n.release, uint64(i+1)
		}
	}
	return e
}

func edgeNumber(name string) int {
	n, err := strconv.Atoi(strings.TrimPrefix(name, "edge-"))
	if err != nil {
		return -1
	}
	return n
}

func (p *platform) recordReleaseUpdate(edge int, e api.ReleaseEvent) {
	p.rec.addUpdate(EdgeUpdate{Edge: edge, At: p.now(), Release: &ReleaseState{e.Release.Build, e.Release.Stage, e.Release.Phase, e.Release.Cap}})
}

// stream writes lines of a watch until the client leaves: each round asks for the lines that are due.
func (p *platform) stream(w http.ResponseWriter, r *http.Request, due func() []any, told func(line any)) {
	flush, ok := w.(http.Flusher)
	if !ok || r.URL.Query().Get("watch") == "" {
		http.Error(w, "only watches are served here", http.StatusNotImplemented)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	flush.Flush()
	enc := json.NewEncoder(w)
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	last := p.now()
	for {
		p.mu.Lock()
		var lines []any
		if !p.stalled {
			lines = due()
		}
		quiet, spoil := p.stalled, p.corruptLine
		p.mu.Unlock()
		if len(lines) == 0 && !quiet && p.now()-last > 500*time.Millisecond {
			lines = append(lines, map[string]string{"type": api.Bookmark})
		}
		for _, l := range lines {
			if spoil != nil {
				spoil(w, l)
			}
			if enc.Encode(l) != nil {
				return
			}
		}
		if len(lines) > 0 {
			last = p.now()
			flush.Flush()
			for _, l := range lines {
				told(l)
			}
		}
		select {
		case <-r.Context().Done():
			return
		case <-p.quit:
			return
		case <-t.C:
		}
	}
}

func (p *platform) watchWorkers(w http.ResponseWriter, r *http.Request) {
	edge := edgeNumber(r.URL.Query().Get("edge"))
	revision, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	p.stream(w, r, func() (lines []any) {
		now := p.now()
		if revision == 0 || revision > uint64(len(p.workerChanges)) {
			e := api.WorkersEvent{Type: api.Whole, Now: int64(now)}
			seen := map[string]int{}
			for i, c := range p.workerChanges {
				if c.at > now {
					break
				}
				e.Revision = uint64(i + 1)
				if at, known := seen[c.worker.ID]; known {
					e.Workers[at] = c.worker
				} else {
					seen[c.worker.ID] = len(e.Workers)
					e.Workers = append(e.Workers, c.worker)
				}
			}
			kept := e.Workers[:0]
			for _, x := range e.Workers {
				if x.State != api.Gone {
					kept = append(kept, x)
				}
			}
			e.Workers = kept
			revision = e.Revision
			return []any{e}
		}
		for revision < uint64(len(p.workerChanges)) && p.workerChanges[revision].at <= now {
			lines = append(lines, api.WorkersEvent{Type: api.Change, Revision: revision + 1, Now: int64(now),
				Workers: []api.Worker{p.workerChanges[revision].worker}})
			revision++
		}
		return lines
	}, func(line any) {
		e, ok := line.(api.WorkersEvent)
		if !ok {
			return
		}
		now := p.now()
		if e.Type == api.Whole {
			p.rec.addUpdate(EdgeUpdate{Edge: edge, At: now, FullList: true})
		}
		for _, x := range e.Workers {
			p.rec.addUpdate(EdgeUpdate{Edge: edge, At: now, Worker: x.ID, State: x.State, Started: runTime(x.StartedAt), Build: x.Build})
		}
	})
}

func (p *platform) watchReleases(w http.ResponseWriter, r *http.Request) {
	edge := edgeNumber(r.URL.Query().Get("edge"))
	var revision uint64
	var pushed runTime
	p.stream(w, r, func() []any {
		e := p.currentRelease()
		if e.Revision == revision && p.now()-pushed < p.day.PushInterval {
			return nil
		}
		revision, pushed = e.Revision, p.now()
		return []any{e}
	}, func(line any) {
		if e, ok := line.(api.ReleaseEvent); ok {
			p.recordReleaseUpdate(edge, e)
		}
	})
}

func (p *platform) watchReports(w http.ResponseWriter, r *http.Request) {
	edge := r.URL.Query().Get("edge")
	p.stream(w, r, func() (lines []any) {
		for _, x := range p.reports[edge] {
			lines = append(lines, x)
		}
		p.reports[edge] = nil
		return lines
	}, func(any) {})
}

// reportWrongAnswer reports an answer that a client found wrong, to the edge that passed it on.
func (p *platform) reportWrongAnswer(edge int, product, worker string, age time.Duration) {
	p.mu.Lock()
	name := fmt.Sprintf("edge-%d", edge)
	p.reports[name] = append(p.reports[name], api.Report{Type: api.Change, Sentry: edge * p.day.Loops, Product: product, Worker: worker,
		Age: int64(age)})
	p.mu.Unlock()
}

// summary gives the builds offered, with when they went where.
func (p *platform) summary() []BuildFigures {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []BuildFigures
	for n := 2; n <= p.build; n++ {
		b := p.builds[n]
		f := BuildFigures{Number: n, Flaw: string(b.Flaw), Strength: b.Strength, Offered: p.offered[n].Seconds()}
		if back, known := p.backAt[n]; known {
			f.Back = (back - p.offered[n]).Seconds()
		}
		if rel, known := p.released[n]; known {
			f.Released = (rel - p.offered[n]).Seconds()
		}
		out = append(out, f)
	}
	return out
}

// count tells what was counted since the last time, by build and product. The lock is held.
func (p *platform) count(now runTime) {
	if p.day.TallyInterval == 0 || now-p.tallied < p.day.TallyInterval {
		return
	}
	p.tallied = now
	p.park.mu.Lock()
	defer p.park.mu.Unlock()
	for build := 1; build <= p.build; build++ {
		for i := range p.day.Products {
			c := p.park.tallies[tallyKey{build, i}]
			if c == nil || c.answers == 0 {
				continue
			}
			t := api.Tally{Type: api.Change, Build: build, Product: p.day.Products[i].Name, Many: c.answers, Bad: c.failures}
			if c.answers > c.failures {
				t.Mean = int64(c.totalTime) / int64(c.answers-c.failures)
			}
			*c = tally{}
			p.tallies = append(p.tallies, tallyItem{now + p.day.ReleaseUpdateDelay, t})
		}
	}
}

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

package lab

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"dunegrade/api"
	"dunegrade/config"
	"dunegrade/fleet"
	"dunegrade/logic"
)

// A virtual day runs the decision module against the fleet's simulated machines on a virtual clock. It uses no sockets or
// goroutines, so every run of a day is the same. The simulated clients, workers and platform fill a Record, which is checked
// like that of a day on sockets. Like the edge, the simulated host ends the submissions that are pending at a txn's expiry.
// Unlike the edge, it does not answer a txn that the module then leaves unanswered, so that the checker reports it.

const (
	messageDelay     = time.Millisecond   // of a message in one direction
	moduleTimeOffset = 1000 * time.Second // time on the module's clock at the start of the day
)

// virtualTolerances are the tolerances of the checker on a virtual clock.
var virtualTolerances = tolerances{answer: 5 * ms, lateSubmission: 5 * ms, drain: 5 * ms, exposure: 5 * ms}

// virtualEvent is a function that runs at a given time. Events at the same time run in order of their sequence numbers.
type virtualEvent struct {
	at       runTime
	sequence int
	run      func()
}

// eventQueue is a heap of events.
type eventQueue []virtualEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(virtualEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	event := old[len(old)-1]
	*q = old[:len(old)-1]
	return event
}

// virtualDay is a run of a day on a virtual clock.
type virtualDay struct {
	day                  *Day
	rec                  *Record
	now                  runTime
	queue                eventQueue
	lastSequence         int
	rng                  *rand.Rand
	settings             map[string]any
	sharedState          *fleet.SharedState
	sentries             []*virtualSentry
	replicas             []*virtualWorker // the worker that serves as each replica
	workers              map[string]*virtualWorker
	listOrder            []string // IDs of the workers in the order of the worker list
	lastID               int      // of workers and jobs
	release              logic.ReleaseUpdate
	releaseSince         runTime
	previousRelease      logic.ReleaseUpdate // state before release
	previousReleaseSince runTime
	rate                 float64 // of txns, per second
	newestBuild          int

	// Faults change these.
	workerListDelay    runTime
	releaseUpdateDelay runTime
	workerChangesLost  bool // whether sentries miss changes of the worker list
	platformStalled    bool
	votesLost          bool
	leaveShare         float64 // share of clients that leave early

	faultCounts map[string]int // effects of faults by kind, which show that a fault took effect
	backVotesAt []runTime      // times of the votes to go back
}

// virtualWorker is an entry of the worker list with the process that runs under its ID.
type virtualWorker struct {
	day         *virtualDay
	id          string
	build       int
	startedAt   runTime
	state       string
	running     bool
	machine     *fleet.Machine
	garbageRate float64                       // share of the answers that are malformed
	jobs        map[uint64]*virtualSubmission // by job ID
	next        runTime
	replica     int
}

// virtualTxn is the state of a txn in its sentry's host.
type virtualTxn struct {
	id          logic.TxnID
	record      *TxnRecord
	submissions []*virtualSubmission
	ended       bool
	expiresAt   runTime
}

// virtualSubmission is one submission of a txn to a worker.
type virtualSubmission struct {
	txn          *virtualTxn
	sentry       *virtualSentry
	number       int // index among the submissions of the txn
	sentAt       runTime
	record       *SubmissionRecord
	worker       *virtualWorker
	ended        bool
	job          uint64 // ID of the machine's job
	disconnected bool   // whether the sentry has closed the connection
}

// virtualSentry is a sentry: the decision module with a simulated host.
type virtualSentry struct {
	day                *virtualDay
	index, incarnation int
	module             *logic.Sentry
	txns               map[logic.TxnID]*virtualTxn
	openTxns           int
	accepting          bool
	savedWorkers       []logic.Worker // the last worker list, kept over a restart
	savedRelease       logic.ReleaseUpdate
	stopped            bool
	pendingEvents      []func()
	handlingEvent      bool
}

// newVirtualDay returns a run of a day whose workers and sentries have started.
func newVirtualDay(day *Day) *virtualDay {
	d := &virtualDay{day: day, rec: &Record{}, rng: rand.New(rand.NewSource(day.Seed)), sharedState: fleet.NewSharedState(),
		workers: map[string]*virtualWorker{}, faultCounts: map[string]int{}, rate: day.Rate, newestBuild: 2}
	edgeConfig, err := config.ParseEdge("virtual.sexp",
		day.EdgeSettings(0, "127.0.0.1:1", "127.0.0.1:2", "http://127.0.0.1:3", "state", nil))
	if err != nil {
		panic(err)
	}
	d.settings = edgeConfig.ModuleSettings
	d.settings["index"] = 0.0
	d.release = logic.ReleaseUpdate{Rel: 1, Phase: logic.Released, Cap: 1, Stage: len(day.StageShares) - 1}
	d.previousRelease = d.release
	for i := 0; i < day.Machines; i++ {
		d.replicas = append(d.replicas, d.bootWorker(i, 1, 0))
	}
	for i := 0; i < day.Sentries; i++ {
		s := &virtualSentry{day: d, index: i}
		d.sentries = append(d.sentries, s)
		s.start(false)
	}
	return d
}

// schedule runs a function after a delay.
func (d *virtualDay) schedule(delay runTime, run func()) {
	d.lastSequence++
	heap.Push(&d.queue, virtualEvent{d.now + delay, d.lastSequence, run})
}

// scheduleAt runs a function at a time of the day.
func (d *virtualDay) scheduleAt(at runTime, run func()) { d.schedule(at-d.now, run) }

// moduleTime returns the present time on the module's clock.
func (d *virtualDay) moduleTime() logic.Nanos { return logic.Nanos(moduleTimeOffset + d.now) }

// run runs the day to its end, and 3 s longer for the pending txns.
func (d *virtualDay) run() {
	interarrivalTime := func() runTime { return runTime(d.rng.ExpFloat64() / d.rate * float64(time.Second)) }
	var sendNext func()
	sendNext = func() {
		if d.now < d.day.Length {
			d.sendTxn()
			d.schedule(interarrivalTime(), sendNext)
		}
	}
	d.schedule(interarrivalTime(), sendNext)
	var push func()
	push = func() {
		if d.now > 0 {
			d.pushRelease()
		}
		d.schedule(d.day.PushInterval, push)
	}
	push()
	for len(d.queue) > 0 && d.now < d.day.Length+3*time.Second {
		event := heap.Pop(&d.queue).(virtualEvent)
		d.now = event.at
		event.run()
	}
}

// sendTxn sends a txn to a random sentry, or the next one that accepts txns.
func (d *virtualDay) sendTxn() {
	draw := d.rng.Float64()
	product := 0
	for product < len(d.day.Products)-1 && draw >= d.day.Products[product].Share {
		draw -= d.day.Products[product].Share
		product++
	}
	key := uint64(1 + d.rng.Intn(d.day.Keys))
	s := d.sentries[d.rng.Intn(len(d.sentries))]
	leaves := d.rng.Float64() < d.leaveShare
	for i := 0; s.stopped || !s.accepting; i++ {
		if i == len(d.sentries) {
			return
		}
		s = d.sentries[(s.index+1)%len(d.sentries)]
	}
	productSpec := &d.day.Products[product]
	d.rec.Txns = append(d.rec.Txns, &TxnRecord{ID: uint64(len(d.rec.Txns) + 1), Edge: s.index, Incarnation: s.incarnation,
		Product: product, Key: key, SentAt: d.now, Deadline: d.now + productSpec.Expiry, Revenue: productSpec.Revenue})
	record := d.rec.Txns[len(d.rec.Txns)-1]
	record.FirstTryID = record.ID
	txn := &virtualTxn{id: logic.TxnID(record.ID), record: record, expiresAt: record.Deadline - 20*ms}
	s.txns[txn.id] = txn
	s.openTxns++
	incarnation := s.incarnation
	d.scheduleAt(txn.expiresAt, func() {
		if s.incarnation == incarnation && !s.stopped {
			s.expireTxn(txn)
		}
	})
	d.scheduleAt(record.Deadline, func() { // the client stops waiting
		if record.AnsweredAt == 0 && record.LeftAt == 0 && record.Failure == "" {
			record.LeftAt = d.now
		}
	})
	if leaves {
		d.schedule(runTime(d.rng.Float64()*float64(100*ms)), func() {
			if s.incarnation == incarnation && !s.stopped && !txn.ended {
				d.faultCounts["client left"]++
				txn.ended, record.LeftAt = true, d.now
				s.openTxns--
				s.handleEvent(func() { s.module.ClientLeft(d.moduleTime(), txn.id) })
			}
		})
	}
	s.handleEvent(func() {
		s.module.Take(d.moduleTime(), logic.Txn{ID: txn.id, Product: logic.ProductID(product), Key: logic.KeyID(key),
			Cost: logic.Nanos(productSpec.MeanWork), Expiry: logic.Nanos(moduleTimeOffset + txn.expiresAt)})
	})
}

// ---- Sentries ----

// start starts an incarnation of the sentry. If restored is set, the incarnation begins with the worker list and the release
// that the previous one saved.
func (s *virtualSentry) start(restored bool) {
	d := s.day
	if restored && !s.stopped {
		return
	}
	s.incarnation = len(d.rec.Incarnations)
	d.rec.Incarnations = append(d.rec.Incarnations, Incarnation{Edge: s.index, Number: s.incarnation, StartedAt: d.now})
	s.txns, s.openTxns, s.accepting, s.stopped, s.pendingEvents = map[logic.TxnID]*virtualTxn{}, 0, true, false, nil
	settings := map[string]any{}
	for k, v := range d.settings {
		settings[k] = v
	}
	settings["index"] = float64(s.index)
	s.handleEvent(func() { s.module = logic.New(d.moduleTime(), d.rng.Int63(), settings, s) })
	if restored {
		workers, release := s.savedWorkers, s.savedRelease
		if release.Phase != logic.Released { // as the edge does
			release.Cap = 0
		}
		s.handleEvent(func() { s.module.UpdateWorkers(d.moduleTime(), logic.Restored, workers) })
		s.handleEvent(func() { s.module.ReleaseUpdate(d.moduleTime(), release) })
	}
	incarnation := s.incarnation
	d.schedule(100*ms, func() {
		if s.incarnation == incarnation && !d.platformStalled {
			s.updateWholeList(d.workerList(nil))
			s.updateRelease(d.currentRelease(), true)
		}
	})
}

// kill ends the process at once. The connections of its clients and workers break.
func (s *virtualSentry) kill() {
	if s.stopped {
		return
	}
	s.stopProcess(true)
	for _, txn := range s.listTxns(true) {
		if !txn.ended {
			txn.ended = true
			txn.record.Failure = "broken"
			s.day.faultCounts["txn of killed sentry"]++
		}
		for _, submission := range txn.submissions {
			s.disconnect(submission)
		}
	}
}

// listTxns returns the txns in the order of their IDs. Txns that have ended are left out unless includeEnded is set.
func (s *virtualSentry) listTxns(includeEnded bool) (txns []*virtualTxn) {
	for _, txn := range s.txns {
		if includeEnded || !txn.ended {
			txns = append(txns, txn)
		}
	}
	slices.SortFunc(txns, func(a, b *virtualTxn) int { return cmp.Compare(a.id, b.id) })
	return txns
}

// stopProcess ends the incarnation, and records whether it was killed or had been asked to stop.
func (s *virtualSentry) stopProcess(killed bool) {
	s.stopped = true
	incarnation := &s.day.rec.Incarnations[s.incarnation]
	incarnation.EndedAt, incarnation.Killed = s.day.now, killed
	if !killed {
		incarnation.StopRequestedAt = incarnation.EndedAt
	}
}

// handleEvent passes an event to the module. Events that the module causes while it handles one are queued.
func (s *virtualSentry) handleEvent(event func()) {
	if s.stopped {
		return
	}
	s.pendingEvents = append(s.pendingEvents, event)
	if s.handlingEvent {
		return
	}
	s.handlingEvent = true
	for len(s.pendingEvents) > 0 {
		event := s.pendingEvents[0]
		s.pendingEvents = s.pendingEvents[1:]
		event()
	}
	s.handlingEvent = false
}

// expireTxn ends all pending submissions of a txn, as the host does at the txn's expiry.
func (s *virtualSentry) expireTxn(txn *virtualTxn) {
	for _, submission := range txn.submissions {
		s.endSubmission(submission, logic.TimedOut, nil)
	}
}

// endSubmission ends a submission and passes its outcome to the module.
func (s *virtualSentry) endSubmission(submission *virtualSubmission, ending logic.Ending, load *logic.Load) {
	if submission.ended || s.stopped || s.txns[submission.txn.id] != submission.txn {
		return
	}
	submission.ended = true
	if ending == logic.TimedOut || ending == logic.Cancelled {
		s.disconnect(submission)
	}
	txn, d := submission.txn, s.day
	if ending == logic.OK && !txn.ended {
		txn.ended = true
		s.openTxns--
		txn.record.AnsweredAt, txn.record.Status, txn.record.Build = d.now, 200, submission.record.Build
	}
	outcome := logic.Outcome{Txn: txn.id, Number: submission.number, Ending: ending, Elapsed: logic.Nanos(d.now - submission.sentAt),
		Final: txn.ended, Load: load}
	s.handleEvent(func() { s.module.Outcome(d.moduleTime(), outcome) })
}

// disconnect closes a submission's connection from the sentry's side.
func (s *virtualSentry) disconnect(submission *virtualSubmission) {
	if submission.disconnected {
		return
	}
	submission.disconnected = true
	s.day.schedule(messageDelay, func() {
		if w := submission.worker; w != nil && w.running && w.jobs[submission.job] == submission {
			if started, found := w.machine.Cancel(fleet.Nanos(s.day.now), submission.job); found {
				submission.record.TookEffect = submission.record.TookEffect || started
				delete(w.jobs, submission.job)
				w.scheduleCompletion()
			}
		}
	})
}

// Submit and the exported methods that follow implement logic.Sink.
func (s *virtualSentry) Submit(id logic.TxnID, worker logic.WorkerID, timeout logic.Nanos) {
	txn, d := s.txns[id], s.day
	if txn == nil {
		return
	}
	submission := &virtualSubmission{txn: txn, sentry: s, number: len(txn.submissions), sentAt: d.now}
	txn.submissions = append(txn.submissions, submission)
	d.schedule(messageDelay, func() { d.submitToWorker(submission, string(worker)) })
}

// Cancel ends a submission as cancelled.
func (s *virtualSentry) Cancel(id logic.TxnID, number int) {
	if txn := s.txns[id]; txn != nil && number < len(txn.submissions) {
		submission := txn.submissions[number]
		s.day.schedule(0, func() { s.endSubmission(submission, logic.Cancelled, nil) })
	}
}

// endTxn answers the client.
func (s *virtualSentry) endTxn(id logic.TxnID, status int, outcome string) {
	txn := s.txns[id]
	if txn == nil {
		return
	}
	if txn.ended {
		txn.record.ExtraBytes = true
		return
	}
	txn.ended = true
	s.openTxns--
	txn.record.AnsweredAt, txn.record.Status, txn.record.Outcome = s.day.now, status, outcome
}
func (s *virtualSentry) Decline(id logic.TxnID, after logic.Nanos) { s.endTxn(id, 503, "declined") }
func (s *virtualSentry) Void(id logic.TxnID)                       { s.endTxn(id, 502, "voided") }
func (s *virtualSentry) SetTimer(after logic.Nanos, token uint64) {
	incarnation := s.incarnation
	s.day.schedule(runTime(after), func() {
		if s.incarnation == incarnation {
			s.handleEvent(func() { s.module.TimerFired(s.day.moduleTime(), token) })
		}
	})
}
func (s *virtualSentry) WatchWorkers()                  {}
func (s *virtualSentry) SendToPeer(to int, data []byte) {}
func (s *virtualSentry) Log(string)                     {}

// Vote sends a vote to the platform. The platform only replies with the current release, because the script sets the stages.
func (s *virtualSentry) Vote(verdict logic.Verdict, rel logic.RelID, stage int) {
	d, incarnation := s.day, s.incarnation
	d.faultCounts["vote"]++
	if verdict == logic.VerdictBack {
		d.backVotesAt = append(d.backVotesAt, d.now)
	}
	reply := d.currentRelease()
	reply.VoteReply = true
	delay := 30 * ms
	if d.platformStalled || d.votesLost {
		d.faultCounts["vote reply lost"]++
		reply, delay = logic.ReleaseUpdate{VoteReply: true, Ending: logic.TimedOut}, time.Second
	}
	d.schedule(delay, func() {
		if s.incarnation == incarnation && !s.stopped {
			s.updateRelease(reply, reply.Ending == logic.OK)
		}
	})
}

// updateRelease sends the sentry a release update. An update that the sentry must ignore is passed with recorded unset, so
// that the checker reports a violation if the sentry acts on it.
func (s *virtualSentry) updateRelease(update logic.ReleaseUpdate, recorded bool) {
	if s.stopped {
		return
	}
	if recorded {
		s.savedRelease = update
		s.day.rec.Updates = append(s.day.rec.Updates, EdgeUpdate{Edge: s.index, At: s.day.now,
			Release: &ReleaseState{int(update.Rel), update.Stage, phaseNames[update.Phase], update.Cap}})
	}
	s.handleEvent(func() { s.module.ReleaseUpdate(s.day.moduleTime(), update) })
}

// phaseNames maps the module's phases to those of the platform's API.
var phaseNames = map[logic.Phase]string{logic.OnTrial: api.PhaseOnTrial, logic.GoingBack: api.PhaseGoingBack, logic.Released: api.PhaseReleased,
	logic.Withdrawn: api.PhaseWithdrawn}

// moduleStates maps the worker states of the platform's API to the module's.
var moduleStates = map[string]logic.State{api.WorkerUp: logic.Up, api.WorkerDraining: logic.Draining, api.WorkerGone: logic.Gone}

// moduleWorker converts an entry of the worker list to the module's type.
func (s *virtualSentry) moduleWorker(entry api.Worker) logic.Worker {
	startedAt := logic.Nanos(0)
	if entry.StartedAt > 0 {
		startedAt = logic.Nanos(moduleTimeOffset) + logic.Nanos(entry.StartedAt)
	}
	return logic.Worker{ID: logic.WorkerID(entry.ID), State: moduleStates[entry.State], Rel: logic.RelID(entry.Build),
		Start: startedAt, Weight: 1}
}

// recordWorkerUpdate records that the sentry was sent an entry of the worker list.
func (s *virtualSentry) recordWorkerUpdate(entry api.Worker) {
	s.day.rec.Updates = append(s.day.rec.Updates, EdgeUpdate{Edge: s.index, At: s.day.now, Worker: entry.ID, State: entry.State,
		WorkerStartedAt: runTime(entry.StartedAt), Build: entry.Build})
}

// updateWholeList sends the sentry a full worker list.
func (s *virtualSentry) updateWholeList(entries []api.Worker) {
	if s.stopped {
		return
	}
	s.day.rec.Updates = append(s.day.rec.Updates, EdgeUpdate{Edge: s.index, At: s.day.now, FullList: true})
	var workers []logic.Worker
	for _, entry := range entries {
		s.recordWorkerUpdate(entry)
		workers = append(workers, s.moduleWorker(entry))
	}
	s.savedWorkers = workers
	s.handleEvent(func() { s.module.UpdateWorkers(s.day.moduleTime(), logic.Whole, workers) })
}

// updateWorker sends the sentry a change of the worker list.
func (s *virtualSentry) updateWorker(entry api.Worker) {
	if s.stopped {
		return
	}
	s.recordWorkerUpdate(entry)
	worker := s.moduleWorker(entry)
	s.savedWorkers = slices.DeleteFunc(slices.Clone(s.savedWorkers), func(saved logic.Worker) bool { return saved.ID == worker.ID })
	if worker.State != logic.Gone {
		s.savedWorkers = append(s.savedWorkers, worker)
	}
	s.handleEvent(func() { s.module.UpdateWorkers(s.day.moduleTime(), logic.Changes, []logic.Worker{worker}) })
}

// ---- Workers ----

// bootWorker starts a worker process under a new ID.
func (d *virtualDay) bootWorker(replica, build int, startedAt runTime) *virtualWorker {
	d.lastID++
	w := &virtualWorker{day: d, id: fmt.Sprintf("w%03d", d.lastID), replica: replica, jobs: map[uint64]*virtualSubmission{}}
	d.workers[w.id] = w
	d.listOrder = append(d.listOrder, w.id)
	w.startProcess(build, startedAt)
	return w
}

// startProcess starts a process under the worker's ID.
func (w *virtualWorker) startProcess(build int, startedAt runTime) {
	d := w.day
	w.build, w.startedAt, w.state, w.running = build, startedAt, api.WorkerUp, true
	w.machine = fleet.NewMachine(d.day.MachineKind, fleet.Build{Number: build, Flaw: fleet.NoFlaw}, fleet.Nanos(startedAt), d.sharedState,
		d.rng.Int63())
	w.machine.Spec.Speed = d.day.MinSpeed + (d.day.MaxSpeed-d.day.MinSpeed)*d.rng.Float64()
	if d.now > 0 {
		d.announceWorker(w)
	}
}

// stopProcess ends the process at once. Its jobs are lost. If state is not empty, it is announced as the worker's new state.
func (w *virtualWorker) stopProcess(state string) {
	d := w.day
	if w.running = false; state != "" {
		w.state = state
	}
	var lostJobs []uint64
	for id := range w.jobs {
		lostJobs = append(lostJobs, id)
	}
	slices.Sort(lostJobs)
	for _, id := range lostJobs {
		submission := w.jobs[id]
		submission.record.TookEffect = true // the sentry must assume that the effect took place
		d.schedule(messageDelay, func() {
			d.faultCounts["connection broken"]++
			submission.sentry.endSubmission(submission, logic.Disconnected, nil)
		})
	}
	clear(w.jobs)
	if state != "" {
		d.announceWorker(w)
	}
}

// restart starts a new, cold process under the same ID.
func (w *virtualWorker) restart(build int) { w.startProcess(build, max(1, w.day.now)) }

func (w *virtualWorker) setState(state string) { w.state = state; w.day.announceWorker(w) }

func (w *virtualWorker) listEntry() api.Worker {
	return api.Worker{ID: w.id, State: w.state, Build: w.build, StartedAt: int64(w.startedAt)}
}

// announceWorker sends the worker's current list entry to all sentries, after the delay of the worker list.
func (d *virtualDay) announceWorker(w *virtualWorker) {
	if d.workerChangesLost || d.platformStalled {
		d.faultCounts["list change lost"]++
		return
	}
	if d.workerListDelay > d.day.WorkerListDelay {
		d.faultCounts["list change delayed"]++
	}
	entry := w.listEntry()
	d.scheduleForAll(func(s *virtualSentry) runTime { return d.workerListDelay + runTime(s.index)*ms },
		func(s *virtualSentry) { s.updateWorker(entry) })
}

// scheduleForAll runs a function for each sentry after a delay, unless the sentry has been restarted by then.
func (d *virtualDay) scheduleForAll(delay func(*virtualSentry) runTime, run func(*virtualSentry)) {
	for _, s := range d.sentries {
		incarnation := s.incarnation
		d.schedule(delay(s), func() {
			if s.incarnation == incarnation {
				run(s)
			}
		})
	}
}

// workerList returns the current worker list. It leaves out workers for which skip, if not nil, returns true.
func (d *virtualDay) workerList(skip func(*virtualWorker) bool) []api.Worker {
	var entries []api.Worker
	for _, id := range d.listOrder {
		if w := d.workers[id]; w.state != api.WorkerGone && (skip == nil || !skip(w)) {
			entries = append(entries, w.listEntry())
		}
	}
	return entries
}

// submitToWorker delivers a submission to the worker with the given ID.
func (d *virtualDay) submitToWorker(submission *virtualSubmission, id string) {
	w := d.workers[id]
	if w == nil || !w.running {
		d.schedule(messageDelay, func() {
			d.faultCounts["connection refused"]++
			submission.sentry.endSubmission(submission, logic.ConnectFailed, nil)
		})
		return
	}
	txnRecord := submission.txn.record
	productSpec := &d.day.Products[txnRecord.Product]
	submission.record = &SubmissionRecord{Txn: txnRecord.ID, Worker: id, Replica: w.replica, Build: w.build, WorkerStartedAt: w.startedAt,
		ReceivedAt: d.now, Result: "lost"}
	submission.worker = w
	d.rec.Submissions = append(d.rec.Submissions, submission.record)
	d.lastID++
	submission.job = uint64(d.lastID)
	job := fleet.Job{ID: submission.job, Product: txnRecord.Product,
		Work: fleet.Nanos(float64(productSpec.MeanWork) * (0.5 + d.rng.Float64())), Sentry: submission.sentry.index}
	if productSpec.Effect == "referenced" {
		job.DedupKey, job.DedupWindow = txnRecord.FirstTryID, fleet.Nanos(productSpec.DedupMemory)
	}
	switch w.machine.Submit(fleet.Nanos(d.now), job) {
	case fleet.Refused:
		submission.record.Rejected, submission.record.Result = true, "turned away"
		d.schedule(messageDelay, func() { submission.sentry.endSubmission(submission, logic.Rejected, nil) })
	case fleet.MachineDown:
		workByEdge := map[int]time.Duration{}
		for k, v := range w.machine.RecentWork() {
			workByEdge[k] = time.Duration(v)
		}
		d.rec.OverloadFailures = append(d.rec.OverloadFailures, OverloadFailure{Worker: id, WorkerStartedAt: w.startedAt, At: d.now,
			WorkByEdge: workByEdge})
		w.jobs[submission.job] = submission
		w.stopProcess(api.WorkerGone)
	default:
		w.jobs[submission.job] = submission
		w.scheduleCompletion()
	}
}

// scheduleCompletion schedules the handling of the jobs that the machine completes next.
func (w *virtualWorker) scheduleCompletion() {
	d, machine := w.day, w.machine
	completesAt := runTime(machine.NextCompletion())
	if completesAt > d.day.Length+time.Hour {
		return
	}
	d.scheduleAt(max(d.now, completesAt), func() {
		if w.machine != machine || !w.running {
			return
		}
		for _, done := range machine.Advance(fleet.Nanos(d.now)) {
			submission := w.jobs[done.ID]
			if submission == nil {
				continue
			}
			delete(w.jobs, done.ID)
			submission.record.TookEffect, submission.record.Duplicate, submission.record.FinishedAt = done.Executed(),
				done.Result == fleet.Deduplicated, d.now
			ending := logic.OK
			submission.record.Result = "ok"
			if done.Result == fleet.Failed || w.garbageRate > 0 && d.rng.Float64() < w.garbageRate {
				ending, submission.record.Result = logic.ErrorResponse, "failed"
				d.faultCounts["error response"]++
			}
			report := machine.Load(fleet.Nanos(d.now))
			load := &logic.Load{Util: report.Util, Queue: report.Queue, Busy: report.Busy}
			if machine.Fault.ReportsIdle {
				d.faultCounts["idle report"]++
			}
			d.schedule(messageDelay, func() { submission.sentry.endSubmission(submission, ending, load) })
		}
		w.scheduleCompletion()
	})
}

// ---- The platform's script ----

// currentRelease returns the current release state with its age.
func (d *virtualDay) currentRelease() logic.ReleaseUpdate {
	update := d.release
	update.Age = logic.Nanos(d.now - d.releaseSince)
	return update
}

// pushRelease sends the current release to all sentries, after the delay of release updates.
func (d *virtualDay) pushRelease() {
	if d.platformStalled {
		d.faultCounts["release update lost"]++
		return
	}
	if d.releaseUpdateDelay > d.day.ReleaseUpdateDelay {
		d.faultCounts["release update delayed"]++
	}
	update := d.currentRelease()
	d.scheduleForAll(func(*virtualSentry) runTime { return d.releaseUpdateDelay },
		func(s *virtualSentry) { s.updateRelease(update, true) })
}

// setRelease changes the state of the release, and pushes it.
func (d *virtualDay) setRelease(update logic.ReleaseUpdate) {
	d.previousRelease, d.previousReleaseSince = d.release, d.releaseSince
	d.release, d.releaseSince = update, d.now
	d.pushRelease()
}

// startStage brings the newest build to a stage, and replaces the workers of the stage's share of the replicas.
func (d *virtualDay) startStage(stage int) {
	d.setRelease(logic.ReleaseUpdate{Rel: logic.RelID(d.newestBuild), Stage: stage, Phase: logic.OnTrial, Cap: d.day.stageCaps()[stage]})
	wanted := int(d.day.StageShares[stage]*float64(len(d.replicas)) + 0.999)
	for i := 0; i < wanted; i++ {
		d.replaceWorker(i, d.newestBuild)
	}
}

// replaceWorker boots a worker with a build for a replica, and drains the previous one.
func (d *virtualDay) replaceWorker(replica, build int) {
	previous := d.replicas[replica]
	if previous.build == build && previous.state != api.WorkerGone {
		return
	}
	d.schedule(d.day.BootTime, func() {
		if d.replicas[replica] != previous {
			return
		}
		d.replicas[replica] = d.bootWorker(replica, build, d.now)
		if previous.state == api.WorkerUp {
			previous.setState(api.WorkerDraining)
			d.schedule(d.day.DrainTime, func() {
				if previous.state == api.WorkerDraining {
					previous.stopProcess(api.WorkerGone)
				}
			})
		}
	})
}

// goBack makes the newest build go back.
func (d *virtualDay) goBack() {
	d.setRelease(logic.ReleaseUpdate{Rel: logic.RelID(d.newestBuild), Stage: d.release.Stage, Phase: logic.GoingBack})
	for replica, w := range d.replicas {
		if w.build == d.newestBuild {
			d.replaceWorker(replica, 1)
		}
	}
}

// withdrawBuild withdraws the newest build, which has gone back. Later stages are those of the next build.
func (d *virtualDay) withdrawBuild() {
	d.setRelease(logic.ReleaseUpdate{Rel: logic.RelID(d.newestBuild), Stage: d.release.Stage, Phase: logic.Withdrawn})
	d.newestBuild++
}

// releaseBuild releases the newest build.
func (d *virtualDay) releaseBuild() {
	d.setRelease(logic.ReleaseUpdate{Rel: logic.RelID(d.newestBuild), Stage: len(d.day.StageShares) - 1, Phase: logic.Released, Cap: 1})
}

// drainSentry stops a sentry as SIGTERM does: it takes no more txns and ends once it holds none. Then it starts again with
// its saved state.
func (d *virtualDay) drainSentry(s *virtualSentry) {
	s.accepting = false
	incarnation := s.incarnation
	var checkDrained func()
	checkDrained = func() {
		if s.incarnation != incarnation || s.stopped {
			return
		}
		if s.openTxns > 0 {
			d.schedule(10*ms, checkDrained)
			return
		}
		s.stopProcess(false)
		d.schedule(200*ms, func() { s.start(true) })
	}
	d.schedule(10*ms, checkDrained)
}

package logic

import (
	"encoding/binary"
	"math"
	"math/rand"
	"slices"
	"strconv"
	"unsafe"
)

// This file holds the state of a sentry and its bookkeeping. It makes no decisions.

// arm is the part that a submission has in the comparison of builds.
type arm uint8

const (
	noArm arm = iota
	trialArm
	baselineArm
)

// resolution is the final answer to a txn.
type resolution uint8

const (
	unresolved resolution = iota
	declined
	voided
	settled // or its client has left
)

// product is a product's settings and state.
type product struct {
	sla                     Nanos
	dedupWindow             Nanos // how long a worker group remembers a referenced txn, and drops repeats of it
	inquiryLike, referenced bool
	dedupAnywhere           bool          // all workers drop repeats
	dedupByZone             bool          // the workers of a zone drop repeats; if neither is set, those of a cell
	typicalTime             float64       // smoothed response time in ns, per ns of expected work where that is known
	typicalSamples          int           // responses that went into typicalTime
	toTrial                 bool          // the toggle: the last txn of the pair was assigned to the trial
	unpaired                []observation // trial outcomes that no baseline outcome has been paired with yet
}

// observation is one side of a pair.
type observation struct {
	success bool
	worker  *worker
	at      Nanos
}

// worker is the state of a worker process, as far as this sentry knows it.
type worker struct {
	Worker
	cohort             *cohort
	inFlight           int              // submissions of this sentry
	slowdown           float64          // smoothed response time, in expected times
	faultRate          float64          // smoothed share of faults
	limit              float64          // submissions of this sentry that it may hold
	lastResponseAt     Nanos            // when it last answered anything
	nextProbeAt        Nanos            // while unhealthy: when the next probe is due
	lastLossAt         Nanos            // when a lost pair was last counted
	errors             float64          // errors here while its build is on trial, decayed
	lastErrorAt        Nanos            // when the last of them came
	losses             float64          // discordant pairs that it lost, decayed
	silent             bool             // it has stopped answering
	inRotation         bool             // rotationCredit is set
	bucket             int              // index into evidence.bucketLosses, the same at all sentries
	relativeTime       moments          // of the log response time over that of the cohort's earlier builds
	rotationCredit     float64          // for the weighted round robin of its arm
	coldBudget         float64          // submissions that it may get while cold
	coldRefilledAt     Nanos            // when coldBudget was last refilled
	coldAvailableSince Nanos            // since when coldBudget has been one or more
	zoneFactor         float64          // by which its response time counts more if it is in another zone
	sampler            *weightedSampler // that holds it, or nil
	samplerIndex       int              // index in sampler.workers
	unhealthy          bool             // listed in Sentry.unhealthy
}

// cohortKey identifies the workers in a zone on machines of one kind.
type cohortKey struct {
	zone ZoneID
	kind KindID
}

// cohort holds the response times of the workers in a zone on machines of one kind.
type cohort struct {
	slowdown  float64 // smoothed response time, in expected times
	logTime   float64 // smoothed log of the same, of earlier builds
	updatedAt Nanos   // when a response of an earlier build last went into logTime
}

func (s *Sentry) cohortOf(w Worker) *cohort {
	key := cohortKey{w.Zone, w.Kind}
	if s.cohorts[key] == nil {
		s.cohorts[key] = &cohort{slowdown: 1}
	}
	return s.cohorts[key]
}

// submission is one sending of a txn to a worker.
type submission struct {
	target      *worker
	sentAt      Nanos
	rel         RelID // build of the target when it was sent
	pending     bool  // it has not ended
	mayHaveRun  bool
	arm         arm
	isEvidence  bool // its outcome counts in the comparison of builds
	reservesKey bool // its key counts as answered while it is pending
}

// txn is an open txn. want holds the actions that emit is to take for it.
type txn struct {
	Txn
	generation  uint32 // of the slot, so that a timer for an earlier txn in it is recognized
	submissions [8]submission
	n           int // submissions made
	state       resolution
	stream      int // number of the submission whose response is streamed, plus one; 0 for none
	want        struct {
		target     *worker // of the next submission, nil for none
		arm        arm
		resolution resolution
		wakeAt     Nanos // when to consider a second copy
		retryAfter Nanos // sent with a decline
	}
	dirty      bool // listed in Sentry.dirty
	cancelSent bool // pending submissions have been cancelled
}

// Sentry is one instance of the decision module.
type Sentry struct {
	config        map[string]any
	cachedSetting [64]cachedSetting
	rng           *rand.Rand
	sink          Sink
	now           Nanos

	products  []product
	txnSlots  map[TxnID]int32 // index in slab
	slab      []txn
	freeSlots []int32
	dirty     []int32 // slots that emit is to look at

	workers         map[WorkerID]*worker
	sortedWorkers   []*worker // by id
	trialWorkers    []*worker
	baselineWorkers []*worker
	otherWorkers    []*worker
	trialSampler    weightedSampler // of trialWorkers
	baselineSampler weightedSampler // of baselineWorkers
	otherSampler    weightedSampler // of otherWorkers
	unhealthy       []*worker
	reweighted      []*worker // whose weights a pick has overridden
	coldWorkers     []*worker // that are cold, or were on the last tick
	trialKinds      []KindID  // of the trial's machines
	maxSubmissions  int       // of a txn
	trialShare      float64   // of all txns, for the trial
	baselineShare   float64   // of all txns, for the baseline
	pairCredit      float64   // txns that the pair may take now
	trialCredit     float64   // of these, the trial
	baselineCredit  float64   // of these, the baseline
	usualWorkers    float64   // smoothed number of workers that carry the load
	settledRate     float64   // submissions settled per second
	ticks           float64   // since the start
	demand          float64   // txns per second, less those given up
	preTrialDemand  float64   // demand before the trial
	tickTaken       int       // txns taken since the last tick
	tickGivenUp     int       // txns given up since the last tick, whose clients may retry
	tickSettled     int       // submissions settled since the last tick
	hedgeBudget     float64   // second copies that may be sent
	retryBudget     float64   // resubmissions that may be sent
	contactInterval float64   // seconds between submissions to the same worker, where there are many sentries
	localSlowdown   float64   // of the slowest cohort in the sentry's own zone
	noise           float64   // weight of chance in the pick of a worker
	cohorts         map[cohortKey]*cohort
	logSentryRatio  float64 // log of the number of sentries per vote that 'back' needs, over fewSentries; at least 0
	sentryShare     float64 // share of the limits of few sentries that this one has
	limitFactor     float64 // factor on all limits
	totalLimit      float64 // submissions that may be in flight at all workers
	open            int     // submissions in flight at all workers

	announced    ReleaseUpdate // the last one that was accepted
	announcedAt  Nanos
	capLoweredAt Nanos           // when the cap last fell
	lastOnTrial  RelID           // the newest build that was seen on trial
	trial        RelID           // the newest build that an update or a worker names
	exposure     []float64       // submissions that the trial may get, by exposureIndex
	refilledAt   Nanos           // when the budgets were last refilled
	boundKeys    map[KeyID]RelID // the newest build that has answered a key
	reservedKeys map[KeyID]int   // pending submissions to the newest build that may have been answered unnoticed

	ownEvidence      evidence
	peerEvidence     []evidence   // by the number of the sentry
	logTime          float64      // smoothed log of response times over the expected ones
	logSLA           float64      // smoothed log of SLA times over the expected response times
	lastNormalAt     Nanos        // when the fleet was last not slowed down
	logTimeSamples   float64      // outcomes that went into logTime
	preTrialTicks    float64      // ticks that went into preTrialLogTime
	preTrialLogTime  float64      // logTime before the trial
	fleetSlowdown    float64      // rise of logTime since
	capacityMissing  bool         // too few workers are usable
	logTimeWeight    float64      // weight of a txn in logTime
	steadyLogTime    float64      // logTime when last no capacity was missing
	stageLogTime     float64      // steadyLogTime at the start of the stage
	errorRates       [256]float64 // smoothed, by customer from 0 and by hash of the key from 16 on
	earlierErrorRate float64      // smoothed error rate of earlier builds
	watching         bool         // for a slowdown of the fleet: a build is on trial or has just been released
	usualFaultRate   float64      // mean of the workers' fault rates, each up to maxFaultRate
	baselineBias     moments      // of the log response time of the baseline arm over that of its cohorts
	logTimeVariance  float64      // of the log response time of earlier builds around that of their cohort
	slowStages       int          // stages of the trial in which logTime rose
	lastSlowStage    int          // the last of them, -1 for none since the last change of stage
	scratch          [3][]float64
	timedWorkers     []*worker

	wantVote        Verdict
	evidenceTargets []int // sentries to send the evidence to
	mayVote         bool  // the random moment to vote has come
	nextVoteAt      Nanos // when mayVote is drawn again
	wantWatch       bool  // the worker list has to be watched
	nextWatchAt     Nanos
	watchBackoff    Nanos
	nextTickAt      Nanos
	voteKey         int // build and verdict that were last logged
}

// cachedSetting is a setting that was looked up. Settings never change, and most names are constants of the program, so a
// name at the same address as the cached one, which the cache keeps alive, is the same name and needs no hashing.
type cachedSetting struct {
	name  string
	value any
}

func (s *Sentry) setting(name string) any {
	address := unsafe.StringData(name)
	entry := &s.cachedSetting[uintptr(unsafe.Pointer(address))>>3%uintptr(len(s.cachedSetting))]
	if unsafe.StringData(entry.name) != address || len(entry.name) != len(name) {
		*entry = cachedSetting{name, s.config[name]}
	}
	return entry.value
}

func (s *Sentry) num(name string, fallback float64) float64 {
	if v, ok := s.setting(name).(float64); ok {
		return v
	}
	return fallback
}

func (s *Sentry) nanos(name string, fallback Nanos) Nanos {
	return Nanos(s.num(name, float64(fallback)))
}
func (s *Sentry) flag(name string) bool   { v, _ := s.setting(name).(bool); return v }
func (s *Sentry) text(name string) string { v, _ := s.setting(name).(string); return v }

// readProducts reads the products from the settings, and allocates the exposure buckets and the evidence of other sentries.
func (s *Sentry) readProducts() {
	n := int(s.num("products.count", 0))
	for i := 0; i < n; i++ {
		prefix := "products." + strconv.Itoa(i) + "."
		effect, group := s.text(prefix+"effect"), s.text(prefix+"group")
		s.products = append(s.products, product{sla: s.nanos(prefix+"sla", Second), dedupWindow: s.nanos(prefix+"memory", 0),
			inquiryLike: effect == "inquiry-like", referenced: effect == "referenced",
			dedupAnywhere: group == "all", dedupByZone: group == "zone"})
	}
	s.peerEvidence = make([]evidence, max(0, int(s.num("sentries", 0))))
	s.exposure = make([]float64, 1)
	if s.text("release.counts") == "product" {
		s.exposure = make([]float64, max(1, n))
	}
}

// exposureIndex returns the index in s.exposure of the bucket that a product draws on.
func (s *Sentry) exposureIndex(p ProductID) int {
	if len(s.exposure) > 1 {
		return int(p)
	}
	return 0
}

// expected returns the time in ns that t should take at an ordinary worker.
func (s *Sentry) expected(t *txn) float64 {
	p := &s.products[t.Product]
	if p.typicalSamples == 0 {
		return float64(p.sla) * initialTimeShare
	}
	return p.typicalTime * float64(max(t.Cost, 1))
}

// addTxn puts a txn into a free slot of the slab, and returns the slot.
func (s *Sentry) addTxn(in Txn) int32 {
	if len(s.freeSlots) == 0 {
		s.slab = append(s.slab, txn{})
		s.freeSlots = append(s.freeSlots, int32(len(s.slab)-1))
	}
	slot := s.freeSlots[len(s.freeSlots)-1]
	s.freeSlots = s.freeSlots[:len(s.freeSlots)-1]
	s.slab[slot] = txn{Txn: in, generation: s.slab[slot].generation + 1}
	s.txnSlots[in.ID] = slot
	return slot
}

// endTxn marks a txn as settled for the sentry. If stream is not 0, submission stream-1 goes on, as its response is
// streamed.
func (s *Sentry) endTxn(now Nanos, id TxnID, stream int) {
	s.now = now
	if slot, open := s.txnSlots[id]; open && stream <= s.slab[slot].n {
		s.slab[slot].state, s.slab[slot].stream = settled, stream
		s.markDirty(slot)
	}
	s.emit()
}

// markDirty has emit look at the txn in a slot.
func (s *Sentry) markDirty(slot int32) {
	if !s.slab[slot].dirty {
		s.slab[slot].dirty = true
		s.dirty = append(s.dirty, slot)
	}
}

// hasTried reports whether t has been sent to w.
func (t *txn) hasTried(w *worker) bool {
	for i := 0; i < t.n; i++ {
		if t.submissions[i].target == w {
			return true
		}
	}
	return false
}

// evidence is a sentry's decayed counts of outcomes of the build on trial.
type evidence struct {
	rel            RelID      // of received evidence: the build
	receivedAt     Nanos      // of received evidence
	pairs          float64    // trial and baseline outcomes that were paired
	losses         float64    // discordant pairs against the trial
	wins           float64    // discordant pairs in favour of the trial
	trimmedLosses  float64    // losses without the workers with the most
	trimmedWins    float64    // wins without the workers with the most
	trialOutcomes  float64    // trial outcomes, paired or not; these do not decay
	bucketLosses   [4]float64 // losses by bucket of workers
	trialResponses float64    // successes and errors of the trial; not sent to other sentries
}

func (e *evidence) decay(factor float64) {
	e.pairs, e.losses, e.wins, e.trialResponses = e.pairs*factor, e.losses*factor, e.wins*factor, e.trialResponses*factor
	for i := range e.bucketLosses {
		e.bucketLosses[i] *= factor
	}
}

func (e *evidence) add(o *evidence) {
	e.pairs, e.losses, e.wins = e.pairs+o.pairs, e.losses+o.losses, e.wins+o.wins
	for i := range e.bucketLosses {
		e.bucketLosses[i] += o.bucketLosses[i]
	}
	e.trimmedLosses, e.trimmedWins, e.trialOutcomes = e.trimmedLosses+o.trimmedLosses, e.trimmedWins+o.trimmedWins,
		e.trialOutcomes+o.trialOutcomes
}

// fields returns the values of a message, in their order.
func (e *evidence) fields() [10]*float64 {
	g := &e.bucketLosses
	return [10]*float64{&e.pairs, &e.losses, &e.wins, &e.trimmedLosses, &e.trimmedWins, &e.trialOutcomes,
		&g[0], &g[1], &g[2], &g[3]}
}

// encode returns a message with the evidence on a build: 16-bit numbers, the build first and then the values in tenths.
func (e *evidence) encode(rel RelID) []byte {
	data := binary.BigEndian.AppendUint16(nil, uint16(rel))
	for _, v := range e.fields() {
		data = binary.BigEndian.AppendUint16(data, uint16(min(max(*v, 0)*10, math.MaxUint16)))
	}
	return data
}

// decode reads a message, or clears the evidence if it is not one.
func (e *evidence) decode(data []byte) {
	*e = evidence{}
	fields := e.fields()
	if len(data) != 2+2*len(fields) {
		return
	}
	e.rel = RelID(binary.BigEndian.Uint16(data))
	for i, v := range fields {
		*v = float64(binary.BigEndian.Uint16(data[2+2*i:])) / 10
	}
}

// updateTrial determines the newest build that an update or a worker names, and resets the evidence if it has changed.
// Nothing of a former newest build is kept, so an erroneous entry with a far higher build hides the real one only until it
// is corrected.
func (s *Sentry) updateTrial() {
	rel := max(0, s.announced.Rel)
	for _, w := range s.sortedWorkers { // including workers that are gone: updates may still name their build
		rel = max(rel, w.Rel)
	}
	if rel == s.trial {
		return
	}
	s.trial, s.ownEvidence, s.baselineBias = rel, evidence{}, moments{}
	for _, w := range s.sortedWorkers {
		w.losses, w.errors, w.relativeTime = 0, 0, moments{}
	}
	for i := range s.products {
		s.products[i].unpaired = s.products[i].unpaired[:0]
	}
}

// dropGone removes workers that are gone, hold no submissions and have not answered for the given time. Where every start
// of a worker has an id of its own, the list of workers and the time of a tick would otherwise grow without bound.
func (s *Sentry) dropGone(after Nanos) {
	s.sortedWorkers = slices.DeleteFunc(s.sortedWorkers, func(w *worker) bool {
		drop := w.State == Gone && w.inFlight == 0 && s.now-w.lastResponseAt > after
		if drop {
			delete(s.workers, w.ID)
		}
		return drop
	})
}

// sameProcess reports whether an entry of the worker list is about this process, and not a successor with the same id.
func (w *worker) sameProcess(entry Worker) bool {
	entry.State, entry.Weight = w.State, w.Weight
	return w.Worker == entry
}

// rollingBack reports whether the build goes back or is withdrawn.
func (n *ReleaseUpdate) rollingBack() bool { return n.Phase == GoingBack || n.Phase == Withdrawn }

func (s *Sentry) markAllGone() {
	for _, w := range s.sortedWorkers {
		w.State = Gone
	}
}

// timerTxn returns the slot of the txn that a timer was set for, and whether that txn is still unresolved.
func (s *Sentry) timerTxn(token uint64) (int32, bool) {
	slot := int32(token & math.MaxUint32)
	return slot, int(slot) < len(s.slab) && s.slab[slot].generation == uint32(token>>32) && s.slab[slot].state == unresolved
}

// onTrial reports whether a build's exposure is capped.
func (s *Sentry) onTrial(rel RelID) bool {
	return rel > s.announced.Rel || rel == s.announced.Rel && s.announced.Phase != Released
}

// currentCap returns the cap on the exposure of the trial. A build that no update has named yet is in its first stage.
func (s *Sentry) currentCap() float64 {
	if s.trial > s.announced.Rel {
		return s.num("release.caps.0", 0)
	}
	return s.announced.Cap
}

// minRel returns the earliest build that t may be sent to: the newest one that has answered its key, or may have.
func (s *Sentry) minRel(t *txn) RelID {
	if t.Key == 0 || len(s.boundKeys)+len(s.reservedKeys) == 0 {
		return 0
	}
	if s.reservedKeys[t.Key] > 0 && !(s.announced.rollingBack() && s.announced.Rel == s.trial) {
		return s.trial
	}
	return s.boundKeys[t.Key]
}

// reserveKey counts the pending submissions of a key to the newest build, where a response counts once it is written. A
// response on a connection that has stalled has been given, though it is not known here.
func (s *Sentry) reserveKey(t *txn, sub *submission, by int) {
	if !sub.reservesKey {
		return
	}
	if s.reservedKeys[t.Key] += by; s.reservedKeys[t.Key] <= 0 {
		delete(s.reservedKeys, t.Key)
	}
}

// PeerMessage handles a message with the evidence of another sentry.
func (s *Sentry) PeerMessage(now Nanos, from int, data []byte) {
	s.now = now
	if from >= 0 && from < len(s.peerEvidence) {
		s.peerEvidence[from].decode(data)
		s.peerEvidence[from].receivedAt = now
	}
}

// ramp returns the share of its full capacity that a worker has by now: less than 1 while it is cold.
func (s *Sentry) ramp(w *worker) float64 {
	if w.Start <= 0 {
		return 1
	}
	cold := s.nanos("rules.cold", 0)
	if cold <= 0 || s.now-w.Start >= cold {
		return 1
	}
	from := s.num("rules.cold-from", 1)
	return from + (1-from)*max(0, float64(s.now-w.Start)/float64(cold))
}

// countPair counts a pair of a trial and a baseline outcome (step 4).
func (s *Sentry) countPair(trial, baseline observation) {
	s.ownEvidence.pairs++
	if trial.success && !baseline.success {
		s.countLoss(baseline.worker, &s.ownEvidence.wins, 1)
	} else if baseline.success && !trial.success {
		s.countLoss(trial.worker, &s.ownEvidence.losses, 1)
	}
}

// StreamStarted handles the start of a streamed response, after which no other submission can answer the client.
func (s *Sentry) StreamStarted(now Nanos, id TxnID, number int) { s.endTxn(now, id, number+1) }

// ClientLeft handles a client that has left without an answer.
func (s *Sentry) ClientLeft(now Nanos, id TxnID) { s.endTxn(now, id, 0) }

// trackErrors counts an ending, with the given weights, in the smoothed error rates of t's customer and key, and returns
// these and the lowest rate of a customer.
func (s *Sentry) trackErrors(t *txn, e Ending, customer, key float64) (byCustomer, byKey, least float64) {
	c, k := &s.errorRates[int(t.Customer)%16], &s.errorRates[16+t.Key%240]
	if e == OK || e == ErrorResponse {
		*c += customer * (indicator(e == ErrorResponse) - *c)
		*k += key * (indicator(e == ErrorResponse) - *k)
	}
	if others := s.errorRates[1:min(16, 1+int(s.num("customers.count", 0)))]; len(others) > 1 {
		return *c, *k, slices.Min(others)
	}
	return 0, *k, 0
}

// collectTimed collects the workers of the newest build that have response times.
func (s *Sentry) collectTimed() {
	s.timedWorkers = s.timedWorkers[:0]
	for _, w := range s.sortedWorkers {
		if w.Rel == s.trial && w.relativeTime.n > 0 {
			s.timedWorkers = append(s.timedWorkers, w)
		}
	}
}

// collectTrialKinds collects the kinds of the given workers' machines.
func (s *Sentry) collectTrialKinds(workers []*worker) {
	s.trialKinds = s.trialKinds[:0]
	for _, w := range workers {
		if !slices.Contains(s.trialKinds, w.Kind) {
			s.trialKinds = append(s.trialKinds, w.Kind)
		}
	}
}

// updateLocalSlowdown finds the slowest cohort in the sentry's own zone.
func (s *Sentry) updateLocalSlowdown() {
	s.localSlowdown = 0
	for key, c := range s.cohorts {
		if key.zone == ZoneID(s.num("zone", -1)) {
			s.localSlowdown = max(s.localSlowdown, c.slowdown)
		}
	}
}

// record drops unpaired trial outcomes from before since, keeps o if it is a trial outcome, and reports whether o is a
// baseline outcome for which there is one to pair it with.
func (p *product) record(side arm, o observation, since Nanos) bool {
	for len(p.unpaired) > 0 && p.unpaired[0].at < since {
		p.unpaired = slices.Delete(p.unpaired, 0, 1)
	}
	if side == trialArm && len(p.unpaired) < 64 {
		p.unpaired = append(p.unpaired, o)
	}
	return side == baselineArm && len(p.unpaired) > 0
}

// bindKey records that the newest build has answered t's key, unless that build goes back. A late update may still be about
// the build before: if that one goes back, it frees no key that the newest build answers.
func (s *Sentry) bindKey(t *txn) {
	if t.Key != 0 && s.flag("release.one-way") && !(s.announced.rollingBack() && s.announced.Rel == s.trial) {
		s.boundKeys[t.Key] = s.trial
	}
}

// decayLosses decays the counts of all workers, and returns the pairs that each worker that is up has lost, of the trial
// and of the others, and the errors of each worker of the trial.
func (s *Sentry) decayLosses(factor float64) (trialLosses, baselineLosses, errors []float64) {
	trialLosses, baselineLosses, errors = s.scratch[0][:0], s.scratch[1][:0], s.scratch[2][:0]
	for _, w := range s.sortedWorkers {
		w.losses, w.errors = w.losses*factor, w.errors*factor
		if w.State == Up && w.Rel == s.trial {
			trialLosses = append(trialLosses, w.losses)
			errors = append(errors, w.errors)
		} else if w.State == Up {
			baselineLosses = append(baselineLosses, w.losses)
		}
	}
	s.scratch = [3][]float64{trialLosses, baselineLosses, errors}
	return trialLosses, baselineLosses, errors
}

// pooledEvidence returns the sum of this sentry's evidence and of that received from others within the given time.
func (s *Sentry) pooledEvidence(ttl Nanos) evidence {
	all := s.ownEvidence
	for i := range s.peerEvidence {
		if e := &s.peerEvidence[i]; e.rel == s.trial && s.now-e.receivedAt < ttl {
			all.add(e)
		}
	}
	return all
}

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

// arm is the side of the comparison of builds to which a submission belongs.
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
	settled // settled, or abandoned by its client
)

// product is a product's settings and state.
type product struct {
	sla                     Nanos
	dedupWindow             Nanos // how long a worker group remembers a referenced txn and drops repeats of it
	inquiryLike, referenced bool
	dedupAnywhere           bool          // a repeat is dropped by any worker
	dedupByZone             bool          // a repeat is dropped within a zone; if neither flag is set, within a cell
	typicalTime             float64       // smoothed response time in ns, per ns of expected work where that is known
	typicalSamples          int           // responses counted in typicalTime
	toTrial                 bool          // the toggle: the last txn of the pair was assigned to the trial
	unpaired                []observation // trial outcomes that are not paired with a baseline outcome yet
}

// maxUnpaired is the maximum number of trial outcomes per product that wait for a baseline outcome.
const maxUnpaired = 64

// observation is one side of a pair: the outcome of a trial or baseline submission.
type observation struct {
	success    bool
	worker     *worker
	observedAt Nanos
}

// worker is the state of a worker process as this sentry has observed it.
type worker struct {
	Worker
	cohort             *cohort
	inFlight           int              // submissions of this sentry
	slowdown           float64          // smoothed ratio of its response times to the expected ones
	faultRate          float64          // smoothed share of faults
	limit              float64          // maximum of inFlight, before Sentry.limitFactor
	lastResponseAt     Nanos            // time of its last response of any kind
	nextProbeAt        Nanos            // while unhealthy: earliest time of the next probe
	lastLossAt         Nanos            // time at which a lost pair was last counted
	errors             float64          // error responses while its build is on trial, decayed
	lastErrorAt        Nanos            // time of the last of these errors
	losses             float64          // discordant pairs that it lost, decayed
	silent             bool             // it has stopped responding
	inRotation         bool             // rotationCredit has been initialized
	bucket             int              // index in evidence.bucketLosses, the same at all sentries
	relativeTime       moments          // log ratios of its response times to those of earlier builds in its cohort
	rotationCredit     float64          // credit in the weighted round robin of its arm
	coldBudget         float64          // submissions that it may get while cold
	coldRefilledAt     Nanos            // time at which coldBudget was last refilled
	coldAvailableSince Nanos            // time since which coldBudget has been one or more
	zoneFactor         float64          // factor on its response time, above 1 for another zone
	sampler            *weightedSampler // sampler that holds the worker, or nil
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
	slowdown  float64 // smoothed ratio of response times to the expected ones
	logTime   float64 // smoothed log of this ratio for earlier builds only
	updatedAt Nanos   // time of the last response counted in logTime
}

// cohortOf returns the cohort of a worker, and creates it if there is none.
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
	rel         RelID // build of the target at the time of sending
	pending     bool  // its outcome is not known yet
	mayHaveRun  bool
	arm         arm
	isEvidence  bool // its outcome counts in the comparison of builds
	reservesKey bool // its key counts as answered while it is pending
}

// txn is an open txn. want holds the actions that emit will issue for it.
type txn struct {
	Txn
	generation  uint32 // incremented when the slot is reused, so that a timer of its previous txn is recognized
	submissions [8]submission
	n           int // number of submissions made
	state       resolution
	stream      int // number of the submission whose response is streamed, plus one; 0 for none
	want        struct {
		target     *worker // target of the next submission, nil for none
		arm        arm
		resolution resolution
		wakeAt     Nanos // when to consider a second copy
		retryAfter Nanos // delay suggested with a decline
	}
	dirty      bool // listed in Sentry.dirty
	cancelSent bool // pending submissions have been cancelled
}

// Sentry is one instance of the decision module.
type Sentry struct {
	config        map[string]any
	settingsCache [64]cachedSetting
	rng           *rand.Rand
	sink          Sink
	now           Nanos

	products  []product
	txnSlots  map[TxnID]int32 // index in slab
	slab      []txn
	freeSlots []int32
	dirty     []int32 // slots that the next emit processes

	workers         map[WorkerID]*worker
	sortedWorkers   []*worker // by id
	trialWorkers    []*worker
	baselineWorkers []*worker
	otherWorkers    []*worker       // those of earlier builds that are not in the baseline
	trialSampler    weightedSampler // of trialWorkers
	baselineSampler weightedSampler // of baselineWorkers
	otherSampler    weightedSampler // of otherWorkers
	unhealthy       []*worker
	reweighted      []*worker // workers whose weight the current pick has overridden
	coldWorkers     []*worker // workers that were cold at the last partition
	trialKinds      []KindID  // kinds of the trial's machines
	maxSubmissions  int       // per txn
	trialShare      float64   // share of all txns for the trial
	baselineShare   float64   // share of all txns for the baseline
	pairCredit      float64   // txns that the pair may take now
	trialCredit     float64   // txns that the trial may take as part of the pair
	baselineCredit  float64   // txns that the baseline may take as part of the pair
	usualWorkers    float64   // smoothed number of workers that share the load
	settledRate     float64   // submissions settled per second
	ticks           float64   // ticks since the start
	demand          float64   // txns per second, less those given up
	preTrialDemand  float64   // demand before the trial
	tickTaken       int       // txns taken since the last tick
	tickGivenUp     int       // txns given up since the last tick, whose clients may retry
	tickSettled     int       // submissions settled since the last tick
	hedgeBudget     float64   // second copies that may be sent
	retryBudget     float64   // resubmissions that may be sent
	contactInterval float64   // seconds between submissions to the same worker; 0 where there are few sentries
	localSlowdown   float64   // slowdown of the slowest cohort in the sentry's own zone
	noise           float64   // exponent of the random factor in the choice of a worker
	cohorts         map[cohortKey]*cohort
	logSentryRatio  float64 // log of (sentries / 'back' votes needed / fewSentries), at least 0
	sentryShare     float64 // this sentry's share of the full limits: 1 up to fewSentries
	limitFactor     float64 // factor on the limits of all workers
	totalLimit      float64 // submissions that may be in flight at all workers together
	totalInFlight   int     // submissions in flight at all workers together

	announced    ReleaseUpdate // the last update that was accepted
	announcedAt  Nanos
	capLoweredAt Nanos           // time at which the cap last fell
	lastOnTrial  RelID           // the newest build that was seen on trial
	trial        RelID           // the newest build that an update or a worker names
	exposure     []float64       // submissions that the trial may get, by exposureIndex
	refilledAt   Nanos           // time at which the budgets were last refilled
	boundKeys    map[KeyID]RelID // the newest build that has answered a key
	allKeysBound RelID           // the newest build to which every key counts as bound, 0 for none
	reservedKeys map[KeyID]int   // number of pending submissions to the newest build, by key

	ownEvidence      evidence
	peerEvidence     []evidence // by the number of the sentry
	logTime          float64    // smoothed log ratio of response times to the expected ones
	logSLA           float64    // smoothed log ratio of SLA times to the expected response times
	lastNormalAt     Nanos      // last time at which no slowdown of the fleet was detected
	logTimeSamples   float64    // outcomes counted in logTime
	preTrialTicks    float64    // ticks counted in preTrialLogTime
	preTrialLogTime  float64    // logTime before the trial
	fleetSlowdown    float64    // rise of logTime above preTrialLogTime
	capacityMissing  bool       // too few workers are usable
	logTimeWeight    float64    // weight of a txn in logTime; 0 while capacity is missing
	steadyLogTime    float64    // the last logTime that neither missing capacity nor a surge of demand affected
	stageLogTime     float64    // steadyLogTime at the start of the stage
	errorRates       [customerErrorRates + keyErrorRates]float64
	earlierErrorRate float64 // smoothed error rate of earlier builds
	watching         bool    // the fleet is watched for a slowdown: a build is on trial or has just been released
	usualFaultRate   float64 // mean of the workers' fault rates, each counted up to maxFaultRate
	baselineBias     moments // log ratios of the baseline arm's response times to those of its cohorts
	logTimeVariance  float64 // variance of log response times of earlier builds around their cohort's mean
	slowStages       int     // number of stages of the trial in which logTime rose
	lastSlowStage    int     // the last of these stages, -1 for none since the last change of stage
	scratch          [3][]float64
	timedWorkers     []*worker // scratch space of collectTimed

	wantVote        Verdict
	evidenceTargets []int // sentries to send the evidence to
	mayVote         bool  // the random draw allows a vote now
	nextVoteAt      Nanos // time of the next draw of mayVote
	needsWatch      bool  // the worker list has to be watched
	nextWatchAt     Nanos
	watchBackoff    Nanos
	nextTickAt      Nanos
	lastLoggedVote  int // build and verdict of the last vote that was logged
}

// Smoothed error rates in Sentry.errorRates: the first are by customer, those that follow by hash of the key.
const (
	customerErrorRates = 16
	keyErrorRates      = 240
)

// cachedSetting is the cached result of a lookup. Settings never change, and most names are string constants. The cache
// keeps its names alive, so a string of the same address and length is the same name, and a lookup needs no hashing.
type cachedSetting struct {
	name  string
	value any
}

// setting returns the value of a setting, or nil.
func (s *Sentry) setting(name string) any {
	address := unsafe.StringData(name)
	entry := &s.settingsCache[uintptr(unsafe.Pointer(address))>>3%uintptr(len(s.settingsCache))]
	if unsafe.StringData(entry.name) != address || len(entry.name) != len(name) {
		*entry = cachedSetting{name, s.config[name]}
	}
	return entry.value
}

// num returns a numeric setting, or fallback where it is missing.
func (s *Sentry) num(name string, fallback float64) float64 {
	if v, ok := s.setting(name).(float64); ok {
		return v
	}
	return fallback
}

// nanos returns a duration, or fallback where it is missing.
func (s *Sentry) nanos(name string, fallback Nanos) Nanos {
	return Nanos(s.num(name, float64(fallback)))
}

// flag returns a boolean setting, or false where it is missing.
func (s *Sentry) flag(name string) bool { v, _ := s.setting(name).(bool); return v }

// text returns a string setting, or "" where it is missing.
func (s *Sentry) text(name string) string { v, _ := s.setting(name).(string); return v }

// readProducts reads the products from the settings, and allocates the exposure buckets and the table of peer evidence.
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

// exposureIndex returns the index in s.exposure of the bucket that a product uses.
func (s *Sentry) exposureIndex(p ProductID) int {
	if len(s.exposure) > 1 {
		return int(p)
	}
	return 0
}

// expected returns the expected response time of t in ns.
func (s *Sentry) expected(t *txn) float64 {
	p := &s.products[t.Product]
	if p.typicalSamples == 0 {
		return float64(p.sla) * initialTimeShare
	}
	return p.typicalTime * float64(max(t.Cost, 1))
}

// addTxn stores a txn in a free slot of the slab, and returns the slot.
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

// endTxn marks a txn as settled. If stream is not 0, submission stream-1 is not cancelled, as its response is being
// streamed.
func (s *Sentry) endTxn(now Nanos, id TxnID, stream int) {
	s.now = now
	if slot, open := s.txnSlots[id]; open && stream <= s.slab[slot].n {
		s.slab[slot].state, s.slab[slot].stream = settled, stream
		s.markDirty(slot)
	}
	s.emit()
}

// markDirty adds the txn in a slot to those that the next emit processes.
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

// evidence holds a sentry's counts of outcomes of the build on trial. All but trialOutcomes decay.
type evidence struct {
	rel            RelID      // build, set only in evidence received from a peer
	receivedAt     Nanos      // set only in evidence received from a peer
	pairs          float64    // pairs of a trial and a baseline outcome
	losses         float64    // discordant pairs against the trial
	wins           float64    // discordant pairs in favour of the trial
	trimmedLosses  float64    // losses without those of the trial workers that lost most
	trimmedWins    float64    // wins without those against the baseline workers that lost most
	trialOutcomes  float64    // trial outcomes, paired or not
	bucketLosses   [4]float64 // losses by bucket of workers
	trialResponses float64    // successes and errors of the trial; not sent to peers
}

// decay multiplies the counts by factor.
func (e *evidence) decay(factor float64) {
	e.pairs, e.losses, e.wins, e.trialResponses = e.pairs*factor, e.losses*factor, e.wins*factor, e.trialResponses*factor
	for i := range e.bucketLosses {
		e.bucketLosses[i] *= factor
	}
}

// add adds the counts of other evidence.
func (e *evidence) add(o *evidence) {
	e.pairs, e.losses, e.wins = e.pairs+o.pairs, e.losses+o.losses, e.wins+o.wins
	for i := range e.bucketLosses {
		e.bucketLosses[i] += o.bucketLosses[i]
	}
	e.trimmedLosses, e.trimmedWins, e.trialOutcomes = e.trimmedLosses+o.trimmedLosses, e.trimmedWins+o.trimmedWins,
		e.trialOutcomes+o.trialOutcomes
}

// fields returns the values that a message carries, in their order.
func (e *evidence) fields() [10]*float64 {
	g := &e.bucketLosses
	return [10]*float64{&e.pairs, &e.losses, &e.wins, &e.trimmedLosses, &e.trimmedWins, &e.trialOutcomes,
		&g[0], &g[1], &g[2], &g[3]}
}

// encode returns a message with the evidence on a build. It consists of big-endian 16-bit numbers: the build, and then the
// fields in tenths.
func (e *evidence) encode(rel RelID) []byte {
	data := binary.BigEndian.AppendUint16(nil, uint16(rel))
	for _, v := range e.fields() {
		data = binary.BigEndian.AppendUint16(data, uint16(min(max(*v, 0)*10, math.MaxUint16)))
	}
	return data
}

// decode sets the evidence from a message, or clears it if the length of the message is wrong.
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

// updateTrial determines the newest build that an update or a worker names, and resets the evidence if it has changed. The
// previous value is not considered, so an erroneous entry with a far higher build number hides the real newest build only
// until the entry is corrected.
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

// dropGone removes workers that are gone, have no submissions in flight and have not responded for the given time. Where
// each process start has a new worker id, the worker list and the duration of a tick would otherwise grow without bound.
func (s *Sentry) dropGone(after Nanos) {
	s.sortedWorkers = slices.DeleteFunc(s.sortedWorkers, func(w *worker) bool {
		drop := w.State == Gone && w.inFlight == 0 && s.now-w.lastResponseAt > after
		if drop {
			delete(s.workers, w.ID)
		}
		return drop
	})
}

// sameProcess reports whether an entry of the worker list describes this process and not a successor with the same id.
func (w *worker) sameProcess(entry Worker) bool {
	entry.State, entry.Weight = w.State, w.Weight
	return w.Worker == entry
}

// rollingBack reports whether the build is going back or withdrawn.
func (u *ReleaseUpdate) rollingBack() bool { return u.Phase == GoingBack || u.Phase == Withdrawn }

// markAllGone sets the state of all workers to Gone.
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

// onTrial reports whether a build's exposure is capped: it is newer than the announced build, or it is the announced build
// and not released.
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

// minRel returns the earliest build that t may be sent to: the newest build that has, or may have, answered its key.
func (s *Sentry) minRel(t *txn) RelID {
	if t.Key == 0 {
		return 0
	}
	if len(s.boundKeys)+len(s.reservedKeys) == 0 {
		return s.allKeysBound
	}
	if s.reservedKeys[t.Key] > 0 && !(s.announced.rollingBack() && s.announced.Rel == s.trial) {
		return s.trial
	}
	return max(s.boundKeys[t.Key], s.allKeysBound)
}

// reserveKey adds delta to the number of pending submissions of a key to the newest build. It applies where a response
// counts once it is written: the worker may have written one that is stuck on a stalled connection.
func (s *Sentry) reserveKey(t *txn, sub *submission, delta int) {
	if !sub.reservesKey {
		return
	}
	if s.reservedKeys[t.Key] += delta; s.reservedKeys[t.Key] <= 0 {
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

// capacityShare returns the present capacity of a worker as a share of its full capacity; it is below 1 while the worker is cold.
func (s *Sentry) capacityShare(w *worker) float64 {
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
func (s *Sentry) countPair(trialOutcome, baselineOutcome observation) {
	s.ownEvidence.pairs++
	if trialOutcome.success && !baselineOutcome.success {
		s.countLoss(baselineOutcome.worker, &s.ownEvidence.wins, 1)
	} else if baselineOutcome.success && !trialOutcome.success {
		s.countLoss(trialOutcome.worker, &s.ownEvidence.losses, 1)
	}
}

// StreamStarted handles the start of a streamed response, after which no other submission can answer the client.
func (s *Sentry) StreamStarted(now Nanos, id TxnID, number int) { s.endTxn(now, id, number+1) }

// ClientLeft handles a client that has disconnected before its txn was answered.
func (s *Sentry) ClientLeft(now Nanos, id TxnID) { s.endTxn(now, id, 0) }

// trackErrors counts an ending, with the given weights, in the smoothed error rates of t's customer and key. It returns
// both rates and the lowest rate of any customer; with fewer than two customers, the rates of customers are 0.
func (s *Sentry) trackErrors(t *txn, e Ending, customerWeight, keyWeight float64) (byCustomer, byKey, lowest float64) {
	customerRate, keyRate := &s.errorRates[int(t.Customer)%customerErrorRates], &s.errorRates[customerErrorRates+t.Key%keyErrorRates]
	if e == OK || e == ErrorResponse {
		*customerRate += customerWeight * (indicator(e == ErrorResponse) - *customerRate)
		*keyRate += keyWeight * (indicator(e == ErrorResponse) - *keyRate)
	}
	if rates := s.errorRates[1:min(customerErrorRates, 1+int(s.num("customers.count", 0)))]; len(rates) > 1 {
		return *customerRate, *keyRate, slices.Min(rates)
	}
	return 0, *keyRate, 0
}

// collectTimed sets timedWorkers to the workers of the newest build that have response times.
func (s *Sentry) collectTimed() {
	s.timedWorkers = s.timedWorkers[:0]
	for _, w := range s.sortedWorkers {
		if w.Rel == s.trial && w.relativeTime.n > 0 {
			s.timedWorkers = append(s.timedWorkers, w)
		}
	}
}

// collectTrialKinds sets trialKinds to the kinds of the given workers' machines.
func (s *Sentry) collectTrialKinds(workers []*worker) {
	s.trialKinds = s.trialKinds[:0]
	for _, w := range workers {
		if !slices.Contains(s.trialKinds, w.Kind) {
			s.trialKinds = append(s.trialKinds, w.Kind)
		}
	}
}

// updateLocalSlowdown sets localSlowdown to the slowdown of the slowest cohort in the sentry's own zone.
func (s *Sentry) updateLocalSlowdown() {
	s.localSlowdown = 0
	for key, c := range s.cohorts {
		if key.zone == ZoneID(s.num("zone", -1)) {
			s.localSlowdown = max(s.localSlowdown, c.slowdown)
		}
	}
}

// record drops unpaired trial outcomes from before since and stores o if it is a trial outcome. It reports whether o is a
// baseline outcome that can be paired with a stored one.
func (p *product) record(submissionArm arm, o observation, since Nanos) bool {
	for len(p.unpaired) > 0 && p.unpaired[0].observedAt < since {
		p.unpaired = slices.Delete(p.unpaired, 0, 1)
	}
	if submissionArm == trialArm && len(p.unpaired) < maxUnpaired {
		p.unpaired = append(p.unpaired, o)
	}
	return submissionArm == baselineArm && len(p.unpaired) > 0
}

// bindKey records that the newest build has answered t's key, unless that build is going back. A late update may still
// concern the build before: if that one goes back, keys that the newest build answers stay bound all the same.
func (s *Sentry) bindKey(t *txn) {
	if t.Key != 0 && s.flag("release.one-way") && !(s.announced.rollingBack() && s.announced.Rel == s.trial) {
		s.boundKeys[t.Key] = s.trial
	}
}

// bindAllKeys binds all keys to a released build, and frees those that were remembered for it and for earlier builds.
func (s *Sentry) bindAllKeys(rel RelID) {
	s.allKeysBound = rel
	remembered := s.boundKeys
	s.boundKeys = map[KeyID]RelID{} // clearing the map would not free its memory
	for key, bound := range remembered {
		if bound > rel {
			s.boundKeys[key] = bound
		}
	}
}

// decayLosses decays the counts of all workers. It returns the losses of each trial worker that is up, those of each other
// worker that is up, and the errors of each trial worker that is up.
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

// pooledEvidence returns the sum of this sentry's evidence and of that received from its peers within the last ttl.
func (s *Sentry) pooledEvidence(ttl Nanos) evidence {
	pooled := s.ownEvidence
	for i := range s.peerEvidence {
		if e := &s.peerEvidence[i]; e.rel == s.trial && s.now-e.receivedAt < ttl {
			pooled.add(e)
		}
	}
	return pooled
}

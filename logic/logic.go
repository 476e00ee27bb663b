// This file makes every decision of a sentry: where a txn is sent, when it is sent again or given up, which workers are
// healthy, and how the sentry votes on a new build.
//
// The host creates a Sentry with New and passes it each event through the method of that event (UpdateWorkers, Take,
// ResponseStarted, Outcome, ClientLeft, TimerFired, ReleaseUpdate, Tally, Contested, StreamStarted, PeerMessage), together
// with the time. These methods record the wanted actions. Most of them end with a call of emit, which checks the wanted
// actions against the rules and issues them on the Sink. Identifiers, events and the Sink are declared in types.go.
// docs/design.md describes which parts follow the paper, and the steps 1 to 6 that comments refer to.
package logic

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand"
	"slices"
	"strconv"
)

// Time base, and the scaling with the number of sentries.
const (
	// tickInterval is the period of the housekeeping timer.
	tickInterval = 100 * Millisecond
	// burstWindow is the time within which several losses of one worker count once, as a worker that dies fails all of its
	// submissions at the same moment.
	burstWindow = tickInterval
	// fewSentries is the number of sentries up to which each one uses the full limits and thresholds. Where there are
	// more, each has a share of the limits, and thresholds allow for the evidence that a single sentry lacks.
	fewSentries = 4.0
)

// Evidence from pairs and errors.
const (
	// backAlpha is the significance level of the sign test for 'back'.
	backAlpha = 0.01
	// backAlphaPairs is the number of pairs above which backAlpha falls with their square root, as the test is repeated
	// on every tick.
	backAlphaPairs = 100.0
	// trimmedBackAlpha is the significance level for 'back' of the second test, which leaves out the worst workers.
	trimmedBackAlpha = 0.04
	// holdAlpha is the significance level of the sign test for 'hold' in a clocked release.
	holdAlpha = 0.10
	// onBlockAlpha is the p-value at or below which a lead against the trial blocks 'on'.
	onBlockAlpha = 0.25
	// minBackPairs is the number of pairs that the sign test needs for 'back': 12 pairs that have decayed a little.
	minBackPairs = 11.5
	// evidenceDecay is the factor applied to the evidence on each tick, for a half-life of 15 s.
	evidenceDecay = 0.9954
	// warmUpAge is the age below which the outcomes of a worker are no evidence.
	warmUpAge = 1 * Second
	// followShare is the error rate of a key above which its errors are attributed to the key. For a customer, half of it
	// applies.
	followShare = 0.6
	// errorAllowance is how far the error rate of a good build may exceed that of earlier builds.
	errorAllowance = 0.003
	// minOnOutcomes is the number of trial outcomes in the whole fleet that 'on' needs if the next stage has all traffic.
	// Smaller stages need proportionally fewer.
	minOnOutcomes = 24.0
	// aggregatorCount is the number of sentries that pool the evidence on a build.
	aggregatorCount = 6
	// peerEvidenceTTL is how long the evidence received from another sentry counts.
	peerEvidenceTTL = 3 * Second
	// staleAfter is the time after which an observation is outdated: a silent worker may be probed with any txn this long
	// after its next probe was possible, and an unpaired trial outcome is dropped after twice this time.
	staleAfter = 10 * Second
)

// Comparison of the trial's response times with those of earlier builds.
const (
	// toleratedSlowdown is how many times slower a build may be without counting as worse.
	toleratedSlowdown = 1.25
	// minTrialTimes is the number of warm response times of the trial that a comparison needs. It is also the weight, in
	// response times, of the prior variance and the prior baseline bias.
	minTrialTimes = 10.0
	// machineDeviation is the standard deviation of the log response time between machines of one kind.
	machineDeviation = 0.2
	// slowBackZ is the number of standard errors above toleratedSlowdown beyond which the vote is 'back'.
	slowBackZ = 3.5
	// slowBackZGrowth is added to slowBackZ per unit of Sentry.logSentryRatio.
	slowBackZGrowth = 0.2
	// maxOnZ is the number of standard errors above toleratedSlowdown at which 'on' is blocked.
	maxOnZ = 1.0
)

// Slowdown of the whole fleet. Levels and rises of time are log ratios like Sentry.logTime.
const (
	// stageRiseThreshold is the rise since the start of a stage above which the stage counts as slower.
	stageRiseThreshold = 0.12
	// fleetSlowdownThreshold is the rise since before the trial at which a build is held to slow the fleet.
	fleetSlowdownThreshold = 0.8
	// demandSurgeRatio is the ratio of demand to that before the trial above which demand explains a slowdown.
	demandSurgeRatio = 1.2
	// missingCapacityShare is the share of the usual capacity whose loss explains a slowdown.
	missingCapacityShare = 0.15
	// minTimeSamples is the number of outcomes that Sentry.logTime needs before it is used: it starts at zero, and where
	// txns are rare it takes long to reach the true level.
	minTimeSamples = 40.0
	// reachableShare is the part of the distance from the level before the trial to that of the SLA time which a slow
	// fleet can be expected to reach. The rest is out of reach because late txns are declined.
	reachableShare = 0.8
	// fleetSlowdownTime is how long a slowdown with two slower stages has to last for 'back'. With one, it has to last
	// three times as long.
	fleetSlowdownTime = 3 * Second
	// afterReleaseTime is how long after its release a build is still watched for a slowdown of the fleet.
	afterReleaseTime = 15 * Second
)

// Worker health, further submissions and routing.
const (
	// silenceTimes is the number of expected response times without a response after which a worker is silent.
	silenceTimes = 5.0
	// hedgeTimes is the number of expected response times after which a second copy of a txn is sent.
	hedgeTimes = 3.0
	// hedgeShare is the number of second copies granted per txn.
	hedgeShare = 0.06
	// initialHedges is the number of second copies granted at the start, for a sentryShare of 1.
	initialHedges = 5.0
	// maxExtraHedges is how many second copies above one may be saved up, for a sentryShare of 1.
	maxExtraHedges = 20.0
	// retryShare is the number of resubmissions granted per txn.
	retryShare = 0.25
	// initialRetries is the number of resubmissions granted at the start, for a sentryShare of 1.
	initialRetries = 10.0
	// maxExtraRetries is how many resubmissions above one may be saved up, for a sentryShare of 1.
	maxExtraRetries = 50.0
	// maxFaultRate is how far the fault rate of a worker may exceed the usual one before the worker is unhealthy.
	maxFaultRate = 0.35
	// faultRateDecay is the factor applied to a worker's fault rate on each success.
	faultRateDecay = 0.85
	// maxRelativeTime is the largest ratio of a response time to the expected one that counts in a slowdown.
	maxRelativeTime = 20.0
	// probeInterval is the minimum time between probes of an unhealthy worker.
	probeInterval = 1 * Second
	// healthDecay is the fraction by which a worker's fault rate and slowdown, and the limit factor, return to normal on
	// each tick.
	healthDecay = 0.005
	// lostCapacityAfter is the time since the last response after which a silent worker counts as missing capacity.
	lostCapacityAfter = 2 * Second
	// goneWorkerTTL is how long a worker that is gone is remembered after its last response.
	goneWorkerTTL = 60 * Second
	// crossZoneTimes is the extra factor, per unit of the cross-zone price, on the response times of workers in other zones.
	crossZoneTimes = 15.0
	// triedPenalty is the factor on the expected delay of a worker that a txn has been sent to before.
	triedPenalty = 100.0
	// maxScannedWorkers is the size of a worker group up to which a pick scans all of it. From a larger group a weighted
	// sampler draws with the same probabilities.
	maxScannedWorkers = 64
)

// Limits of one sentry on its submissions in flight at a worker, and the first estimate of response times. Where there are
// more than fewSentries, minLimit and initialLimit are multiplied by Sentry.sentryShare.
const (
	// minLimit is the lowest limit, in submissions.
	minLimit = 1.0
	// initialLimit is the limit of a new worker, in submissions.
	initialLimit = 8.0
	// lateShare is the share of responses slower than two thirds of the SLA time at which a limit neither rises nor falls.
	lateShare = 0.08
	// limitStep is the relative size of a step of the limit.
	limitStep = 0.2
	// rejectedLimitStep is the factor on the limit of a worker that rejects a submission.
	rejectedLimitStep = 0.8
	// minLimitFactor and maxLimitFactor bound Sentry.limitFactor.
	minLimitFactor = 0.1
	maxLimitFactor = 2.0
	// initialTimeShare is the first estimate of a response time, as a share of the SLA time.
	initialTimeShare = 0.2
)

// Smoothing: weights of a new value in a smoothed one. Some smoothed values start as a mean, with a larger weight for each
// of the first values.
const (
	// slowdownGain is the weight of a response in the slowdown of its worker.
	slowdownGain = 0.15
	// cohortSlowdownGain is the weight of a response in the slowdown of its cohort.
	cohortSlowdownGain = 0.03
	// errorFaultGain is the weight of an error or a malformed response in the fault rate.
	errorFaultGain = 0.15
	// disconnectFaultGain is the weight of a lost connection or a failed connect in the fault rate.
	disconnectFaultGain = 0.4
	// typicalTimeGain is the weight of a response in the typical time of its product.
	typicalTimeGain = 0.01
	// logTimeGain is the weight of a txn in Sentry.logTime and Sentry.logSLA.
	logTimeGain = 0.03
	// cohortLogTimeGain is the weight of a response in the log time of its cohort.
	cohortLogTimeGain = 0.04
	// logTimeVarianceGain is the weight of a response in Sentry.logTimeVariance.
	logTimeVarianceGain = 0.02
	// customerErrorGain and keyErrorGain are the weights of an outcome in the error rates of its customer and its key.
	customerErrorGain = 0.15
	keyErrorGain      = 0.1
	// earlierErrorGain is the weight of an outcome in the error rate of earlier builds.
	earlierErrorGain = 0.005
	// usualWorkersGain is the weight of the present number of workers in Sentry.usualWorkers.
	usualWorkersGain = 0.003
	// demandGain and settledRateGain are the weights of a tick in Sentry.demand and Sentry.settledRate.
	demandGain      = 0.03
	settledRateGain = 0.02
	// preTrialGain is the weight of a tick in the level and the demand before the trial.
	preTrialGain = 0.01
)

// New creates a sentry from the settings, a flat map of names to values.
func New(now Nanos, seed int64, settings map[string]any, sink Sink) *Sentry {
	s := &Sentry{config: settings, rng: rand.New(rand.NewSource(seed)), sink: sink, now: now, txnSlots: map[TxnID]int32{},
		workers: map[WorkerID]*worker{}, boundKeys: map[KeyID]RelID{}, reservedKeys: map[KeyID]int{}, refilledAt: now,
		cohorts: map[cohortKey]*cohort{},
		noise:   0.5, logTimeVariance: 1, limitFactor: 1}
	s.readProducts()
	// After a restart it is unknown what was sent, so exposure starts with an empty budget and no announced build.
	s.announced.Rel = -1
	s.needsWatch = s.text("discovery") == "ask"
	s.sentryShare = min(1, fewSentries/max(1, s.num("sentries", 1)))
	s.maxSubmissions = min(int(s.num("allow.submissions", 1)), len(txn{}.submissions))
	s.logSentryRatio = math.Log(max(1, s.num("sentries", 1)/max(1, s.num("release.votes-back", 1))/fewSentries))
	s.hedgeBudget, s.retryBudget = initialHedges*s.sentryShare, initialRetries*s.sentryShare
	s.emit()
	return s
}

// ---- Workers ----

// UpdateWorkers handles an update of the worker list from discovery.
func (s *Sentry) UpdateWorkers(now Nanos, mode ListMode, list []Worker) {
	s.now = now
	if mode == ListUnavailable {
		// An immediate retry would add to the load of an overloaded discovery.
		s.watchBackoff = min(max(2*s.watchBackoff, Second), 4*Second)
		s.nextWatchAt = now + s.watchBackoff/2 + Nanos(s.rng.Int63n(int64(s.watchBackoff)))
	} else if mode != Restored {
		// A watch may stall without an error, so it is renewed after this long without an update.
		s.watchBackoff, s.nextWatchAt = 0, now+s.nanos("rules.ask-within", 10*Second)
	}
	if mode == Whole || mode == Restored {
		s.markAllGone() // a worker that a complete list omits is gone
	}
	for _, entry := range list {
		w := s.workers[entry.ID]
		if w == nil || !w.sameProcess(entry) {
			// A new process inherits no state from an earlier one with the same id. In particular, a process in another zone
			// must not become the target of earlier submissions: a repeat sent there would wrongly count as sent within the
			// zone that drops duplicates.
			w = s.addWorker(&worker{Worker: entry, slowdown: 1, limit: initialLimit * s.sentryShare, coldRefilledAt: now,
				coldBudget: s.rng.Float64(), cohort: s.cohortOf(entry)})
			w.slowdown = w.cohort.slowdown
		}
		w.Worker, w.zoneFactor = entry, s.crossZoneFactor(entry.Zone)
	}
	s.updateTrial()
	s.partitionWorkers()
	s.emit()
}

// healthy reports whether w may be used without restriction. The fault rate is compared with the usual one: where
// submissions fail at all workers alike, excluding each of them would leave none.
func (s *Sentry) healthy(w *worker) bool {
	return !w.silent && w.faultRate < maxFaultRate+s.usualFaultRate
}

// partitionWorkers divides the workers into trial, baseline and others, and sets the traffic shares of the pair (step 1).
func (s *Sentry) partitionWorkers() {
	s.trialWorkers, s.baselineWorkers, s.otherWorkers, s.coldWorkers = s.trialWorkers[:0], s.baselineWorkers[:0],
		s.otherWorkers[:0], s.coldWorkers[:0]
	defer s.rebuildSamplers()
	upCount, newestCount, usableCapacity, totalCapacity, trialCapacity := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, w := range s.sortedWorkers {
		if s.capacityShare(w) < 1 {
			s.coldWorkers = append(s.coldWorkers, w)
		}
		if w.State != Up {
			continue
		}
		upCount, newestCount = upCount+1, newestCount+indicator(w.Rel == s.trial)
		// Workers of a slow fleet may seem silent for a moment. Only those that have been silent for long are lost capacity.
		if w.faultRate < maxFaultRate+s.usualFaultRate && (!w.silent || s.now-w.lastResponseAt < lostCapacityAfter) {
			usableCapacity += s.capacityShare(w)
		}
		totalCapacity += s.capacityShare(w)
		if s.onTrial(w.Rel) {
			if w.Rel == s.trial {
				trialCapacity += s.capacityShare(w)
				s.trialWorkers = append(s.trialWorkers, w)
			}
			continue
		}
		s.otherWorkers = append(s.otherWorkers, w)
	}
	// The load is shared by all workers or, where earlier workers keep running beside the new ones, by as many as the larger
	// of the two builds has.
	if s.text("release.style") == "beside" {
		upCount = max(newestCount, upCount-newestCount)
	}
	if s.usualWorkers += (upCount - s.usualWorkers) * usualWorkersGain; s.usualWorkers <= 1 {
		s.usualWorkers = upCount
	}
	s.capacityMissing, s.logTimeWeight = usableCapacity < (1-missingCapacityShare)*s.usualWorkers,
		logTimeGain*indicator(usableCapacity >= (1-missingCapacityShare)*s.usualWorkers)
	s.trialShare, s.baselineShare = 0, 0
	if len(s.trialWorkers) == 0 || totalCapacity <= 0 {
		return
	}
	s.trialShare = min(trialCapacity/totalCapacity, s.currentCap())
	// The baseline has as many workers as the trial, those of the newest earlier builds. Healthy workers on machines of the
	// trial's kinds come first.
	s.collectTrialKinds(s.trialWorkers)
	similarity := func(w *worker) float64 { return indicator(s.healthy(w) && slices.Contains(s.trialKinds, w.Kind)) }
	slices.SortStableFunc(s.otherWorkers, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(similarity(b), similarity(a)), cmp.Compare(b.Rel, a.Rel), cmp.Compare(b.Start, a.Start))
	})
	n := min(len(s.trialWorkers), len(s.otherWorkers))
	for n > 0 && !s.healthy(s.otherWorkers[n-1]) {
		n--
	}
	s.baselineWorkers = append(s.baselineWorkers, s.otherWorkers[:n]...)
	s.otherWorkers = s.otherWorkers[:copy(s.otherWorkers, s.otherWorkers[n:])]
	baselineCapacity := 0.0
	for _, w := range s.baselineWorkers {
		baselineCapacity += s.capacityShare(w)
	}
	s.baselineShare = min(s.trialShare, baselineCapacity/totalCapacity)
}

// ---- Rules: nothing is sent or answered that these functions do not allow ----

// maySubmit checks the rules on a further submission of t that do not depend on the worker.
func (s *Sentry) maySubmit(t *txn) bool {
	return t.state == unresolved && s.now < t.Expiry && t.n < s.maxSubmissions && (s.flag("allow.copies") ||
		!slices.ContainsFunc(t.submissions[:t.n], func(sub submission) bool { return sub.pending }))
}

// maySend checks all rules on sending t to w at this moment.
func (s *Sentry) maySend(t *txn, w *worker) bool { return s.maySubmit(t) && s.workerAllowed(t, w) }

// workerAllowed checks the rules on sending t to w that depend on the worker.
func (s *Sentry) workerAllowed(t *txn, w *worker) bool {
	p := &s.products[t.Product]
	if w.State != Up || s.capacityShare(w) < 1 && w.coldBudget < 1 { // the grace period of a drain is not used
		return false
	}
	for i := 0; i < t.n; i++ {
		sub := &t.submissions[i]
		if (sub.pending || sub.mayHaveRun) && !p.inquiryLike {
			sameGroup := p.dedupAnywhere || p.dedupByZone && w.Zone == sub.target.Zone || !p.dedupByZone && w.Cell == sub.target.Cell
			// The last tenth of the deduplication window is not used, as the submission takes time to arrive.
			if !p.referenced || !sameGroup || s.now-sub.sentAt >= p.dedupWindow*9/10 {
				return false
			}
		}
	}
	if s.onTrial(w.Rel) {
		if w.Rel != s.trial || s.exposure[s.exposureIndex(t.Product)] < 1 || s.currentCap() <= 0 {
			return false
		}
		if t.Key != 0 && s.keysFull() && s.boundKeys[t.Key] != w.Rel {
			return false
		}
		guardedStages := int(s.num("release.guarded-stages", 0))
		if !p.inquiryLike && guardedStages > 0 && (s.trial > s.announced.Rel || s.announced.Stage < guardedStages) {
			return false
		}
	}
	return w.Rel >= s.minRel(t)
}

// maxBoundKeys bounds the keys that are remembered one by one, a few megabytes. Beyond it, a build on trial gets no further
// keys, and all keys count as bound to a released build. A trial that begins finds at least half of the room.
const maxBoundKeys = 1 << 17

// keysFull reports whether a build on trial gets no further keys, as none of them could be remembered.
func (s *Sentry) keysFull() bool {
	return len(s.boundKeys)+len(s.reservedKeys) >= maxBoundKeys
}

// rememberKey binds t's key to the newest build, which has answered it, or may have.
func (s *Sentry) rememberKey(t *txn) {
	s.bindKey(t)
	if len(s.boundKeys) > maxBoundKeys && !s.onTrial(s.trial) {
		s.bindAllKeys(s.trial)
	}
}

// mayDecline reports whether t may be declined, which assures the client that a retry does no harm.
func (s *Sentry) mayDecline(t *txn) bool {
	p := &s.products[t.Product]
	return p.inquiryLike || p.referenced && p.dedupAnywhere || !slices.ContainsFunc(t.submissions[:t.n], func(sub submission) bool {
		return sub.pending || sub.mayHaveRun
	})
}

// StillAllowed reports whether a submission that waits for a connection may still be sent. Meanwhile its worker may have
// begun to drain, the cap may have fallen, in which case the submission would count against the lower cap, or a newer build
// may have answered its key.
func (s *Sentry) StillAllowed(now Nanos, id TxnID, number int) bool {
	slot, open := s.txnSlots[id]
	if !open || number >= s.slab[slot].n {
		return false
	}
	t := &s.slab[slot]
	sub := &t.submissions[number]
	return sub.target.State == Up && now < t.Expiry && sub.rel >= s.minRel(t) && (!s.onTrial(sub.rel) || sub.sentAt > s.capLoweredAt)
}

// refillBudgets refills the token buckets. An exposure bucket gets the free submissions of a window; refill and depth
// together never exceed their number in any window. A cold worker's bucket gets the worker's even share of the load, scaled
// to its present capacity.
func (s *Sentry) refillBudgets() {
	dt := float64(s.now-s.refilledAt) / float64(Second)
	s.refilledAt = s.now
	free, window := s.num("release.free", 0), s.num("release.window", 1)/float64(Second)
	depth := min(free, max(1, free/2)) // with less than one free submission, a depth of one would exceed it
	for i := range s.exposure {
		s.exposure[i] = min(depth, s.exposure[i]+dt*max(0, free-depth)/max(window, 0.001))
	}
	// Any fixed minimum would be multiplied by the number of sentries. So a cold worker's bucket starts at a random
	// fraction of one submission, grows by the worker's even share of the txns that this sentry settles, and loses tokens
	// that are not used in time.
	evenShare := s.settledRate / max(1, s.usualWorkers) * s.num("rules.fall-multiple", 1)
	half := s.nanos("rules.fall-after", 0) / 2
	for _, w := range s.coldWorkers {
		if capacity := s.capacityShare(w); capacity < 1 {
			if w.coldBudget < 1 {
				w.coldAvailableSince = s.now
			} else if s.now-w.coldAvailableSince > half {
				w.coldBudget, w.coldAvailableSince = w.coldBudget-1, s.now
			}
			depth := max(1, evenShare*capacity*float64(half)/float64(Second))
			w.coldBudget, w.coldRefilledAt = min(depth, w.coldBudget+evenShare*capacity*float64(s.now-w.coldRefilledAt)/float64(Second)),
				s.now
		}
	}
}

// ---- Routing of a txn ----

// Take accepts a txn from a client.
func (s *Sentry) Take(now Nanos, in Txn) {
	s.now = now
	s.refillBudgets()
	slot := s.addTxn(in)
	t := &s.slab[slot]
	s.tickTaken++
	s.hedgeBudget, s.retryBudget = min(s.hedgeBudget+hedgeShare, 1+maxExtraHedges*s.sentryShare),
		min(s.retryBudget+retryShare, 1+maxExtraRetries*s.sentryShare)
	s.exposure[s.exposureIndex(t.Product)] += s.currentCap() // refillBudgets limits it to the bucket's depth
	s.route(slot)
	if p := &s.products[t.Product]; (p.inquiryLike || p.referenced) && s.flag("allow.copies") {
		t.want.wakeAt = now + Nanos(min(hedgeTimes*s.expected(t)*math.Exp(max(0, s.fleetSlowdown)), float64(p.sla)/2))
	}
	s.emit()
}

// route picks the worker for the next submission of a txn, or gives the txn up where there is none.
func (s *Sentry) route(slot int32) {
	t := &s.slab[slot]
	t.want.target, t.want.arm = s.chooseWorker(t)
	s.markDirty(slot)
	if t.want.target == nil {
		s.giveUp(slot)
	}
}

// chooseWorker picks the worker for t. A first submission may be assigned to the pair of trial and baseline by weighted
// round robin, to one of its arms by the toggle, and to a worker by the arm's rotation (steps 1 to 3). All others go to a
// worker picked by expected response time.
func (s *Sentry) chooseWorker(t *txn) (*worker, arm) {
	sendable := func(w *worker) bool { return s.maySend(t, w) }
	boundToTrial := len(s.trialWorkers) > 0 && s.trial > 0 && s.minRel(t) == s.trial
	if t.n == 0 && len(s.trialWorkers) > 0 && (boundToTrial || len(s.baselineWorkers) == 0 ||
		s.exposure[s.exposureIndex(t.Product)] >= 1 && slices.ContainsFunc(s.trialWorkers, sendable)) {
		s.pairCredit += s.trialShare + s.baselineShare
		s.trialCredit = min(s.trialCredit+s.trialShare, 2)
		s.baselineCredit = min(s.baselineCredit+s.baselineShare, 2)
	}
	if boundToTrial {
		// Txns with keys bound to the trial use up its traffic share and count as trial outcomes. If they came on top of the
		// share they would overload the trial's workers, which would then seem slow.
		w := s.nextInRotation(s.trialWorkers, t)
		if w == nil {
			w = s.pickFastest(&s.trialSampler, t)
		}
		if w != nil && t.n == 0 {
			s.pairCredit, s.trialCredit = max(s.pairCredit-1, -2), max(s.trialCredit-1, -2)
			return w, trialArm
		}
		return w, noArm
	}
	if t.n == 0 && s.pairCredit >= 1 && len(s.trialWorkers) > 0 {
		s.pairCredit = min(s.pairCredit-1, 1)
		p := &s.products[t.Product]
		toTrial := !p.toTrial
		p.toTrial = toTrial
		if s.baselineCredit < 0.5 || len(s.baselineWorkers) == 0 { // each arm is held to its own share
			toTrial = true
		} else if s.trialCredit < 0.5 {
			toTrial = false
		}
		if toTrial && s.trialCredit > 0 {
			// The rotation skips a silent worker, and a trial worker gets no other txns: without a probe it would stay silent.
			if slices.ContainsFunc(s.trialWorkers, func(w *worker) bool { return w.silent }) {
				if w := s.pickFastest(&s.trialSampler, t); w != nil && w.silent {
					s.trialCredit--
					return w, noArm
				}
			}
			if w := s.nextInRotation(s.trialWorkers, t); w != nil {
				s.trialCredit--
				return w, trialArm
			}
		} else if w := s.nextInRotation(s.baselineWorkers, t); w != nil {
			s.baselineCredit--
			return w, baselineArm
		}
	}
	if w := s.pickFastest(&s.otherSampler, t); w != nil {
		return w, noArm
	}
	if w := s.pickFastest(&s.baselineSampler, t); w != nil {
		return w, noArm
	}
	return s.pickFastest(&s.trialSampler, t), noArm
}

// crossZoneFactor returns the factor on the response times of workers in the given zone.
func (s *Sentry) crossZoneFactor(zone ZoneID) float64 {
	if zone == ZoneID(s.num("zone", -1)) {
		return 1
	}
	return 1 + crossZoneTimes*s.num("price.cross-zone", 0)
}

// near reports whether w is healthy and expected to answer no later than the slowest cohort of the sentry's own zone.
func (s *Sentry) near(w *worker) bool {
	return s.healthy(w) && w.cohort.slowdown*w.zoneFactor <= s.localSlowdown
}

// nextInRotation picks the next worker of an arm by weighted round robin, with the present capacity as the weight. If any
// workers are near, only these take part: if traffic shifts to one zone, the trial's workers there would otherwise get all
// of it and seem slow. A worker is picked at most one round before its turn, so that txns which cold workers cannot take
// do not overload the warm ones.
func (s *Sentry) nextInRotation(workers []*worker, t *txn) *worker {
	near, sum := slices.ContainsFunc(workers, s.near), 0.0
	eligible := func(w *worker) bool { return s.healthy(w) && (!near || s.near(w)) }
	for _, w := range workers {
		sum += s.capacityShare(w) * indicator(eligible(w))
	}
	var best *worker
	for _, w := range workers {
		if !eligible(w) {
			continue
		}
		if !w.inRotation { // starts at random, as many sentries would otherwise all begin with the same worker
			w.inRotation, w.rotationCredit = true, s.rng.Float64()*sum
		}
		w.rotationCredit = min(w.rotationCredit+s.capacityShare(w), 2*sum)
		if w.rotationCredit >= 0 && (best == nil || w.rotationCredit > best.rotationCredit) && s.hasRoom(w, t) && s.maySend(t, w) {
			best = w
		}
	}
	if best != nil {
		best.rotationCredit -= sum
	}
	return best
}

// hasRoom reports whether this sentry may have one more submission in flight at w. The limit follows the response times, so
// that a txn that could only be late is declined early, whatever the cause of the overload. Resubmissions get four fifths
// of the limit.
func (s *Sentry) hasRoom(w *worker, t *txn) bool {
	return float64(w.inFlight) < w.limit*s.limitFactor*(1-0.2*indicator(t.n > 0)) && s.hasTotalRoom()
}

// hasTotalRoom reports whether the sentry may have one more submission in flight. Many sentries with one submission at
// each worker would overload the fleet, so each sentry's total is limited as well.
func (s *Sentry) hasTotalRoom() bool {
	return s.sentryShare == 1 || float64(s.totalInFlight) < s.totalLimit
}

// scaleLimit multiplies the limit of w by a factor. With many sentries, each of which rarely uses the same worker twice, it
// also adjusts the factor on all limits.
func (s *Sentry) scaleLimit(w *worker, factor float64) {
	w.limit = max(minLimit*s.sentryShare, w.limit*factor)
	s.limitFactor = min(max(s.limitFactor*(1+(factor-1)*s.noise*(1-s.sentryShare)), minLimitFactor), maxLimitFactor)
}

// delay estimates the response time of w, in expected response times, from this sentry's own submissions.
func (s *Sentry) delay(w *worker) float64 {
	return w.slowdown * (1 + float64(w.inFlight)) / s.capacityShare(w) * (1 + 4*w.faultRate) * w.zoneFactor
}

// weight returns the weight with which w is drawn, or 0 if w is unhealthy or cannot have room.
func (s *Sentry) weight(w *worker) float64 {
	// limitFactor changes the limits of all workers with each response, so this uses only its upper bound, maxLimitFactor.
	// A pick checks hasRoom as well.
	if !s.healthy(w) || float64(w.inFlight) >= w.limit*(1+indicator(s.sentryShare < 1)) {
		return 0
	}
	return raceWeight(s.delay(w), s.noise)
}

// pickFastest picks a worker at random, with a probability that falls with its expected response time.
func (s *Sentry) pickFastest(sampler *weightedSampler, t *txn) *worker {
	if !s.maySubmit(t) || !s.hasTotalRoom() {
		return nil
	}
	var best *worker
	if !sampler.weighted() { // a small group: scan it, with a random draw for each worker
		least := math.Inf(1)
		for _, w := range sampler.workers {
			if !s.workerAllowed(t, w) || !s.hasRoom(w, t) {
				continue
			}
			delay := s.delay(w)
			if !s.healthy(w) {
				if !s.mayProbe(w, t) {
					continue
				}
				delay = 0
			}
			if t.hasTried(w) {
				delay *= triedPenalty
			}
			if delay *= math.Pow(s.rng.ExpFloat64(), s.noise); delay < least {
				best, least = w, delay
			}
		}
	} else {
		best = s.pick(sampler, t)
	}
	if best != nil && !s.healthy(best) {
		best.nextProbeAt = s.now + Nanos(float64(probeInterval)*max(1, 5*s.contactInterval))
	}
	return best
}

// mayProbe reports whether t may probe the unhealthy worker w. A worker that answers nothing has no load and so seems free.
// It gets only an inquiry-like txn from time to time, less often if this sentry rarely uses it; that txn also detects
// whether it has recovered. If no such txn arrives, a silent worker is probed with any txn after a longer wait, as it would
// otherwise never be used again.
func (s *Sentry) mayProbe(w *worker, t *txn) bool {
	overdue := w.silent && s.now > w.nextProbeAt+staleAfter
	return s.now >= w.nextProbeAt && t.n == 0 && (s.products[t.Product].inquiryLike || overdue)
}

// pick returns an unhealthy worker that t may probe or, if there is none, draws a worker from a sampler with weights.
func (s *Sentry) pick(sampler *weightedSampler, t *txn) *worker {
	for i := 0; i < len(s.unhealthy) && t.n == 0; i++ {
		w := s.unhealthy[i]
		if w.sampler == sampler && !s.healthy(w) && s.mayProbe(w, t) && s.hasRoom(w, t) && s.workerAllowed(t, w) {
			return w
		}
	}
	defer s.restoreWeights(sampler)
	for i := 0; i < t.n; i++ { // workers that t has been sent to are drawn only if hardly any other is possible
		if w := t.submissions[i].target; w.sampler == sampler && s.weight(w) > 0 {
			s.overrideWeight(w, raceWeight(triedPenalty*s.delay(w), s.noise))
		}
	}
	for {
		w := sampler.pick(s.rng.Float64())
		if w == nil || s.healthy(w) && s.hasRoom(w, t) && s.workerAllowed(t, w) {
			return w
		}
		s.overrideWeight(w, 0)
	}
}

// Outcome handles the end of a submission.
func (s *Sentry) Outcome(now Nanos, o Outcome) {
	s.now = now
	slot, open := s.txnSlots[o.Txn]
	if !open || o.Number < 0 || o.Number >= s.slab[slot].n || !s.slab[slot].submissions[o.Number].pending {
		return
	}
	s.refillBudgets()
	t := &s.slab[slot]
	sub := &t.submissions[o.Number]
	sub.pending = false
	sub.mayHaveRun = o.Ending != Rejected && o.Ending != ConnectFailed && o.Ending != Skipped
	sub.target.inFlight--
	s.totalInFlight--
	s.reserveKey(t, sub, -1)
	// A submission that was cut off, malformed or cancelled may have been answered, which binds the key as well.
	if sub.rel == s.trial && (o.Ending == OK || o.MaybeAnswered) {
		s.rememberKey(t)
	}
	s.learn(t, sub, o)
	s.updateWeight(sub.target)
	if o.Final {
		t.state = settled
	}
	if t.state == unresolved {
		// If workers reject everything, each txn would be sent to several of them and add to their load. The retry budget
		// limits that.
		if now < t.Expiry && s.retryBudget >= 1 && o.Ending != Cancelled &&
			(o.Ending != ErrorResponse || !s.errorsFollowTxn(t, o.Ending, 0, 0)) {
			s.retryBudget--
			s.route(slot)
		} else {
			s.giveUp(slot)
		}
	}
	s.markDirty(slot)
	s.emit()
}

// ResponseStarted handles the first bytes of a response. A long response may take time, so its key is bound at once.
func (s *Sentry) ResponseStarted(now Nanos, id TxnID, number int) {
	s.now = now
	if slot, open := s.txnSlots[id]; open && number < s.slab[slot].n && s.slab[slot].submissions[number].rel == s.trial {
		s.rememberKey(&s.slab[slot])
	}
}

// giveUp declines or voids a txn, unless a pending submission can still settle it.
func (s *Sentry) giveUp(slot int32) {
	t := &s.slab[slot]
	if s.now < t.Expiry && slices.ContainsFunc(t.submissions[:t.n], func(sub submission) bool { return sub.pending }) {
		return
	}
	t.want.resolution = voided
	s.tickGivenUp++
	if t.n == 0 {
		// A declined txn counts as having taken its SLA time, or declines would hide a slowdown of the fleet.
		s.logTime += s.logTimeWeight * (math.Log(float64(s.products[t.Product].sla)/max(s.expected(t), 1)) - s.logTime)
	}
	if s.mayDecline(t) {
		t.want.resolution = declined // a txn that is retried soon can still be settled within its SLA time
		t.want.retryAfter = min(s.products[t.Product].sla/10, s.nanos("allow.longest-retry-after", 0))
	}
	s.markDirty(slot)
}

// learn updates the health of the worker, the typical times and the evidence from an outcome. If no baseline is left, as
// after a release, trial outcomes are compared with the error rate that earlier builds had. In that case only errors count,
// as late and missing responses are just as often due to the machine or the load.
func (s *Sentry) learn(t *txn, sub *submission, o Outcome) {
	w, p := sub.target, &s.products[t.Product]
	relativeTime := float64(o.Elapsed) / max(s.expected(t), 1)
	if o.Ending == OK || o.Ending == Rejected || o.Ending == ErrorResponse || o.Ending == MalformedResponse {
		w.lastResponseAt, w.silent = s.now, false
	}
	switch o.Ending {
	case OK:
		w.faultRate *= faultRateDecay
		s.tickSettled++
		if o.Elapsed > p.sla*2/3 {
			s.scaleLimit(w, 1-limitStep*(1-lateShare))
		} else if float64(w.inFlight) >= w.limit*s.limitFactor/2 || float64(s.totalInFlight) >= s.totalLimit/2 && s.sentryShare < 1 {
			s.scaleLimit(w, 1+limitStep*lateShare)
		}
		w.slowdown += slowdownGain * (min(relativeTime, maxRelativeTime) - w.slowdown)
		w.cohort.slowdown += cohortSlowdownGain * (min(relativeTime, maxRelativeTime) - w.cohort.slowdown)
		timePerWork := float64(o.Elapsed) / float64(max(t.Cost, 1))
		// While a build is watched the typical time is not updated: it would adapt to a build that slows the fleet.
		if p.typicalSamples++; p.typicalSamples < 100 || !s.watching {
			p.typicalTime += max(typicalTimeGain, 1/float64(p.typicalSamples)) * (timePerWork - p.typicalTime)
		}
	case Rejected:
		s.scaleLimit(w, rejectedLimitStep)
	case ErrorResponse, MalformedResponse:
		w.faultRate += errorFaultGain * (1 - w.faultRate) * indicator(!s.errorsFollowTxn(t, o.Ending, 0, 0))
	case Disconnected, ConnectFailed:
		w.faultRate += disconnectFaultGain * (1 - w.faultRate)
	case TimedOut, Cancelled:
		if o.Elapsed > p.sla {
			s.scaleLimit(w, 1-limitStep*(1-lateShare))
		}
		w.slowdown = max(w.slowdown, w.slowdown+slowdownGain*(min(relativeTime, maxRelativeTime)-w.slowdown))
	case Skipped:
		return
	}
	// The trial's times are compared with those of earlier builds at the same moment, which cancels out the load.
	if warm := s.capacityShare(w) == 1; warm && (o.Ending == OK || o.Elapsed > Nanos(s.expected(t))) {
		logRatio := math.Log(max(relativeTime, 0.01)) // a cancelled submission took at least this long
		s.logTimeSamples++
		s.logTime += max(s.logTimeWeight, indicator(s.logTimeWeight > 0)/s.logTimeSamples) * (logRatio - s.logTime)
		s.logSLA += max(logTimeGain, 1/s.logTimeSamples) * (math.Log(float64(p.sla)/max(s.expected(t), 1)) - s.logSLA)
		if c := w.cohort; !s.onTrial(sub.rel) {
			// Workers that are picked by expected response time answer faster than those of an arm, which are used in
			// turn. baselineBias corrects for that.
			if sub.arm == baselineArm {
				s.baselineBias.add(logRatio - c.logTime)
			}
			s.logTimeVariance += logTimeVarianceGain * ((logRatio-c.logTime)*(logRatio-c.logTime) - s.logTimeVariance)
			c.logTime, c.updatedAt = c.logTime+cohortLogTimeGain*(logRatio-c.logTime), s.now
		} else if s.now-c.updatedAt < 2*Second && 2*len(s.baselineWorkers) >= len(s.trialWorkers) {
			// When most workers of the earlier build are replaced, the last few of them are no reference.
			w.relativeTime.add(logRatio - c.logTime)
		}
	}
	// Errors that follow a customer or a key are no evidence against a worker or a build.
	if s.errorsFollowTxn(t, o.Ending, customerErrorGain, keyErrorGain*indicator(!s.onTrial(sub.rel))) && o.Ending == ErrorResponse {
		return
	}
	if !s.onTrial(sub.rel) && sub.rel < s.trial {
		s.earlierErrorRate += earlierErrorGain * (indicator(o.Ending == ErrorResponse) - s.earlierErrorRate)
	}
	if sub.rel == s.trial && (o.Ending == OK || o.Ending == ErrorResponse) {
		s.ownEvidence.trialResponses++
		w.errors += indicator(o.Ending == ErrorResponse && s.now-w.lastErrorAt >= burstWindow)
		w.lastErrorAt = max(w.lastErrorAt, s.now*Nanos(indicator(o.Ending == ErrorResponse)))
	}
	// Malformed responses from all workers would hide a failing build or be mistaken for one.
	if o.Ending == MalformedResponse && len(s.baselineWorkers) == 0 {
		return
	}
	if sub.rel == s.trial && len(s.baselineWorkers) == 0 && sub.isEvidence {
		s.ownEvidence.pairs++
		if o.Ending == ErrorResponse {
			s.countLoss(w, &s.ownEvidence.losses, 1-s.earlierErrorRate-errorAllowance)
		} else if o.Ending == OK {
			s.ownEvidence.wins += s.earlierErrorRate + errorAllowance
		}
		return
	}
	if sub.arm == noArm || !sub.isEvidence || sub.rel != s.trial && sub.arm == trialArm || w.silent {
		return
	}
	success := o.Ending == OK && o.Elapsed <= 2*p.sla
	// A cold worker is late because it is cold, so only errors count against it. A submission that is cancelled or times out
	// within twice the SLA time, such as for an impatient client, does not prove that the worker is late.
	if o.Ending == ConnectFailed || (o.Ending == Cancelled || o.Ending == TimedOut) && o.Elapsed <= 2*p.sla ||
		!success && o.Ending != ErrorResponse && s.capacityShare(w) < 1 {
		return
	}
	// Trial outcomes expire, as those of an incident would otherwise be paired with baseline outcomes from after its end.
	record := observation{success, w, s.now}
	if p.record(sub.arm, record, s.now-2*staleAfter) {
		s.countPair(p.unpaired[0], record)
		p.unpaired = slices.Delete(p.unpaired, 0, 1)
	}
	s.ownEvidence.trialOutcomes += indicator(sub.arm == trialArm)
}

// errorsFollowTxn reports whether errors are attributed to the txn's customer or, by the error rate at earlier builds, to
// its key, rather than to the worker or build. It first counts the ending with the given weights. Failing workers affect
// all customers, so the error rate of a customer has to be far above the lowest one.
func (s *Sentry) errorsFollowTxn(t *txn, e Ending, customerWeight, keyWeight float64) bool {
	byCustomer, byKey, lowest := s.trackErrors(t, e, customerWeight, keyWeight)
	return t.Key != 0 && byKey > followShare || byCustomer > followShare/2 && byCustomer > 3*lowest
}

// countLoss adds weight to the losses of w and to count, a field of ownEvidence. Losses of w within burstWindow of the last
// one are ignored: a worker that dies fails all of its submissions at once, which is one piece of evidence.
func (s *Sentry) countLoss(w *worker, count *float64, weight float64) {
	if s.now-w.lastLossAt >= burstWindow {
		w.lastLossAt = s.now
		w.losses += weight
		*count += weight
		s.ownEvidence.bucketLosses[w.bucket] += weight * indicator(count == &s.ownEvidence.losses)
	}
}

// TimerFired handles a timer: the tick (token 0), or the time for a second copy of a txn.
func (s *Sentry) TimerFired(now Nanos, token uint64) {
	s.now = now
	s.refillBudgets()
	if token == 0 {
		s.tick()
	} else if slot, open := s.timerTxn(token); open && s.slab[slot].n == 1 && s.slab[slot].submissions[0].pending && s.hedgeBudget >= 1 {
		s.hedgeBudget--
		s.route(slot)
	}
	s.emit()
}

// tick runs the periodic work: it detects silent workers, updates rates and health, and decides on a vote.
func (s *Sentry) tick() {
	s.ticks++
	s.demand += (float64(s.tickTaken-s.tickGivenUp)/(float64(tickInterval)/float64(Second)) - s.demand) * max(demandGain, 1/s.ticks)
	s.settledRate += (float64(s.tickSettled)/(float64(tickInterval)/float64(Second)) - s.settledRate) * max(settledRateGain, 1/s.ticks)
	s.tickTaken, s.tickGivenUp, s.tickSettled = 0, 0, 0
	for slot := range s.slab {
		t := &s.slab[slot]
		for i := 0; i < t.n; i++ {
			sub := &t.submissions[i]
			w := sub.target
			silentAfter := min(silenceTimes*s.expected(t)*max(1, w.slowdown), float64(s.products[t.Product].sla))
			if sub.pending && !w.silent && w.lastResponseAt < sub.sentAt && float64(s.now-sub.sentAt) > silentAfter {
				w.silent, w.nextProbeAt = true, s.now+probeInterval
			}
			// A submission at a silent worker is sent again if the rules allow a repeat.
			if sub.pending && w.silent && t.n == 1 && t.state == unresolved && s.retryBudget >= 1 {
				if s.route(int32(slot)); t.want.target != nil {
					s.retryBudget--
				}
			}
		}
	}
	upCount, faultSum := 0.0, 0.0
	s.totalLimit, s.limitFactor = 0, s.limitFactor+healthDecay*(1-s.limitFactor)
	for _, w := range s.sortedWorkers {
		if w.State == Up && s.healthy(w) {
			s.totalLimit += w.limit * s.limitFactor * s.capacityShare(w)
		}
		upCount, faultSum = upCount+indicator(w.State == Up), faultSum+min(w.faultRate, maxFaultRate)*indicator(w.State == Up)
		// Health returns to normal over time. Otherwise a worker that gets no more txns after one bad moment would remain
		// excluded.
		w.faultRate *= 1 - healthDecay
		w.slowdown += healthDecay * (w.cohort.slowdown - w.slowdown)
	}
	s.usualFaultRate = s.sentryShare * faultSum / max(1, upCount) // one of many sentries sees too little of each worker
	s.dropGone(goneWorkerTTL)
	// A sentry that rarely uses a worker knows little about it. The noise keeps it from basing all choices on that.
	s.contactInterval = (1 - s.sentryShare) * s.usualWorkers / max(s.settledRate, 0.1)
	s.noise = min(0.5, 0.02+0.03*s.contactInterval)
	s.updateLocalSlowdown()
	s.partitionWorkers()
	s.detectFleetSlowdown()
	s.decideVote()
}

// ---- The build on trial ----

// ReleaseUpdate handles an update from the platform on the newest build.
func (s *Sentry) ReleaseUpdate(now Nanos, u ReleaseUpdate) {
	s.now = now
	// A reply to a vote may be older than the last pushed update. It must not put a build that is going back on trial again.
	if u.Ending != OK || u.VoteReply && s.announced.rollingBack() &&
		(u.Rel < s.announced.Rel || u.Rel == s.announced.Rel && !u.rollingBack()) {
		return
	}
	oldCap := s.currentCap()
	if u.Rel != s.announced.Rel || u.Stage != s.announced.Stage || u.Phase != s.announced.Phase {
		s.stageLogTime, s.lastSlowStage = s.steadyLogTime, -1
		if u.Rel != s.announced.Rel {
			s.slowStages = 0
		}
		s.sink.Log(fmt.Sprintf("build %d stage %d phase %d cap %.3f", u.Rel, u.Stage, u.Phase, u.Cap))
	}
	// Keys of the newest two builds stay bound, except those of a build that goes back. If an erroneous update for another
	// build freed them all, txns with these keys could go to earlier builds again once the error is corrected.
	previousRel := s.announced.Rel
	maps.DeleteFunc(s.boundKeys, func(_ KeyID, rel RelID) bool {
		return u.rollingBack() && rel == u.Rel || u.Rel > previousRel && rel < previousRel
	})
	if u.rollingBack() && s.allKeysBound == u.Rel || u.Rel > previousRel && s.allKeysBound < previousRel {
		s.allKeysBound = 0
	}
	if u.Rel > previousRel && s.announced.Phase == Released && len(s.boundKeys) > maxBoundKeys/2 {
		s.bindAllKeys(previousRel)
	}
	s.announced, s.announcedAt = u, now
	s.updateTrial()
	if s.currentCap() < oldCap { // exposure is counted from zero under a lower cap
		s.capLoweredAt = now
		for i := range s.exposure {
			s.exposure[i] = min(s.exposure[i], 0)
		}
	}
	s.partitionWorkers()
	s.emit()
}

// Tally ignores the platform's counts: they name no worker, so a bad machine would be mistaken for a bad build.
func (s *Sentry) Tally(now Nanos, t Tally) {}

// Contested handles a client's report that a response was wrong: the submission counts as an error.
func (s *Sentry) Contested(now Nanos, p ProductID, id WorkerID, age Nanos) {
	s.now = now
	if w := s.workers[id]; w != nil && w.Start <= now-age {
		s.ownEvidence.pairs++
		s.ownEvidence.losses += indicator(w.Rel == s.trial)
		s.ownEvidence.bucketLosses[w.bucket] += indicator(w.Rel == s.trial)
		s.ownEvidence.wins += indicator(w.Rel != s.trial)
	}
}

// decideVote sets the vote that is wanted (steps 5 and 6).
func (s *Sentry) decideVote() {
	s.wantVote = VerdictNone
	if s.trial != s.announced.Rel || s.announced.rollingBack() {
		return
	}
	// The effect of a few bad machines on either side could be mistaken for that of the build. So a second test leaves out
	// the worst workers on each side, as many as a fifth of the trial.
	trialLosses, baselineLosses, errors := s.decayLosses(evidenceDecay)
	s.ownEvidence.decay(evidenceDecay)
	trimmedCount := (len(trialLosses) + 4) / 5
	if len(trialLosses) == 1 {
		trimmedCount = 0
	}
	s.ownEvidence.trimmedWins = s.ownEvidence.wins - sumLargest(baselineLosses, min(max(trimmedCount, 1), len(baselineLosses)-1))
	s.ownEvidence.trimmedLosses = s.ownEvidence.losses - sumLargest(trialLosses, trimmedCount)
	// Each sentry sees only part of the traffic. Where messages are allowed, the evidence of several is pooled, so that a
	// sentry that has seen little does not vote for a build that others see fail. A lost message loses only its own evidence.
	pooled := s.pooledEvidence(peerEvidenceTTL)
	// If each of many sentries has seen one loss, at one worker, each would leave out that worker and no loss would count.
	// Many sentries therefore report losses by buckets of workers, and the worst bucket of the sum is left out instead.
	if s.sentryShare < 1 {
		pooled.trimmedLosses, pooled.trimmedWins = pooled.losses-slices.Max(pooled.bucketLosses[:]), pooled.wins*3/4
	}
	isAggregator := s.shareEvidence()
	// Where each sentry sees little traffic, a failing build would be released before any sentry has enough pairs. As errors
	// are rare, a few of them at two workers already differ from the usual rate. The workers with the most errors are left
	// out, as failing machines would be mistaken for the build if no baseline is left: a third of the workers if there are
	// few sentries, and one worker otherwise, as one of many sentries sees too little of each.
	excludedCount := min(len(errors), 1)
	if s.sentryShare == 1 {
		excludedCount = (len(errors) + 2) / 3
	}
	errorSum := sumLargest(errors, len(errors)) - sumLargest(errors, excludedCount)
	errorP := poissonTail(errorSum, s.ownEvidence.trialResponses*(s.earlierErrorRate+errorAllowance))
	slowdownZ := s.trialSlowdown(minTrialTimes * math.Exp(-s.logSentryRatio/4))
	p, trimmedP := signTest(pooled.losses, pooled.wins), signTest(pooled.trimmedLosses, pooled.trimmedWins)
	stageAge := s.announced.Age + s.now - s.announcedAt
	nextShare := s.num("release.shares."+strconv.Itoa(s.announced.Stage+1), 1)
	enoughOutcomes := pooled.trialOutcomes >= minOnOutcomes*nextShare*math.Exp(-s.logSentryRatio/2) ||
		stageAge > 2*s.nanos("release.bake", 0)+4*Second
	alpha := backAlpha * min(1, math.Sqrt(backAlphaPairs/pooled.pairs))
	// If stages are short, a slowdown of the fleet counts sooner, but not so soon that any congestion is attributed to the
	// build.
	slowdownTime := max(fleetSlowdownTime/2, min(fleetSlowdownTime, s.nanos("release.bake", fleetSlowdownTime)))
	failing := pooled.pairs >= minBackPairs && (p < alpha && trimmedP < trimmedBackAlpha || trimmedP < alpha)
	switch {
	case failing, slowdownZ > slowBackZ+slowBackZGrowth*s.logSentryRatio,
		errorP < backAlpha/fewSentries*math.Exp(-s.logSentryRatio),
		s.now-s.lastNormalAt >= slowdownTime && s.slowStages > 1, s.now-s.lastNormalAt >= 3*slowdownTime:
		s.wantVote = VerdictBack
	case s.announced.Phase == Released:
	case s.text("release.votes") == "clocked":
		if p < holdAlpha {
			s.wantVote = VerdictHold
		}
	case isAggregator && stageAge >= s.nanos("release.bake", 0) && enoughOutcomes && slowdownZ < maxOnZ &&
		trimmedP > onBlockAlpha && (p > onBlockAlpha || pooled.trimmedLosses < 2) &&
		(s.fleetSlowdown < fleetSlowdownThreshold*3/4 || !s.capacityMissing && s.slowStages == 0):
		s.wantVote = VerdictOn
	}
	if loggedVote := int(s.trial)*8 + int(s.wantVote); s.wantVote != VerdictNone && loggedVote != s.lastLoggedVote {
		s.lastLoggedVote = loggedVote
		s.sink.Log(fmt.Sprintf("vote %d on build %d: %.0f pairs, %.1f against, %.1f for, p %.4f, spread %.4f; "+
			"slower by %.1f, all by %.2f",
			s.wantVote, s.trial, pooled.pairs, pooled.losses, pooled.wins, p, trimmedP, slowdownZ, s.fleetSlowdown))
	}
	// Whether a sentry may vote is drawn at random, so that all sentries together stay within the rate of votes that the
	// platform accepts.
	if s.now >= s.nextVoteAt {
		s.nextVoteAt = s.now - s.now%Second + Second + Nanos(s.rng.Int63n(int64(Second)))
		s.mayVote = s.rng.Float64() < s.num("release.votes-per-second", 1)/max(1, s.num("sentries", 1))
	}
}

// shareEvidence schedules a message with this sentry's evidence to the aggregators of the build every second, and reports
// whether this sentry may vote 'on'. Messages to all sentries would grow with the square of their number, and a sentry that
// has received few would vote for a build that others see fail.
func (s *Sentry) shareEvidence() bool {
	n := len(s.peerEvidence)
	targets := min(n, aggregatorCount)
	isAggregator := !s.flag("allow.messages") || targets == n || s.text("release.votes") != "single"
	s.evidenceTargets = s.evidenceTargets[:0]
	for i := 0; i < targets && s.flag("allow.messages"); i++ {
		if peer := (int(s.trial) + i*n/targets) % n; peer == int(s.num("index", -1)) {
			isAggregator = true
		} else if s.ownEvidence.pairs >= 1 && s.now/Second != (s.now-tickInterval)/Second {
			s.evidenceTargets = append(s.evidenceTargets, peer)
		}
	}
	return isAggregator
}

// trialSlowdown returns the z-score of the trial's log response times, relative to those of earlier builds, above
// toleratedSlowdown, or 0 with too few samples. The slowest quarter of the workers is left out. A single worker is left out
// as well: it is more likely a slow machine, and the next stage adds others.
func (s *Sentry) trialSlowdown(minSamples float64) float64 {
	s.collectTimed()
	pooled := poolTimes(s.timedWorkers, (len(s.timedWorkers)+3)/4)
	if pooled.n < minSamples || pooled.workers == 0 {
		return 0
	}
	return pooled.zScore(math.Log(toleratedSlowdown)+s.baselineBias.sum/(s.baselineBias.n+minTrialTimes), s.logTimeVariance,
		minTrialTimes, machineDeviation)
}

// detectFleetSlowdown watches the response times of all builds. If a build slows every worker, for example by exhausting a
// shared resource, pairs show no difference. But all builds then take longer than before the trial, and longer with each
// stage, though demand has hardly grown. A fleet that fails gradually could be mistaken for this.
func (s *Sentry) detectFleetSlowdown() {
	// Such a slowdown reaches its full extent only when the build has all the traffic. By then the build is released, so it
	// is watched for some time after its release.
	onTrial := s.announced.Phase == OnTrial && len(s.trialWorkers) > 0
	if onTrial {
		s.lastOnTrial = s.trial
	}
	justReleased := s.announced.Phase == Released && s.lastOnTrial == s.trial &&
		s.announced.Age+s.now-s.announcedAt < afterReleaseTime
	s.watching = onTrial || justReleased
	if !s.watching || s.logTimeSamples < minTimeSamples {
		s.preTrialTicks++
		s.preTrialLogTime += max(preTrialGain, 1/s.preTrialTicks) * (s.logTime - s.preTrialLogTime)
		s.preTrialDemand += max(preTrialGain, 1/s.preTrialTicks) * (s.demand - s.preTrialDemand)
	}
	s.fleetSlowdown = s.logTime - s.preTrialLogTime
	// Missing capacity, due to gone, unhealthy or cold workers, or a surge of demand slows the fleet through no fault of the
	// build.
	if s.capacityMissing || s.preTrialDemand > 0 && s.demand > demandSurgeRatio*s.preTrialDemand {
		s.lastNormalAt = s.now
		return
	}
	if s.steadyLogTime = s.logTime; s.announced.Stage > 0 && s.logTime > s.stageLogTime+stageRiseThreshold &&
		s.announced.Stage != s.lastSlowStage {
		s.slowStages, s.lastSlowStage = s.slowStages+1, s.announced.Stage
	}
	// The threshold rises with the number of sentries, but not above what response times can reach: txns that would take
	// longer than their SLA time are declined, so with a short SLA time the level would never reach a higher threshold.
	threshold := max(fleetSlowdownThreshold,
		min(fleetSlowdownThreshold*(1+0.4*s.logSentryRatio), reachableShare*(s.logSLA-s.preTrialLogTime)))
	if s.fleetSlowdown < threshold || s.slowStages < 1 || !s.watching {
		s.lastNormalAt = s.now
	}
}

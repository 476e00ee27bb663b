// This file makes every decision of a sentry: where a txn goes, when it goes again or is given up, which
// workers are trusted, and how the sentry votes on a new build.
//
// How it is called: the host makes a Sentry with New and hands it each event by the method named for it
// (List, Take, Begun, Outcome, Left, Timer, News, Tally, Contested, Streaming, Told), each with the clock.
// Those set down what is wanted; emit, at the end of each, turns the difference to what is into actions on
// the Sink. Ids, events and the Sink are in types.go. docs/design.md tells what follows the paper and why.
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

// Tuned values: pure numbers, and spans that no setting gives.
const (
	beat     = 100 * Millisecond // housekeeping
	ownBurst = beat              // in which what one worker loses counts once
	few      = 4.0               // sentries; with more, each judges by less and as one of many
	// The sign test: its level, stricter after so many pairs as it looks often; that without the worst workers;
	// that for a hold under a clock; and that of a lead that stops 'on'.
	backLevel, manyPairs, spreadLevel, holdLevel, leadLevel = 0.01, 100.0, 0.04, 0.10, 0.25
	// Pairs before 'back'; part of them kept from beat to beat; younger workers of the pair give no evidence.
	pairFloor, evidenceKept, warmUpAge = 11.5, 0.9954, 1 * Second
	// Share of errors that follows a key (half: a customer), and one that a good build may have.
	followed, errorFloor = 0.6, 0.003
	// Times: a build this many times slower is no worse; trial times before they count; deviation between like
	// machines, on a log scale; standard errors that mean 'back', more for e times the sentries, and no 'on'.
	slowerBy, slowFloor, unlike, slowBack, slowMany, slowStop = 1.25, 10.0, 0.2, 3.5, 0.2, 1.0
	// The level of all: a rise that counts for its stage; one at which a build is taken to slow all, and for how
	// long, also so long after its release; fresh demand, and the part of capacity missing, that explain one;
	// the part of the way from the calm level to the SLA time that a level surely gets to.
	rise, dragged, surge, lacks, firstLevels, shown = 0.12, 0.8, 1.2, 0.15, 40.0, 0.8
	dragTime, afterwards                            = 3 * Second, 15 * Second
	// Outcomes that 'on' needs for the whole fleet; sentries that pool; how long what they were told counts.
	stakes, gatherers, peerTrust = 24.0, 6, 3 * Second
	// Typical times without a word after which a worker is silent, and until a second copy; second copies and
	// further submissions a txn; the share of faults at which a worker rests, for how long at least, and what is
	// forgotten from beat to beat; when what was seen counts for less; how long a worker that is gone is
	// remembered; a crossing's price, in waiting.
	quietTimes, hedgeTimes, hedgeShare, againShare = 5.0, 3.0, 0.06, 0.25
	restAbove, trickle, forget                     = 0.35, 1 * Second, 0.005
	longAgo, remembered                            = 10 * Second, 60 * Second
	crossTimes                                     = 15.0
	// Workers of a group up to which each is looked at; of more one is drawn with the same chance.
	fewWorkers = 64
	// Txns a worker may hold, of few sentries: at the least, at first; share of answers that may take two
	// thirds of the SLA time; the step. First guess of a time, in SLA times.
	leastOpen, firstOpen, slowShare, limitStep, firstTimes = 1.0, 8.0, 0.08, 0.2, 0.2
)

// New makes a sentry from the settings, a plain map of names to values.
func New(now Nanos, seed int64, settings map[string]any, out Sink) *Sentry {
	s := &Sentry{set: settings, rng: rand.New(rand.NewSource(seed)), out: out, now: now, byID: map[TxnID]int32{},
		workers: map[WorkerID]*worker{}, metTrial: map[KeyID]RelID{}, asked: map[KeyID]int{}, refilled: now,
		places: map[where]*place{},
		blur:   0.5, unsteady: 1, squeeze: 1}
	s.readProducts()
	// A restart forgets what was sent: the count of exposure starts with nothing to spare, and no news.
	s.news.Rel = -1
	s.wantWatch = s.word("discovery") == "ask"
	s.part = min(1, few/max(1, s.num("sentries", 1)))
	s.most = min(int(s.num("allow.submissions", 1)), len(txn{}.subs))
	s.many = math.Log(max(1, s.num("sentries", 1)/max(1, s.num("release.votes-back", 1))/few))
	s.hedges, s.agains = 5*s.part, 10*s.part
	s.emit()
	return s
}

// ---- What is known of the workers ----

// UpdateWorkers takes in what discovery tells.
func (s *Sentry) UpdateWorkers(now Nanos, mode ListMode, list []Worker) {
	s.now = now
	if mode == ListUnavailable {
		// Asking again at once would flood a service that is overloaded already.
		s.watchGap = min(max(2*s.watchGap, Second), 4*Second)
		s.watchAt = now + s.watchGap/2 + Nanos(s.rng.Int63n(int64(s.watchGap)))
	} else if mode != Restored {
		s.watchGap, s.watchAt = 0, now+s.span("rules.ask-within", 10*Second) // a watch may fall silent
	}
	if mode == Whole || mode == Restored {
		s.allGone() // a worker that a whole list lacks is gone
	}
	for _, l := range list {
		w := s.workers[l.ID]
		if w == nil || !w.is(l) {
			// A new process owes nothing to what ran under its id before. Danger: one that has moved to another zone
			// would take with it where its submissions ran, and a repeat would pass for one within the zone.
			w = s.enter(&worker{Worker: l, slow: 1, limit: firstOpen * s.part, coldAt: now, cold: s.rng.Float64(),
				place: s.placeOf(l)})
			w.slow = w.place.slow
		}
		w.Worker, w.cross = l, s.crossing(l.Zone)
	}
	s.noticeTrial()
	s.arrange()
	s.emit()
}

// fit tells whether w may be used freely. Danger: where submissions fail at all workers alike, to rest each
// would leave nobody; so the bar lies above what is usual.
func (s *Sentry) fit(w *worker) bool { return !w.silent && w.bad < restAbove+s.usualBad }

// arrange sorts the workers into trial, baseline and rest, and sets what the pair is to get (step 1).
func (s *Sentry) arrange() {
	s.trials, s.bases, s.rest, s.warming = s.trials[:0], s.bases[:0], s.rest[:0], s.warming[:0]
	defer s.weighAll()
	up, newest, able, all, trial := 0.0, 0.0, 0.0, 0.0, 0.0
	for _, w := range s.order {
		if s.ramp(w) < 1 {
			s.warming = append(s.warming, w)
		}
		if w.State != Up {
			continue
		}
		up, newest = up+1, newest+bit(w.Rel == s.trial)
		// A slowed fleet looks silent at times; what is unheard of for long is lost.
		if w.bad < restAbove+s.usualBad && (!w.silent || s.now-w.heard < 2*Second) {
			able += s.ramp(w)
		}
		all += s.ramp(w)
		if s.onTrial(w.Rel) {
			if w.Rel == s.trial {
				trial += s.ramp(w)
				s.trials = append(s.trials, w)
			}
			continue
		}
		s.rest = append(s.rest, w)
	}
	// All workers carry the load, or, where the earlier ones stay beside, as many as either build has.
	if s.word("release.style") == "beside" {
		up = max(newest, up-newest)
	}
	if s.fleet += (up - s.fleet) * 0.003; s.fleet <= 1 {
		s.fleet = up
	}
	s.lacking, s.heed = able < (1-lacks)*s.fleet, 0.03*bit(able >= (1-lacks)*s.fleet)
	s.tiltTrial, s.tiltBase = 0, 0
	if len(s.trials) == 0 || all <= 0 {
		return
	}
	s.tiltTrial = min(trial/all, s.capNow())
	// The baseline: as many of the newest earlier-build workers, those of the trial's kinds of machine first.
	s.noteKinds(s.trials)
	like := func(w *worker) float64 { return bit(s.fit(w) && slices.Contains(s.kinds, w.Kind)) }
	slices.SortStableFunc(s.rest, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(like(b), like(a)), cmp.Compare(b.Rel, a.Rel), cmp.Compare(b.Start, a.Start))
	})
	n := min(len(s.trials), len(s.rest))
	for n > 0 && !s.fit(s.rest[n-1]) {
		n--
	}
	s.bases = append(s.bases, s.rest[:n]...)
	s.rest = s.rest[:copy(s.rest, s.rest[n:])]
	base := 0.0
	for _, w := range s.bases {
		base += s.ramp(w)
	}
	s.tiltBase = min(s.tiltTrial, base/all)
}

// ---- The rules, in one place: nothing is sent or answered that these do not allow ----

// mayGo holds the rules on a further submission of t that are the same for all workers.
func (s *Sentry) mayGo(t *txn) bool {
	return t.has == unanswered && s.now < t.Expiry && t.n < s.most && (s.flag("allow.copies") ||
		!slices.ContainsFunc(t.subs[:t.n], func(b submission) bool { return b.out }))
}

// maySend holds all rules on a submission of t to w, at this moment.
func (s *Sentry) maySend(t *txn, w *worker) bool { return s.mayGo(t) && s.mayTake(t, w) }

// mayTake holds those that are not the same for all workers.
func (s *Sentry) mayTake(t *txn, w *worker) bool {
	p := &s.products[t.Product]
	if w.State != Up || s.ramp(w) < 1 && w.cold < 1 { // the grace of a drain is not used
		return false
	}
	for i := 0; i < t.n; i++ {
		sub := &t.subs[i]
		if (sub.out || sub.ran) && !p.inquiry {
			same := p.anywhere || p.byZone && w.Zone == sub.to.Zone || !p.byZone && w.Cell == sub.to.Cell
			// The last tenth of the memory is left: the send takes time to arrive.
			if !p.ref || !same || s.now-sub.sent >= p.memory*9/10 {
				return false
			}
		}
	}
	if s.onTrial(w.Rel) {
		if w.Rel != s.trial || s.exposure[s.lane(t.Product)] < 1 || s.capNow() <= 0 {
			return false
		}
		guarded := int(s.num("release.guarded-stages", 0))
		if !p.inquiry && guarded > 0 && (s.trial > s.news.Rel || s.news.Stage < guarded) {
			return false
		}
	}
	return w.Rel >= s.least(t)
}

// mayDecline tells whether the client may be told that trying again does no harm.
func (s *Sentry) mayDecline(t *txn) bool {
	p := &s.products[t.Product]
	return p.inquiry || p.ref && p.anywhere || !slices.ContainsFunc(t.subs[:t.n], func(b submission) bool {
		return b.out || b.ran
	})
}

// StillAllowed tells whether a submission that the host could not send yet may still go. Danger: by the time that a
// connection is up its worker may drain, or the cap have fallen: attempts are counted anew from then.
func (s *Sentry) StillAllowed(now Nanos, id TxnID, number int) bool {
	at, held := s.byID[id]
	if !held || number >= s.slab[at].n {
		return false
	}
	sub := &s.slab[at].subs[number]
	return sub.to.State == Up && now < s.slab[at].Expiry && (!s.onTrial(sub.rel) || sub.sent > s.loweredAt)
}

// refill lets budgets grow: for each lane, free attempts a window, which with the depth of the bucket add up
// to the rule's figure in any window; for a cold worker, its even share of what it can do by now.
func (s *Sentry) refill() {
	dt := float64(s.now-s.refilled) / float64(Second)
	s.refilled = s.now
	free, window := s.num("release.free", 0), s.num("release.window", 1)/float64(Second)
	deep := min(free, max(1, free/2)) // Danger: with less than one free, a bucket of one would go over
	for i := range s.exposure {
		s.exposure[i] = min(deep, s.exposure[i]+dt*max(0, free-deep)/max(window, 0.001))
	}
	// Danger: any least amount is multiplied by the number of sentries. So a cold worker's bucket starts at a
	// random part of one, grows by the even share of what this sentry saw carried, and lapses.
	even := s.carried / max(1, s.fleet) * s.num("rules.fall-multiple", 1)
	half := s.span("rules.fall-after", 0) / 2
	for _, w := range s.warming {
		if r := s.ramp(w); r < 1 {
			if w.cold < 1 {
				w.ripeAt = s.now
			} else if s.now-w.ripeAt > half {
				w.cold, w.ripeAt = w.cold-1, s.now
			}
			deep := max(1, even*r*float64(half)/float64(Second))
			w.cold, w.coldAt = min(deep, w.cold+even*r*float64(s.now-w.coldAt)/float64(Second)), s.now
		}
	}
}

// ---- A txn's way ----

// Take takes a txn from a client.
func (s *Sentry) Take(now Nanos, in Txn) {
	s.now = now
	s.refill()
	at := s.hold(in)
	t := &s.slab[at]
	s.taken++
	s.hedges, s.agains = min(s.hedges+hedgeShare, 1+20*s.part), min(s.agains+againShare, 1+50*s.part)
	s.exposure[s.lane(t.Product)] += s.capNow() // refill holds it to its depth
	s.place(at)
	if p := &s.products[t.Product]; (p.inquiry || p.ref) && s.flag("allow.copies") {
		t.want.wake = now + Nanos(min(hedgeTimes*s.expected(t)*math.Exp(max(0, s.drag)), float64(p.sla)/2))
	}
	s.emit()
}

// place sets down where t goes next, or that it is given up.
func (s *Sentry) place(at int32) {
	t := &s.slab[at]
	t.want.to, t.want.arm = s.choose(t)
	s.touch(at)
	if t.want.to == nil {
		s.giveUp(at)
	}
}

// choose picks the worker for t: by the pair's weighted round robin, toggle and rotation (steps 1 to 3) for a
// first submission, else, and where the pair does not want it, the worker that should answer soonest.
func (s *Sentry) choose(t *txn) (*worker, arm) {
	takes := func(w *worker) bool { return s.maySend(t, w) }
	bound := len(s.trials) > 0 && s.trial > 0 && s.least(t) == s.trial
	if t.n == 0 && len(s.trials) > 0 && (bound || len(s.bases) == 0 ||
		s.exposure[s.lane(t.Product)] >= 1 && slices.ContainsFunc(s.trials, takes)) {
		s.credit += s.tiltTrial + s.tiltBase
		s.creditTrial = min(s.creditTrial+s.tiltTrial, 2)
		s.creditBase = min(s.creditBase+s.tiltBase, 2)
	}
	if bound {
		// Danger: keys that the trial has met come on top of its slice and crowd its workers, which then look slow.
		// So they use up the slice, and count as what they are, trial outcomes.
		w := s.rotate(s.trials, t)
		if w == nil {
			w = s.soonest(&s.ofTrials, t)
		}
		if w != nil && t.n == 0 {
			s.credit, s.creditTrial = max(s.credit-1, -2), max(s.creditTrial-1, -2)
			return w, trialArm
		}
		return w, noArm
	}
	if t.n == 0 && s.credit >= 1 && len(s.trials) > 0 {
		s.credit = min(s.credit-1, 1)
		p := &s.products[t.Product]
		toTrial := !p.toTrial
		p.toTrial = toTrial
		if s.creditBase < 0.5 || len(s.bases) == 0 { // each held to its even share
			toTrial = true
		} else if s.creditTrial < 0.5 {
			toTrial = false
		}
		if toTrial && s.creditTrial > 0 {
			// Danger: a worker on trial that fell silent gets no other txn by which it would be found again.
			if slices.ContainsFunc(s.trials, func(w *worker) bool { return w.silent }) {
				if w := s.soonest(&s.ofTrials, t); w != nil && w.silent {
					s.creditTrial--
					return w, noArm
				}
			}
			if w := s.rotate(s.trials, t); w != nil {
				s.creditTrial--
				return w, trialArm
			}
		} else if w := s.rotate(s.bases, t); w != nil {
			s.creditBase--
			return w, baseArm
		}
	}
	if w := s.soonest(&s.ofRest, t); w != nil {
		return w, noArm
	}
	if w := s.soonest(&s.ofBases, t); w != nil {
		return w, noArm
	}
	return s.soonest(&s.ofTrials, t), noArm
}

// crossing is what a worker's time counts more for standing in another zone.
func (s *Sentry) crossing(at ZoneID) float64 {
	if at == ZoneID(s.num("zone", -1)) {
		return 1
	}
	return 1 + crossTimes*s.num("price.cross-zone", 0)
}

// near tells whether w is as near as the slowest of the own zone.
func (s *Sentry) near(w *worker) bool { return s.fit(w) && w.place.slow*w.cross <= s.home }

// rotate picks the next worker of a side in turn, a cold one less often, among those as near as the own zone.
// Danger: where traffic moves to one zone, its part of the trial would get it all and look slow; what cold
// workers may not take would crowd the warm ones. So nobody is picked a round before its turn.
func (s *Sentry) rotate(side []*worker, t *txn) *worker {
	near, sum := slices.ContainsFunc(side, s.near), 0.0
	takes := func(w *worker) bool { return s.fit(w) && (!near || s.near(w)) }
	for _, w := range side {
		sum += s.ramp(w) * bit(takes(w))
	}
	var best *worker
	for _, w := range side {
		if !takes(w) {
			continue
		}
		if !w.due { // a first turn at random, or many sentries would all begin with the same
			w.due, w.turn = true, s.rng.Float64()*sum
		}
		w.turn = min(w.turn+s.ramp(w), 2*sum)
		if w.turn >= 0 && (best == nil || w.turn > best.turn) && s.room(w, t) && s.maySend(t, w) {
			best = w
		}
	}
	if best != nil {
		best.turn -= sum
	}
	return best
}

// room tells whether w may hold one more of this sentry's txns. The limit follows how soon answers come, so
// that what could only be late is declined early, whatever the lack comes from; repeats get less of it.
func (s *Sentry) room(w *worker, t *txn) bool {
	return float64(w.open) < w.limit*s.squeeze*(1-0.2*bit(t.n > 0)) && s.anyRoom()
}

// anyRoom tells whether one more may be held at all.
// Danger: one txn a worker for each of many sentries is a jam; all that a sentry holds is bounded as well.
func (s *Sentry) anyRoom() bool { return s.part == 1 || float64(s.held) < s.allowed }

// widen moves the limit of w by a factor; what is learnt of one worker tells of all where each is seldom met.
func (s *Sentry) widen(w *worker, by float64) {
	w.limit = max(leastOpen*s.part, w.limit*by)
	s.squeeze = min(max(s.squeeze*(1+(by-1)*s.blur*(1-s.part)), 0.1), 2)
}

// cost is how late w should answer, as far as own submissions tell.
func (s *Sentry) cost(w *worker) float64 {
	return w.slow * (1 + float64(w.open)) / s.ramp(w) * (1 + 4*w.bad) * w.cross
}

// weight is the chance of w, beside that of others, to be picked: none where it can have no room.
func (s *Sentry) weight(w *worker) float64 {
	// Danger: the squeeze moves with each answer for all workers, so only its upper end counts here.
	if !s.fit(w) || float64(w.open) >= w.limit*(1+bit(s.part < 1)) {
		return 0
	}
	return raceWeight(s.cost(w), s.blur)
}

// soonest picks the worker that should answer first, by a chance that grows the sooner it should.
func (s *Sentry) soonest(from *draw, t *txn) *worker {
	if !s.mayGo(t) || !s.anyRoom() {
		return nil
	}
	var best *worker
	if !from.drawn() { // few: each is looked at, with a draw of its own
		least := math.Inf(1)
		for _, w := range from.workers {
			if !s.mayTake(t, w) || !s.room(w, t) {
				continue
			}
			cost := s.cost(w)
			if !s.fit(w) {
				if !s.asks(w, t) {
					continue
				}
				cost = 0
			}
			if t.tried(w) {
				cost *= 100
			}
			if cost *= math.Pow(s.rng.ExpFloat64(), s.blur); cost < least {
				best, least = w, cost
			}
		}
	} else {
		best = s.pick(from, t)
	}
	if best != nil && !s.fit(best) {
		best.nextTry = s.now + Nanos(float64(trickle)*max(1, 5*s.seldom))
	}
	return best
}

// asks tells whether t may find out about a worker that is not fit.
// Danger: a worker that answers nothing draws no load and so looks free. It gets one txn that may
// be repeated now and then, the less the seldomer it is met; this also brings back whatever has recovered.
// Where nothing may be repeated, what has fallen silent is asked again later, or it never would be.
func (s *Sentry) asks(w *worker, t *txn) bool {
	overdue := w.silent && s.now > w.nextTry+longAgo
	return s.now >= w.nextTry && t.n == 0 && (s.products[t.Product].inquiry || overdue)
}

// pick draws the worker from many that have weights.
func (s *Sentry) pick(from *draw, t *txn) *worker {
	for i := 0; i < len(s.ill) && t.n == 0; i++ {
		w := s.ill[i]
		if w.in == from && !s.fit(w) && s.asks(w, t) && s.room(w, t) && s.mayTake(t, w) {
			return w
		}
	}
	defer s.restore(from)
	for i := 0; i < t.n; i++ { // asked again only where no other will do
		if w := t.subs[i].to; w.in == from && s.weight(w) > 0 {
			s.without(w, raceWeight(100*s.cost(w), s.blur))
		}
	}
	for {
		w := from.pick(s.rng.Float64())
		if w == nil || s.fit(w) && s.room(w, t) && s.mayTake(t, w) {
			return w
		}
		s.without(w, 0)
	}
}

// Outcome takes the end of a submission.
func (s *Sentry) Outcome(now Nanos, o Outcome) {
	s.now = now
	at, held := s.byID[o.Txn]
	if !held || o.Number < 0 || o.Number >= s.slab[at].n || !s.slab[at].subs[o.Number].out {
		return
	}
	s.refill()
	t := &s.slab[at]
	sub := &t.subs[o.Number]
	sub.out = false
	sub.ran = o.Ending != Rejected && o.Ending != ConnectFailed && o.Ending != Skipped
	sub.to.open--
	s.held--
	s.ask(t, sub, -1)
	// Danger: what broke off, came spoilt or was called off may have been answered; then the key counts.
	if sub.rel == s.trial && (o.Ending == OK || o.MaybeAnswered) {
		s.meet(t)
	}
	s.learn(t, sub, o)
	s.weigh(sub.to)
	if o.Final {
		t.has = settled
	}
	if t.has == unanswered {
		// Danger: workers that turn away all that comes would be asked by each txn in turn, and drown.
		if now < t.Expiry && s.agains >= 1 && o.Ending != Cancelled &&
			(o.Ending != ErrorResponse || !s.follows(t, o.Ending, 0, 0)) {
			s.agains--
			s.place(at)
		} else {
			s.giveUp(at)
		}
	}
	s.touch(at)
	s.emit()
}

// ResponseStarted takes that an answer has begun to arrive. Danger: a long one takes its time, its key counts by then.
func (s *Sentry) ResponseStarted(now Nanos, id TxnID, number int) {
	s.now = now
	if at, held := s.byID[id]; held && number < s.slab[at].n && s.slab[at].subs[number].rel == s.trial {
		s.meet(&s.slab[at])
	}
}

// giveUp sets down a final answer unless something out may still settle the txn.
func (s *Sentry) giveUp(at int32) {
	t := &s.slab[at]
	if s.now < t.Expiry && slices.ContainsFunc(t.subs[:t.n], func(b submission) bool { return b.out }) {
		return
	}
	t.want.answer = voided
	s.turned++
	if t.n == 0 {
		// What is declined would have taken its SLA time at the least; or declines would hide what slows all.
		s.level += s.heed * (math.Log(float64(s.products[t.Product].sla)/max(s.expected(t), 1)) - s.level)
	}
	if s.mayDecline(t) {
		t.want.answer = declined // what comes back soon can still be settled within its SLA time
		t.want.retry = min(s.products[t.Product].sla/10, s.span("allow.longest-retry-after", 0))
	}
	s.touch(at)
}

// learn takes from an outcome what it tells of the worker, of usual times and of the pair. With no baseline
// left, as after a release, each trial outcome meets the error share that earlier builds had. Then only
// errors count: what is late or silent is as often the machine's or the load's doing.
func (s *Sentry) learn(t *txn, sub *submission, o Outcome) {
	w, p := sub.to, &s.products[t.Product]
	times := float64(o.Elapsed) / max(s.expected(t), 1)
	if o.Ending == OK || o.Ending == Rejected || o.Ending == ErrorResponse || o.Ending == MalformedResponse {
		w.heard, w.silent = s.now, false
	}
	switch o.Ending {
	case OK:
		w.bad *= 0.85
		s.done++
		if o.Elapsed > p.sla*2/3 {
			s.widen(w, 1-limitStep*(1-slowShare))
		} else if float64(w.open) >= w.limit*s.squeeze/2 || float64(s.held) >= s.allowed/2 && s.part < 1 {
			s.widen(w, 1+limitStep*slowShare)
		}
		w.slow += 0.15 * (min(times, 20) - w.slow)
		w.place.slow += 0.03 * (min(times, 20) - w.place.slow)
		unit := float64(o.Elapsed) / float64(max(t.Cost, 1))
		// While a build is watched the typical time stands still, or it would hide what the build does to all.
		if p.learnt++; p.learnt < 100 || !s.watching {
			p.typical += max(0.01, 1/float64(p.learnt)) * (unit - p.typical)
		}
	case Rejected:
		s.widen(w, 0.8)
	case ErrorResponse, MalformedResponse:
		w.bad += 0.15 * (1 - w.bad) * bit(!s.follows(t, o.Ending, 0, 0))
	case Disconnected, ConnectFailed:
		w.bad += 0.4 * (1 - w.bad)
	case TimedOut, Cancelled:
		if o.Elapsed > p.sla {
			s.widen(w, 1-limitStep*(1-slowShare))
		}
		w.slow = max(w.slow, w.slow+0.15*(min(times, 20)-w.slow))
	case Skipped:
		return
	}
	// Times count against those of the earlier builds at the same moment, so that load does not.
	if warm := s.ramp(w) == 1; warm && (o.Ending == OK || o.Elapsed > Nanos(s.expected(t))) {
		v := math.Log(max(times, 0.01)) // what was called off took this long at the least
		s.levels++
		s.level += max(s.heed, bit(s.heed > 0)/s.levels) * (v - s.level)
		s.reach += max(0.03, 1/s.levels) * (math.Log(float64(p.sla)/max(s.expected(t), 1)) - s.reach)
		// Danger: the last workers of an earlier build are no measure for a fleet that has replaced the rest.
		if k := w.place; !s.onTrial(sub.rel) {
			// Danger: what is picked for answering soon is faster than a side of the pair, which goes in turn.
			if sub.arm == baseArm {
				s.skew.add(v - k.level)
			}
			s.unsteady += 0.02 * ((v-k.level)*(v-k.level) - s.unsteady)
			k.level, k.at = k.level+0.04*(v-k.level), s.now
		} else if s.now-k.at < 2*Second && 2*len(s.bases) >= len(s.trials) {
			w.times.add(v - k.level)
		}
	}
	// Danger: errors that follow a customer or a key speak against no worker and no build.
	if s.follows(t, o.Ending, 0.15, 0.1*bit(!s.onTrial(sub.rel))) && o.Ending == ErrorResponse {
		return
	}
	if !s.onTrial(sub.rel) && sub.rel < s.trial {
		s.usualErr += 0.005 * (bit(o.Ending == ErrorResponse) - s.usualErr)
	}
	if sub.rel == s.trial && (o.Ending == OK || o.Ending == ErrorResponse) {
		s.own.tried++
		w.fails += bit(o.Ending == ErrorResponse && s.now-w.failedAt >= ownBurst)
		w.failedAt = max(w.failedAt, s.now*Nanos(bit(o.Ending == ErrorResponse)))
	}
	// Danger: answers that come spoilt from all alike would hide an erring build, or pass for one.
	if o.Ending == MalformedResponse && len(s.bases) == 0 {
		return
	}
	if sub.rel == s.trial && len(s.bases) == 0 && sub.tells {
		s.own.pairs++
		if o.Ending == ErrorResponse {
			s.lose(w, &s.own.against, 1-s.usualErr-errorFloor)
		} else if o.Ending == OK {
			s.own.favour += s.usualErr + errorFloor
		}
		return
	}
	if sub.arm == noArm || !sub.tells || sub.rel != s.trial && sub.arm == trialArm || w.silent {
		return
	}
	good := o.Ending == OK && o.Elapsed <= 2*p.sla
	// Danger: a cold worker is late for being cold; only errors speak against it. A client of little patience
	// leaves before anything can be called late.
	if o.Ending == ConnectFailed || (o.Ending == Cancelled || o.Ending == TimedOut) && o.Elapsed <= 2*p.sla ||
		!good && o.Ending != ErrorResponse && s.ramp(w) < 1 {
		return
	}
	// Danger: what the trial showed during a trouble would meet what the baseline shows once it is over.
	show := showing{good, w, s.now}
	if p.show(sub.arm, show, s.now-2*longAgo) {
		s.pair(p.waiting[0], show)
		p.waiting = slices.Delete(p.waiting, 0, 1)
	}
	s.own.seen += bit(sub.arm == trialArm)
}

// follows tells whether errors follow the txn's customer, or on earlier builds its key, and counts on.
// Danger: failing workers hit all customers alike; one stands out only beside the one that fares best.
func (s *Sentry) follows(t *txn, e Ending, customer, key float64) bool {
	byCustomer, byKey, least := s.blamed(t, e, customer, key)
	return t.Key != 0 && byKey > followed || byCustomer > followed/2 && byCustomer > 3*least
}

// lose counts a discordant pair that w lost.
func (s *Sentry) lose(w *worker, side *float64, by float64) {
	// Danger: a worker that dies fails all that it holds at once, which is one piece of evidence, not many.
	if s.now-w.counted >= ownBurst {
		w.counted = s.now
		w.against += by
		*side += by
		s.own.groups[w.group] += by * bit(side == &s.own.against)
	}
}

// TimerFired takes a timer: the beat, or a txn that has waited for long.
func (s *Sentry) TimerFired(now Nanos, token uint64) {
	s.now = now
	s.refill()
	if token == 0 {
		s.onBeat()
	} else if at, held := s.due(token); held && s.slab[at].n == 1 && s.slab[at].subs[0].out && s.hedges >= 1 {
		s.hedges--
		s.place(at)
	}
	s.emit()
}

// onBeat looks after what no event brings up: silent workers, rates, the watch, votes.
func (s *Sentry) onBeat() {
	s.beats++
	s.fresh += (float64(s.taken-s.turned)/(float64(beat)/float64(Second)) - s.fresh) * max(0.03, 1/s.beats)
	s.carried += (float64(s.done)/(float64(beat)/float64(Second)) - s.carried) * max(0.02, 1/s.beats)
	s.taken, s.turned, s.done = 0, 0, 0
	for at := range s.slab {
		t := &s.slab[at]
		for i := 0; i < t.n; i++ {
			sub := &t.subs[i]
			w := sub.to
			quiet := min(quietTimes*s.expected(t)*max(1, w.slow), float64(s.products[t.Product].sla))
			if sub.out && !w.silent && w.heard < sub.sent && float64(s.now-sub.sent) > quiet {
				w.silent, w.nextTry = true, s.now+trickle
			}
			// What a silent worker holds goes out again where a repeat does no harm, whatever keeps it silent.
			if sub.out && w.silent && t.n == 1 && t.has == unanswered && s.agains >= 1 {
				if s.place(int32(at)); t.want.to != nil {
					s.agains--
				}
			}
		}
	}
	up, bad := 0.0, 0.0
	s.allowed, s.squeeze = 0, s.squeeze+forget*(1-s.squeeze)
	for _, w := range s.order {
		if w.State == Up && s.fit(w) {
			s.allowed += w.limit * s.squeeze * s.ramp(w)
		}
		up, bad = up+bit(w.State == Up), bad+min(w.bad, restAbove)*bit(w.State == Up)
		// What a worker showed is forgotten slowly, or one bad moment would keep an idle fleet away for good.
		w.bad *= 1 - forget
		w.slow += forget * (w.place.slow - w.slow)
	}
	s.usualBad = s.part * bad / max(1, up) // of many, each sees too little of all
	s.forgetGone(remembered)
	// Danger: who meets a worker only now and then knows little of it, and would follow that with all its txns.
	s.seldom = (1 - s.part) * s.fleet / max(s.carried, 0.1) // seconds between meetings, of many sentries
	s.blur = min(0.5, 0.02+0.03*s.seldom)
	s.slowestAtHome()
	s.arrange()
	s.look()
	s.judge()
}

// ---- The build on trial ----

// ReleaseUpdate takes what the platform tells of the newest build.
func (s *Sentry) ReleaseUpdate(now Nanos, n ReleaseUpdate) {
	s.now = now
	// Danger: an answer to a vote may trail the news. It must not put a build that goes back on trial again.
	if n.Ending != OK || n.VoteReply && s.news.back() && (n.Rel < s.news.Rel || n.Rel == s.news.Rel && !n.back()) {
		return
	}
	old := s.capNow()
	if n.Rel != s.news.Rel || n.Stage != s.news.Stage || n.Phase != s.news.Phase {
		s.stageLevel, s.roseAt = s.warmLevel, -1
		if n.Rel != s.news.Rel {
			s.rises = 0
		}
		s.out.Log(fmt.Sprintf("build %d stage %d phase %d cap %.3f", n.Rel, n.Stage, n.Phase, n.Cap))
	}
	// Danger: keys that were forgotten for a build that was named by a slip would meet earlier ones again. So
	// those of the newest two stay, but for a build that goes back.
	last := s.news.Rel
	maps.DeleteFunc(s.metTrial, func(_ KeyID, rel RelID) bool {
		return n.back() && rel == n.Rel || n.Rel > last && rel < last
	})
	s.news, s.newsAt = n, now
	s.noticeTrial()
	if s.capNow() < old { // counted anew from a lower cap on
		s.loweredAt = now
		for i := range s.exposure {
			s.exposure[i] = min(s.exposure[i], 0)
		}
	}
	s.arrange()
	s.emit()
}

// Tally takes the platform's count. It names no worker, so a machine would pass for the build: not used.
func (s *Sentry) Tally(now Nanos, t Tally) {}

// Contested takes that a client found an answer wrong: the submission erred after all.
func (s *Sentry) Contested(now Nanos, p ProductID, id WorkerID, age Nanos) {
	s.now = now
	if w := s.workers[id]; w != nil && w.Start <= now-age {
		s.own.pairs++
		s.own.against += bit(w.Rel == s.trial)
		s.own.groups[w.group] += bit(w.Rel == s.trial)
		s.own.favour += bit(w.Rel != s.trial)
	}
}

// judge sets down the vote that is wanted (steps 5 and 6).
func (s *Sentry) judge() {
	s.wantVote = VerdictNone
	if s.trial != s.news.Rel || s.news.back() {
		return
	}
	// Danger: a few bad machines on either side pass for the build. So as many of the worst on each side are
	// left out as are a fifth of the trial, for a second look.
	trials, bases, fails := s.losses(evidenceKept)
	s.own.fade(evidenceKept)
	out := (len(trials) + 4) / 5
	if len(trials) == 1 {
		out = 0
	}
	s.own.leanFavour = s.own.favour - worst(bases, min(max(out, 1), len(bases)-1))
	s.own.leanAgainst = s.own.against - worst(trials, out)
	// Each sees a part only; where messages are allowed all judge by what all saw, so that the one that has seen
	// least does not push a build that others see fail. Lost messages cost only their part of the evidence.
	all := s.pool(peerTrust)
	// Danger: who has seen one loss at one worker would leave it out, and so would all. Many sentries tell what
	// they saw by groups of workers, the same for all; the worst group is left out once all is added up.
	if s.part < 1 {
		all.leanAgainst, all.leanFavour = all.against-slices.Max(all.groups[:]), all.favour*3/4
	}
	gathers := s.gather()
	// Danger: where each sees little, a failing build is released before any sees pairs enough. Errors are rare,
	// so a few at two workers are told from the usual share.
	// Danger: machines that fail by themselves pass for the build where no baseline is left. Few sentries
	// see enough of each to leave a third of them out.
	spare := min(len(fails), 1)
	if s.part == 1 {
		spare = (len(fails) + 2) / 3
	}
	erring := worst(fails, len(fails)) - worst(fails, spare)
	fluke := poisson(erring, s.own.tried*(s.usualErr+errorFloor))
	slow := s.slowness(slowFloor * math.Exp(-s.many/4))
	p, spread := signTest(all.against, all.favour), signTest(all.leanAgainst, all.leanFavour)
	age := s.news.Age + s.now - s.newsAt
	next := s.num("release.shares."+strconv.Itoa(s.news.Stage+1), 1)
	enough := all.seen >= stakes*next*math.Exp(-s.many/2) || age > 2*s.span("release.bake", 0)+4*Second
	level := backLevel * min(1, math.Sqrt(manyPairs/all.pairs))
	// Where stages are short, it has to show sooner. Danger: so soon that any jam would pass for the build.
	drags := max(dragTime/2, min(dragTime, s.span("release.bake", dragTime)))
	failing := all.pairs >= pairFloor && (p < level && spread < spreadLevel || spread < level)
	switch {
	case failing, slow > slowBack+slowMany*s.many, fluke < backLevel/few*math.Exp(-s.many),
		s.now-s.draggedAt >= drags && s.rises > 1, s.now-s.draggedAt >= 3*drags:
		s.wantVote = VerdictBack
	case s.news.Phase == Released:
	case s.word("release.votes") == "clocked":
		if p < holdLevel {
			s.wantVote = VerdictHold
		}
	case gathers && age >= s.span("release.bake", 0) && enough && slow < slowStop &&
		spread > leadLevel && (p > leadLevel || all.leanAgainst < 2) &&
		(s.drag < dragged*3/4 || !s.lacking && s.rises == 0):
		s.wantVote = VerdictOn
	}
	if mode := int(s.trial)*8 + int(s.wantVote); s.wantVote != VerdictNone && mode != s.mode {
		s.mode = mode
		s.out.Log(fmt.Sprintf("vote %d on build %d: %.0f pairs, %.1f against, %.1f for, p %.4f, spread %.4f; "+
			"slower by %.1f, all by %.2f",
			s.wantVote, s.trial, all.pairs, all.against, all.favour, p, spread, slow, s.drag))
	}
	// Chance voting: all sentries together keep to the calls that the platform takes.
	if s.now >= s.voteAt {
		s.voteAt = s.now - s.now%Second + Second + Nanos(s.rng.Int63n(int64(Second)))
		s.mayVote = s.rng.Float64() < s.num("release.votes-per-second", 1)/max(1, s.num("sentries", 1))
	}
}

// gather has what was seen told, once a second, to a few sentries, others for each build, and says whether
// this one is to judge 'on'. Danger: telling all grows with the square of the sentries, and the one that was
// told least would push a build that the others see fail.
func (s *Sentry) gather() bool {
	n := len(s.peers)
	few := min(n, gatherers)
	self := !s.flag("allow.messages") || few == n || s.word("release.votes") != "single"
	s.tells = s.tells[:0]
	for i := 0; i < few && s.flag("allow.messages"); i++ {
		if at := (int(s.trial) + i*n/few) % n; at == int(s.num("index", -1)) {
			self = true
		} else if s.own.pairs >= 1 && s.now/Second != (s.now-beat)/Second {
			s.tells = append(s.tells, at)
		}
	}
	return self
}

// slowness tells by how many standard errors the trial's times are over slowerBy times those of the earlier
// builds, on a log scale, without its slowest quarter of workers: a lone one says nothing, as one slow
// machine is likelier than that and the next stage brings others.
func (s *Sentry) slowness(floor float64) float64 {
	s.timed()
	all := pooled(s.side, (len(s.side)+3)/4)
	if all.n < floor || all.parts == 0 {
		return 0
	}
	return all.over(math.Log(slowerBy)+s.skew.sum/(s.skew.n+slowFloor), s.unsteady, slowFloor, unlike)
}

// look sees to the level of all: a build may slow every worker, so that no pair shows it. Then earlier builds
// take longer than before the trial, and longer with each stage, though not much more is asked of them. It
// should also catch a build that starves what all share; a fleet that fails bit by bit could pass for it.
func (s *Sentry) look() {
	// Danger: what slows all shows in full only when a build has all the traffic, and is released by then.
	onTrial := s.news.Phase == OnTrial && len(s.trials) > 0
	if onTrial {
		s.watched = s.trial
	}
	fresh := s.news.Phase == Released && s.watched == s.trial && s.news.Age+s.now-s.newsAt < afterwards
	s.watching = onTrial || fresh
	// Danger: a level that starts at nothing is long untrue where txns are few, and hides any drag till then.
	if !s.watching || s.levels < firstLevels {
		s.calms++
		s.calmLevel += max(0.01, 1/s.calms) * (s.level - s.calmLevel)
		s.calmFresh += max(0.01, 1/s.calms) * (s.fresh - s.calmFresh)
	}
	s.drag = s.level - s.calmLevel
	// Danger: workers that are gone, ail or are cold take capacity away, which slows all too; so does a surge.
	if s.lacking || s.calmFresh > 0 && s.fresh > surge*s.calmFresh {
		s.draggedAt = s.now
		return
	}
	if s.warmLevel = s.level; s.news.Stage > 0 && s.level > s.stageLevel+rise && s.news.Stage != s.roseAt {
		s.rises, s.roseAt = s.rises+1, s.news.Stage
	}
	// Danger: what would take longer than its SLA time is declined, so where that is short no level ever gets
	// to a bar that rises with the sentries.
	bar := max(dragged, min(dragged*(1+0.4*s.many), shown*(s.reach-s.calmLevel)))
	if s.drag < bar || s.rises < 1 || !s.watching {
		s.draggedAt = s.now
	}
}

// This file makes every decision of a sentry: where a txn goes, when it goes again or is given up, which
// workers are trusted, and how the sentry votes on a new build.
//
// How it is called: the host makes a Sentry with New and hands it each event by the method named for it
// (List, Take, Outcome, Left, Timer, News, Tally, Contested, Streaming), each with the clock. Those
// set down what is wanted; emit, at the end of each, turns the difference to what is into actions on the
// Sink. Ids, events and the Sink are in types.go. docs/design.md tells what follows the paper and why.
package logic

import (
	"cmp"
	"fmt"
	"math"
	"math/rand"
	"slices"
	"sort"
	"strconv"
)

// Tuned values: pure numbers, and spans that no setting gives.
const (
	beat         = 50 * Millisecond // housekeeping
	warmUpAge    = 1 * Second       // younger workers of the pair give no evidence
	pairFloor    = 11.5             // pairs before 'back'
	backLevel    = 0.01             // of the sign test of failures, stricter after so many pairs, as it looks often
	manyPairs    = 100.0
	spreadLevel  = 0.13       // of the same test without the trial's worst worker
	evidenceKept = 0.9977     // of the pairs, from beat to beat
	holdLevel    = 0.10       // of the same test, under a clock
	leadLevel    = 0.25       // a lead at this level stops 'on'
	slowerBy     = 1.25       // a build this many times slower, at the most, is no worse
	slowFloor    = 10.0       // trial times before they count
	unlike       = 0.2        // deviation between like machines, on a log scale
	slowBack     = 3.0        // standard errors by which the trial is slower still: 'back'
	slowStop     = 1.0        // and no 'on'
	stakes       = 24.0       // trial outcomes that 'on' needs for a next stage on the whole fleet
	rise         = 0.12       // rise of the log of all times that counts for its stage
	dragged      = 0.4        // rise at which a build is taken to slow all
	dragTime     = 3 * Second // and for how long
	quietTimes   = 5.0        // typical times without a word after which a worker is silent
	hedgeTimes   = 3.0        // typical times after which a second copy goes out
	hedgeShare   = 0.06       // second copies a txn
	againShare   = 0.25       // further submissions a txn
	restAbove    = 0.35       // share of faults at which a worker rests
	trickle      = 1 * Second // between tries at a worker that is silent or rests
	coldUsed     = 0.8        // part of the cold budget that is used
	crossTimes   = 15.0       // a crossing counts as this many times its price in waiting
	ownBurst     = 100 * Millisecond
	leastOpen    = 2.0 // txns that a worker may hold of this sentry, whatever it showed
	firstOpen    = 8.0 // and may hold before it showed anything
)

// New makes a sentry from the settings, a plain map of names to values.
func New(now Nanos, seed int64, settings map[string]any, out Sink) *Sentry {
	s := &Sentry{set: settings, rng: rand.New(rand.NewSource(seed)), out: out, now: now, byID: map[TxnID]int32{},
		workers: map[WorkerID]*worker{}, metTrial: map[KeyID]struct{}{}, refilled: now}
	for i := 0; i < int(s.num("products.count", 0)); i++ {
		at := "products." + strconv.Itoa(i) + "."
		p := product{sla: s.span(at+"sla", Second), memory: s.span(at+"memory", 0), revenue: s.num(at+"revenue", 1),
			inquiry: s.word(at+"effect") == "inquiry-like", ref: s.word(at+"effect") == "referenced",
			anywhere: s.word(at+"group") == "all", byZone: s.word(at+"group") == "zone"}
		s.products = append(s.products, p)
	}
	lanes := 1
	if s.word("release.counts") == "product" {
		lanes = max(1, len(s.products))
	}
	// A restart forgets what was sent: the count of exposure starts with nothing to spare.
	s.exposure = make([]float64, lanes)
	s.news.Rel = -1
	s.wantWatch = s.word("discovery") == "ask"
	s.hedges, s.agains = 5, 10
	s.beatAt = now
	s.emit()
	return s
}

// ---- What is known of the workers ----

// List takes in what discovery tells.
func (s *Sentry) List(now Nanos, mode ListMode, list []Worker) {
	s.now = now
	if mode == NoList {
		// Asking again at once would flood a service that is overloaded already.
		s.watchGap = min(max(2*s.watchGap, Second), 4*Second)
		s.watchAt, s.watching = now+s.watchGap/2+Nanos(s.rng.Int63n(int64(s.watchGap))), false
	} else if mode != Restored {
		s.watchGap = 0
	}
	if mode == Whole || mode == Restored {
		for _, w := range s.order {
			w.State = Gone // a worker that a whole list lacks is gone
		}
	}
	for _, l := range list {
		w := s.workers[l.ID]
		if w == nil || w.Start != l.Start || w.Rel != l.Rel {
			// A new process owes nothing to what ran under its id before.
			w = &worker{Worker: l, slow: 1, limit: firstOpen, coldAt: now, cold: 1}
			s.enter(w)
		}
		w.Worker = l
		if l.Rel > s.trial {
			s.newTrial(l.Rel)
		}
	}
	s.arrange()
	s.emit()
}

// ramp is the part of its capacity that a worker may have by now.
func (s *Sentry) ramp(w *worker) float64 {
	cold := s.span("rules.cold", 0)
	if w.Start <= 0 || cold <= 0 || s.now-w.Start >= cold {
		return 1
	}
	from := s.num("rules.cold-from", 1)
	return from + (1-from)*max(0, float64(s.now-w.Start)/float64(cold))
}

func (s *Sentry) fit(w *worker) bool { return !w.silent && w.bad < restAbove }

// onTrial tells whether a build's exposure is bounded.
func (s *Sentry) onTrial(rel RelID) bool {
	return rel > s.news.Rel || rel == s.news.Rel && s.news.Phase != Released
}

// capNow is the exposure that the trial may have; a build that no news named is in its first stage.
func (s *Sentry) capNow() float64 {
	if s.trial > s.news.Rel {
		return s.num("release.caps.0", 0)
	}
	return s.news.Cap
}

// arrange sorts the workers into trial, baseline and rest, and sets what the pair is to get (step 1).
func (s *Sentry) arrange() {
	s.trials, s.bases, s.rest = s.trials[:0], s.bases[:0], s.rest[:0]
	up, all, trial := 0, 0.0, 0.0
	for _, w := range s.order {
		if w.State != Up {
			continue
		}
		up++
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
	s.fleet = max(s.fleet*0.995, float64(up))
	s.tiltTrial, s.tiltBase = 0, 0
	if len(s.trials) == 0 || all <= 0 {
		return
	}
	s.tiltTrial = min(trial/all, s.capNow())
	// The baseline: as many of the newest earlier-build workers, of the trial's kinds and warm first.
	kinds := map[KindID]int{}
	for _, w := range s.trials {
		kinds[w.Kind]++
	}
	sort.SliceStable(s.rest, func(i, j int) bool {
		a, b := s.rest[i], s.rest[j]
		if a.Rel != b.Rel {
			return a.Rel > b.Rel
		}
		return a.Start > b.Start
	})
	keep := s.rest[:0]
	spare := make([]*worker, 0, len(s.rest))
	for _, w := range s.rest {
		if kinds[w.Kind] > 0 && s.fit(w) && len(s.bases) < len(s.trials) {
			kinds[w.Kind]--
			s.bases = append(s.bases, w)
		} else {
			spare = append(spare, w)
		}
	}
	for _, w := range spare {
		if len(s.bases) < len(s.trials) && s.fit(w) {
			s.bases = append(s.bases, w)
		} else {
			keep = append(keep, w)
		}
	}
	s.rest = keep
	base := 0.0
	for _, w := range s.bases {
		base += s.ramp(w)
	}
	s.tiltBase = min(s.tiltTrial, base/all)
}

// ---- The rules, in one place: nothing is sent or answered that these do not allow ----

// lane is the count of exposure that a product falls under.
func (s *Sentry) lane(p ProductID) int {
	if len(s.exposure) > 1 {
		return int(p)
	}
	return 0
}

// maySend holds all rules on a submission of t to w, at this moment.
func (s *Sentry) maySend(t *txn, w *worker) bool {
	p := &s.products[t.Product]
	if t.has != unanswered || s.now >= t.Expiry || t.n >= min(int(s.num("allow.submissions", 1)), len(t.subs)) {
		return false
	}
	if w.State != Up { // the grace of a drain is not used
		return false
	}
	for i := 0; i < t.n; i++ {
		sub := &t.subs[i]
		if sub.out && !s.flag("allow.copies") {
			return false
		}
		if (sub.out || sub.ran) && !p.inquiry {
			same := p.anywhere || p.byZone && w.Zone == sub.to.Zone || !p.byZone && w.Cell == sub.to.Cell
			// The last tenth of the memory is left: the send takes time to arrive.
			if !p.ref || !same || s.now-sub.sent >= p.memory*9/10 {
				return false
			}
		}
	}
	if s.ramp(w) < 1 && w.cold < 1 {
		return false
	}
	if s.onTrial(w.Rel) {
		if w.Rel != s.trial || s.exposure[s.lane(t.Product)] < 1 || s.capNow() <= 0 {
			return false
		}
		stage := s.news.Stage
		if s.trial > s.news.Rel {
			stage = 0
		}
		if stage < int(s.num("release.guarded-stages", 0)) && !p.inquiry {
			return false
		}
	}
	return !s.bound(t) || w.Rel >= s.trial
}

// bound tells that a key that the trial has answered must not meet an earlier build.
func (s *Sentry) bound(t *txn) bool {
	if t.Key == 0 || len(s.metTrial) == 0 {
		return false
	}
	_, met := s.metTrial[t.Key]
	return met
}

// mayDecline tells whether the client may be told that trying again does no harm.
func (s *Sentry) mayDecline(t *txn) bool {
	p := &s.products[t.Product]
	if p.inquiry {
		return true
	}
	for i := 0; i < t.n; i++ {
		if (t.subs[i].out || t.subs[i].ran) && !(p.ref && p.anywhere) {
			return false
		}
	}
	return true
}

// refill lets budgets grow: for each lane, free attempts a window, which with the depth of the bucket add up
// to the rule's figure in any window; for a cold worker, its even share of what it can do by now.
func (s *Sentry) refill() {
	dt := float64(s.now-s.refilled) / float64(Second)
	s.refilled = s.now
	free, window := s.num("release.free", 0), s.num("release.window", 1)/float64(Second)
	deep := max(1, free/2)
	for i := range s.exposure {
		s.exposure[i] = min(deep, s.exposure[i]+dt*max(0, free-deep)/max(window, 0.001))
	}
	even := s.rate / max(1, s.fleet) * s.num("rules.fall-multiple", 1) * coldUsed
	for _, w := range s.order {
		if r := s.ramp(w); r < 1 {
			deep := max(1.5, even*r*s.num("rules.fall-after", 0)/float64(Second)/2)
			w.cold = min(deep, w.cold+even*r*float64(s.now-w.coldAt)/float64(Second))
			w.coldAt = s.now
		}
	}
}

// ---- A txn's way ----

// Take takes a txn from a client.
func (s *Sentry) Take(now Nanos, in Txn) {
	s.now = now
	s.refill()
	if len(s.free) == 0 {
		s.slab = append(s.slab, txn{})
		s.free = append(s.free, int32(len(s.slab)-1))
	}
	at := s.free[len(s.free)-1]
	s.free = s.free[:len(s.free)-1]
	t := &s.slab[at]
	*t = txn{Txn: in, gen: t.gen + 1}
	s.byID[in.ID] = at
	s.taken++
	s.hedges, s.agains = min(s.hedges+hedgeShare, 20), min(s.agains+againShare, 50)
	lane := s.lane(t.Product)
	s.exposure[lane] += s.capNow()
	s.place(at)
	if p := &s.products[t.Product]; (p.inquiry || p.ref) && s.flag("allow.copies") {
		t.want.wake = now + Nanos(min(hedgeTimes*s.expected(t)*math.Exp(max(0, s.drag)), float64(p.sla)/2))
	}
	s.emit()
	deep := max(1, s.num("release.free", 0)/2)
	s.exposure[lane] = min(s.exposure[lane], deep)
}

// expected is the time that t should take at an ordinary worker.
func (s *Sentry) expected(t *txn) float64 {
	p := &s.products[t.Product]
	if p.learnt == 0 {
		return float64(p.sla) / 5
	}
	return p.typical * float64(max(t.Cost, 1))
}

// place sets down where t goes next, or that it is given up.
func (s *Sentry) place(at int32) {
	t := &s.slab[at]
	t.want.to, t.want.arm = s.choose(t)
	s.touch(at)
	if t.want.to != nil {
		return
	}
	for i := 0; i < t.n; i++ {
		if t.subs[i].out {
			return // it may still be settled
		}
	}
	t.want.answer = voided
	if s.mayDecline(t) {
		t.want.answer = declined
	}
}

func (s *Sentry) touch(at int32) {
	if !s.slab[at].touched {
		s.slab[at].touched = true
		s.touched = append(s.touched, at)
	}
}

// choose picks the worker for t: by the pair's weighted round robin, toggle and rotation (steps 1 to 3) for a
// first submission, else, and where the pair does not want it, the worker that should answer soonest.
func (s *Sentry) choose(t *txn) (*worker, arm) {
	if s.bound(t) && len(s.trials) > 0 {
		return s.rotate(s.trials, t), noArm
	}
	if t.n == 0 && len(s.trials) > 0 && (len(s.bases) == 0 || s.pairTakes(t)) {
		s.credit += s.tiltTrial + s.tiltBase
		s.creditTrial = min(s.creditTrial+s.tiltTrial, 2)
		s.creditBase = min(s.creditBase+s.tiltBase, 2)
		if s.credit >= 1 {
			s.credit = min(s.credit-1, 1)
			p := &s.products[t.Product]
			p.toTrial = !p.toTrial
			toTrial := p.toTrial
			if s.creditBase < 0.5 || len(s.bases) == 0 { // each held to its even share
				toTrial = true
			} else if s.creditTrial < 0.5 {
				toTrial = false
			}
			if toTrial {
				if w := s.rotate(s.trials, t); w != nil {
					s.creditTrial--
					return w, trialArm
				}
			} else if w := s.rotate(s.bases, t); w != nil {
				s.creditBase--
				return w, baseArm
			}
		}
	}
	if w := s.soonest(s.rest, t); w != nil {
		return w, noArm
	}
	if w := s.soonest(s.bases, t); w != nil {
		return w, noArm
	}
	return s.soonest(s.trials, t), noArm
}

// pairTakes tells whether a txn may go to either side of the pair.
func (s *Sentry) pairTakes(t *txn) bool {
	for _, w := range s.trials {
		if s.maySend(t, w) {
			return true
		}
	}
	return false
}

// rotate picks the next worker of a side in turn, a cold one less often, those of the own zone first where
// crossing has a price.
func (s *Sentry) rotate(side []*worker, t *txn) *worker {
	for _, anyZone := range []bool{s.num("price.cross-zone", 0) == 0, true} {
		var best *worker
		sum := 0.0
		for _, w := range side {
			if (anyZone || w.Zone == ZoneID(s.num("zone", -1))) && s.fit(w) && s.room(w, t) && s.maySend(t, w) &&
				!t.tried(w) {
				r := s.ramp(w)
				w.turn, sum = min(w.turn+r, 2), sum+r
				if best == nil || w.turn > best.turn {
					best = w
				}
			}
		}
		if best != nil {
			best.turn -= sum
			return best
		}
	}
	return nil
}

// room tells whether w may hold one more of this sentry's txns. The limit follows how soon answers come, so
// that what could only be late is declined early, whatever the lack comes from; repeats get less of it.
func (s *Sentry) room(w *worker, t *txn) bool {
	limit := w.limit
	if t.n > 0 {
		limit *= 0.8
	}
	return float64(w.open) < limit
}

func (t *txn) tried(w *worker) bool {
	for i := 0; i < t.n; i++ {
		if t.subs[i].to == w {
			return true
		}
	}
	return false
}

// soonest picks the worker that should answer first, as far as own submissions and reports tell.
func (s *Sentry) soonest(from []*worker, t *txn) *worker {
	var best *worker
	least := math.Inf(1)
	for _, w := range from {
		if !s.maySend(t, w) || !s.room(w, t) {
			continue
		}
		cost := w.slow * (1 + float64(w.open) + w.queue/2) / s.ramp(w) * (1 + 4*w.bad)
		if w.Zone != ZoneID(s.num("zone", -1)) {
			cost *= 1 + crossTimes*s.num("price.cross-zone", 0)
		}
		if !s.fit(w) {
			// Danger: a worker that answers nothing draws no load and so looks free. It gets one txn that may
			// be repeated now and then; this also brings back whatever has recovered.
			if s.now < w.nextTry || t.n > 0 || !s.products[t.Product].inquiry {
				cost *= 1000
			} else {
				cost = 0
			}
		}
		if t.tried(w) {
			cost *= 100
		}
		if cost *= 0.95 + 0.1*s.rng.Float64(); cost < least {
			best, least = w, cost
		}
	}
	if best != nil && !s.fit(best) {
		best.nextTry = s.now + trickle
	}
	return best
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
	sub.ran = o.Ending != Full && o.Ending != ConnectFailed && o.Ending != Moot
	sub.to.open--
	s.learn(t, sub, o)
	if o.Over {
		t.has = settled
	}
	if o.Ending == OK && sub.rel == s.trial && t.Key != 0 && s.flag("release.one-way") &&
		(s.onTrial(s.trial) && s.news.Phase != GoingBack && s.news.Phase != Withdrawn || s.news.Phase == Released) {
		s.metTrial[t.Key] = struct{}{}
	}
	if t.has == unanswered {
		// Danger: workers that turn away all that comes would be asked by each txn in turn, and drown.
		if now < t.Expiry && s.agains >= 1 && o.Ending != Cancelled {
			s.agains--
			s.place(at)
		} else {
			s.giveUp(at)
		}
	}
	s.touch(at)
	s.emit()
}

// giveUp sets down a final answer unless something out may still settle the txn.
func (s *Sentry) giveUp(at int32) {
	t := &s.slab[at]
	for i := 0; i < t.n; i++ {
		if t.subs[i].out && s.now < t.Expiry {
			return
		}
	}
	t.want.answer = voided
	if s.mayDecline(t) {
		t.want.answer = declined
	}
	s.touch(at)
}

// learn takes from an outcome what it tells of the worker, of usual times and of the pair. With no baseline left,
// as after a release, each outcome of the trial meets the error share that earlier builds had. Then only errors
// count: what is late or silent is as often the machine's or the load's doing.
func (s *Sentry) learn(t *txn, sub *submission, o Outcome) {
	w, p := sub.to, &s.products[t.Product]
	times := float64(o.Elapsed) / max(s.expected(t), 1)
	if o.Load != nil && o.Load.Queue >= 0 {
		w.queue = o.Load.Queue
	}
	switch o.Ending {
	case OK:
		w.heard, w.silent = s.now, false
		w.bad *= 0.85
		if o.Elapsed > p.sla*2/3 {
			w.limit = max(leastOpen, w.limit*0.93)
		} else if float64(w.open) >= w.limit/2 {
			w.limit += 1 / w.limit
		}
		w.slow += 0.15 * (min(times, 20) - w.slow)
		unit := float64(o.Elapsed) / float64(max(t.Cost, 1))
		// While a build is on trial the typical time stands still, or it would hide what the build does to all.
		if p.learnt++; p.learnt < 100 || s.news.Phase == Released || len(s.trials) == 0 {
			p.typical += max(0.01, 1/float64(p.learnt)) * (unit - p.typical)
		}
	case Full:
		w.heard, w.silent = s.now, false
		w.limit = max(leastOpen, w.limit*0.8)
	case Erred:
		w.heard, w.silent = s.now, false
		w.bad += 0.15 * (1 - w.bad)
	case Broken, ConnectFailed:
		w.bad += 0.4 * (1 - w.bad)
	case TimedOut, Cancelled:
		if o.Elapsed > p.sla {
			w.limit = max(leastOpen, w.limit*0.93)
		}
		w.slow = max(w.slow, w.slow+0.15*(min(times, 20)-w.slow))
	case Moot:
		return
	}
	// Times count against those of the earlier builds at the same moment, so that load does not.
	if warm := s.ramp(w) == 1; warm && (o.Ending == OK || o.Elapsed > Nanos(s.expected(t))) {
		v := math.Log(max(times, 0.01)) // what was called off took this long at the least
		s.level += 0.02 * (v - s.level)
		// Danger: the last workers of an earlier build are no measure for a fleet that has replaced the rest.
		if k := s.kind(w.Kind); !s.onTrial(sub.rel) {
			k.level, k.at = k.level+0.04*(v-k.level), s.now
		} else if s.now-k.at < 2*Second && 2*len(s.bases) >= len(s.trials) {
			w.times.add(v - k.level)
		}
	}
	if !s.onTrial(sub.rel) && sub.rel < s.trial {
		s.usualErr += 0.005 * (errShare(o.Ending) - s.usualErr)
	} else if sub.rel == s.trial && len(s.bases) == 0 && sub.tells {
		s.pairs++
		if o.Ending == Erred {
			s.lose(w, &s.against, 1-s.usualErr)
		} else if o.Ending == OK {
			s.favour += s.usualErr
		}
		return
	}
	if sub.arm == noArm || !sub.tells || sub.rel != s.trial && sub.arm == trialArm || w.silent {
		return
	}
	good := o.Ending == OK && o.Elapsed <= 2*p.sla
	if o.Ending == ConnectFailed || o.Ending == Cancelled && o.Elapsed <= 2*p.sla {
		return
	}
	show := showing{good, w}
	if sub.arm == trialArm {
		s.seen++
		if len(p.waiting) < 64 {
			p.waiting = append(p.waiting, show)
		}
	} else if len(p.waiting) > 0 {
		s.pair(p.waiting[0], show)
		copy(p.waiting, p.waiting[1:])
		p.waiting = p.waiting[:len(p.waiting)-1]
	}
}

// pair counts one pair (step 4).
func (s *Sentry) pair(trial, base showing) {
	s.pairs++
	if trial.good && !base.good {
		s.lose(base.worker, &s.favour, 1)
	} else if base.good && !trial.good {
		s.lose(trial.worker, &s.against, 1)
	}
}

// lose counts a discordant pair that w lost.
func (s *Sentry) lose(w *worker, side *float64, by float64) {
	// Danger: a worker that dies fails all that it holds at once, which is one piece of evidence, not many.
	if s.now-w.counted >= ownBurst {
		w.counted = s.now
		w.against += by
		*side += by
	}
}

// Streaming takes the start of a streamed answer: the txn is the client's now.
func (s *Sentry) Streaming(now Nanos, id TxnID, number int) {
	s.now = now
	if at, held := s.byID[id]; held && number >= 0 && number < s.slab[at].n {
		s.slab[at].has, s.slab[at].stream = settled, number+1
		s.touch(at)
	}
	s.emit()
}

// Left takes that a client has left.
func (s *Sentry) Left(now Nanos, id TxnID) {
	s.now = now
	if at, held := s.byID[id]; held {
		s.slab[at].has = settled
		s.touch(at)
	}
	s.emit()
}

// Timer takes a timer: the beat, or a txn that has waited for long.
func (s *Sentry) Timer(now Nanos, token uint64) {
	s.now = now
	if token == 0 {
		s.onBeat()
		s.emit()
		return
	}
	at := int32(token & 0xffffffff)
	if int(at) >= len(s.slab) || s.slab[at].gen != uint32(token>>32) || s.slab[at].has != unanswered {
		return
	}
	s.refill()
	if t := &s.slab[at]; t.n == 1 && t.subs[0].out && s.hedges >= 1 {
		s.hedges--
		s.place(at)
	}
	s.emit()
}

// onBeat looks after what no event brings up: silent workers, rates, the watch, votes.
func (s *Sentry) onBeat() {
	s.refill()
	s.beatAt = s.now + beat
	s.rate += (float64(s.taken)/(float64(beat)/float64(Second)) - s.rate) * 0.02
	s.taken = 0
	for at := range s.slab {
		t := &s.slab[at]
		for i := 0; i < t.n; i++ {
			sub := &t.subs[i]
			w := sub.to
			if sub.out && !w.silent && w.heard < sub.sent &&
				float64(s.now-sub.sent) > min(quietTimes*s.expected(t)*max(1, w.slow), float64(s.products[t.Product].sla)) {
				w.silent, w.nextTry = true, s.now+trickle
			}
		}
	}
	// What a silent worker holds goes out again where a repeat does no harm, whatever keeps it silent.
	for at := range s.slab {
		t := &s.slab[at]
		if t.n == 1 && t.has == unanswered && t.subs[0].out && t.subs[0].to.silent && s.agains >= 1 {
			s.agains--
			s.place(int32(at))
		}
	}
	for _, w := range s.order {
		if !w.silent && w.bad >= restAbove && s.now >= w.nextTry+trickle {
			w.bad *= 0.98
		}
	}
	s.arrange()
	if s.wantWatch && !s.watching && s.now >= s.watchAt {
		s.watchAt = s.now // emit asks
	}
	s.look()
	s.judge()
}

// ---- The build on trial ----

// newTrial starts all counts anew for a newer build.
func (s *Sentry) newTrial(rel RelID) {
	s.trial = rel
	clear(s.metTrial)
	s.pairs, s.against, s.favour, s.seen = 0, 0, 0, 0
	for _, w := range s.order {
		w.against, w.times = 0, spread{}
	}
	for i := range s.products {
		s.products[i].waiting = s.products[i].waiting[:0]
	}
	for i := range s.exposure {
		s.exposure[i] = min(s.exposure[i], 1)
	}
}

// News takes what the platform tells of the newest build.
func (s *Sentry) News(now Nanos, n News) {
	s.now = now
	if n.Ending != OK {
		if n.Answer {
			s.votedAt = 0
		}
		s.emit()
		return
	}
	old := s.capNow()
	if n.Rel > s.trial {
		s.newTrial(n.Rel)
	}
	if n.Rel != s.news.Rel || n.Stage != s.news.Stage || n.Phase != s.news.Phase {
		s.stageLevel, s.roseAt = s.warmLevel, -1
		if n.Rel != s.news.Rel {
			s.rises = 0
		}
		s.note(fmt.Sprintf("build %d stage %d phase %d cap %.3f", n.Rel, n.Stage, n.Phase, n.Cap))
	}
	s.news, s.newsAt = n, now
	if n.Phase == GoingBack || n.Phase == Withdrawn {
		clear(s.metTrial)
	}
	if s.capNow() < old { // counted anew from a lower cap on
		for i := range s.exposure {
			s.exposure[i] = min(s.exposure[i], 0)
		}
	}
	s.arrange()
	s.emit()
}

// Tally takes the platform's own count.
func (s *Sentry) Tally(now Nanos, t Tally) {
	s.now = now
	if t.Rel <= s.trial {
		i := 0
		if t.Rel == s.trial {
			i = 1
		}
		s.tally[i].many += float64(t.Many)
		s.tally[i].bad += float64(t.Bad)
	}
}

// Contested takes that a client found an answer wrong: the submission erred after all.
func (s *Sentry) Contested(now Nanos, p ProductID, id WorkerID, age Nanos) {
	s.now = now
	w := s.workers[id]
	if w == nil || w.Start > now-age {
		return
	}
	s.pairs++
	if w.Rel == s.trial {
		s.against++
	} else {
		s.favour++
	}
}

// judge sets down the vote that is wanted (steps 5 and 6).
func (s *Sentry) judge() {
	s.wantVote = NoVote
	if s.trial != s.news.Rel || s.news.Phase == GoingBack || s.news.Phase == Withdrawn {
		return
	}
	// Danger: a few bad machines on either side pass for the build. So each side's worst quarter is left out, of
	// the trial for a second look at a laxer level; a lone trial worker too while earlier builds fail as well.
	ailing := 1.0
	trials, bases := s.scratch[0][:0], s.scratch[1][:0]
	for _, w := range s.order {
		w.against *= evidenceKept
		if w.State != Up {
			continue
		}
		if w.Rel == s.trial {
			trials = append(trials, w.against)
		} else if bases = append(bases, w.against); w.bad > restAbove/2 {
			ailing = 0
		}
	}
	s.scratch[0], s.scratch[1] = trials, bases
	s.pairs, s.against, s.favour = s.pairs*evidenceKept, s.against*evidenceKept, s.favour*evidenceKept
	favour := s.favour - worstQuarter(bases, 2)
	p, spread := signTest(s.against, favour), signTest(s.against-worstQuarter(trials, ailing), favour)
	slow := s.slowness()
	age := s.news.Age + s.now - s.newsAt
	next := s.num("release.shares."+strconv.Itoa(s.news.Stage+1), 1)
	enough := s.seen >= stakes*next || age > 2*s.span("release.bake", 0)+4*Second
	switch {
	case s.pairs >= pairFloor && p < backLevel*min(1, manyPairs/s.pairs) && spread < spreadLevel || slow > slowBack,
		s.now-s.draggedAt >= dragTime:
		s.wantVote = Back
	case s.news.Phase == Released:
	case s.word("release.votes") == "clocked":
		if p < holdLevel {
			s.wantVote = Hold
		}
	case age >= s.span("release.bake", 0) && spread > leadLevel && slow < slowStop && enough &&
		(s.drag < dragged || s.rises == 0):
		s.wantVote = On
	}
	if mode := int(s.trial)*8 + int(s.wantVote); s.wantVote != NoVote && mode != s.mode {
		s.mode = mode
		s.note(fmt.Sprintf("vote %d on build %d: %.0f pairs, %.1f against, %.1f for, p %.4f, spread %.4f; slower by %.1f, all by %.2f",
			s.wantVote, s.trial, s.pairs, s.against, s.favour, p, spread, slow, s.drag))
	}
}

// slowness tells by how many standard errors the trial's times are over slowerBy times those of the earlier
// builds, on a log scale, without its slowest worker where there are several.
func (s *Sentry) slowness() float64 {
	var all spread
	side := s.side[:0]
	for _, w := range s.order {
		if w.Rel == s.trial && w.times.n > 0 {
			all.join(w.times, 1)
			side = append(side, w)
		}
	}
	s.side = side
	slices.SortStableFunc(side, func(a, b *worker) int { return cmp.Compare(b.times.mean(), a.times.mean()) })
	out := (len(side) + 2) / 4
	for _, w := range side[:out] {
		all.join(w.times, -1)
	}
	all.parts = len(side) - out
	if all.n < slowFloor {
		return 0
	}
	error := math.Sqrt(all.variance()/all.n + unlike*unlike/float64(all.parts))
	return (all.mean() - math.Log(slowerBy)) / error
}

// look sees to the level of all: a build may slow every worker, so that no pair shows it. Then earlier builds
// take longer than before the trial, and longer with each stage, though not much more is asked of them. It
// should also catch a build that starves what all share; a fleet that fails bit by bit could pass for it.
func (s *Sentry) look() {
	if s.news.Phase != OnTrial || len(s.trials) == 0 {
		s.calmRate, s.calmLevel = s.rate, s.calmLevel+0.01*(s.level-s.calmLevel)
	}
	s.drag = s.level - s.calmLevel
	// Danger: replacing workers takes capacity away for as long as the new ones are cold, which slows all too.
	if slices.ContainsFunc(s.order, func(w *worker) bool { return w.State == Up && s.ramp(w) < 1 }) {
		s.draggedAt = s.now
		return
	}
	if s.warmLevel = s.level; s.level > s.stageLevel+rise && s.news.Stage != s.roseAt {
		s.rises, s.roseAt = s.rises+1, s.news.Stage
	}
	if s.drag < dragged || s.rises < 2 || s.news.Phase != OnTrial || s.rate > 1.25*s.calmRate {
		s.draggedAt = s.now
	}
}

func (s *Sentry) note(text string) { s.out.Log(text) }

// ---- From what is wanted to what is done ----

// emit does what is wanted and not yet so.
func (s *Sentry) emit() {
	for i := 0; i < len(s.touched); i++ {
		at := s.touched[i]
		t := &s.slab[at]
		t.touched = false
		if t.has == unanswered && t.want.to != nil {
			if s.maySend(t, t.want.to) {
				s.submit(t)
			}
			t.want.to = nil
		}
		if t.has == unanswered && t.want.answer != unanswered {
			t.has = t.want.answer
			if t.has == declined {
				s.out.Decline(t.ID, s.span("allow.longest-retry-after", 0)/4)
			} else {
				s.out.Void(t.ID)
			}
		}
		if t.want.wake > s.now && t.has == unanswered {
			s.out.Remind(t.want.wake-s.now, uint64(at)|uint64(t.gen)<<32)
			t.want.wake = 0
		}
		out := false
		for k := 0; k < t.n; k++ {
			if !t.subs[k].out {
				continue
			}
			out = true
			if t.has != unanswered && s.flag("allow.cancel") && t.want.answer != settled && t.stream != k+1 {
				s.out.Cancel(t.ID, k)
			}
		}
		if t.has != unanswered {
			t.want.answer = settled // what was out is called off once
			if !out {
				delete(s.byID, t.ID)
				s.free = append(s.free, at)
			}
		}
	}
	s.touched = s.touched[:0]
	if s.wantWatch && !s.watching && s.now >= s.watchAt {
		s.watching = true
		s.out.Watch()
	}
	if s.wantVote != NoVote && s.now >= s.voteAt {
		// Chance voting: all sentries together keep to the calls that the platform takes.
		second := s.now - s.now%Second + Second
		s.voteAt = second + Nanos(s.rng.Int63n(int64(Second)))
		if s.rng.Float64() < s.num("release.votes-per-second", 1)/max(1, s.num("sentries", 1)) {
			s.out.Vote(s.wantVote, s.trial, s.news.Stage)
			s.votedAt = s.now
		}
	}
	if s.now >= s.beatAt {
		s.beatAt = s.now + beat
		s.out.Remind(beat, 0)
	}
}

// submit sends t to the worker that is wanted.
func (s *Sentry) submit(t *txn) {
	w := t.want.to
	w.open++
	if s.ramp(w) < 1 {
		w.cold--
	}
	if s.onTrial(w.Rel) {
		s.exposure[s.lane(t.Product)]--
	}
	t.subs[t.n] = submission{to: w, sent: s.now, rel: w.Rel, out: true, arm: t.want.arm,
		tells: w.Start <= 0 || s.now-w.Start >= warmUpAge}
	t.n++
	s.out.Submit(t.ID, w.ID, 0)
}

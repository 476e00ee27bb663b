package logic

import (
	"encoding/binary"
	"math"
	"math/rand"
	"slices"
	"strconv"
	"unsafe"
)

// What a sentry keeps. Nothing is decided here.

type arm uint8

const (
	noArm arm = iota
	trialArm
	baseArm
)

type answer uint8

const (
	unanswered answer = iota
	declined
	voided
	settled // or left by its client
)

type product struct {
	sla, memory  Nanos
	inquiry, ref bool
	anywhere     bool // a repeat is dropped by all workers
	byZone       bool
	typical      float64 // smoothed time of settled submissions, over the expected work where that is told
	learnt       int     // from how many
	toTrial      bool    // the toggle: the next pair txn goes to the trial
	waiting      []showing
}

// showing is what one side of a pair showed.
type showing struct {
	good   bool
	worker *worker
	at     Nanos
}

type worker struct {
	Worker
	place     *place
	open      int
	slow, bad float64 // smoothed: time over the typical one, share of faults
	limit     float64 // txns that it may hold of this sentry
	heard     Nanos
	nextTry   Nanos
	counted   Nanos
	fails     float64 // errors of the trial here
	failedAt  Nanos
	against   float64 // discordant pairs that it lost for the trial
	silent    bool
	due       bool    // its turn has begun
	group     int     // of workers, the same for all sentries
	times     spread  // logs of times over the typical one, of late
	turn      float64 // its place in the rotation
	cold      float64 // submissions that a cold worker may still get
	coldAt    Nanos
	ripeAt    Nanos   // since when that is one or more
	cross     float64 // what its time counts more for standing in another zone
	in        *draw   // that holds it, nil: none
	at        int     // its place there
	ill       bool    // noted as not fit, at the last beat or since
}

// where is a zone and a kind of machine; place, what workers there take over the typical time: smoothed, and
// the smoothed log of that for earlier builds.
type where struct {
	zone ZoneID
	kind KindID
}

type place struct {
	slow, level float64
	at          Nanos // when an earlier build last answered there
}

func (s *Sentry) placeOf(w Worker) *place {
	at := where{w.Zone, w.Kind}
	if s.places[at] == nil {
		s.places[at] = &place{slow: 1}
	}
	return s.places[at]
}

type submission struct {
	to       *worker
	sent     Nanos
	rel      RelID
	out, ran bool // ran: it may have run
	arm      arm
	tells    bool // its outcome is evidence
	asks     bool // its key counts as answered while it is out
}

// txn is a txn in hand: what is wanted for it, and what it has.
type txn struct {
	Txn
	gen    uint32
	subs   [8]submission
	n      int
	has    answer
	stream int // number of the submission that streams, plus one
	want   struct {
		to     *worker
		arm    arm
		answer answer
		wake   Nanos
		retry  Nanos // with a decline
	}
	touched, wound bool
}

// Sentry is one instance of the module.
type Sentry struct {
	set    map[string]any
	looked [64]looked
	rng    *rand.Rand
	out    Sink
	now    Nanos

	products []product
	byID     map[TxnID]int32
	slab     []txn
	free     []int32
	touched  []int32

	workers             map[WorkerID]*worker
	order               []*worker // by id
	trials, bases, rest []*worker
	ofTrials, ofBases   draw // of the same
	ofRest              draw
	ill, aside          []*worker // that are not fit; that a pick has to do without
	warming             []*worker // some of them cold, or were at the last beat
	kinds               []KindID  // of machines of the trial
	most                int       // submissions of a txn
	tiltTrial, tiltBase float64   // what each side of the pair is to get, of all txns
	credit              float64
	creditTrial         float64
	creditBase          float64
	fleet               float64 // workers that usually carry the load
	carried, beats      float64 // submissions settled a second; beats since the start
	fresh, calmFresh    float64 // txns a second less those given up; before the trial
	taken, turned, done int     // txns, those given up (their clients may try again), submissions settled
	hedges, agains      float64 // further submissions left
	seldom              float64 // seconds after which a worker is met again, where there are many sentries
	home                float64 // what the slowest place of the own zone takes over the typical time
	blur                float64 // how much chance mixes into the pick of a worker
	places              map[where]*place
	many                float64 // log of how many times the few there are, for each vote that is needed
	part                float64 // of what few sentries may each hold
	squeeze, allowed    float64 // on all limits; what may be held in all
	held                int

	news      ReleaseUpdate
	newsAt    Nanos
	loweredAt Nanos // when the cap last fell
	watched   RelID // the newest build seen on trial
	trial     RelID // the newest build known
	exposure  []float64
	refilled  Nanos
	metTrial  map[KeyID]RelID // the newest build that has answered a key
	asked     map[KeyID]int   // submissions of a key that are out at the newest build and may have been answered unread

	own                   evidence
	peers                 []evidence // by their number
	level                 float64    // smoothed log of the times of earlier builds
	reach                 float64    // smoothed log of the SLA time, as times are
	draggedAt             Nanos
	levels, calms         float64      // outcomes and beats that went into the level and the calm one
	calmLevel, drag       float64      // the level before the trial; its rise since
	lacking               bool         // capacity is missing
	heed                  float64      // weight of a txn in the level
	warmLevel, stageLevel float64      // the level when last no worker was cold; at the stage's start
	blame                 [256]float64 // shares of errors by customer and by key
	usualErr              float64      // share of errors of earlier builds
	watching              bool         // a build is on trial, or was released a short while ago
	usualBad              float64      // how bad workers are on the whole, each up to the bar at which it rests
	skew                  spread       // as the trial's times, of the baseline
	unsteady              float64      // variance of the log of times of earlier builds
	rises, roseAt         int          // stages with a rise
	scratch               [3][]float64
	side                  []*worker

	wantVote          Verdict
	tells             []int // sentries to tell what was seen
	mayVote           bool  // its moment has come
	voteAt            Nanos
	wantWatch         bool
	watchAt, watchGap Nanos
	beatAt            Nanos
	mode              int
}

// looked is a setting as it was last looked up. Settings never change, and most names are constants of the program:
// one that lies where the remembered name lies, which is kept alive here, is that name, so no hash is needed.
type looked struct {
	name  string
	value any
}

func (s *Sentry) setting(name string) any {
	at := unsafe.StringData(name)
	l := &s.looked[uintptr(unsafe.Pointer(at))>>3%uintptr(len(s.looked))]
	if unsafe.StringData(l.name) != at || len(l.name) != len(name) {
		*l = looked{name, s.set[name]}
	}
	return l.value
}

func (s *Sentry) num(name string, otherwise float64) float64 {
	if v, ok := s.setting(name).(float64); ok {
		return v
	}
	return otherwise
}

func (s *Sentry) span(name string, otherwise Nanos) Nanos {
	return Nanos(s.num(name, float64(otherwise)))
}
func (s *Sentry) flag(name string) bool   { v, _ := s.setting(name).(bool); return v }
func (s *Sentry) word(name string) string { v, _ := s.setting(name).(string); return v }

// readProducts picks the products from the settings.
func (s *Sentry) readProducts() {
	n := int(s.num("products.count", 0))
	for i := 0; i < n; i++ {
		at := "products." + strconv.Itoa(i) + "."
		effect, group := s.word(at+"effect"), s.word(at+"group")
		s.products = append(s.products, product{sla: s.span(at+"sla", Second), memory: s.span(at+"memory", 0),
			inquiry: effect == "inquiry-like", ref: effect == "referenced",
			anywhere: group == "all", byZone: group == "zone"})
	}
	s.peers = make([]evidence, max(0, int(s.num("sentries", 0))))
	s.exposure = make([]float64, 1)
	if s.word("release.counts") == "product" {
		s.exposure = make([]float64, max(1, n))
	}
}

// lane is the count of exposure that a product falls under.
func (s *Sentry) lane(p ProductID) int {
	if len(s.exposure) > 1 {
		return int(p)
	}
	return 0
}

// expected is the time that t should take at an ordinary worker.
func (s *Sentry) expected(t *txn) float64 {
	p := &s.products[t.Product]
	if p.learnt == 0 {
		return float64(p.sla) * firstTimes
	}
	return p.typical * float64(max(t.Cost, 1))
}

// hold finds a place in the slab for a txn.
func (s *Sentry) hold(in Txn) int32 {
	if len(s.free) == 0 {
		s.slab = append(s.slab, txn{})
		s.free = append(s.free, int32(len(s.slab)-1))
	}
	at := s.free[len(s.free)-1]
	s.free = s.free[:len(s.free)-1]
	s.slab[at] = txn{Txn: in, gen: s.slab[at].gen + 1}
	s.byID[in.ID] = at
	return at
}

// end marks a txn as over for the sentry, but for a submission that streams.
func (s *Sentry) end(now Nanos, id TxnID, stream int) {
	s.now = now
	if at, held := s.byID[id]; held && stream <= s.slab[at].n {
		s.slab[at].has, s.slab[at].stream = settled, stream
		s.touch(at)
	}
	s.emit()
}

func (s *Sentry) touch(at int32) {
	if !s.slab[at].touched {
		s.slab[at].touched = true
		s.touched = append(s.touched, at)
	}
}

func (t *txn) tried(w *worker) bool {
	for i := 0; i < t.n; i++ {
		if t.subs[i].to == w {
			return true
		}
	}
	return false
}

// evidence is what was seen of a build; lean: without the worst workers; seen: trial outcomes.
type evidence struct {
	rel                                                   RelID
	at                                                    Nanos
	pairs, against, favour, leanAgainst, leanFavour, seen float64
	groups                                                [4]float64 // against, by group of workers
	tried                                                 float64    // all that the trial answered; not told
}

func (e *evidence) fade(kept float64) {
	e.pairs, e.against, e.favour, e.tried = e.pairs*kept, e.against*kept, e.favour*kept, e.tried*kept
	for i := range e.groups {
		e.groups[i] *= kept
	}
}

func (e *evidence) add(o *evidence) {
	e.pairs, e.against, e.favour = e.pairs+o.pairs, e.against+o.against, e.favour+o.favour
	for i := range e.groups {
		e.groups[i] += o.groups[i]
	}
	e.leanAgainst, e.leanFavour, e.seen = e.leanAgainst+o.leanAgainst, e.leanFavour+o.leanFavour, e.seen+o.seen
}

// figures are what a message holds, in its order.
func (e *evidence) figures() [10]*float64 {
	g := &e.groups
	return [10]*float64{&e.pairs, &e.against, &e.favour, &e.leanAgainst, &e.leanFavour, &e.seen,
		&g[0], &g[1], &g[2], &g[3]}
}

// pack writes the evidence on a build as a message; unpack reads one, and leaves out what is none.
func (e *evidence) pack(rel RelID) []byte {
	data := binary.BigEndian.AppendUint16(nil, uint16(rel))
	for _, v := range e.figures() {
		data = binary.BigEndian.AppendUint16(data, uint16(min(max(*v, 0)*10, math.MaxUint16)))
	}
	return data
}

func (e *evidence) unpack(data []byte) {
	*e = evidence{}
	figures := e.figures()
	if len(data) != 2+2*len(figures) {
		return
	}
	e.rel = RelID(binary.BigEndian.Uint16(data))
	for i, v := range figures {
		*v = float64(binary.BigEndian.Uint16(data[2+2*i:])) / 10
	}
}

// noticeTrial works out the newest build that the news or a worker names, and starts all counts anew for
// another one. Danger: a slip that names a build far ahead, in one line, must not hide the real one once it is mended.
func (s *Sentry) noticeTrial() {
	rel := max(0, s.news.Rel)
	for _, w := range s.order { // also those that went: their build may be named yet
		rel = max(rel, w.Rel)
	}
	if rel == s.trial {
		return
	}
	s.trial, s.own, s.skew = rel, evidence{}, spread{}
	for _, w := range s.order {
		w.against, w.fails, w.times = 0, 0, spread{}
	}
	for i := range s.products {
		s.products[i].waiting = s.products[i].waiting[:0]
	}
}

// forgetGone drops what is known of workers that are gone, hold nothing and have not answered for so long. Danger: where
// every start has an id of its own, the list of all that ever ran grows for good, and each beat with it.
func (s *Sentry) forgetGone(after Nanos) {
	s.order = slices.DeleteFunc(s.order, func(w *worker) bool {
		drop := w.State == Gone && w.open == 0 && s.now-w.heard > after
		if drop {
			delete(s.workers, w.ID)
		}
		return drop
	})
}

// is tells whether a line of the list is about this very process.
func (w *worker) is(l Worker) bool {
	l.State, l.Weight = w.State, w.Weight
	return w.Worker == l
}

// back tells whether the newest build is taken off.
func (n *ReleaseUpdate) back() bool { return n.Phase == GoingBack || n.Phase == Withdrawn }

func (s *Sentry) allGone() {
	for _, w := range s.order {
		w.State = Gone
	}
}

// due finds the txn that a timer was set for, if it still waits.
func (s *Sentry) due(token uint64) (int32, bool) {
	at := int32(token & math.MaxUint32)
	return at, int(at) < len(s.slab) && s.slab[at].gen == uint32(token>>32) && s.slab[at].has == unanswered
}

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

// least is the earliest build that t may go to: none before the newest that has answered its key, or may have.
func (s *Sentry) least(t *txn) RelID {
	if t.Key == 0 || len(s.metTrial)+len(s.asked) == 0 {
		return 0
	}
	if s.asked[t.Key] > 0 && !(s.news.back() && s.news.Rel == s.trial) {
		return s.trial
	}
	return s.metTrial[t.Key]
}

// ask counts a submission to the newest build that goes out, or comes back, where an answer counts once it is written.
// Danger: an answer in a link that has fallen silent has been given, and nobody here knows.
func (s *Sentry) ask(t *txn, sub *submission, by int) {
	if !sub.asks {
		return
	}
	if s.asked[t.Key] += by; s.asked[t.Key] <= 0 {
		delete(s.asked, t.Key)
	}
}

// PeerMessage takes what another sentry has seen of a build.
func (s *Sentry) PeerMessage(now Nanos, from int, data []byte) {
	s.now = now
	if from >= 0 && from < len(s.peers) {
		s.peers[from].unpack(data)
		s.peers[from].at = now
	}
}

// ramp is the part of its capacity that a worker may have by now.
func (s *Sentry) ramp(w *worker) float64 {
	if w.Start <= 0 {
		return 1
	}
	cold := s.span("rules.cold", 0)
	if cold <= 0 || s.now-w.Start >= cold {
		return 1
	}
	from := s.num("rules.cold-from", 1)
	return from + (1-from)*max(0, float64(s.now-w.Start)/float64(cold))
}

// pair counts one pair (step 4).
func (s *Sentry) pair(trial, base showing) {
	s.own.pairs++
	if trial.good && !base.good {
		s.lose(base.worker, &s.own.favour, 1)
	} else if base.good && !trial.good {
		s.lose(trial.worker, &s.own.against, 1)
	}
}

// StreamStarted takes the start of a streamed answer, which is the client's now; Left, that a client has left.
func (s *Sentry) StreamStarted(now Nanos, id TxnID, number int) { s.end(now, id, number+1) }
func (s *Sentry) ClientLeft(now Nanos, id TxnID)                { s.end(now, id, 0) }

// blamed gives the smoothed shares of errors of t's customer, its key and the customer with the least, after
// counting one more ending at those weights.
func (s *Sentry) blamed(t *txn, e Ending, customer, key float64) (byCustomer, byKey, least float64) {
	c, k := &s.blame[int(t.Customer)%16], &s.blame[16+t.Key%240]
	if e == OK || e == ErrorResponse {
		*c += customer * (bit(e == ErrorResponse) - *c)
		*k += key * (bit(e == ErrorResponse) - *k)
	}
	if others := s.blame[1:min(16, 1+int(s.num("customers.count", 0)))]; len(others) > 1 {
		return *c, *k, slices.Min(others)
	}
	return 0, *k, 0
}

// timed gathers the workers of the newest build whose times are known.
func (s *Sentry) timed() {
	s.side = s.side[:0]
	for _, w := range s.order {
		if w.Rel == s.trial && w.times.n > 0 {
			s.side = append(s.side, w)
		}
	}
}

// noteKinds notes the kinds of machines of some workers.
func (s *Sentry) noteKinds(of []*worker) {
	s.kinds = s.kinds[:0]
	for _, w := range of {
		if !slices.Contains(s.kinds, w.Kind) {
			s.kinds = append(s.kinds, w.Kind)
		}
	}
}

// slowestAtHome notes the slowest place in the own zone.
func (s *Sentry) slowestAtHome() {
	s.home = 0
	for at, p := range s.places {
		if at.zone == ZoneID(s.num("zone", -1)) {
			s.home = max(s.home, p.slow)
		}
	}
}

// show keeps what the trial showed, but for what is older than since, and tells whether what the baseline showed meets
// any of it.
func (p *product) show(side arm, by showing, since Nanos) bool {
	for len(p.waiting) > 0 && p.waiting[0].at < since {
		p.waiting = slices.Delete(p.waiting, 0, 1)
	}
	if side == trialArm && len(p.waiting) < 64 {
		p.waiting = append(p.waiting, by)
	}
	return side == baseArm && len(p.waiting) > 0
}

// meet notes that the newest build has answered t's key, until it goes back. Danger: news that is late tells of the build
// before; that this one goes back frees no key that the newest answers.
func (s *Sentry) meet(t *txn) {
	if t.Key != 0 && s.flag("release.one-way") && !(s.news.back() && s.news.Rel == s.trial) {
		s.metTrial[t.Key] = s.trial
	}
}

// losses lists, after fading, the pairs that each worker lost on the trial's side and on the other, and gives
// the errors of each worker of the trial.
func (s *Sentry) losses(kept float64) (trials, bases, fails []float64) {
	trials, bases, fails = s.scratch[0][:0], s.scratch[1][:0], s.scratch[2][:0]
	for _, w := range s.order {
		w.against, w.fails = w.against*kept, w.fails*kept
		if w.State == Up && w.Rel == s.trial {
			trials = append(trials, w.against)
			fails = append(fails, w.fails)
		} else if w.State == Up {
			bases = append(bases, w.against)
		}
	}
	s.scratch = [3][]float64{trials, bases, fails}
	return trials, bases, fails
}

// pool adds to the own evidence what others have told of late.
func (s *Sentry) pool(trust Nanos) evidence {
	all := s.own
	for i := range s.peers {
		if e := &s.peers[i]; e.rel == s.trial && s.now-e.at < trust {
			all.add(e)
		}
	}
	return all
}

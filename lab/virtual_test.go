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

// A virtual day plays the module itself, with the fleet's machines, under a clock that is handed in: no socket, no
// goroutine, the same day each time. Clients, workers and the platform write down what they see, and the checker of the
// days on sockets reads that. The host's part is played as the edge plays it: a submission that is out at the expiry
// ends there, and a txn that the module then leaves unanswered stays so.

const (
	way       = time.Millisecond // of a message, each way
	clockBase = 1000 * time.Second
)

var onVirtualTime = tolerances{answer: 5 * ms, lateSubmission: 5 * ms, drain: 5 * ms, exposure: 5 * ms}

type vevent struct {
	at  runTime
	seq int
	do  func()
}

type vheap []vevent

func (h vheap) Len() int { return len(h) }
func (h vheap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h vheap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *vheap) Push(x any)   { *h = append(*h, x.(vevent)) }
func (h *vheap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

type vday struct {
	day      *Day
	rec      *Record
	now      runTime
	queue    vheap
	seq      int
	rng      *rand.Rand
	settings map[string]any
	shared   *fleet.SharedState
	sentries []*vsentry
	places   []*vworker // what serves at each place
	workers  map[string]*vworker
	order    []string // of the list
	ids      int
	release  logic.ReleaseUpdate
	since    runTime
	before   logic.ReleaseUpdate // what stood before the present state
	beforeAt runTime
	rate     float64
	offered  int // the newest build
	// What troubles change.
	listLate, newsLate runTime
	listCut            bool // changes of the list are lost
	stalled            bool
	votesLost          bool
	leave              float64 // share of clients that leave early
	hits               map[string]int
	backs              []runTime // votes for 'back'
}

// vworker is one id of the list, and the process that runs under it.
type vworker struct {
	d       *vday
	id      string
	build   int
	started runTime
	state   string
	up      bool
	m       *fleet.Machine
	garbage float64
	jobs    map[uint64]*vsub // by job
	next    runTime
	place   int
}

type vtxn struct {
	id     logic.TxnID
	rec    *TxnRecord
	subs   []*vsub
	over   bool
	expiry runTime
}

type vsub struct {
	t       *vtxn
	s       *vsentry
	n       int
	sent    runTime
	arrival *SubmissionRecord
	w       *vworker
	ended   bool
	job     uint64
	gone    bool // its connection has ended on our side
}

type vsentry struct {
	d        *vday
	n, life  int
	m        *logic.Sentry
	txns     map[logic.TxnID]*vtxn
	held     int
	taking   bool
	kept     []logic.Worker // the last list told
	keptNews logic.ReleaseUpdate
	dead     bool
	acts     []func()
	busy     bool
}

func newVirtual(day *Day) *vday {
	d := &vday{day: day, rec: &Record{}, rng: rand.New(rand.NewSource(day.Seed)), shared: fleet.NewSharedState(), workers: map[string]*vworker{},
		hits: map[string]int{}, rate: day.Rate, offered: 2}
	plan, err := config.ParseEdge("virtual.sexp", day.EdgeSettings(0, "127.0.0.1:1", "127.0.0.1:2", "http://127.0.0.1:3", "state", nil))
	if err != nil {
		panic(err)
	}
	d.settings = plan.Module
	d.settings["index"] = 0.0
	d.release = logic.ReleaseUpdate{Rel: 1, Phase: logic.Released, Cap: 1, Stage: len(day.StageShares) - 1}
	d.before = d.release
	for i := 0; i < day.Machines; i++ {
		d.places = append(d.places, d.boot(i, 1, 0))
	}
	for i := 0; i < day.Sentries; i++ {
		s := &vsentry{d: d, n: i}
		d.sentries = append(d.sentries, s)
		s.start(false)
	}
	return d
}

func (d *vday) in(after runTime, do func()) {
	d.seq++
	heap.Push(&d.queue, vevent{d.now + after, d.seq, do})
}

// at has something done at a moment of the day.
func (d *vday) at(when runTime, do func()) { d.in(when-d.now, do) }

func (d *vday) clock() logic.Nanos { return logic.Nanos(clockBase + d.now) }

// run plays the day to its end, and some time more for what is still in hand.
func (d *vday) run() {
	gap := func() runTime { return runTime(d.rng.ExpFloat64() / d.rate * float64(time.Second)) }
	var arrive func()
	arrive = func() {
		if d.now < d.day.Length {
			d.client()
			d.in(gap(), arrive)
		}
	}
	d.in(gap(), arrive)
	var push func()
	push = func() {
		if d.now > 0 {
			d.push()
		}
		d.in(d.day.PushInterval, push)
	}
	push()
	for len(d.queue) > 0 && d.now < d.day.Length+3*time.Second {
		e := heap.Pop(&d.queue).(vevent)
		d.now = e.at
		e.do()
	}
}

// client sends one txn to a sentry that takes some.
func (d *vday) client() {
	x := d.rng.Float64()
	product := 0
	for product < len(d.day.Products)-1 && x >= d.day.Products[product].Share {
		x -= d.day.Products[product].Share
		product++
	}
	key := uint64(1 + d.rng.Intn(d.day.Keys))
	s := d.sentries[d.rng.Intn(len(d.sentries))]
	leaves := d.rng.Float64() < d.leave
	for i := 0; s.dead || !s.taking; i++ {
		if i == len(d.sentries) {
			return
		}
		s = d.sentries[(s.n+1)%len(d.sentries)]
	}
	p := &d.day.Products[product]
	d.rec.Txns = append(d.rec.Txns, &TxnRecord{ID: uint64(len(d.rec.Txns) + 1), Edge: s.n, Incarnation: s.life, Product: product, Key: key,
		SentAt: d.now, Deadline: d.now + p.Expiry, Revenue: p.Revenue})
	r := d.rec.Txns[len(d.rec.Txns)-1]
	r.FirstTryID = r.ID
	t := &vtxn{id: logic.TxnID(r.ID), rec: r, expiry: r.Deadline - 20*ms}
	s.txns[t.id] = t
	s.held++
	life := s.life
	d.at(t.expiry, func() {
		if s.life == life && !s.dead {
			s.expire(t)
		}
	})
	d.at(r.Deadline, func() { // the client's patience
		if r.AnsweredAt == 0 && r.LeftAt == 0 && r.Failure == "" {
			r.LeftAt = d.now
		}
	})
	if leaves {
		d.in(runTime(d.rng.Float64()*float64(100*ms)), func() {
			if s.life == life && !s.dead && !t.over {
				d.hits["left"]++
				t.over, r.LeftAt = true, d.now
				s.held--
				s.hand(func() { s.m.ClientLeft(d.clock(), t.id) })
			}
		})
	}
	s.hand(func() {
		s.m.Take(d.clock(), logic.Txn{ID: t.id, Product: logic.ProductID(product), Key: logic.KeyID(key), Cost: logic.Nanos(p.MeanWork),
			Expiry: logic.Nanos(clockBase + t.expiry)})
	})
}

// ---- Sentries ----

// start begins a life of a sentry: with nothing, or with the list and news that it kept.
func (s *vsentry) start(again bool) {
	d := s.d
	if again && !s.dead {
		return
	}
	s.life = len(d.rec.Incarnations)
	d.rec.Incarnations = append(d.rec.Incarnations, Incarnation{Edge: s.n, Number: s.life, StartedAt: d.now})
	s.txns, s.held, s.taking, s.dead, s.acts = map[logic.TxnID]*vtxn{}, 0, true, false, nil
	set := map[string]any{}
	for k, v := range d.settings {
		set[k] = v
	}
	set["index"] = float64(s.n)
	s.hand(func() { s.m = logic.New(d.clock(), d.rng.Int63(), set, s) })
	if again {
		list, news := s.kept, s.keptNews
		if news.Phase != logic.Released { // as the edge restores it
			news.Cap = 0
		}
		s.hand(func() { s.m.UpdateWorkers(d.clock(), logic.Restored, list) })
		s.hand(func() { s.m.ReleaseUpdate(d.clock(), news) })
	}
	life := s.life
	d.in(100*ms, func() {
		if s.life == life && !d.stalled {
			s.tellWhole(d.snapshot(nil))
			s.tellNews(d.present(), true)
		}
	})
}

// kill ends a life at once; its clients see their connections break.
func (s *vsentry) kill() {
	if s.dead {
		return
	}
	s.end(true)
	for _, t := range s.inHand(true) {
		if !t.over {
			t.over = true
			t.rec.Failure = "broken"
			s.d.hits["killed"]++
		}
		for _, b := range t.subs {
			s.hangUp(b)
		}
	}
}

// inHand lists txns by their ids, with or without those that are over.
func (s *vsentry) inHand(over bool) (out []*vtxn) {
	for _, t := range s.txns {
		if over || !t.over {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b *vtxn) int { return cmp.Compare(a.id, b.id) })
	return out
}

func (s *vsentry) end(killed bool) {
	s.dead = true
	l := &s.d.rec.Incarnations[s.life]
	l.EndedAt, l.Killed = s.d.now, killed
	if !killed {
		l.StopRequestedAt = l.EndedAt
	}
}

// hand gives the module one event and does what it decides after.
func (s *vsentry) hand(do func()) {
	if s.dead {
		return
	}
	s.acts = append(s.acts, do)
	if s.busy {
		return
	}
	s.busy = true
	for len(s.acts) > 0 {
		do := s.acts[0]
		s.acts = s.acts[1:]
		do()
	}
	s.busy = false
}

// expire is what the host does at a txn's expiry.
func (s *vsentry) expire(t *vtxn) {
	for _, b := range t.subs {
		s.over(b, logic.TimedOut, nil)
	}
}

// over ends a submission for its sentry.
func (s *vsentry) over(b *vsub, e logic.Ending, load *logic.Load) {
	if b.ended || s.dead || s.txns[b.t.id] != b.t {
		return
	}
	b.ended = true
	if e == logic.TimedOut || e == logic.Cancelled {
		s.hangUp(b)
	}
	t, d := b.t, s.d
	if e == logic.OK && !t.over {
		t.over = true
		s.held--
		t.rec.AnsweredAt, t.rec.Status, t.rec.Build = d.now, 200, b.arrival.Build
	}
	o := logic.Outcome{Txn: t.id, Number: b.n, Ending: e, Elapsed: logic.Nanos(d.now - b.sent), Final: t.over, Load: load}
	s.hand(func() { s.m.Outcome(d.clock(), o) })
}

// hangUp ends a submission's connection from the sentry's side.
func (s *vsentry) hangUp(b *vsub) {
	if b.gone {
		return
	}
	b.gone = true
	s.d.in(way, func() {
		if w := b.w; w != nil && w.up && w.jobs[b.job] == b {
			if began, found := w.m.Cancel(fleet.Nanos(s.d.now), b.job); found {
				b.arrival.TookEffect = b.arrival.TookEffect || began
				delete(w.jobs, b.job)
				w.look()
			}
		}
	})
}

func (s *vsentry) Submit(id logic.TxnID, worker logic.WorkerID, timeout logic.Nanos) {
	t, d := s.txns[id], s.d
	if t == nil {
		return
	}
	b := &vsub{t: t, s: s, n: len(t.subs), sent: d.now}
	t.subs = append(t.subs, b)
	d.in(way, func() { d.arrive(b, string(worker)) })
}

func (s *vsentry) Cancel(id logic.TxnID, number int) {
	if t := s.txns[id]; t != nil && number < len(t.subs) {
		b := t.subs[number]
		s.d.in(0, func() { s.over(b, logic.Cancelled, nil) })
	}
}

func (s *vsentry) final(id logic.TxnID, status int, outcome string) {
	t := s.txns[id]
	if t == nil {
		return
	}
	if t.over {
		t.rec.ExtraBytes = true
		return
	}
	t.over = true
	s.held--
	t.rec.AnsweredAt, t.rec.Status, t.rec.Outcome = s.d.now, status, outcome
}
func (s *vsentry) Decline(id logic.TxnID, after logic.Nanos) { s.final(id, 503, "declined") }
func (s *vsentry) Void(id logic.TxnID)                       { s.final(id, 502, "voided") }
func (s *vsentry) SetTimer(after logic.Nanos, token uint64) {
	life := s.life
	s.d.in(runTime(after), func() {
		if s.life == life {
			s.hand(func() { s.m.TimerFired(s.d.clock(), token) })
		}
	})
}
func (s *vsentry) WatchWorkers()                  {}
func (s *vsentry) SendToPeer(to int, data []byte) {}
func (s *vsentry) Log(string)                     {}

// Vote reaches the platform, which counts nothing: the script moves the stages. Its answer is the present news.
func (s *vsentry) Vote(v logic.Verdict, rel logic.RelID, stage int) {
	d, life := s.d, s.life
	d.hits["vote"]++
	if v == logic.VerdictBack {
		d.backs = append(d.backs, d.now)
	}
	n := d.present()
	n.VoteReply = true
	wait := 30 * ms
	if d.stalled || d.votesLost {
		d.hits["vote lost"]++
		n, wait = logic.ReleaseUpdate{VoteReply: true, Ending: logic.TimedOut}, time.Second
	}
	d.in(wait, func() {
		if s.life == life && !s.dead {
			s.tellNews(n, n.Ending == logic.OK)
		}
	})
}

// tellNews gives a sentry news, noted as told unless it is to be held against the sentry that it heeds it.
func (s *vsentry) tellNews(n logic.ReleaseUpdate, noted bool) {
	if s.dead {
		return
	}
	if noted {
		s.keptNews = n
		s.d.rec.Updates = append(s.d.rec.Updates, EdgeUpdate{Edge: s.n, At: s.d.now, Release: &ReleaseState{int(n.Rel), n.Stage, phaseNames[n.Phase], n.Cap}})
	}
	s.hand(func() { s.m.ReleaseUpdate(s.d.clock(), n) })
}

var phaseNames = map[logic.Phase]string{logic.OnTrial: api.OnTrial, logic.GoingBack: api.GoingBack, logic.Released: api.Released,
	logic.Withdrawn: api.Withdrawn}

var stateOf = map[string]logic.State{api.Up: logic.Up, api.Draining: logic.Draining, api.Gone: logic.Gone}

func (s *vsentry) line(w api.Worker) logic.Worker {
	start := logic.Nanos(0)
	if w.StartedAt > 0 {
		start = logic.Nanos(clockBase) + logic.Nanos(w.StartedAt)
	}
	return logic.Worker{ID: logic.WorkerID(w.ID), State: stateOf[w.State], Rel: logic.RelID(w.Build), Start: start, Weight: 1}
}

func (s *vsentry) note(w api.Worker) {
	s.d.rec.Updates = append(s.d.rec.Updates, EdgeUpdate{Edge: s.n, At: s.d.now, Worker: w.ID, State: w.State, Started: runTime(w.StartedAt), Build: w.Build})
}

func (s *vsentry) tellWhole(list []api.Worker) {
	if s.dead {
		return
	}
	s.d.rec.Updates = append(s.d.rec.Updates, EdgeUpdate{Edge: s.n, At: s.d.now, FullList: true})
	var lines []logic.Worker
	for _, w := range list {
		s.note(w)
		lines = append(lines, s.line(w))
	}
	s.kept = lines
	s.hand(func() { s.m.UpdateWorkers(s.d.clock(), logic.Whole, lines) })
}

func (s *vsentry) tellChange(w api.Worker) {
	if s.dead {
		return
	}
	s.note(w)
	l := s.line(w)
	s.kept = slices.DeleteFunc(slices.Clone(s.kept), func(k logic.Worker) bool { return k.ID == l.ID })
	if l.State != logic.Gone {
		s.kept = append(s.kept, l)
	}
	s.hand(func() { s.m.UpdateWorkers(s.d.clock(), logic.Changes, []logic.Worker{l}) })
}

// ---- Workers ----

// boot starts a process under a new id, listed at once where the day has not begun.
func (d *vday) boot(place, build int, started runTime) *vworker {
	d.ids++
	w := &vworker{d: d, id: fmt.Sprintf("w%03d", d.ids), place: place, jobs: map[uint64]*vsub{}}
	d.workers[w.id] = w
	d.order = append(d.order, w.id)
	w.begin(build, started)
	return w
}

// begin starts a process under the worker's id.
func (w *vworker) begin(build int, started runTime) {
	d := w.d
	w.build, w.started, w.state, w.up = build, started, api.Up, true
	w.m = fleet.NewMachine(d.day.MachineKind, fleet.Build{Number: build, Flaw: fleet.NoFlaw}, fleet.Nanos(started), d.shared, d.rng.Int63())
	w.m.Kind.Speed = d.day.MinSpeed + (d.day.MaxSpeed-d.day.MinSpeed)*d.rng.Float64()
	if d.now > 0 {
		d.list(w)
	}
}

// die ends the process at once: what it holds is lost. The list hears of it where a state is given.
func (w *vworker) die(state string) {
	d := w.d
	if w.up = false; state != "" {
		w.state = state
	}
	var lost []uint64
	for id := range w.jobs {
		lost = append(lost, id)
	}
	slices.Sort(lost)
	for _, id := range lost {
		b := w.jobs[id]
		b.arrival.TookEffect = true // as far as anyone knows
		d.in(way, func() {
			d.hits["broken"]++
			b.s.over(b, logic.Disconnected, nil)
		})
	}
	clear(w.jobs)
	if state != "" {
		d.list(w)
	}
}

// serve brings a stopped process back, cold, under the same id.
func (w *vworker) serve(build int) { w.begin(build, max(1, w.d.now)) }

func (w *vworker) set(state string) { w.state = state; w.d.list(w) }

func (w *vworker) entry() api.Worker {
	return api.Worker{ID: w.id, State: w.state, Build: w.build, StartedAt: int64(w.started)}
}

// list tells all sentries of a worker as it is now, after the list's delay.
func (d *vday) list(w *vworker) {
	if d.listCut || d.stalled {
		d.hits["list cut"]++
		return
	}
	if d.listLate > d.day.WorkerListDelay {
		d.hits["list late"]++
	}
	e := w.entry()
	d.toAll(func(s *vsentry) runTime { return d.listLate + runTime(s.n)*ms }, func(s *vsentry) { s.tellChange(e) })
}

// toAll tells all sentries something after a while, those that still live the same life by then.
func (d *vday) toAll(after func(*vsentry) runTime, tell func(*vsentry)) {
	for _, s := range d.sentries {
		life := s.life
		d.in(after(s), func() {
			if s.life == life {
				tell(s)
			}
		})
	}
}

// snapshot is the list as it is now, without those that skip names.
func (d *vday) snapshot(skip func(*vworker) bool) []api.Worker {
	var out []api.Worker
	for _, id := range d.order {
		if w := d.workers[id]; w.state != api.Gone && (skip == nil || !skip(w)) {
			out = append(out, w.entry())
		}
	}
	return out
}

func (d *vday) arrive(b *vsub, id string) {
	w := d.workers[id]
	if w == nil || !w.up {
		d.in(way, func() { d.hits["refused"]++; b.s.over(b, logic.ConnectFailed, nil) })
		return
	}
	t := b.t.rec
	p := &d.day.Products[t.Product]
	b.arrival = &SubmissionRecord{Txn: t.ID, Worker: id, Replica: w.place, Build: w.build, WorkerStartedAt: w.started, ReceivedAt: d.now, Result: "lost"}
	b.w = w
	d.rec.Submissions = append(d.rec.Submissions, b.arrival)
	d.ids++
	b.job = uint64(d.ids)
	j := fleet.Job{ID: b.job, Product: t.Product, Work: fleet.Nanos(float64(p.MeanWork) * (0.5 + d.rng.Float64())), From: b.s.n}
	if p.Effect == "referenced" {
		j.DedupKey, j.Memory = t.FirstTryID, fleet.Nanos(p.DedupMemory)
	}
	switch w.m.Submit(fleet.Nanos(d.now), j) {
	case fleet.Refused:
		b.arrival.Rejected, b.arrival.Result = true, "turned away"
		d.in(way, func() { b.s.over(b, logic.Rejected, nil) })
	case fleet.MachineDown:
		from := map[int]time.Duration{}
		for k, v := range w.m.RecentWork() {
			from[k] = time.Duration(v)
		}
		d.rec.OverloadFailures = append(d.rec.OverloadFailures, OverloadFailure{Worker: id, WorkerStartedAt: w.started, At: d.now, WorkByEdge: from})
		w.jobs[b.job] = b
		w.die(api.Gone)
	default:
		w.jobs[b.job] = b
		w.look()
	}
}

// look has the machine looked at when its next job ends.
func (w *vworker) look() {
	d, m := w.d, w.m
	next := runTime(m.NextCompletion())
	if next > d.day.Length+time.Hour {
		return
	}
	d.at(max(d.now, next), func() {
		if w.m != m || !w.up {
			return
		}
		for _, done := range m.Advance(fleet.Nanos(d.now)) {
			b := w.jobs[done.ID]
			if b == nil {
				continue
			}
			delete(w.jobs, done.ID)
			b.arrival.TookEffect, b.arrival.Duplicate, b.arrival.FinishedAt = done.TookEffect(), done.End == fleet.Dropped, d.now
			e := logic.OK
			b.arrival.Result = "ok"
			if done.End == fleet.Failed || w.garbage > 0 && d.rng.Float64() < w.garbage {
				e, b.arrival.Result = logic.ErrorResponse, "failed"
				d.hits["erred"]++
			}
			r := m.Load(fleet.Nanos(d.now))
			load := &logic.Load{Util: r.Util, Queue: r.Queue, Busy: r.Busy}
			if m.Fault.ReportsIdle {
				d.hits["idle"]++
			}
			d.in(way, func() { b.s.over(b, e, load) })
		}
		w.look()
	})
}

// ---- The platform's script ----

func (d *vday) present() logic.ReleaseUpdate {
	n := d.release
	n.Age = logic.Nanos(d.now - d.since)
	return n
}

// push tells all sentries where the release stands, after the news' delay.
func (d *vday) push() {
	if d.stalled {
		d.hits["news lost"]++
		return
	}
	if d.newsLate > d.day.ReleaseUpdateDelay {
		d.hits["news late"]++
	}
	n := d.present()
	d.toAll(func(*vsentry) runTime { return d.newsLate }, func(s *vsentry) { s.tellNews(n, true) })
}

// moves changes where the release stands.
func (d *vday) moves(n logic.ReleaseUpdate) {
	d.before, d.beforeAt = d.release, d.since
	d.release, d.since = n, d.now
	d.push()
}

// stage brings the newest build to a stage: as many places as it has get a machine with it, and the earlier ones drain.
func (d *vday) stage(stage int) {
	d.moves(logic.ReleaseUpdate{Rel: logic.RelID(d.offered), Stage: stage, Phase: logic.OnTrial, Cap: d.day.stageCaps()[stage]})
	want := int(d.day.StageShares[stage]*float64(len(d.places)) + 0.999)
	for i := 0; i < want; i++ {
		d.replace(i, d.offered)
	}
}

// replace boots a machine with a build at a place, and drains what was there.
func (d *vday) replace(i, build int) {
	old := d.places[i]
	if old.build == build && old.state != api.Gone {
		return
	}
	d.in(d.day.BootTime, func() {
		if d.places[i] != old {
			return
		}
		d.places[i] = d.boot(i, build, d.now)
		if old.state == api.Up {
			old.set(api.Draining)
			d.in(d.day.DrainTime, func() {
				if old.state == api.Draining {
					old.die(api.Gone)
				}
			})
		}
	})
}

func (d *vday) goesBack() {
	d.moves(logic.ReleaseUpdate{Rel: logic.RelID(d.offered), Stage: d.release.Stage, Phase: logic.GoingBack})
	for i, w := range d.places {
		if w.build == d.offered {
			d.replace(i, 1)
		}
	}
}

// withdraws ends the way back; the next build follows.
func (d *vday) withdraws() {
	d.moves(logic.ReleaseUpdate{Rel: logic.RelID(d.offered), Stage: d.release.Stage, Phase: logic.Withdrawn})
	d.offered++
}

func (d *vday) releases() {
	d.moves(logic.ReleaseUpdate{Rel: logic.RelID(d.offered), Stage: len(d.day.StageShares) - 1, Phase: logic.Released, Cap: 1})
}

// drainSentry stops a sentry as SIGTERM does, and starts it anew on what it kept.
func (d *vday) drainSentry(s *vsentry) {
	s.taking = false
	life := s.life
	var look func()
	look = func() {
		if s.life != life || s.dead {
			return
		}
		if s.held > 0 {
			d.in(10*ms, look)
			return
		}
		s.end(false)
		d.in(200*ms, func() { s.start(true) })
	}
	d.in(10*ms, look)
}

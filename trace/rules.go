package trace

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"dunegrade/logic"
	"dunegrade/trace/tracepb"
)

// Break is a rule that a trace shows broken.
type Break struct {
	Rule   int
	Sentry uint32
	Txn    string    // its name, "" where it is not about one
	At     time.Time // by the first life's clock
	Text   string
}

func (b Break) String() string {
	txn := ""
	if b.Txn != "" {
		txn = "txn " + b.Txn + ": "
	}
	return fmt.Sprintf("rule %d, %s: %s%s", b.Rule, b.At.UTC().Format(time.RFC3339Nano), txn, b.Text)
}

// RulesPlan says what the rules are held against.
type RulesPlan struct {
	Settings map[string]any // of the module; nil: those that each life was recorded with
	Cores    float64        // of a worker of weight 1; 0: rule 4 is not checked, as no trace tells what a worker can do
}

// RulesReport is what holding the rules against some lives came to.
type RulesReport struct {
	Txns, Submissions, Trials int
	Broken                    []Break
	Not                       []string // what could not be checked, and why
	Clocks                    []Clock
}

// CheckRules holds the five rules against the recorded lives, each sentry's by its own clock, and rule 4, which is about
// all of them together, in the merged order. It trusts the order of a life's records and what they say, and shares no
// code with the module. What it is held against are sockets: the lab's checker.
func CheckRules(lives []*Life, plan RulesPlan, hurt func(path string, d Damage)) (*RulesReport, error) {
	out := &RulesReport{}
	var sentries []*ruled
	for _, l := range lives {
		s, err := newRuled(l, plan, out)
		if err != nil {
			return nil, err
		}
		sentries = append(sentries, s)
	}
	cold := &coldRule{plan: plan, out: out, workers: map[string]*coldWorker{}}
	if plan.Cores <= 0 {
		out.Not = append(out.Not, "rule 4: what a worker can do is in no trace; tell how many cores one has")
	}
	m, err := mergeRecords(lives, hurt, func(life int, at int64, r *Record, worker string) error {
		s := sentries[life]
		s.at = at
		if plan.Cores > 0 {
			cold.record(s, at, r, worker)
		}
		s.record(r, worker)
		return nil
	})
	if err != nil {
		return nil, err
	}
	for _, s := range sentries {
		s.finish()
	}
	out.Clocks = m.Clocks
	slices.SortStableFunc(out.Broken, func(a, b Break) int {
		if a.Rule != b.Rule {
			return a.Rule - b.Rule
		}
		return a.At.Compare(b.At)
	})
	return out, nil
}

// Print writes the report for people.
func (r *RulesReport) Print(w io.Writer) {
	fmt.Fprintf(w, "%d txns, %d submissions, %d of them at a build on trial\n", r.Txns, r.Submissions, r.Trials)
	for _, n := range r.Not {
		fmt.Fprintln(w, "not checked:", n)
	}
	for i, b := range r.Broken {
		if i == 20 {
			fmt.Fprintf(w, "and %d more\n", len(r.Broken)-i)
			break
		}
		fmt.Fprintln(w, b)
	}
	if len(r.Broken) == 0 {
		fmt.Fprintln(w, "no rule is broken")
	}
}

// ruledSub is a submission as the rules see it.
type ruledSub struct {
	worker string
	at     int64
	out    bool
	unseen bool // by its worker
}

type ruledTxn struct {
	serial  uint64
	product int
	key     uint64
	cost    int64
	taken   int64
	expiry  int64
	subs    []ruledSub
	over    int64 // when it ended; 0: it has not
	answers int
	streams bool
}

type ruledWorker struct {
	build int64
	zone  int64
	cell  int64
	up    bool
	gone  int64 // since when it is not up, by this sentry
	start int64 // by the sentry's clock; 0: long past
	told  int64 // when this sentry was told of that start
}

type ruledProduct struct {
	effect, group string
	memory        int64
}

// ruled holds the rules that a sentry keeps alone.
type ruled struct {
	life     *Life
	out      *RulesReport
	set      map[string]any
	products []ruledProduct
	open     map[uint64]*ruledTxn
	workers  map[string]*ruledWorker
	news     tracepb.News
	heard    bool
	wasCap   float64 // the cap before the present one, and when that came
	capAt    int64
	lanes    map[int]*lane
	met      map[uint64]int64 // by key: the build that answered it, while it was on trial
	at       int64            // merged time of the present record
	last     int64
	ended    bool
	partial  bool
	used     int     // by the last submission at a build on trial: how many were in its window
	allowed  float64 // and how many may be
}

// lane counts exposure: of all, or of a product.
type lane struct {
	takes  []taking
	trials map[int64][]int64
}

type taking struct {
	at  int64
	cap float64 // of the trial then
	of  int64   // that build
}

func newRuled(l *Life, plan RulesPlan, out *RulesReport) (*ruled, error) {
	s := &ruled{life: l, out: out, set: plan.Settings, open: map[uint64]*ruledTxn{}, workers: map[string]*ruledWorker{}, lanes: map[int]*lane{},
		met: map[uint64]int64{}}
	if s.set == nil {
		s.set = map[string]any{}
		if err := json.Unmarshal(l.Headers[0].Settings, &s.set); err != nil {
			return nil, fmt.Errorf("trace: the header's settings: %w", err)
		}
	}
	for i := 0; i < int(s.num("products.count")); i++ {
		at := "products." + strconv.Itoa(i) + "."
		s.products = append(s.products, ruledProduct{s.word(at + "effect"), s.word(at + "group"), int64(s.num(at + "memory"))})
	}
	if level := l.Level(); level != LevelWhole {
		s.partial = true
		out.Not = append(out.Not, fmt.Sprintf("rule 5 of sentry %d: not all of its txns are in the file", l.Sentry))
	}
	return s, nil
}

func (s *ruled) num(name string) float64 { v, _ := s.set[name].(float64); return v }
func (s *ruled) word(name string) string { v, _ := s.set[name].(string); return v }
func (s *ruled) flag(name string) bool   { v, _ := s.set[name].(bool); return v }

func (s *ruled) broke(rule int, t *ruledTxn, format string, args ...any) {
	b := Break{Rule: rule, Sentry: s.life.Sentry, At: time.Unix(0, s.at), Text: fmt.Sprintf(format, args...)}
	if t != nil {
		b.Txn = fmt.Sprintf("s%d-%d", s.life.Sentry, t.serial)
	}
	s.out.Broken = append(s.out.Broken, b)
}

// record takes one record of the life.
func (s *ruled) record(r *Record, worker string) {
	s.last = r.At
	switch r.Kind {
	case tracepb.Kind_GAP:
		// What was in hand may have gone on unseen.
		clear(s.open)
		s.out.Not = append(s.out.Not, fmt.Sprintf("sentry %d: %d txns were not recorded, and what was in hand then is left out", s.life.Sentry, r.Token))
		s.partial = true
	case tracepb.Kind_END:
		s.ended = true
	case tracepb.Kind_LIST:
		s.list(r)
	case tracepb.Kind_NEWS:
		s.hear(r)
	case tracepb.Kind_TAKE:
		s.take(r)
	}
	t := s.open[r.Txn]
	if t == nil || r.Txn == 0 {
		return
	}
	switch r.Kind {
	case tracepb.Kind_SUBMIT:
		s.submit(t, r, worker)
	case tracepb.Kind_OUTCOME:
		s.outcome(t, r)
	case tracepb.Kind_STREAMING:
		t.streams = true
		s.answer(t, r.At)
	case tracepb.Kind_DECLINE:
		if p := s.product(t); p.effect == "once-only" && slices.ContainsFunc(t.subs, func(b ruledSub) bool { return !b.unseen }) {
			s.broke(2, t, "declined, though a once-only submission of it may have run")
		}
		s.answer(t, r.At)
	case tracepb.Kind_VOID:
		s.answer(t, r.At)
	case tracepb.Kind_LEFT:
		if t.over == 0 {
			t.over = r.At
		}
	}
	if t.over != 0 && !slices.ContainsFunc(t.subs, func(b ruledSub) bool { return b.out }) {
		delete(s.open, r.Txn)
	}
}

func (s *ruled) product(t *ruledTxn) ruledProduct {
	if t.product < len(s.products) {
		return s.products[t.product]
	}
	return ruledProduct{effect: "once-only"}
}

func (s *ruled) list(r *Record) {
	var l tracepb.List
	if proto.Unmarshal(r.Body, &l) != nil || logic.ListMode(r.Number) == logic.ListUnavailable {
		return
	}
	named := map[string]bool{}
	for _, w := range l.Workers {
		named[w.Id] = true
		x := s.workers[w.Id]
		if x == nil {
			x = &ruledWorker{up: true}
			s.workers[w.Id] = x
		}
		if w.Start != x.start {
			x.told = r.At
		}
		x.build, x.zone, x.cell, x.start = w.Build, w.Zone, w.Cell, w.Start
		s.state(x, logic.State(w.State) == logic.Up, r.At)
	}
	if mode := logic.ListMode(r.Number); mode == logic.Whole || mode == logic.Restored {
		for id, x := range s.workers {
			if !named[id] {
				s.state(x, false, r.At)
			}
		}
	}
}

func (s *ruled) state(x *ruledWorker, up bool, at int64) {
	if x.up && !up {
		x.gone = at
	}
	x.up = up
}

func (s *ruled) hear(r *Record) {
	var n tracepb.News
	if proto.Unmarshal(r.Body, &n) != nil || logic.Ending(n.Ending) != logic.OK {
		return
	}
	if n.Build != s.news.Build || n.Phase == int64(logic.GoingBack) || n.Phase == int64(logic.Withdrawn) {
		clear(s.met)
	}
	s.wasCap, s.capAt = s.news.Cap, r.At
	s.news = tracepb.News{Build: n.Build, Stage: n.Stage, Phase: n.Phase, Cap: n.Cap}
	s.heard = true
}

func (s *ruled) take(r *Record) {
	s.out.Txns++
	s.open[r.Txn] = &ruledTxn{serial: r.Serial, product: int(r.Product), key: r.Key, cost: int64(r.Cost), taken: r.At, expiry: r.At + int64(r.Patience)}
	l := s.lane(int(r.Product))
	cap := s.news.Cap
	if s.news.Phase == int64(logic.Released) {
		cap = 0
	}
	l.takes = append(l.takes, taking{r.At, cap, s.news.Build})
}

func (s *ruled) lane(product int) *lane {
	if s.word("release.counts") != "product" {
		product = -1
	}
	if s.lanes[product] == nil {
		s.lanes[product] = &lane{trials: map[int64][]int64{}}
	}
	return s.lanes[product]
}

func (s *ruled) answer(t *ruledTxn, at int64) {
	t.answers++
	if t.answers > 1 {
		s.broke(1, t, "answered %d times", t.answers)
	}
	if late := at - t.expiry - int64(s.num("rules.answer-slack")); late > 0 {
		s.broke(1, t, "answered %v after its expiry", time.Duration(late))
	}
	if t.over == 0 {
		t.over = at
	}
}

func (s *ruled) outcome(t *ruledTxn, r *Record) {
	if int(r.Number) >= len(t.subs) {
		return
	}
	b := &t.subs[r.Number]
	b.out = false
	e := logic.Ending(r.Ending)
	b.unseen = e == logic.Rejected || e == logic.Skipped || e == logic.ConnectFailed
	if r.Token == 0 || t.streams {
		return
	}
	s.answer(t, r.At)
	if w := s.workers[b.worker]; e == logic.OK && r.Token < 300 && w != nil && t.key != 0 && w.build == s.news.Build && s.flag("release.one-way") &&
		(s.news.Phase == int64(logic.OnTrial) || s.news.Phase == int64(logic.Released)) {
		s.met[t.key] = w.build
	}
}

// submit holds all rules on what may be sent.
func (s *ruled) submit(t *ruledTxn, r *Record, worker string) {
	s.out.Submissions++
	if t.over != 0 && r.At >= t.over && t.answers > 0 {
		s.broke(1, t, "sent to %s after its end", worker)
	}
	w := s.workers[worker]
	if w == nil {
		s.broke(3, t, "sent to %s, which no list had named", worker)
		w = &ruledWorker{up: true}
		s.workers[worker] = w
	}
	if gone := r.At - w.gone; !w.up && gone > int64(s.num("rules.drain-grace")) {
		s.broke(3, t, "sent to %s %v after the sentry was told that it goes", worker, time.Duration(gone))
	}
	p := s.product(t)
	for _, b := range t.subs {
		if b.unseen || p.effect == "inquiry-like" {
			continue
		}
		if p.effect == "once-only" {
			s.broke(2, t, "once-only, sent to %s though its submission to %s may have run", worker, b.worker)
			break
		}
		if r.At-b.at > p.memory {
			s.broke(2, t, "referenced, sent again %v after a submission; workers remember %v", time.Duration(r.At-b.at), time.Duration(p.memory))
			break
		}
		if o := s.workers[b.worker]; o != nil && (p.group == "zone" && o.zone != w.zone || p.group == "cell" && o.cell != w.cell) {
			s.broke(2, t, "referenced, sent to %s, which does not know what %s has done", worker, b.worker)
			break
		}
	}
	t.subs = append(t.subs, ruledSub{worker: worker, at: r.At, out: true})
	if s.heard {
		s.exposure(t, r, w.build)
	}
	if m, met := s.met[t.key]; met && t.key != 0 && w.build < m {
		s.broke(5, t, "its key was answered by build %d, and it went to %s of build %d", m, worker, w.build)
	}
}

// exposure is rule 5 at a submission.
func (s *ruled) exposure(t *ruledTxn, r *Record, build int64) {
	if build < s.news.Build || build == s.news.Build && s.news.Phase == int64(logic.Released) {
		return
	}
	s.out.Trials++
	// Rises of the cap count at once, falls when the grace is over.
	cap, stage := s.news.Cap, s.news.Stage
	if build > s.news.Build {
		cap, stage = s.num("release.caps.0"), 0
	}
	if s.capAt > r.At-int64(s.num("rules.drain-grace")) {
		cap = max(cap, s.wasCap)
	}
	if cap <= 0 {
		s.broke(5, t, "sent to build %d, on trial at a cap of 0", build)
		return
	}
	if p := s.product(t); float64(stage) < s.num("release.guarded-stages") && p.effect != "inquiry-like" {
		s.broke(5, t, "a txn with an effect, sent to build %d in stage %d, which is guarded", build, stage)
	}
	if s.partial {
		return
	}
	l := s.lane(t.product)
	from := r.At - int64(s.num("release.window"))
	list := append(l.trials[build], r.At)
	for len(list) > 0 && list[0] <= from {
		list = list[1:]
	}
	l.trials[build] = list
	for len(l.takes) > 0 && l.takes[0].at <= from {
		l.takes = l.takes[1:]
	}
	allowed := s.num("release.free")
	for _, x := range l.takes {
		if x.of == build {
			allowed += max(cap, x.cap)
		} else {
			allowed += cap
		}
	}
	s.used, s.allowed = len(list), allowed
	if n := float64(len(list)); n > allowed+1e-9 {
		s.broke(5, t, "submission %g to build %d within %v; allowed are %.2f = %g free and a cap of %g on %d txns", n, build,
			time.Duration(s.num("release.window")), allowed, s.num("release.free"), cap, len(l.takes))
	}
}

// finish looks at what is left over.
func (s *ruled) finish() {
	slack := int64(s.num("rules.answer-slack")) + int64(100*time.Millisecond)
	for _, t := range s.open {
		if t.over == 0 && (s.ended || s.last > t.expiry+slack) {
			s.broke(1, t, "no end of it was recorded")
		}
	}
}

// coldRule is rule 4: what all sentries together send to a worker that has just started.
type coldRule struct {
	plan    RulesPlan
	out     *RulesReport
	workers map[string]*coldWorker
}

type coldWorker struct {
	start  int64 // merged time
	sent   []coldSent
	over   int64 // when it was sent too much; 0: it was not
	told   bool  // two thirds of it by sentries that knew of the start
	reason string
	broken bool
}

type coldSent struct{ at, cost int64 }

// record watches submissions at workers that are cold, and whether they then break.
func (c *coldRule) record(s *ruled, at int64, r *Record, worker string) {
	switch r.Kind {
	case tracepb.Kind_SUBMIT:
		t, w := s.open[r.Txn], s.workers[worker]
		if t == nil || w == nil || w.start == 0 {
			return
		}
		cold := s.num("rules.cold")
		age := float64(r.At - w.start)
		if age < 0 || age >= cold {
			return
		}
		x := c.workers[worker]
		start := at - int64(age)
		if x == nil || start-x.start > int64(cold) {
			x = &coldWorker{start: start}
			c.workers[worker] = x
		}
		x.sent = append(x.sent, coldSent{at, t.cost})
		after := int64(s.num("rules.fall-after"))
		for len(x.sent) > 0 && at-x.sent[0].at > after {
			x.sent = x.sent[1:]
		}
		sum, most := int64(0), int64(0)
		for _, y := range x.sent {
			sum, most = sum+y.cost, max(most, y.cost)
		}
		ramp := s.num("rules.cold-from") + (1-s.num("rules.cold-from"))*age/cold
		can := c.plan.Cores * ramp * float64(after)
		if x.over == 0 && float64(sum) > s.num("rules.fall-multiple")*can+2*float64(most) {
			x.over = at
			x.reason = fmt.Sprintf("worker %s, %v after its start, was sent work of %v within %v, and can do %v in it", worker,
				time.Duration(age).Round(time.Millisecond), time.Duration(sum).Round(time.Millisecond), time.Duration(after),
				time.Duration(can).Round(time.Millisecond))
		}
	case tracepb.Kind_OUTCOME:
		// Much work alone is no fall: costs are guesses. A worker that fell breaks what it holds.
		t := s.open[r.Txn]
		if t == nil || int(r.Number) >= len(t.subs) || logic.Ending(r.Ending) != logic.Disconnected {
			return
		}
		worker := t.subs[r.Number].worker
		if x := c.workers[worker]; x != nil && x.over != 0 && !x.broken && at-x.over < int64(500*time.Millisecond) {
			x.broken = true
			c.out.Broken = append(c.out.Broken, Break{Rule: 4, Sentry: s.life.Sentry, At: time.Unix(0, x.over), Text: x.reason})
		}
	}
}

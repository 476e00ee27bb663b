package lab

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"dunegrade/api"
)

// Slacks of the checker, for the way between sockets and records, and for what a busy machine adds. They widen what
// is allowed, never what counts.
const (
	checkSlack    = 150 * time.Millisecond // a final answer after the client's patience
	afterSlack    = 150 * time.Millisecond // a submission that was on its way when the txn ended
	drainSlack    = 100 * time.Millisecond // on top of the grace of drains
	exposureSlack = 200 * time.Millisecond // between what an edge was told and what it did
)

// slacks are what a checker allows for. A day under a clock that is handed in needs none but the way of a message.
type slacks struct{ answer, after, drain, exposure time.Duration }

var onSockets = slacks{checkSlack, afterSlack, drainSlack, exposureSlack}

// Violation is a broken rule, with the story of a txn that shows it.
type Violation struct {
	Rule  int
	At    time.Duration
	Text  string
	Story []string
}

func (v Violation) String() string {
	return fmt.Sprintf("rule %d at %.3fs: %s\n    %s", v.Rule, v.At.Seconds(), v.Text, strings.Join(v.Story, "\n    "))
}

// checker holds the rules against a record. It reads nothing that an edge says of itself but its answers.
type checker struct {
	day      *Day
	rec      *Record
	byTxn    map[uint64][]*SubmissionRecord
	txns     map[uint64]*TxnRecord
	lives    map[[2]int]Incarnation
	releases map[int][]EdgeUpdate // by edge
	lists    map[int][]EdgeUpdate
	slacks
	out []Violation
}

// Check holds the five rules against what went over the sockets, and gives every break found, by rule and time.
func Check(day *Day, rec *Record) []Violation { return check(day, rec, onSockets) }

func check(day *Day, rec *Record, allow slacks) []Violation {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	c := &checker{day: day, rec: rec, byTxn: map[uint64][]*SubmissionRecord{}, txns: map[uint64]*TxnRecord{}, lives: map[[2]int]Incarnation{},
		releases: map[int][]EdgeUpdate{}, lists: map[int][]EdgeUpdate{}, slacks: allow}
	for _, t := range rec.Txns {
		c.txns[t.ID] = t
	}
	for _, a := range rec.Submissions {
		c.byTxn[a.Txn] = append(c.byTxn[a.Txn], a)
	}
	for _, list := range c.byTxn {
		sort.SliceStable(list, func(i, j int) bool { return list[i].ReceivedAt < list[j].ReceivedAt })
	}
	for _, l := range rec.Incarnations {
		c.lives[[2]int{l.Edge, l.Number}] = l
	}
	for _, t := range rec.Updates {
		if t.Release != nil {
			c.releases[t.Edge] = append(c.releases[t.Edge], t)
		} else {
			c.lists[t.Edge] = append(c.lists[t.Edge], t)
		}
	}
	for _, m := range []map[int][]EdgeUpdate{c.releases, c.lists} {
		for _, list := range m {
			sort.SliceStable(list, func(i, j int) bool { return list[i].At < list[j].At })
		}
	}
	c.answers()
	c.effects()
	c.drains()
	c.falls()
	c.exposure()
	c.oneWay()
	sort.SliceStable(c.out, func(i, j int) bool {
		return c.out[i].Rule < c.out[j].Rule || c.out[i].Rule == c.out[j].Rule && c.out[i].At < c.out[j].At
	})
	return c.out
}

func (c *checker) break_(rule int, when time.Duration, t *TxnRecord, format string, args ...any) {
	v := Violation{Rule: rule, At: when, Text: fmt.Sprintf(format, args...)}
	if t != nil {
		v.Story = c.story(t)
	}
	c.out = append(c.out, v)
}

// story tells all that is known of a txn.
func (c *checker) story(t *TxnRecord) []string {
	s := []string{fmt.Sprintf("txn %d (%s, key %d) sent to edge %d at %.3fs, patience until %.3fs", t.ID, c.day.Products[t.Product].Name,
		t.Key, t.Edge, t.SentAt.Seconds(), t.Deadline.Seconds())}
	for _, a := range c.byTxn[t.ID] {
		s = append(s, fmt.Sprintf("%.3fs at worker %s of build %d: %s (began %t, ended %.3fs)", a.ReceivedAt.Seconds(), a.Worker, a.Build, a.Result,
			a.TookEffect, a.FinishedAt.Seconds()))
	}
	switch {
	case t.AnsweredAt > 0:
		s = append(s, fmt.Sprintf("answered at %.3fs: %d %s", t.AnsweredAt.Seconds(), t.Status, t.Outcome))
	case t.LeftAt > 0:
		s = append(s, fmt.Sprintf("client left at %.3fs", t.LeftAt.Seconds()))
	default:
		s = append(s, "no answer: "+t.Failure)
	}
	return s
}

// cut tells whether the process that had the txn ended with it: what a killed edge held is not its duty. One that
// was asked to stop is excused only for what no worker ever saw and the client sent as it closed.
func (c *checker) cut(t *TxnRecord) bool {
	l, known := c.lives[[2]int{t.Edge, t.Incarnation}]
	if !known || l.EndedAt == 0 {
		return false
	}
	if l.Killed {
		return t.SentAt <= l.EndedAt+c.after && t.Deadline+c.slacks.answer >= l.EndedAt
	}
	return l.StopRequestedAt > 0 && t.SentAt >= l.StopRequestedAt-c.after && len(c.byTxn[t.ID]) == 0
}

// answers is rule 1: exactly one final answer in time, and nothing sent after.
func (c *checker) answers() {
	for _, t := range c.rec.Txns {
		if t.ExtraBytes || t.ForeignAnswer {
			c.break_(1, t.AnsweredAt, t, "more than one answer, or another txn's")
		}
		switch {
		case t.Failure == "broken" && !c.cut(t):
			c.break_(1, t.SentAt, t, "the connection ended without an answer")
		case t.LeftAt >= t.Deadline && t.LeftAt > 0 && !c.cut(t):
			c.break_(1, t.Deadline, t, "no answer within the client's patience")
		case t.AnsweredAt > t.Deadline+c.slacks.answer:
			c.break_(1, t.AnsweredAt, t, "answered %v after the client's patience", t.AnsweredAt-t.Deadline)
		}
		over := t.Deadline
		if t.AnsweredAt > 0 {
			over = min(over, t.AnsweredAt)
		}
		if t.LeftAt > 0 {
			over = min(over, t.LeftAt)
		}
		if t.Failure != "" {
			continue // when it ended is not known
		}
		for _, a := range c.byTxn[t.ID] {
			if a.ReceivedAt > over+c.after {
				c.break_(1, a.ReceivedAt, t, "sent to a worker %v after its end", a.ReceivedAt-over)
			}
		}
	}
}

// effects is rule 2: no effect twice.
func (c *checker) effects() {
	ran := map[uint64]int{}
	for _, t := range c.rec.Txns {
		p := &c.day.Products[t.Product]
		if p.Effect == "inquiry-like" {
			continue
		}
		var first *SubmissionRecord // that may have run, as far as the edge can know
		for _, a := range c.byTxn[t.ID] {
			if first != nil && p.Effect == "once-only" {
				c.break_(2, a.ReceivedAt, t, "once-only, sent again though it may have run")
			}
			if first != nil && p.Effect == "referenced" && a.ReceivedAt-first.ReceivedAt > p.DedupMemory+c.drain {
				c.break_(2, a.ReceivedAt, t, "referenced, sent again %v after its first submission; workers remember %v", a.ReceivedAt-first.ReceivedAt, p.DedupMemory)
			}
			if !a.Rejected && first == nil {
				first = a
			}
			if a.TookEffect {
				ran[t.FirstTryID]++
			}
		}
		if t.Outcome == "declined" && p.Effect == "once-only" && first != nil && first.ReceivedAt < t.AnsweredAt {
			c.break_(2, t.AnsweredAt, t, "once-only, declined though it may have run")
		}
		if p.Effect == "once-only" && ran[t.FirstTryID] > 1 {
			c.break_(2, t.SentAt, t, "a once-only effect took place %d times", ran[t.FirstTryID])
			ran[t.FirstTryID] = -1000
		}
	}
}

// drains is rule 3: nothing new to a worker after the grace from when this edge was told.
func (c *checker) drains() {
	type state struct {
		at      time.Duration
		gone    bool
		started time.Duration
	}
	for edge, list := range c.lists {
		// Per life of the edge, what it was told of each worker in order.
		for key, life := range c.lives {
			if key[0] != edge {
				continue
			}
			till := life.EndedAt
			if till == 0 {
				till = 1 << 62
			}
			told := map[string][]state{}
			for i := 0; i < len(list); i++ {
				t := list[i]
				if t.At < life.StartedAt || t.At > till {
					continue
				}
				if t.FullList {
					has := map[string]bool{}
					for k := i + 1; k < len(list) && list[k].At == t.At && !list[k].FullList; k++ {
						has[list[k].Worker] = true
					}
					for w, s := range told {
						if !has[w] && !s[len(s)-1].gone {
							told[w] = append(s, state{t.At, true, 0})
						}
					}
					continue
				}
				told[t.Worker] = append(told[t.Worker], state{t.At, t.State != api.Up, t.Started})
			}
			for _, a := range c.rec.Submissions {
				t := c.txns[a.Txn]
				if t == nil || t.Edge != edge || t.Incarnation != key[1] {
					continue
				}
				var last *state
				back := false
				for i := range told[a.Worker] {
					s := &told[a.Worker][i]
					if s.at <= a.ReceivedAt-c.day.DrainGrace-c.drain {
						last, back = s, false
					} else if s.at <= a.ReceivedAt+c.drain && !s.gone {
						back = true
					}
				}
				if last != nil && last.gone && !back {
					c.break_(3, a.ReceivedAt, t, "sent to worker %s %v after the edge was told that it goes", a.Worker, a.ReceivedAt-last.at)
				}
			}
		}
	}
}

// falls is rule 4: no cold worker pushed over. Two thirds of the work must have come from edges told of its start.
func (c *checker) falls() {
	for _, f := range c.rec.OverloadFailures {
		all, told := time.Duration(0), time.Duration(0)
		for edge, sum := range f.WorkByEdge {
			all += sum
			for _, t := range c.lists[edge] {
				if t.Worker == f.Worker && t.Started == f.WorkerStartedAt && t.At <= f.At {
					told += sum
					break
				}
			}
		}
		if all > 0 && 3*told >= 2*all {
			c.break_(4, f.At, nil, "worker %s, started at %.3fs, was pushed over by %v of work from edges %v", f.Worker, f.WorkerStartedAt.Seconds(),
				all, f.WorkByEdge)
		}
	}
}

// possible gives what an edge may have held for the newest news at a moment, widened by the slack and, backwards, by
// the grace as well: a lower cap binds after it.
func (c *checker) possible(edge int, life Incarnation, when time.Duration) []EdgeUpdate {
	var out []EdgeUpdate
	list := c.releases[edge]
	early, late := when-c.day.DrainGrace-c.slacks.exposure, when+c.slacks.exposure
	for i, t := range list {
		if t.At > late || t.At < life.StartedAt {
			continue
		}
		if i+1 < len(list) && list[i+1].At < early && list[i+1].At >= life.StartedAt {
			continue // replaced long before
		}
		out = append(out, t)
	}
	return out
}

// exposure is rule 5: submissions at a build on trial within the cap, in every window.
func (c *checker) exposure() {
	type lane struct{ edge, life, product int }
	type shown struct {
		*SubmissionRecord
		build int
	}
	subs, took := map[lane][]*SubmissionRecord{}, map[lane][]time.Duration{}
	laneOf := func(t *TxnRecord) lane {
		l := lane{t.Edge, t.Incarnation, -1}
		if c.day.ExposureScope == "product" {
			l.product = t.Product
		}
		return l
	}
	for _, t := range c.rec.Txns {
		if t.Failure != "refused" {
			l := laneOf(t)
			took[l] = append(took[l], t.SentAt)
		}
		for _, a := range c.byTxn[t.ID] {
			l := laneOf(t)
			subs[l] = append(subs[l], a)
		}
	}
	for l, list := range subs {
		life := c.lives[[2]int{l.edge, l.life}]
		sort.Slice(list, func(i, j int) bool { return list[i].ReceivedAt < list[j].ReceivedAt })
		sort.Slice(took[l], func(i, j int) bool { return took[l][i] < took[l][j] })
		var trial []shown
		for _, a := range list {
			build := c.buildOf(l.edge, life, a)
			onTrial, cap, from := true, 0.0, a.ReceivedAt-c.day.ExposureWindow
			known := c.possible(l.edge, life, a.ReceivedAt)
			guarded := len(known) > 0
			for _, t := range known {
				r := t.Release
				if build < r.Build || build == r.Build && r.Phase == api.Released {
					onTrial = false
				}
				x, stage := r.Cap, r.Stage
				if build > r.Build { // not announced: as in the first stage
					x, stage = c.day.stageCaps()[0], 0
				}
				cap = max(cap, x)
				guarded = guarded && stage < c.day.GuardedStages
			}
			if !onTrial || len(known) == 0 {
				continue
			}
			trial = append(trial, shown{a, build})
			t := c.txns[a.Txn]
			if cap == 0 {
				c.break_(5, a.ReceivedAt, t, "sent to build %d on trial at a cap of 0", build)
				continue
			}
			if guarded && c.day.Products[t.Product].Effect != "inquiry-like" {
				c.break_(5, a.ReceivedAt, t, "a txn with an effect sent to build %d in a guarded stage", build)
			}
			n := 0
			for k := len(trial) - 1; k >= 0 && trial[k].ReceivedAt > from; k-- {
				if trial[k].build == build {
					n++
				}
			}
			all := 0
			for k := sort.Search(len(took[l]), func(k int) bool { return took[l][k] > a.ReceivedAt }) - 1; k >= 0 &&
				took[l][k] > from-c.slacks.exposure; k-- {
				all++
			}
			wide := 1 + 2*c.slacks.exposure.Seconds()/c.day.ExposureWindow.Seconds()
			allowed := c.day.FreeSubmissions*float64(c.day.Loops)*wide + cap*float64(all)
			if float64(n) > allowed+1e-9 {
				c.break_(5, a.ReceivedAt, t, "%d submissions to build %d in %v; allowed %.1f = %g free + %g of %d txns", n, build, c.day.ExposureWindow, allowed,
					c.day.FreeSubmissions, cap, all)
			}
		}
	}
}

// buildOf is the build that counts for a submission: the one that ran, unless the edge's list had not shown it yet.
func (c *checker) buildOf(edge int, life Incarnation, a *SubmissionRecord) int {
	last := a.Build
	for _, t := range c.lists[edge] {
		if t.Worker != a.Worker || t.At < life.StartedAt || t.At > a.ReceivedAt+c.slacks.exposure {
			continue
		}
		if t.Build == a.Build && t.At >= a.ReceivedAt-c.slacks.exposure {
			return a.Build
		}
		if t.At <= a.ReceivedAt && t.Build > 0 {
			last = t.Build
		}
	}
	return last
}

// oneWay is the rest of rule 5: a key that the new build has answered goes to no earlier one until it goes back.
func (c *checker) oneWay() {
	if !c.day.OneWayKeys {
		return
	}
	type at struct {
		edge, life int
		key        uint64
	}
	met := map[at][]*TxnRecord{}
	for _, t := range c.rec.Txns {
		if t.AnsweredAt > 0 && t.Status == 200 && t.Build > 0 {
			k := at{t.Edge, t.Incarnation, t.Key}
			met[k] = append(met[k], t)
		}
	}
	for _, t := range c.rec.Txns {
		for _, a := range c.byTxn[t.ID] {
			for _, m := range met[at{t.Edge, t.Incarnation, t.Key}] {
				if m.Build <= a.Build || m.AnsweredAt+c.slacks.exposure >= a.ReceivedAt {
					continue
				}
				life := c.lives[[2]int{t.Edge, t.Incarnation}]
				binds := true
				// Every state that the edge may have held from the answer on must bind the key.
				for _, k := range c.between(t.Edge, life, m.AnsweredAt-c.slacks.exposure, a.ReceivedAt+c.slacks.exposure) {
					r := k.Release
					if r.Build != m.Build || r.Phase != api.OnTrial && r.Phase != api.Released {
						binds = false
					}
				}
				if binds {
					c.break_(5, a.ReceivedAt, t, "key %d, answered by build %d through this edge at %.3fs, sent to build %d", t.Key, m.Build,
						m.AnsweredAt.Seconds(), a.Build)
					break
				}
			}
		}
	}
}

// between gives all news that an edge may have held within a span.
func (c *checker) between(edge int, life Incarnation, from, till time.Duration) []EdgeUpdate {
	var out []EdgeUpdate
	list := c.releases[edge]
	for i, t := range list {
		if t.At < life.StartedAt || t.At > till {
			continue
		}
		if i+1 < len(list) && list[i+1].At < from {
			continue
		}
		out = append(out, t)
	}
	return out
}

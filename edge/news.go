package edge

import (
	"context"
	"errors"
	"time"

	"dunegrade/api"
	"dunegrade/logic"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
)

// Workers takes a list event. A line that makes no sense is named and changes nothing, but that what it takes out of
// service goes out of service; the others count.
func (p *Process) Workers(e api.WorkersEvent) {
	lines := make([]api.Worker, 0, len(e.Workers))
	p.mu.Lock()
	for _, w := range e.Workers {
		if err := w.Validate(); err != nil {
			p.log.Error("line of the list not heeded", zap.Uint64("revision", e.Revision), zap.Error(err))
			held, known := p.workers[w.ID]
			if !known {
				continue
			}
			switch w.State {
			case api.Up:
			case "": // Danger: kept as it is, it would have the whole list refused at the next start
				held.State = api.Draining
			default:
				held.State = w.State
			}
			w = held
		}
		lines = append(lines, w)
	}
	e.Workers = lines
	if e.Type == api.Whole {
		clear(p.workers)
	}
	for _, w := range e.Workers {
		if w.State == api.Gone {
			delete(p.workers, w.ID)
		} else {
			p.workers[w.ID] = w
		}
	}
	p.clockOffset = e.Now - time.Now().UnixNano()
	p.mu.Unlock()
	mode := logic.Changes
	if e.Type == api.Whole {
		mode = logic.Whole
	}
	for _, l := range p.loops {
		l.post(func() { l.applyWorkerList(mode, e) })
	}
	p.listReceived.Store(true)
	p.scheduleSave()
}

var stateByName = map[string]logic.State{api.Up: logic.Up, api.Draining: logic.Draining, api.Gone: logic.Gone}

// applyWorkerList hands a applyWorkerList event to the module, in this host's numbers and clock.
func (l *loop) applyWorkerList(mode logic.ListMode, e api.WorkersEvent) {
	list := make([]logic.Worker, 0, len(e.Workers))
	listed := map[logic.WorkerID]bool{}
	for _, w := range e.Workers {
		id := logic.WorkerID(w.ID)
		listed[id] = true
		start := l.workerStartTime(id, w, e.Now)
		state, known := stateByName[w.State]
		if !known {
			state = logic.Draining // a standing that a newer planner knows gets nothing new
		}
		list = append(list, logic.Worker{ID: id, Zone: logic.ZoneID(lookupID(l.p.zoneIDs, w.Zone)), Kind: logic.KindID(lookupID(l.p.kindIDs, w.Kind)),
			Cell: w.Cell, State: state, Weight: w.Weight, Rel: logic.RelID(w.Build), Start: start})
		pool := l.poolFor(id, w.Address)
		if pool.removed = state == logic.Gone; pool.removed {
			delete(l.workerStarts, id)
		}
		if state != logic.Up {
			l.endPoolWaiters(pool)
		}
	}
	if mode == logic.Whole {
		for id, pool := range l.pools {
			if !listed[id] {
				pool.removed = true
				delete(l.workerStarts, id)
				l.endPoolWaiters(pool)
			}
		}
	}
	l.listSeen = true
	l.listCurrent = l.listCurrent || mode != logic.Restored
	l.deliverWorkers(mode, list)
	for id, pool := range l.pools {
		if pool.removed {
			l.closeIdleConns(pool)
			if pool.numConns == 0 && len(pool.waiting) == 0 && pool.numDialing == 0 {
				delete(l.pools, id)
			}
		}
	}
}

// workerStartTime gives a worker's start by this host's clock, the same for each telling of one process. Danger: a process that
// took another's place without a start of its own would pass for warm, and answer for what that one did. So where the
// address or the build has changed, or an id appears after the first list, what is not told to have workerStartTime earlier
// counts as workerStartTime now.
func (l *loop) workerStartTime(id logic.WorkerID, w api.Worker, platform int64) logic.Nanos {
	was, known := l.workerStarts[id]
	if known && (w.State != api.Up || was.reported == w.StartedAt && was.address == w.Address && was.build == w.Build) {
		return was.startedAt
	}
	is := workerStart{reported: w.StartedAt, address: w.Address, build: w.Build}
	switch {
	case w.StartedAt == 0 && l.startTimesReported: // each start is told
	case w.StartedAt != 0 && (!known || was.reported != w.StartedAt || l.startTimesReported):
		// The clocks differ, the age does not; it is taken once, or each telling would look like a new start.
		is.startedAt = l.now - logic.Nanos(max(0, platform-w.StartedAt))
	case known || l.listSeen:
		is.startedAt = l.now
	}
	l.workerStarts[id] = is
	return is.startedAt
}

// lookupID gives the number of a zone or kind. Danger: a name that the settings lack must not pass for the first of
// them, or a repeat that may go to workers of the same zone only would leave it; so it gets a number of its own.
func lookupID(names map[string]int, name string) int {
	if n, known := names[name]; known || len(names) == 0 && name == "" {
		return n
	}
	return 1<<16 + int(xxhash.Sum64String(name)>>34)
}

// poolFor gives the pool of a worker at its address; a worker that has moved gets a new one.
func (l *loop) poolFor(id logic.WorkerID, address string) *pool {
	p := l.pools[id]
	if p == nil || p.address != address {
		if p != nil {
			p.removed = true
			l.closeIdleConns(p)
			l.endPoolWaiters(p)
		}
		p = &pool{id: id, address: address}
		l.pools[id] = p
	}
	return p
}

var phaseByName = map[string]logic.Phase{api.OnTrial: logic.OnTrial, api.GoingBack: logic.GoingBack,
	api.Released: logic.Released, api.Withdrawn: logic.Withdrawn}

func toReleaseUpdate(e api.ReleaseEvent, answer bool) logic.ReleaseUpdate {
	return logic.ReleaseUpdate{Stage: e.Release.Stage, VoteReply: answer, Rel: logic.RelID(e.Release.Build), Cap: e.Release.Cap,
		Phase: phaseByName[e.Release.Phase], Age: logic.Nanos(max(0, e.Now-e.Release.Since))}
}

// acceptRelease notes where the newest build stands, as pushed or in answer to a vote, and passes it on where it counts; it tells
// whether it did. Danger: answers and pushes come on connections of their own, so either may have been overtaken. What
// began before that which is in force, by the platform's clock, must not loosen it again; what tightens is always
// heeded. It is passed on under the lock, or two that come at once would reach a loop in the other order.
func (p *Process) acceptRelease(r api.Release, pass func()) bool {
	if err := r.Validate(); err != nil {
		p.log.Error("news of a release not heeded", zap.Error(err))
		return false
	}
	back := func(phase string) bool { return phase == api.GoingBack || phase == api.Withdrawn }
	p.mu.Lock()
	was := p.release
	overtaken := r.Since < was.Since && (r.Build < was.Build || r.Build == was.Build &&
		(r.Cap > was.Cap || back(was.Phase) && !back(r.Phase)))
	if !overtaken {
		p.release = r
		pass()
	}
	p.mu.Unlock()
	if overtaken {
		p.log.Warn("news of a release was overtaken, not heeded", zap.Int("build", r.Build), zap.Int("stage", r.Stage),
			zap.String("phase", r.Phase), zap.Float64("cap", r.Cap))
	} else if r != was {
		p.scheduleSave()
	}
	return !overtaken
}

func (p *Process) Release(e api.ReleaseEvent) {
	n := toReleaseUpdate(e, false)
	p.acceptRelease(e.Release, func() {
		for _, l := range p.loops {
			l.post(func() { l.deliverRelease(n) })
		}
	})
}

func (p *Process) Report(r api.Report) {
	product, known := p.productIDs[r.Product]
	if !known {
		return
	}
	for _, l := range p.loops {
		if l.sentryIndex == r.Sentry || len(p.loops) == 1 {
			l.post(func() {
				l.deliverContested(logic.ProductID(product), logic.WorkerID(r.Worker), logic.Nanos(max(0, r.Age)))
			})
		}
	}
}

func (p *Process) Tally(t api.Tally) {
	product, known := p.productIDs[t.Product]
	if !known {
		return
	}
	for _, l := range p.loops {
		l.post(func() {
			l.deliverTally(logic.Tally{Rel: logic.RelID(t.Build), Product: logic.ProductID(product), Many: t.Many, Bad: t.Bad,
				Mean: logic.Nanos(t.Mean)})
		})
	}
}

var verdictNames = map[logic.Verdict]string{logic.VerdictNone: api.VoteNone, logic.VerdictOn: api.VoteOn, logic.VerdictHold: api.VoteHold,
	logic.VerdictBack: api.VoteBack}

// castVote casts the sentry's castVote beside the loop, one at a time; its answer comes back as news.
func (l *loop) castVote(v logic.Verdict, rel logic.RelID, stage int) {
	if l.voteInFlight || l.stopping {
		return
	}
	l.voteInFlight = true
	wait := time.Duration(l.p.cfg.Module["release.vote-timeout"].(float64))
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		ctx, stop := context.WithTimeout(context.Background(), wait)
		defer stop()
		go func() {
			select {
			case <-l.quit:
				stop()
			case <-ctx.Done():
			}
		}()
		e, err := l.p.source.Vote(ctx, api.Vote{Edge: l.p.cfg.Name, Sentry: l.sentryIndex, Verdict: verdictNames[v],
			Build: int(rel), Stage: stage})
		news := toReleaseUpdate(e, true)
		pass := func() {
			l.post(func() {
				l.voteInFlight = false
				l.deliverRelease(news)
			})
		}
		if err == nil && l.p.acceptRelease(e.Release, pass) {
			return
		}
		switch {
		case errors.Is(err, api.ErrStaleVote):
			news.Ending = logic.Skipped
		case errors.Is(err, api.ErrTooManyVotes):
			news.Ending = logic.Rejected
		case errors.Is(err, api.ErrVoteOutcomeUnknown):
			news.Ending = logic.TimedOut
		default:
			news.Ending = logic.ErrorResponse
		}
		pass()
	}()
}

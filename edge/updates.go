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

// Workers applies a worker list event. An invalid entry is logged and changes nothing, except that it still takes its worker
// out of service if it says so; the valid entries are applied.
func (p *Process) Workers(e api.WorkersEvent) {
	valid := make([]api.Worker, 0, len(e.Workers))
	p.mu.Lock()
	for _, w := range e.Workers {
		if err := w.Validate(); err != nil {
			p.log.Error("line of the list not heeded", zap.Uint64("revision", e.Revision), zap.Error(err))
			current, known := p.workers[w.ID]
			if !known {
				continue
			}
			switch w.State {
			case api.Up:
			case "": // an empty state would make the saved list invalid as a whole at the next start
				current.State = api.Draining
			default:
				current.State = w.State
			}
			w = current
		}
		valid = append(valid, w)
	}
	e.Workers = valid
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

// applyWorkerList passes a list event to the module, translated to its ids and to the local clock.
func (l *loop) applyWorkerList(mode logic.ListMode, e api.WorkersEvent) {
	list := make([]logic.Worker, 0, len(e.Workers))
	listed := map[logic.WorkerID]bool{}
	for _, w := range e.Workers {
		id := logic.WorkerID(w.ID)
		listed[id] = true
		start := l.workerStartTime(id, w, e.Now)
		state, known := stateByName[w.State]
		if !known {
			state = logic.Draining // a state added by a newer platform: the worker gets no new txns
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

// workerStartTime returns a worker's start by the local clock, the same each time one process is reported. A process that
// replaces another without a start time of its own would be taken for warm and blamed for its predecessor's failures. So if
// the address or the build has changed, or the id appears after the first list, a process without an earlier reported start
// counts as started now.
func (l *loop) workerStartTime(id logic.WorkerID, w api.Worker, platformNow int64) logic.Nanos {
	previous, known := l.workerStarts[id]
	if known && (w.State != api.Up || previous.reported == w.StartedAt && previous.address == w.Address && previous.build == w.Build) {
		return previous.startedAt
	}
	start := workerStart{reported: w.StartedAt, address: w.Address, build: w.Build}
	switch {
	case w.StartedAt == 0 && l.startTimesReported: // every start is reported, so this one is long past
	case w.StartedAt != 0 && (!known || previous.reported != w.StartedAt || l.startTimesReported):
		// The clocks differ but ages agree. The age is converted only once, or each report would look like a new start.
		start.startedAt = l.now - logic.Nanos(max(0, platformNow-w.StartedAt))
	case known || l.listSeen:
		start.startedAt = l.now
	}
	l.workerStarts[id] = start
	return start.startedAt
}

// lookupID returns the id of a zone or kind. A name missing from the configuration gets an id of its own. With id 0 it would
// be taken for the first configured zone, and a repeat restricted to workers of the same zone would leave that zone.
func lookupID(names map[string]int, name string) int {
	if n, known := names[name]; known || len(names) == 0 && name == "" {
		return n
	}
	return 1<<16 + int(xxhash.Sum64String(name)>>34)
}

// poolFor returns the pool of a worker at the given address. A worker whose address has changed gets a new pool.
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

// toReleaseUpdate translates a release event for the module. voteReply marks the reply to a vote.
func toReleaseUpdate(e api.ReleaseEvent, voteReply bool) logic.ReleaseUpdate {
	return logic.ReleaseUpdate{Stage: e.Release.Stage, VoteReply: voteReply, Rel: logic.RelID(e.Release.Build), Cap: e.Release.Cap,
		Phase: phaseByName[e.Release.Phase], Age: logic.Nanos(max(0, e.Now-e.Release.Since))}
}

// acceptRelease checks the release state of a push or of a vote's reply. If the state is valid and not outdated, it is stored
// and passed on by calling pass, and acceptRelease returns true. Pushes and replies arrive on separate connections, so either
// may be overtaken by the other. A state that began before the one in force, by the platform's clock, must not loosen it
// again; a stricter one is always accepted. pass is called under the lock, or two concurrent updates could reach a loop in
// the reverse order.
func (p *Process) acceptRelease(r api.Release, pass func()) bool {
	if err := r.Validate(); err != nil {
		p.log.Error("news of a release not heeded", zap.Error(err))
		return false
	}
	back := func(phase string) bool { return phase == api.GoingBack || phase == api.Withdrawn }
	p.mu.Lock()
	previous := p.release
	overtaken := r.Since < previous.Since && (r.Build < previous.Build || r.Build == previous.Build &&
		(r.Cap > previous.Cap || back(previous.Phase) && !back(r.Phase)))
	if !overtaken {
		p.release = r
		pass()
	}
	p.mu.Unlock()
	if overtaken {
		p.log.Warn("news of a release was overtaken, not heeded", zap.Int("build", r.Build), zap.Int("stage", r.Stage),
			zap.String("phase", r.Phase), zap.Float64("cap", r.Cap))
	} else if r != previous {
		p.scheduleSave()
	}
	return !overtaken
}

// Release applies a pushed release event.
func (p *Process) Release(e api.ReleaseEvent) {
	update := toReleaseUpdate(e, false)
	p.acceptRelease(e.Release, func() {
		for _, l := range p.loops {
			l.post(func() { l.deliverRelease(update) })
		}
	})
}

// Report passes a client's report of a wrong answer to the sentry that sent the submission.
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

// Tally passes the platform's counts of sampled submissions to every sentry.
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

// castVote sends the sentry's vote from a goroutine of its own. Only one vote is in flight at a time; the reply reaches the
// module as a release update.
func (l *loop) castVote(v logic.Verdict, rel logic.RelID, stage int) {
	if l.voteInFlight || l.stopping {
		return
	}
	l.voteInFlight = true
	timeout := time.Duration(l.p.cfg.Module["release.vote-timeout"].(float64))
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		ctx, stop := context.WithTimeout(context.Background(), timeout)
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
		update := toReleaseUpdate(e, true)
		pass := func() {
			l.post(func() {
				l.voteInFlight = false
				l.deliverRelease(update)
			})
		}
		if err == nil && l.p.acceptRelease(e.Release, pass) {
			return
		}
		switch {
		case errors.Is(err, api.ErrStaleVote):
			update.Ending = logic.Skipped
		case errors.Is(err, api.ErrTooManyVotes):
			update.Ending = logic.Rejected
		case errors.Is(err, api.ErrVoteOutcomeUnknown):
			update.Ending = logic.TimedOut
		default:
			update.Ending = logic.ErrorResponse
		}
		pass()
	}()
}

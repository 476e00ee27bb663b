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

// Workers applies a worker list event. The valid entries are applied. An invalid entry is logged and ignored, except that a
// state other than up still takes its worker out of service.
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
			case api.WorkerUp:
			case "": // an empty state would make the saved list invalid as a whole at the next start
				current.State = api.WorkerDraining
			default:
				current.State = w.State
			}
			w = current
		}
		valid = append(valid, w)
	}
	e.Workers = valid
	if e.Type == api.EventSnapshot {
		clear(p.workers)
	}
	for _, w := range e.Workers {
		if w.State == api.WorkerGone {
			delete(p.workers, w.ID)
		} else {
			p.workers[w.ID] = w
		}
	}
	p.clockOffset = e.Now - time.Now().UnixNano()
	p.mu.Unlock()
	mode := logic.Changes
	if e.Type == api.EventSnapshot {
		mode = logic.Whole
	}
	for _, l := range p.loops {
		l.post(func() { l.applyWorkerList(mode, e) })
	}
	p.listReceived.Store(true)
	p.scheduleSave()
}

// stateByName translates worker states for the module.
var stateByName = map[string]logic.State{api.WorkerUp: logic.Up, api.WorkerDraining: logic.Draining, api.WorkerGone: logic.Gone}

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
			state = logic.Draining // a newer platform may add states; the worker gets no new txns
		}
		list = append(list, logic.Worker{ID: id, Zone: logic.ZoneID(lookupID(l.p.zoneIDs, w.Zone)), Kind: logic.KindID(lookupID(l.p.kindIDs, w.Kind)),
			Cell: w.Cell, State: state, Weight: w.Weight, Rel: logic.RelID(w.Build), Start: start})
		p := l.poolFor(id, w.Address)
		if p.removed = state == logic.Gone; p.removed {
			delete(l.workerStarts, id)
		}
		if state != logic.Up {
			l.endPoolWaiters(p)
		}
	}
	if mode == logic.Whole {
		for id, p := range l.pools {
			if !listed[id] {
				p.removed = true
				delete(l.workerStarts, id)
				l.endPoolWaiters(p)
			}
		}
	}
	l.listSeen = true
	l.listCurrent = l.listCurrent || mode != logic.Restored
	l.deliverWorkers(mode, list)
	for id, p := range l.pools {
		if p.removed {
			l.closeIdleConns(p)
			if p.numConns == 0 && len(p.waiting) == 0 && p.numDialing == 0 {
				delete(l.pools, id)
			}
		}
	}
}

// workerStartTime returns a worker's start time by the local clock, which stays the same for as long as the same process is
// reported. A process that replaces another without reporting a new start time would otherwise count as warm and be blamed
// for its predecessor's failures. So if the address or the build has changed, or the id first appears after the first list, a
// process without a new reported start counts as started now.
func (l *loop) workerStartTime(id logic.WorkerID, w api.Worker, platformNow int64) logic.Nanos {
	previous, known := l.workerStarts[id]
	if known && (w.State != api.WorkerUp || previous.reported == w.StartedAt && previous.address == w.Address && previous.build == w.Build) {
		return previous.startedAt
	}
	start := workerStart{reported: w.StartedAt, address: w.Address, build: w.Build}
	switch {
	case w.StartedAt == 0 && l.startTimesReported: // every start is reported, so this one was long ago
	case w.StartedAt != 0 && (!known || previous.reported != w.StartedAt || l.startTimesReported):
		// The clocks differ but ages agree. The age is converted only once, or each report would look like another start.
		start.startedAt = l.now - logic.Nanos(max(0, platformNow-w.StartedAt))
	case known || l.listSeen:
		start.startedAt = l.now
	}
	l.workerStarts[id] = start
	return start.startedAt
}

// lookupID returns the id of a zone or kind. A name that is not configured gets an id of its own. With id 0 it would be taken
// for the first configured zone, and a repeat that is restricted to workers of the same zone would leave that zone.
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

// phaseByName translates release phases for the module.
var phaseByName = map[string]logic.Phase{api.PhaseOnTrial: logic.OnTrial, api.PhaseGoingBack: logic.GoingBack,
	api.PhaseReleased: logic.Released, api.PhaseWithdrawn: logic.Withdrawn}

// toReleaseUpdate translates a release event for the module. voteReply marks the reply to a vote.
func toReleaseUpdate(e api.ReleaseEvent, voteReply bool) logic.ReleaseUpdate {
	return logic.ReleaseUpdate{Stage: e.Release.Stage, VoteReply: voteReply, Rel: logic.RelID(e.Release.Build), Cap: e.Release.Cap,
		Phase: phaseByName[e.Release.Phase], Age: logic.Nanos(max(0, e.Now-e.Release.Since))}
}

// acceptRelease checks the release state of a push or of the reply to a vote. If the state is valid and not outdated, it is
// stored, forward is called to pass it to the loops, and acceptRelease returns true. Pushes and replies arrive on separate
// connections, so either may be overtaken by the other. A state that began before the one in force, by the platform's clock,
// must not allow more exposure again; a stricter state is always accepted. forward is called under the lock, or two
// concurrent updates could reach a loop in the reverse order.
func (p *Process) acceptRelease(r api.Release, forward func()) bool {
	if err := r.Validate(); err != nil {
		p.log.Error("news of a release not heeded", zap.Error(err))
		return false
	}
	isBack := func(phase string) bool { return phase == api.PhaseGoingBack || phase == api.PhaseWithdrawn }
	p.mu.Lock()
	previous := p.release
	overtaken := r.Since < previous.Since && (r.Build < previous.Build || r.Build == previous.Build &&
		(r.Cap > previous.Cap || isBack(previous.Phase) && !isBack(r.Phase)))
	if !overtaken {
		p.release = r
		forward()
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
			l.deliverTally(logic.Tally{Rel: logic.RelID(t.Build), Product: logic.ProductID(product), Many: t.Submissions, Bad: t.NotSettled,
				Mean: logic.Nanos(t.Mean)})
		})
	}
}

// verdictNames translates the module's verdicts for the platform.
var verdictNames = map[logic.Verdict]string{logic.VerdictNone: api.VoteNone, logic.VerdictOn: api.VoteOn, logic.VerdictHold: api.VoteHold,
	logic.VerdictBack: api.VoteBack}

// castVote casts the sentry's vote on a separate goroutine. Only one vote is in flight at a time; its reply reaches the
// module as a release update.
func (l *loop) castVote(v logic.Verdict, rel logic.RelID, stage int) {
	if l.voteInFlight || l.stopping {
		return
	}
	l.voteInFlight = true
	timeout := time.Duration(l.p.cfg.ModuleSettings["release.vote-timeout"].(float64))
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		ctx, stop := context.WithTimeout(context.Background(), timeout)
		defer stop()
		go func() { // halting the loop cancels the vote
			select {
			case <-l.quit:
				stop()
			case <-ctx.Done():
			}
		}()
		e, err := l.p.source.Vote(ctx, api.Vote{Edge: l.p.cfg.Name, Sentry: l.sentryIndex, Verdict: verdictNames[v],
			Build: int(rel), Stage: stage})
		update := toReleaseUpdate(e, true)
		forward := func() {
			l.post(func() {
				l.voteInFlight = false
				l.deliverRelease(update)
			})
		}
		if err == nil && l.p.acceptRelease(e.Release, forward) {
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
		forward()
	}()
}

package logic

// emit issues the wanted actions that are still to be taken. Each submission has to pass the rules in logic.go once more;
// nothing else is decided here.
func (s *Sentry) emit() {
	for i := 0; i < len(s.dirty); i++ {
		slot := s.dirty[i]
		t := &s.slab[slot]
		t.dirty = false
		if t.state == unresolved && t.want.target != nil {
			if s.maySend(t, t.want.target) {
				s.submit(t)
			} else {
				s.giveUp(slot)
			}
		}
		t.want.target = nil
		if t.state == unresolved && t.want.resolution != unresolved {
			t.state = t.want.resolution
			if t.state == declined {
				s.sink.Decline(t.ID, t.want.retryAfter)
			} else {
				s.sink.Void(t.ID)
			}
		}
		if t.state == unresolved && t.want.wakeAt > s.now {
			s.sink.SetTimer(t.want.wakeAt-s.now, uint64(slot)|uint64(t.generation)<<32)
			t.want.wakeAt = 0
		}
		if t.state != unresolved {
			s.finish(slot)
		}
	}
	s.dirty = s.dirty[:0]
	if s.needsWatch && s.now >= s.nextWatchAt {
		s.nextWatchAt = s.now + s.nanos("rules.ask-within", 10*Second)
		s.sink.WatchWorkers()
	}
	for _, peer := range s.evidenceTargets {
		s.sink.SendToPeer(peer, s.ownEvidence.encode(s.trial))
	}
	s.evidenceTargets = s.evidenceTargets[:0]
	if s.wantVote != VerdictNone && s.mayVote {
		s.mayVote = false
		s.sink.Vote(s.wantVote, s.trial, s.announced.Stage)
	}
	if s.now >= s.nextTickAt {
		s.nextTickAt = s.now + tickInterval
		s.sink.SetTimer(tickInterval, 0)
	}
}

// finish ends a txn that is resolved: it cancels the pending submissions, once, and frees the slot when none is pending.
func (s *Sentry) finish(slot int32) {
	t := &s.slab[slot]
	pending := false
	for k := 0; k < t.n; k++ {
		if t.submissions[k].pending {
			pending = true
			if s.flag("allow.cancel") && !t.cancelSent && t.stream != k+1 {
				s.sink.Cancel(t.ID, k)
			}
		}
	}
	t.cancelSent = true
	if !pending {
		delete(s.txnSlots, t.ID)
		s.freeSlots = append(s.freeSlots, slot)
	}
}

// submit sends t to its wanted target and records the submission.
func (s *Sentry) submit(t *txn) {
	w := t.want.target
	w.inFlight++
	s.totalInFlight++
	if s.capacityShare(w) < 1 {
		w.coldBudget--
	}
	if s.onTrial(w.Rel) {
		s.exposure[s.exposureIndex(t.Product)]--
	}
	t.submissions[t.n] = submission{target: w, sentAt: s.now, rel: w.Rel, pending: true, arm: t.want.arm,
		isEvidence:  w.Start <= 0 || s.now-w.Start >= warmUpAge,
		reservesKey: t.Key != 0 && w.Rel == s.trial && s.flag("release.one-way") && s.flag("rules.unread-counts")}
	s.reserveKey(t, &t.submissions[t.n], 1)
	t.n++
	s.updateWeight(w)
	s.sink.Submit(t.ID, w.ID, 0)
}

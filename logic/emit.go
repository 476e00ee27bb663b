package logic

// emit turns the difference between what is wanted and what is into actions. Only the guards of logic.go
// stand between; nothing is decided here.
func (s *Sentry) emit() {
	for i := 0; i < len(s.touched); i++ {
		at := s.touched[i]
		t := &s.slab[at]
		t.touched = false
		if t.has == unanswered && t.want.to != nil {
			if s.maySend(t, t.want.to) {
				s.submit(t)
			} else {
				s.giveUp(at)
			}
		}
		t.want.to = nil
		if t.has == unanswered && t.want.answer != unanswered {
			t.has = t.want.answer
			if t.has == declined {
				s.out.Decline(t.ID, t.want.retry)
			} else {
				s.out.Void(t.ID)
			}
		}
		if t.has == unanswered && t.want.wake > s.now {
			s.out.SetTimer(t.want.wake-s.now, uint64(at)|uint64(t.gen)<<32)
			t.want.wake = 0
		}
		if t.has != unanswered {
			s.wind(at)
		}
	}
	s.touched = s.touched[:0]
	if s.wantWatch && s.now >= s.watchAt {
		s.watchAt = s.now + s.span("rules.ask-within", 10*Second)
		s.out.WatchWorkers()
	}
	for _, to := range s.tells {
		s.out.SendToPeer(to, s.own.pack(s.trial))
	}
	s.tells = s.tells[:0]
	if s.wantVote != VerdictNone && s.mayVote {
		s.mayVote = false
		s.out.Vote(s.wantVote, s.trial, s.news.Stage)
	}
	if s.now >= s.beatAt {
		s.beatAt = s.now + beat
		s.out.SetTimer(beat, 0)
	}
}

// wind calls off, once, what is still out of a txn that is over, and frees its place when nothing is.
func (s *Sentry) wind(at int32) {
	t := &s.slab[at]
	out := false
	for k := 0; k < t.n; k++ {
		if t.subs[k].out {
			out = true
			if s.flag("allow.cancel") && !t.wound && t.stream != k+1 {
				s.out.Cancel(t.ID, k)
			}
		}
	}
	t.wound = true
	if !out {
		delete(s.byID, t.ID)
		s.free = append(s.free, at)
	}
}

// submit sends t to the worker that is wanted and books it.
func (s *Sentry) submit(t *txn) {
	w := t.want.to
	w.open++
	s.held++
	if s.ramp(w) < 1 {
		w.cold--
	}
	if s.onTrial(w.Rel) {
		s.exposure[s.lane(t.Product)]--
	}
	t.subs[t.n] = submission{to: w, sent: s.now, rel: w.Rel, out: true, arm: t.want.arm,
		tells: w.Start <= 0 || s.now-w.Start >= warmUpAge,
		asks:  t.Key != 0 && w.Rel == s.trial && s.flag("release.one-way") && s.flag("rules.unread-counts")}
	s.ask(t, &t.subs[t.n], 1)
	t.n++
	s.weigh(w)
	s.out.Submit(t.ID, w.ID, 0)
}

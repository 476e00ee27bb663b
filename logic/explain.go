package logic

// Explain says of each worker what speaks against sending it a txn of a product now, "" where nothing does: for people
// who ask why a txn was declined, on a replay that stands at that moment. It changes nothing and decides nothing. tried
// is how many submissions the txn has had.
func (s *Sentry) Explain(p ProductID, k KeyID, tried int) []WorkerStatus {
	var out []WorkerStatus
	if int(p) >= len(s.products) {
		return nil
	}
	t := &txn{Txn: Txn{Product: p, Key: k, Expiry: s.now + Second}}
	t.n = min(tried, len(t.subs))
	for i := range t.subs[:t.n] {
		t.subs[i].to = &worker{}
	}
	for _, w := range s.order {
		v := WorkerStatus{Worker: w.ID, Rel: w.Rel, Trial: s.onTrial(w.Rel), Open: w.open, Limit: w.limit * s.squeeze, Slowdown: w.slow}
		switch {
		case w.State != Up:
			v.Reason = "not up"
		case s.ramp(w) < 1 && w.cold < 1:
			v.Reason = "cold, and its budget is used up"
		case v.Trial && s.exposure[s.lane(p)] < 1:
			v.Reason = "on trial, and no exposure is left"
		case !s.maySend(t, w):
			v.Reason = "a rule forbids it"
		case w.silent:
			v.Reason = "silent"
		case w.bad >= restAbove:
			v.Reason = "rests, as it failed too much"
		case float64(w.open) >= v.Limit:
			v.Reason = "full"
		case !s.room(w, t):
			v.Reason = "this sentry holds all that it may"
		}
		out = append(out, v)
	}
	return out
}

// WorkerStatus is how a worker stands with a sentry.
type WorkerStatus struct {
	Worker   WorkerID
	Rel      RelID
	Trial    bool    // its build's exposure is bounded
	Open     int     // submissions of this sentry that it holds
	Limit    float64 // of them
	Slowdown float64 // times that it takes what is usual
	Reason   string  // what speaks against it
}

package logic

// Explain returns for each worker the reason why a txn with the given product and key would not be sent to it now. tried
// is the number of earlier submissions of the txn. Explain is used on a replay that has stopped at a decision, to find out
// why a txn was declined. It does not change the state.
func (s *Sentry) Explain(p ProductID, k KeyID, tried int) []WorkerStatus {
	var statuses []WorkerStatus
	if int(p) >= len(s.products) {
		return nil
	}
	t := &txn{Txn: Txn{Product: p, Key: k, Expiry: s.now + Second}}
	t.n = min(tried, len(t.submissions))
	for i := range t.submissions[:t.n] {
		t.submissions[i].target = &worker{}
	}
	for _, w := range s.sortedWorkers {
		status := WorkerStatus{Worker: w.ID, Rel: w.Rel, Trial: s.onTrial(w.Rel), Open: w.inFlight,
			Limit: w.limit * s.limitFactor, Slowdown: w.slowdown}
		switch {
		case w.State != Up:
			status.Reason = "not up"
		case s.capacityShare(w) < 1 && w.coldBudget < 1:
			status.Reason = "cold, and its budget is used up"
		case status.Trial && s.exposure[s.exposureIndex(p)] < 1:
			status.Reason = "on trial, and no exposure is left"
		case !s.maySend(t, w):
			status.Reason = "a rule forbids it"
		case w.silent:
			status.Reason = "silent"
		case w.faultRate >= maxFaultRate:
			status.Reason = "rests, as it failed too much"
		case float64(w.inFlight) >= status.Limit:
			status.Reason = "full"
		case !s.hasRoom(w, t):
			status.Reason = "this sentry holds all that it may"
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// WorkerStatus is the state of a worker in the view of a sentry.
type WorkerStatus struct {
	Worker   WorkerID
	Rel      RelID
	Trial    bool    // the exposure of its build is capped
	Open     int     // submissions of this sentry in flight
	Limit    float64 // maximum of Open
	Slowdown float64 // ratio of its response times to the expected ones
	Reason   string  // why no txn is sent to it; "" if txns may be sent
}

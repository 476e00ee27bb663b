package logic

// Explain reports for each worker the reason why a txn of a product is not sent to it now, or "" where there is none. It
// helps to find out why a txn was declined, on a replay that has stopped at that moment. It changes nothing and decides
// nothing. tried is the number of submissions that the txn has had.
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
		case s.ramp(w) < 1 && w.coldBudget < 1:
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

// WorkerStatus is how a sentry regards a worker.
type WorkerStatus struct {
	Worker   WorkerID
	Rel      RelID
	Trial    bool    // the exposure of its build is capped
	Open     int     // submissions of this sentry in flight
	Limit    float64 // on Open
	Slowdown float64 // response time, in expected times
	Reason   string  // why no txn is sent to it, "" if one may be
}

package edge

import "dunegrade/logic"

// reuseLimit estimates how long a connection may be idle and still be reused. A middlebox may silently drop idle connections,
// and earlier than announced; each reuse of a dropped connection costs a submission that may have run.
type reuseLimit struct {
	// resetRates holds the smoothed shares of connections reset on reuse, by bucket of idle time. Bucket 0 is for connections
	// in steady use.
	resetRates [idleBuckets]float64
	idleLimit  logic.Nanos // longest idle time at which a connection is reused
	maxIdle    logic.Nanos // upper bound of idleLimit
	decayedAt  logic.Nanos // when resetRates were last decayed
}

const (
	idleBuckets        = 9                      // buckets of idle time, each twice as long as the one before
	firstIdleBucketEnd = 20 * logic.Millisecond // upper bound of bucket 0
	promptReset        = 3 * logic.Millisecond  // a reset within this time of the write counts as a reset on reuse
	resetRateGain      = 0.03                   // weight of a new observation in the smoothed rate
	resetRateDecay     = 0.95                   // factor by which all rates are reduced every second
	maxExcessResetRate = 0.08                   // excess over bucket 0's rate at which a bucket is not used
)

// observe records whether a connection that had been idle for the given time was reset on reuse.
func (r *reuseLimit) observe(now, idledFor logic.Nanos, reset bool) {
	if now-r.decayedAt > logic.Second { // so that buckets excluded from reuse are tried again after a while
		r.decayedAt = now
		for i := range r.resetRates {
			r.resetRates[i] *= resetRateDecay
		}
	}
	bucket, observed := 0, 0.0
	for end := firstIdleBucketEnd; idledFor > end && bucket < idleBuckets-1; end *= 2 {
		bucket++
	}
	if reset {
		observed = 1
	}
	r.resetRates[bucket] += resetRateGain * (observed - r.resetRates[bucket])
	r.idleLimit = r.maxIdle
	for i, end := 1, firstIdleBucketEnd; i < idleBuckets; i, end = i+1, end*2 {
		if r.resetRates[i] > r.resetRates[0]+maxExcessResetRate {
			r.idleLimit = min(r.idleLimit, end)
			break
		}
	}
}

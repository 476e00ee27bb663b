package edge

import (
	"github.com/prometheus/client_golang/prometheus"

	"dunegrade/logic"
)

// callbackBounds are the upper bounds of the buckets of a durationHistogram.
var callbackBounds = [...]logic.Nanos{logic.Millisecond, 5 * logic.Millisecond, 20 * logic.Millisecond, 100 * logic.Millisecond, logic.Second}

// durationHistogram counts durations by size. Unlike the library's histogram it is a value, so that stats can be copied.
type durationHistogram struct {
	atMost [len(callbackBounds)]uint64 // by the smallest bound that is not exceeded
	count  uint64
	sum    logic.Nanos
}

// observe counts a duration.
func (h *durationHistogram) observe(d logic.Nanos) {
	h.count++
	h.sum += d
	for i, bound := range callbackBounds {
		if d <= bound {
			h.atMost[i]++
			return
		}
	}
}

// metric returns the histogram for Prometheus.
func (h *durationHistogram) metric(sentry string) prometheus.Metric {
	buckets := map[float64]uint64{}
	cumulative := uint64(0)
	for i, bound := range callbackBounds {
		cumulative += h.atMost[i]
		buckets[float64(bound)/float64(logic.Second)] = cumulative
	}
	return prometheus.MustNewConstHistogram(descCallbacks, h.count, float64(h.sum)/float64(logic.Second), buckets, sentry)
}

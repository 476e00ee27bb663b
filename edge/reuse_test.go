package edge

import (
	"math/rand"
	"testing"

	"dunegrade/logic"
)

// The reuse limit must fall to about the idle time after which connections are dropped, and must stay high if resets don't
// depend on the idle time.
func TestIdleConnectionReuseLimit(t *testing.T) {
	const ms = logic.Millisecond
	for _, c := range []struct {
		name      string
		baseRate  float64     // share of connections reset at any idle time
		dropAfter logic.Nanos // half of the connections idle for longer are reset; 0: none
		minLimit  logic.Nanos // lower bound of the mean limit
		maxLimit  logic.Nanos // upper bound of the mean limit
	}{
		{"no resets", 0, 0, 3000 * ms, 3000 * ms},
		{"one in seven reset at any idle time", 0.14, 0, 1000 * ms, 3000 * ms},
		{"half reset after 200 ms", 0.02, 200 * ms, 100 * ms, 640 * ms},
		{"half reset after 50 ms, a few at any idle time", 0.05, 50 * ms, 20 * ms, 160 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			rng := rand.New(rand.NewSource(1))
			r := reuseLimit{idleLimit: 3000 * ms, maxIdle: 3000 * ms}
			sum, n := logic.Nanos(0), logic.Nanos(0)
			for i := 0; i < 4000; i++ {
				idledFor := logic.Nanos(rng.ExpFloat64() * float64(100*ms))
				if idledFor > r.idleLimit {
					idledFor = 0 // a new connection is used instead
				}
				r.observe(logic.Nanos(i)*10*ms, idledFor, rng.Float64() < c.baseRate || c.dropAfter > 0 && idledFor > c.dropAfter && rng.Float64() < 0.5)
				if i > 1000 {
					sum, n = sum+r.idleLimit, n+1
				}
			}
			if mean := sum / n; mean < c.minLimit || mean > c.maxLimit {
				t.Errorf("mean reuse limit of %d ms, want %d to %d", mean/ms, c.minLimit/ms, c.maxLimit/ms)
			}
		})
	}
}

package edge

import (
	"math/rand"
	"testing"

	"dunegrade/logic"
)

func TestReuseOfIdleConnections(t *testing.T) {
	const ms = logic.Millisecond
	for _, c := range []struct {
		name  string
		base  float64     // share of deaths that no idleness explains
		drops logic.Nanos // idle for longer, half are dead; 0: none
		least logic.Nanos
		most  logic.Nanos
	}{
		{"none dies", 0, 0, 3000 * ms, 3000 * ms},
		{"one in seven dies whatever its age", 0.14, 0, 1000 * ms, 3000 * ms},
		{"half die after 200 ms", 0.02, 200 * ms, 100 * ms, 640 * ms},
		{"half die after 50 ms, others now and then", 0.05, 50 * ms, 20 * ms, 160 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			rng := rand.New(rand.NewSource(1))
			r := reuseLimit{idleLimit: 3000 * ms, maxIdle: 3000 * ms}
			sum, n := logic.Nanos(0), logic.Nanos(0)
			for i := 0; i < 4000; i++ {
				idled := logic.Nanos(rng.ExpFloat64() * float64(100*ms))
				if idled > r.idleLimit {
					idled = 0 // a new one
				}
				r.observe(logic.Nanos(i)*10*ms, idled, rng.Float64() < c.base || c.drops > 0 && idled > c.drops && rng.Float64() < 0.5)
				if i > 1000 {
					sum, n = sum+r.idleLimit, n+1
				}
			}
			if mean := sum / n; mean < c.least || mean > c.most {
				t.Errorf("reused up to %d ms on the mean, want %d to %d", mean/ms, c.least/ms, c.most/ms)
			}
		})
	}
}

package fleet

import (
	"math"
	"testing"
)

var spec = MachineSpec{Cores: 2, Slots: 8, Speed: 1, ColdStartCapacity: 0.25, WarmUp: 4 * Second, OverloadMultiple: 2, OverloadWindow: Second,
	StopsOnCancel: true, ReportInterval: Second}

// submitJobs submits n jobs, rate per second. It returns the number of jobs by result, the number that were not accepted,
// and the mean latency of the successful jobs.
func submitJobs(m *Machine, start Nanos, n int, rate float64, product int) (results map[Result]int, refused int, mean Nanos) {
	results = map[Result]int{}
	sum, succeeded := Nanos(0), 0
	count := func(jobs []CompletedJob) {
		for _, d := range jobs {
			results[d.Result]++
			if d.Result == Succeeded {
				sum += d.Finished - d.Arrived
				succeeded++
			}
		}
	}
	now := start
	for i := 0; i < n; i++ {
		now += Nanos(float64(Second) / rate)
		count(m.Advance(now))
		if m.Submit(now, Job{ID: uint64(i), Product: product, Work: 10 * Millisecond}) != Accepted {
			refused++
		}
	}
	count(m.Advance(now + 100*Second))
	if succeeded > 0 {
		mean = sum / Nanos(succeeded)
	}
	return results, refused, mean
}

func TestBuildFlaws(t *testing.T) {
	const n = 4000
	for _, c := range []struct {
		name        string
		build       Build
		product     int
		rate        float64 // jobs per second
		failureRate float64 // tolerance 0.04
		wrongRate   float64 // tolerance 0.04
		slowdown    float64 // latency relative to a good build on an idle machine, tolerance 0.1
	}{
		{"good", Build{Flaw: NoFlaw}, 0, 20, 0, 0, 1},
		{"errors", Build{Flaw: Errors, Strength: 0.3}, 0, 20, 0.3, 0, 1},
		{"slow", Build{Flaw: Slow, Strength: 3}, 0, 20, 0, 0, 3},
		{"its product", Build{Flaw: OneProduct, Strength: 0.5, Product: 1}, 1, 20, 0.5, 0, 1},
		{"another product", Build{Flaw: OneProduct, Strength: 0.5, Product: 1}, 0, 20, 0, 0, 1},
		{"under load, idle", Build{Flaw: UnderLoad, Strength: 3}, 0, 20, 0, 0, 1},
		{"under load, busy", Build{Flaw: UnderLoad, Strength: 1.01}, 0, 160, 0.2, 0, 1},
		{"late", Build{Flaw: DelayedErrors, Strength: 0.4}, 0, 20, 0.4 * (1 - 6.0/200), 0, 1},
		{"wrong", Build{Flaw: WrongAnswers, Strength: 0.2}, 0, 20, 0, 0.2, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			results, refused, mean := submitJobs(NewMachine(spec, c.build, 0, NewSharedState(), 5), 0, n, c.rate, c.product)
			if refused > 0 {
				t.Errorf("%d jobs refused", refused)
			}
			if got := float64(results[Failed]) / n; math.Abs(got-c.failureRate) > 0.04 {
				t.Errorf("failure rate %.3f, want %.3f", got, c.failureRate)
			}
			if got := float64(results[WrongAnswer]) / n; math.Abs(got-c.wrongRate) > 0.04 {
				t.Errorf("wrong-answer rate %.3f, want %.3f", got, c.wrongRate)
			}
			if got := float64(mean) / float64(10*Millisecond); math.Abs(got-c.slowdown) > 0.1 {
				t.Errorf("latency is %.2f times that of a good build, want %.2f", got, c.slowdown)
			}
		})
	}
}

func TestOnlyOverloadedColdMachineFails(t *testing.T) {
	for _, c := range []struct {
		name  string
		rate  float64
		start Nanos
		down  bool
	}{
		{"warm, far above capacity", 2000, 10 * Second, false},
		{"cold, at capacity", 50, 0, false},
		{"cold, just under the overload multiple", 90, 0, false},
		{"cold, above the overload multiple", 300, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := NewMachine(spec, Build{}, 1, NewSharedState(), 5)
			submitJobs(m, c.start, int(c.rate), c.rate, 0)
			if m.IsDown() != c.down {
				t.Errorf("IsDown() = %t, want the opposite", m.IsDown())
			}
		})
	}
}

func TestDuplicatesWithinDedupWindow(t *testing.T) {
	shared := NewSharedState()
	a, b := NewMachine(spec, Build{}, 0, shared, 1), NewMachine(spec, Build{}, 0, shared, 2)
	job := Job{ID: 1, DedupKey: 7, DedupWindow: Second, Work: 10 * Millisecond}
	for _, c := range []struct {
		m           *Machine
		submittedAt Nanos
		want        Result
	}{{a, 0, Succeeded}, {b, 500 * Millisecond, Deduplicated}, {a, 900 * Millisecond, Deduplicated}, {b, 1500 * Millisecond, Succeeded}} {
		c.m.Submit(c.submittedAt, job)
		if got := c.m.Advance(c.submittedAt + 100*Millisecond); len(got) != 1 || got[0].Result != c.want {
			t.Errorf("at %d ms: %+v, want result %d", c.submittedAt/Millisecond, got, c.want)
		}
	}
}

func TestMachineFaults(t *testing.T) {
	m := NewMachine(spec, Build{}, 0, NewSharedState(), 1)
	m.Fault = MachineFault{Hangs: true}
	for i := 0; i < 10; i++ {
		m.Submit(Nanos(i), Job{ID: uint64(i), Work: Millisecond})
	}
	if len(m.Advance(100*Second)) != 0 || m.JobCount() != spec.Slots {
		t.Errorf("a hung machine completed a job, or holds %d jobs instead of filling its slots", m.JobCount())
	}
	if started, found := m.Cancel(Second, 0); !started || !found {
		t.Error("a running job was not cancelled")
	}
	if started, found := m.Cancel(Second, 7); started || !found {
		t.Error("a queued job was not cancelled")
	}
	idle := NewMachine(spec, Build{}, 0, NewSharedState(), 1)
	idle.Fault = MachineFault{ReportsIdle: true}
	idle.Submit(0, Job{ID: 1, Work: Second})
	if idle.Load(2*Second) != (LoadReport{}) {
		t.Error("a machine with ReportsIdle reported its load")
	}
	for _, c := range []struct {
		name     string
		fault    MachineFault
		slowdown float64 // of the whole fleet
		runTime  Nanos   // in milliseconds
	}{{"slow", MachineFault{SlowdownFactor: 5}, 1, 50}, {"neighbour", MachineFault{NeighbourShare: 0.5}, 1, 20}, {"fleet-wide slowdown", MachineFault{}, 3, 30}} {
		shared := NewSharedState()
		shared.SlowdownFactor = c.slowdown
		m := NewMachine(spec, Build{}, 0, shared, 1)
		m.Fault = c.fault
		m.Submit(0, Job{ID: 1, Work: 10 * Millisecond})
		if m.NextCompletion()/Millisecond != c.runTime {
			t.Errorf("%s: run time %d ms, want %d", c.name, m.NextCompletion()/Millisecond, c.runTime)
		}
	}
}

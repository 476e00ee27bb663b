package fleet

import (
	"math"
	"testing"
)

var kind = Kind{Cores: 2, Slots: 8, Speed: 1, ColdStartCapacity: 0.25, WarmUp: 4 * Second, OverloadMultiple: 2, OverloadWindow: Second, StopsOnCancel: true,
	ReportInterval: Second}

// load sends n jobs, so many a second, and gives what ended how, and the mean time of the fine ones.
func load(m *Machine, from Nanos, n int, rate float64, product int) (ends map[End]int, turned int, mean Nanos) {
	ends = map[End]int{}
	sum, fine := Nanos(0), 0
	take := func(list []CompletedJob) {
		for _, d := range list {
			ends[d.End]++
			if d.End == Succeeded {
				sum += d.Finished - d.Arrived
				fine++
			}
		}
	}
	now := from
	for i := 0; i < n; i++ {
		now += Nanos(float64(Second) / rate)
		take(m.Advance(now))
		if m.Submit(now, Job{ID: uint64(i), Product: product, Work: 10 * Millisecond}) != Accepted {
			turned++
		}
	}
	take(m.Advance(now + 100*Second))
	if fine > 0 {
		mean = sum / Nanos(fine)
	}
	return ends, turned, mean
}

func TestBuildsShowTheirFlaws(t *testing.T) {
	const n = 4000
	for _, c := range []struct {
		name     string
		build    Build
		product  int
		rate     float64
		fails    float64 // share, give or take 0.04
		wrong    float64
		slowerBy float64 // than the good one at an idle machine
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
			ends, turned, mean := load(NewMachine(kind, c.build, 0, NewSharedState(), 5), 0, n, c.rate, c.product)
			if turned > 0 {
				t.Errorf("%d turned away", turned)
			}
			if got := float64(ends[Failed]) / n; math.Abs(got-c.fails) > 0.04 {
				t.Errorf("fails %.3f, want %.3f", got, c.fails)
			}
			if got := float64(ends[WrongAnswer]) / n; math.Abs(got-c.wrong) > 0.04 {
				t.Errorf("wrong %.3f, want %.3f", got, c.wrong)
			}
			if got := float64(mean) / float64(10*Millisecond); math.Abs(got-c.slowerBy) > 0.1 {
				t.Errorf("takes %.2f times as long, want %.2f", got, c.slowerBy)
			}
		})
	}
}

func TestColdMachineFallsOnlyWhenPushed(t *testing.T) {
	for _, c := range []struct {
		name string
		rate float64
		from Nanos
		down bool
	}{
		{"warm, far too much", 2000, 10 * Second, false},
		{"cold, what it can do", 50, 0, false},
		{"cold, just under the multiple", 90, 0, false},
		{"cold, over it", 300, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := NewMachine(kind, Build{}, 1, NewSharedState(), 5)
			load(m, c.from, int(c.rate), c.rate, 0)
			if m.IsDown() != c.down {
				t.Errorf("fell: %t", m.IsDown())
			}
		})
	}
}

func TestRepeatsAreDroppedWithinTheirMemory(t *testing.T) {
	shared := NewSharedState()
	a, b := NewMachine(kind, Build{}, 0, shared, 1), NewMachine(kind, Build{}, 0, shared, 2)
	job := Job{ID: 1, DedupKey: 7, Memory: Second, Work: 10 * Millisecond}
	for _, c := range []struct {
		m    *Machine
		at   Nanos
		want End
	}{{a, 0, Succeeded}, {b, 500 * Millisecond, Dropped}, {a, 900 * Millisecond, Dropped}, {b, 1500 * Millisecond, Succeeded}} {
		c.m.Submit(c.at, job)
		if got := c.m.Advance(c.at + 100*Millisecond); len(got) != 1 || got[0].End != c.want {
			t.Errorf("at %d ms: %+v, want end %d", c.at/Millisecond, got, c.want)
		}
	}
}

func TestTroubles(t *testing.T) {
	m := NewMachine(kind, Build{}, 0, NewSharedState(), 1)
	m.Fault = MachineFault{Hangs: true}
	for i := 0; i < 10; i++ {
		m.Submit(Nanos(i), Job{ID: uint64(i), Work: Millisecond})
	}
	if len(m.Advance(100*Second)) != 0 || m.JobCount() != kind.Slots {
		t.Errorf("a hung machine ended something, or holds %d", m.JobCount())
	}
	if began, found := m.Cancel(Second, 0); !began || !found {
		t.Error("work was not called off")
	}
	if began, found := m.Cancel(Second, 7); began || !found {
		t.Error("waiting work was not called off")
	}
	idle := NewMachine(kind, Build{}, 0, NewSharedState(), 1)
	idle.Fault = MachineFault{ReportsIdle: true}
	idle.Submit(0, Job{ID: 1, Work: Second})
	if idle.Load(2*Second) != (LoadReport{}) {
		t.Error("a machine that pretends to be idle reports its load")
	}
	for _, c := range []struct {
		name string
		ail  MachineFault
		drag float64
		took Nanos
	}{{"slow", MachineFault{Slow: 5}, 1, 50}, {"neighbour", MachineFault{NeighbourShare: 0.5}, 1, 20}, {"drag", MachineFault{}, 3, 30}} {
		shared := NewSharedState()
		shared.SlowdownFactor = c.drag
		m := NewMachine(kind, Build{}, 0, shared, 1)
		m.Fault = c.ail
		m.Submit(0, Job{ID: 1, Work: 10 * Millisecond})
		if m.NextCompletion()/Millisecond != c.took {
			t.Errorf("%s: takes %d ms, want %d", c.name, m.NextCompletion()/Millisecond, c.took)
		}
	}
}

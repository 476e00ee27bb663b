package logic

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
)

func drawOf(weights []float64) (*weightedSampler, []*worker) {
	var ws []*worker
	for i := range weights {
		ws = append(ws, &worker{Worker: Worker{ID: WorkerID(fmt.Sprint(i))}})
	}
	d := &weightedSampler{}
	d.fill(ws, 0, func(w *worker) float64 { return weights[w.samplerIndex] })
	return d, ws
}

// Each worker is picked as often as its weight says, after changes too, and none without weight ever.
func TestDrawPicksByWeight(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for _, weights := range [][]float64{{1}, {1, 3}, {0, 0, 5, 0, 0}, {1, 2, 3, 4, 5, 6, 7}, {0, 1e-290, 0}, {1e290, 1e290, 0, 1e290},
		{1e-200, 1, 1e-200, 1}} {
		for _, change := range []bool{false, true} {
			weights := append([]float64(nil), weights...)
			d, ws := drawOf(weights)
			if change {
				for i := range weights {
					j := len(weights) - 1 - i
					if i < j {
						weights[i], weights[j] = weights[j], weights[i]
					}
				}
				for i, w := range ws {
					d.updateWeight(w, weights[i])
				}
			}
			sum, many, got := 0.0, 20000, make([]float64, len(weights))
			for _, w := range weights {
				sum += w
			}
			for k := 0; k < many; k++ {
				got[d.pick(rng.Float64()).samplerIndex]++
			}
			for i, w := range weights {
				want := w / sum * float64(many)
				if w == 0 && got[i] > 0 || math.Abs(got[i]-want) > 5*math.Sqrt(want)+1 {
					t.Errorf("%v: worker %d picked %g times, wanted about %g", weights, i, got[i], want)
				}
			}
			for _, part := range []float64{0, math.Nextafter(1, 0)} { // the ends
				if w := d.pick(part); weights[w.samplerIndex] == 0 {
					t.Errorf("%v: %g gave worker %d, which has no weight", weights, part, w.samplerIndex)
				}
			}
		}
	}
	for k := 0; k < 2000; k++ { // sums that are rounded, with nothing behind the last
		weights := []float64{rng.Float64(), rng.Float64(), rng.Float64(), 0, 0, 0}
		d, _ := drawOf(weights)
		if w := d.pick(math.Nextafter(1, 0)); weights[w.samplerIndex] == 0 {
			t.Fatalf("%v: the end gave worker %d, which has no weight", weights, w.samplerIndex)
		}
	}
	d, ws := drawOf([]float64{1, 2})
	d.updateWeight(ws[0], 0)
	d.updateWeight(ws[1], 0)
	if w := d.pick(0.5); w != nil {
		t.Errorf("picked worker %d, wanted none", w.samplerIndex)
	}
}

// A draw by raceWeight stands for a race: the least of cost times e^blur, with an e of its own for each worker.
func TestRaceWeightStandsForTheRace(t *testing.T) {
	rng := rand.New(rand.NewSource(2))
	costs := []float64{0.5, 0.7, 1, 1.1, 2, 8}
	for _, blur := range []float64{0.05, 0.2, 0.5} {
		const many = 40000
		raced, drawn := make([]float64, len(costs)), make([]float64, len(costs))
		weights := make([]float64, len(costs))
		for i, c := range costs {
			weights[i] = raceWeight(c, blur)
		}
		d, _ := drawOf(weights)
		for k := 0; k < many; k++ {
			best, least := 0, math.Inf(1)
			for i, c := range costs {
				if c *= math.Pow(rng.ExpFloat64(), blur); c < least {
					best, least = i, c
				}
			}
			raced[best]++
			drawn[d.pick(rng.Float64()).samplerIndex]++
		}
		for i := range costs {
			if math.Abs(raced[i]-drawn[i]) > 5*math.Sqrt(raced[i]+drawn[i])+1 {
				t.Errorf("blur %g, cost %g: won %g races, was drawn %g times", blur, costs[i], raced[i], drawn[i])
			}
		}
	}
}

// Danger: a weight that is not kept up to date sends txns where no room is, or hides a worker until the next beat.
func TestWeightsAreKeptUpToDate(t *testing.T) {
	for _, c := range []struct{ workers, trial, hand int }{{200, 0, 400}, {200, 80, 400}, {maxScannedWorkers, 0, 100}, {90, 0, 2000}} {
		x := newCrowd(c.workers, c.trial)
		drawn := 0
		for i := 0; i < 6000; i++ {
			x.step(c.hand)
			if i%50 > 0 {
				continue
			}
			for _, d := range []*weightedSampler{&x.s.trialSampler, &x.s.baselineSampler, &x.s.otherSampler} {
				if d.weighted() != (len(d.workers) > maxScannedWorkers) {
					t.Fatalf("%+v: %d workers, drawn %t", c, len(d.workers), d.weighted())
				}
				for k, w := range d.workers {
					if w.sampler != d || w.samplerIndex != k {
						t.Fatalf("%+v: worker %s is not where it is held", c, w.ID)
					}
					if d.weighted() && d.sums[d.leaves+k] != x.s.weight(w) {
						t.Fatalf("%+v, step %d: worker %s weighs %g, wanted %g", c, i, w.ID, d.sums[d.leaves+k], x.s.weight(w))
					}
					drawn += int(indicator(d.weighted()))
				}
			}
		}
		if (drawn > 0) != (c.workers > maxScannedWorkers) {
			t.Errorf("%+v: %d weights were looked at", c, drawn)
		}
		if x.declined > 0 && c.hand < 2000 {
			t.Errorf("%+v: %d declined", c, x.declined)
		}
	}
}

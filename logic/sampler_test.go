package logic

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
)

// newTestSampler returns a sampler of workers with the given weights.
func newTestSampler(weights []float64) (*weightedSampler, []*worker) {
	var workers []*worker
	for i := range weights {
		workers = append(workers, &worker{Worker: Worker{ID: WorkerID(fmt.Sprint(i))}})
	}
	d := &weightedSampler{}
	d.fill(workers, 0, func(w *worker) float64 { return weights[w.samplerIndex] })
	return d, workers
}

// Each worker must be drawn in proportion to its weight, also after the weights have changed. A worker without weight must
// never be drawn.
func TestSamplerPicksByWeight(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for _, weights := range [][]float64{{1}, {1, 3}, {0, 0, 5, 0, 0}, {1, 2, 3, 4, 5, 6, 7}, {0, 1e-290, 0}, {1e290, 1e290, 0, 1e290},
		{1e-200, 1, 1e-200, 1}} {
		for _, change := range []bool{false, true} {
			weights := append([]float64(nil), weights...)
			d, workers := newTestSampler(weights)
			if change {
				for i := range weights {
					j := len(weights) - 1 - i
					if i < j {
						weights[i], weights[j] = weights[j], weights[i]
					}
				}
				for i, w := range workers {
					d.updateWeight(w, weights[i])
				}
			}
			sum, draws, picked := 0.0, 20000, make([]float64, len(weights))
			for _, w := range weights {
				sum += w
			}
			for k := 0; k < draws; k++ {
				picked[d.pick(rng.Float64()).samplerIndex]++
			}
			for i, w := range weights {
				want := w / sum * float64(draws)
				if w == 0 && picked[i] > 0 || math.Abs(picked[i]-want) > 5*math.Sqrt(want)+1 {
					t.Errorf("%v: worker %d picked %g times, want about %g", weights, i, picked[i], want)
				}
			}
			for _, fraction := range []float64{0, math.Nextafter(1, 0)} { // both ends of the range
				if w := d.pick(fraction); weights[w.samplerIndex] == 0 {
					t.Errorf("%v: %g picked worker %d, which has no weight", weights, fraction, w.samplerIndex)
				}
			}
		}
	}
	for k := 0; k < 2000; k++ { // rounded sums, with no weight after the last worker that has one
		weights := []float64{rng.Float64(), rng.Float64(), rng.Float64(), 0, 0, 0}
		d, _ := newTestSampler(weights)
		if w := d.pick(math.Nextafter(1, 0)); weights[w.samplerIndex] == 0 {
			t.Fatalf("%v: the end of the range picked worker %d, which has no weight", weights, w.samplerIndex)
		}
	}
	d, workers := newTestSampler([]float64{1, 2})
	d.updateWeight(workers[0], 0)
	d.updateWeight(workers[1], 0)
	if w := d.pick(0.5); w != nil {
		t.Errorf("picked worker %d, want none", w.samplerIndex)
	}
}

// A draw by raceWeight must pick each worker as often as the worker has the smallest delay*e^noise, with an e drawn for each
// worker from an exponential distribution.
func TestRaceWeightMatchesRace(t *testing.T) {
	rng := rand.New(rand.NewSource(2))
	delays := []float64{0.5, 0.7, 1, 1.1, 2, 8}
	for _, noise := range []float64{0.05, 0.2, 0.5} {
		const rounds = 40000
		raced, drawn := make([]float64, len(delays)), make([]float64, len(delays))
		weights := make([]float64, len(delays))
		for i, delay := range delays {
			weights[i] = raceWeight(delay, noise)
		}
		d, _ := newTestSampler(weights)
		for k := 0; k < rounds; k++ {
			best, least := 0, math.Inf(1)
			for i, delay := range delays {
				if delay *= math.Pow(rng.ExpFloat64(), noise); delay < least {
					best, least = i, delay
				}
			}
			raced[best]++
			drawn[d.pick(rng.Float64()).samplerIndex]++
		}
		for i := range delays {
			if math.Abs(raced[i]-drawn[i]) > 5*math.Sqrt(raced[i]+drawn[i])+1 {
				t.Errorf("noise %g, delay %g: smallest value in %g rounds, drawn in %g", noise, delays[i], raced[i], drawn[i])
			}
		}
	}
}

// An outdated weight would send txns to workers without room, or hide a worker until the next tick.
func TestWeightsAreKeptUpToDate(t *testing.T) {
	for _, c := range []struct{ workers, trial, inFlight int }{{200, 0, 400}, {200, 80, 400}, {maxScannedWorkers, 0, 100}, {90, 0, 2000}} {
		fleet := newLoadFleet(c.workers, c.trial)
		weighted := 0
		for i := 0; i < 6000; i++ {
			fleet.step(c.inFlight)
			if i%50 > 0 {
				continue
			}
			for _, d := range []*weightedSampler{&fleet.sentry.trialSampler, &fleet.sentry.baselineSampler, &fleet.sentry.otherSampler} {
				if d.weighted() != (len(d.workers) > maxScannedWorkers) {
					t.Fatalf("%+v: %d workers, weighted %t", c, len(d.workers), d.weighted())
				}
				for k, w := range d.workers {
					if w.sampler != d || w.samplerIndex != k {
						t.Fatalf("%+v: worker %s is not at its index", c, w.ID)
					}
					if d.weighted() && d.sums[d.leaves+k] != fleet.sentry.weight(w) {
						t.Fatalf("%+v, step %d: worker %s has weight %g, want %g", c, i, w.ID, d.sums[d.leaves+k], fleet.sentry.weight(w))
					}
					weighted += int(indicator(d.weighted()))
				}
			}
		}
		if (weighted > 0) != (c.workers > maxScannedWorkers) {
			t.Errorf("%+v: %d weights were checked", c, weighted)
		}
		if fleet.declined > 0 && c.inFlight < 2000 {
			t.Errorf("%+v: %d declined", c, fleet.declined)
		}
	}
}

package logic

import "math"

// weightedSampler draws workers with probabilities in proportion to their weights. It is a binary tree whose nodes hold the
// sums of the weights below them, so that both a draw and a change of a weight take logarithmic time.
type weightedSampler struct {
	workers []*worker
	sums    []float64 // sums[1] is the root, the children of node i are 2i and 2i+1
	leaves  int       // index of the first leaf; 0 if the workers have no weights
}

// Bounds of a weight. With an infinite weight all other workers would never be drawn, and with a weight of zero the worker
// itself would never be drawn.
const (
	minWeight = 1e-290
	maxWeight = 1e290
)

// fill replaces the workers of the sampler. A worker belongs to at most one sampler. Up to maxScanned workers get no
// weights, as the caller scans them instead of drawing.
func (d *weightedSampler) fill(workers []*worker, maxScanned int, weight func(*worker) float64) {
	d.workers, d.leaves = append(d.workers[:0], workers...), 0
	for i, w := range workers {
		w.sampler, w.samplerIndex = d, i
	}
	if len(workers) <= maxScanned {
		return
	}
	for d.leaves = 1; d.leaves < len(workers); {
		d.leaves *= 2
	}
	if n := 2 * d.leaves; cap(d.sums) < n {
		d.sums = make([]float64, n)
	} else {
		d.sums = d.sums[:n]
		clear(d.sums)
	}
	for i, w := range workers {
		d.sums[d.leaves+i] = weight(w)
	}
	for i := d.leaves - 1; i > 0; i-- {
		d.sums[i] = d.sums[2*i] + d.sums[2*i+1]
	}
}

// weighted reports whether the workers have weights.
func (d *weightedSampler) weighted() bool { return d.leaves > 0 }

// updateWeight changes the weight of a worker. It recomputes the sums above it, as adding the difference would accumulate
// rounding errors.
func (d *weightedSampler) updateWeight(w *worker, weight float64) {
	i := d.leaves + w.samplerIndex
	d.sums[i] = weight
	for i /= 2; i > 0; i /= 2 {
		d.sums[i] = d.sums[2*i] + d.sums[2*i+1]
	}
}

// pick returns the worker at a fraction of the total weight, from 0 to below 1, or nil if the total is 0.
func (d *weightedSampler) pick(fraction float64) *worker {
	if d.sums[1] <= 0 {
		return nil
	}
	x, i := fraction*d.sums[1], 1
	for i < d.leaves {
		i *= 2
		if x >= d.sums[i] && d.sums[i+1] > 0 { // rounding must not lead to a leaf without weight
			x -= d.sums[i]
			i++
		}
	}
	return d.workers[i-d.leaves]
}

// raceWeight returns the weight with which a worker is drawn as often as it would have the smallest delay*e^noise, if an e
// were drawn from an exponential distribution for each worker. Of several values e/rate, each is the smallest with a
// probability in proportion to its rate; here the rate is delay^(-1/noise).
func raceWeight(delay, noise float64) float64 {
	return min(max(math.Pow(delay, -1/noise), minWeight), maxWeight)
}

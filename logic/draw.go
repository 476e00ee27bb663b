package logic

import "math"

// draw holds workers with a weight each, and gives any of them with a chance in proportion to its weight: a tree whose
// nodes hold the sums of what lies below, so that a change and a pick cost the logarithm of their number. Nothing is
// decided here.
type draw struct {
	workers []*worker
	sums    []float64 // 1 is the root, the two below i are 2i and 2i+1, the leaves begin at half
	half    int
}

// Bounds of a weight. Danger: one without end would hide all others, and one of nothing is never picked.
const leastWeight, mostWeight = 1e-290, 1e290

// fill has the draw hold some workers, which no other draw holds then. Up to so many have no weights: they are looked at
// one by one.
func (d *draw) fill(workers []*worker, few int, weight func(*worker) float64) {
	d.workers, d.half = append(d.workers[:0], workers...), 0
	for i, w := range workers {
		w.in, w.at = d, i
	}
	if len(workers) <= few {
		return
	}
	for d.half = 1; d.half < len(workers); {
		d.half *= 2
	}
	if n := 2 * d.half; cap(d.sums) < n {
		d.sums = make([]float64, n)
	} else {
		d.sums = d.sums[:n]
		clear(d.sums)
	}
	for i, w := range workers {
		d.sums[d.half+i] = weight(w)
	}
	for i := d.half - 1; i > 0; i-- {
		d.sums[i] = d.sums[2*i] + d.sums[2*i+1]
	}
}

// drawn tells whether the workers have weights.
func (d *draw) drawn() bool { return d.half > 0 }

// weigh gives a worker of the draw another weight. Each sum is made anew, as differences would gather errors.
func (d *draw) weigh(w *worker, weight float64) {
	i := d.half + w.at
	d.sums[i] = weight
	for i /= 2; i > 0; i /= 2 {
		d.sums[i] = d.sums[2*i] + d.sums[2*i+1]
	}
}

// pick gives the worker at a part of all weights, from 0 to below 1, or nil where none has any.
func (d *draw) pick(part float64) *worker {
	if d.sums[1] <= 0 {
		return nil
	}
	x, i := part*d.sums[1], 1
	for i < d.half {
		i *= 2
		if x >= d.sums[i] && d.sums[i+1] > 0 { // Danger: rounding must not lead to a leaf without weight
			x -= d.sums[i]
			i++
		}
	}
	return d.workers[i-d.half]
}

// raceWeight is the weight by which a draw picks each worker as often as the least of cost times e^blur would, with an e
// of its own drawn exponentially for each: of such e/rate the least is that of a worker with a chance in proportion to its
// rate, and here the rate is cost^(-1/blur).
func raceWeight(cost, blur float64) float64 {
	return min(max(math.Pow(cost, -1/blur), leastWeight), mostWeight)
}

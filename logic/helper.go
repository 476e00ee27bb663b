package logic

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"sort"
)

// signTest returns the one-sided p-value of the sign test: the probability that a fair coin gives at least this many losses
// in losses+wins throws.
func signTest(losses, wins float64) float64 {
	lossCount := int(math.Round(losses))
	n := lossCount + int(math.Round(max(0, wins)))
	if n == 0 {
		return 1
	}
	p, logOutcomes := 0.0, float64(n)*math.Ln2
	logFactorialN, _ := math.Lgamma(float64(n + 1))
	for k := lossCount; k <= n; k++ {
		logFactorialK, _ := math.Lgamma(float64(k + 1))
		logFactorialRest, _ := math.Lgamma(float64(n - k + 1))
		p += math.Exp(logFactorialN - logFactorialK - logFactorialRest - logOutcomes)
	}
	return min(p, 1)
}

// addWorker adds a worker to the map and, by id, to sortedWorkers. It replaces a worker with the same id.
func (s *Sentry) addWorker(w *worker) *worker {
	previous, known := s.workers[w.ID]
	if known {
		previous.sampler = nil
	}
	hash := fnv.New32a()
	hash.Write([]byte(w.ID))
	w.bucket = int(hash.Sum32()>>8) % len(s.ownEvidence.bucketLosses)
	s.workers[w.ID] = w
	index := sort.Search(len(s.sortedWorkers), func(i int) bool { return s.sortedWorkers[i].ID >= w.ID })
	if !known {
		s.sortedWorkers = append(s.sortedWorkers, nil)
		copy(s.sortedWorkers[index+1:], s.sortedWorkers[index:])
	}
	s.sortedWorkers[index] = w
	return w
}

// rebuildSamplers fills the samplers from trialWorkers, baselineWorkers and otherWorkers, and lists the unhealthy workers.
func (s *Sentry) rebuildSamplers() {
	s.unhealthy = s.unhealthy[:0]
	for _, w := range s.sortedWorkers {
		if w.sampler, w.unhealthy = nil, w.State == Up && !s.healthy(w); w.unhealthy {
			s.unhealthy = append(s.unhealthy, w)
		}
	}
	s.trialSampler.fill(s.trialWorkers, maxScannedWorkers, s.weight)
	s.baselineSampler.fill(s.baselineWorkers, maxScannedWorkers, s.weight)
	s.otherSampler.fill(s.otherWorkers, maxScannedWorkers, s.weight)
}

// updateWeight updates the weight of a worker in its sampler, and lists it if it has become unhealthy.
func (s *Sentry) updateWeight(w *worker) {
	if w.sampler == nil {
		return
	}
	if w.sampler.weighted() {
		w.sampler.updateWeight(w, s.weight(w))
	}
	if !s.healthy(w) && !w.unhealthy {
		w.unhealthy, s.unhealthy = true, append(s.unhealthy, w)
	}
}

// overrideWeight changes the weight of a worker until restoreWeights is called.
func (s *Sentry) overrideWeight(w *worker, weight float64) {
	w.sampler.updateWeight(w, weight)
	s.reweighted = append(s.reweighted, w)
}

// restoreWeights resets the weights that were overridden.
func (s *Sentry) restoreWeights(sampler *weightedSampler) {
	for _, w := range s.reweighted {
		sampler.updateWeight(w, s.weight(w))
	}
	s.reweighted = s.reweighted[:0]
}

// moments accumulates values for their mean and variance.
type moments struct {
	n, sum, sumSquares float64
	workers            int // number of workers whose values poolTimes merged
}

// add adds a value.
func (v *moments) add(x float64) { v.merge(moments{n: 1, sum: x, sumSquares: x * x}, 1) }

// merge adds the values of o with the given weight.
func (v *moments) merge(o moments, weight float64) {
	v.n += weight * o.n
	v.sum += weight * o.sum
	v.sumSquares += weight * o.sumSquares
}

func (v *moments) mean() float64     { return v.sum / v.n }
func (v *moments) variance() float64 { return max(0, v.sumSquares/v.n-v.mean()*v.mean()) }

// zScore returns by how many standard errors the mean exceeds x. The variance is a weighted mean of the observed one and
// priorVariance, which counts as priorWeight values; deviation is the standard deviation between the pooled workers.
func (v *moments) zScore(x, priorVariance, priorWeight, deviation float64) float64 {
	variance := (v.n*v.variance() + priorWeight*priorVariance) / (v.n + priorWeight)
	return (v.mean() - x) / math.Sqrt(variance/v.n+deviation*deviation*(1/float64(v.workers)+0.2))
}

// poolTimes merges the relative times of the workers without the trimmed slowest ones. It sorts timed, the slowest first.
func poolTimes(timed []*worker, trimmed int) moments {
	slices.SortStableFunc(timed, func(a, b *worker) int {
		return cmp.Compare(b.relativeTime.mean(), a.relativeTime.mean())
	})
	var all moments
	for _, w := range timed[trimmed:] {
		all.merge(w.relativeTime, 1)
		all.workers++
	}
	return all
}

// poissonTail returns the probability that a Poisson distribution with the given mean yields count or more events.
func poissonTail(count, mean float64) float64 {
	p, term := 1.0, math.Exp(-mean)
	for k := 0; k < int(math.Round(count)); k++ {
		p -= term
		term *= mean / float64(k+1)
	}
	return max(p, 0)
}

// sumLargest returns the sum of the n largest values. It sorts the values.
func sumLargest(values []float64, n int) float64 {
	sort.Float64s(values)
	sum := 0.0
	for i := 0; i < n; i++ {
		sum += values[len(values)-1-i]
	}
	return sum
}

// indicator returns 1 for true and 0 for false.
func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

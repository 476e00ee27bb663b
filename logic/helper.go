package logic

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"sort"
)

// signTest is the chance that a fair coin gives at least against heads where it gives favour tails.
func signTest(against, favour float64) float64 {
	a := int(math.Round(against))
	n := a + int(math.Round(max(0, favour)))
	if n == 0 {
		return 1
	}
	p, ln := 0.0, float64(n)*math.Ln2
	top, _ := math.Lgamma(float64(n + 1))
	for k := a; k <= n; k++ {
		x, _ := math.Lgamma(float64(k + 1))
		y, _ := math.Lgamma(float64(n - k + 1))
		p += math.Exp(top - x - y - ln)
	}
	return min(p, 1)
}

// enter puts a worker into the map and, by its id, into the order; it takes the place of one with its id.
func (s *Sentry) enter(w *worker) *worker {
	was, known := s.workers[w.ID]
	if known {
		was.in = nil
	}
	sum := fnv.New32a()
	sum.Write([]byte(w.ID))
	w.group = int(sum.Sum32()>>8) % len(s.own.groups)
	s.workers[w.ID] = w
	at := sort.Search(len(s.order), func(i int) bool { return s.order[i].ID >= w.ID })
	if !known {
		s.order = append(s.order, nil)
		copy(s.order[at+1:], s.order[at:])
	}
	s.order[at] = w
	return w
}

// weighAll has the draws hold the workers as they are arranged, and notes those that are not fit.
func (s *Sentry) weighAll() {
	s.ill = s.ill[:0]
	for _, w := range s.order {
		if w.in, w.ill = nil, w.State == Up && !s.fit(w); w.ill {
			s.ill = append(s.ill, w)
		}
	}
	s.ofTrials.fill(s.trials, fewWorkers, s.weight)
	s.ofBases.fill(s.bases, fewWorkers, s.weight)
	s.ofRest.fill(s.rest, fewWorkers, s.weight)
}

// weigh gives a worker the weight that it has by now, and notes it where it is not fit any more.
func (s *Sentry) weigh(w *worker) {
	if w.in == nil {
		return
	}
	if w.in.drawn() {
		w.in.weigh(w, s.weight(w))
	}
	if !s.fit(w) && !w.ill {
		w.ill, s.ill = true, append(s.ill, w)
	}
}

// without has a pick do with another weight of w.
func (s *Sentry) without(w *worker, weight float64) {
	w.in.weigh(w, weight)
	s.aside = append(s.aside, w)
}

// restore gives all those their weights again.
func (s *Sentry) restore(from *draw) {
	for _, w := range s.aside {
		from.weigh(w, s.weight(w))
	}
	s.aside = s.aside[:0]
}

// spread sums up values for their mean and deviation.
type spread struct {
	n, sum, square float64
	parts          int
}

func (v *spread) add(x float64) { v.join(spread{n: 1, sum: x, square: x * x}, 1) }

func (v *spread) join(o spread, times float64) {
	v.n += times * o.n
	v.sum += times * o.sum
	v.square += times * o.square
}

func (v *spread) mean() float64     { return v.sum / v.n }
func (v *spread) variance() float64 { return max(0, v.square/v.n-v.mean()*v.mean()) }

// over tells by how many standard errors the mean is over x: the variance leans on the usual one as on so many
// values, and the parts differ by themselves.
func (v *spread) over(x, usual, weight, unlike float64) float64 {
	variance := (v.n*v.variance() + weight*usual) / (v.n + weight)
	return (v.mean() - x) / math.Sqrt(variance/v.n+unlike*unlike*(1/float64(v.parts)+0.2))
}

// pooled sums the workers' times but for the slowest ones.
func pooled(side []*worker, out int) spread {
	slices.SortStableFunc(side, func(a, b *worker) int { return cmp.Compare(b.times.mean(), a.times.mean()) })
	var all spread
	for _, w := range side[out:] {
		all.join(w.times, 1)
		all.parts++
	}
	return all
}

// poisson is the chance of at least so many where mean are expected.
func poisson(many, mean float64) float64 {
	p, term := 1.0, math.Exp(-mean)
	for k := 0; k < int(math.Round(many)); k++ {
		p -= term
		term *= mean / float64(k+1)
	}
	return max(p, 0)
}

// worst sums the n largest of the values.
func worst(values []float64, n int) float64 {
	sort.Float64s(values)
	sum := 0.0
	for i := 0; i < n; i++ {
		sum += values[len(values)-1-i]
	}
	return sum
}

func bit(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

package trace

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"dunegrade/logic"
	"dunegrade/trace/tracepb"
)

// Clock is the estimated relation of a run's wall clock to the reference clock, which is the clock of the first run.
type Clock struct {
	Middle int64   // the run's own wall clock at the middle of the recording, nanoseconds since 1970
	Offset float64 // nanoseconds ahead of the reference clock at Middle
	Drift  float64 // nanoseconds gained on the reference clock per nanosecond
	Unsure int64   // largest error of the offset anywhere in the recording, nanoseconds; negative: unbounded
	Bounds int     // number of events that bound the estimate
	Broken int     // number of bounds that were ignored because they contradict the others
}

// ToReference converts a time of the run's own wall clock to the reference clock.
func (c Clock) ToReference(at int64) int64 {
	return at - int64(math.Round(c.Offset+c.Drift*float64(at-c.Middle)))
}

// String returns the estimate in human-readable form.
func (c Clock) String() string {
	if c.Unsure < 0 {
		return "no event relates its clock to the others"
	}
	return fmt.Sprintf("ahead by %v, drift %.1f ppm, within %v, from %d events", time.Duration(c.Offset).Round(time.Microsecond),
		c.Drift*1e6, time.Duration(c.Unsure).Round(time.Microsecond), c.Bounds)
}

// MaxDrift is the largest assumed relative drift of two clocks, as a ratio. Quartz oscillators stay far below it.
const MaxDrift = 500e-6

// offsetBound limits the offset of clock j relative to clock i at one moment.
type offsetBound struct {
	at    int64   // clock j, nanoseconds since 1970
	limit float64 // nanoseconds
	lower bool    // limit is the smallest possible offset rather than the largest
}

// candidate is a possible offset (in nanoseconds) and drift (as a ratio) of a clock.
type candidate struct{ offset, drift float64 }

// region is the set of candidates that satisfy all bounds. Each bound is a half-plane, so the region is a convex polygon.
type region struct {
	middle  int64       // time to which the candidates' offsets refer, nanoseconds since 1970
	corners []candidate // in counterclockwise order
}

// maxClockOffset is the largest offset between two clocks that is considered, one week in nanoseconds.
const maxClockOffset = float64(7 * 24 * 3600 * 1e9)

func newRegion(middle int64) region {
	return region{middle, []candidate{{-maxClockOffset, -MaxDrift}, {maxClockOffset, -MaxDrift}, {maxClockOffset, MaxDrift}, {-maxClockOffset, MaxDrift}}}
}

// clip intersects the region with a bound. It returns false and leaves the region unchanged if the result is empty.
func (r *region) clip(x offsetBound) (ok bool) {
	t := float64(x.at - r.middle)
	excess := func(p candidate) float64 { // positive if p violates the bound
		d := p.offset + p.drift*t - x.limit
		if x.lower {
			return -d
		}
		return d
	}
	var clipped []candidate
	for i, p := range r.corners {
		q := r.corners[(i+1)%len(r.corners)]
		dp, dq := excess(p), excess(q)
		if dp <= 0 {
			clipped = append(clipped, p)
		}
		if dp < 0 && dq > 0 || dp > 0 && dq < 0 {
			k := dp / (dp - dq)
			clipped = append(clipped, candidate{p.offset + k*(q.offset-p.offset), p.drift + k*(q.drift-p.drift)})
		}
	}
	if len(clipped) == 0 {
		return false
	}
	r.corners = clipped
	return true
}

// center returns the mean of the corners, which lies inside the region because it is convex.
func (r *region) center() (c candidate) {
	for _, p := range r.corners {
		c.offset += p.offset / float64(len(r.corners))
		c.drift += p.drift / float64(len(r.corners))
	}
	return c
}

// maxDeviation returns the largest difference between c's offset and that of any other candidate from start to end.
func (r *region) maxDeviation(c candidate, start, end int64) float64 {
	largest := 0.0
	for _, at := range []int64{start, end} {
		t := float64(at - r.middle)
		for _, p := range r.corners {
			largest = max(largest, math.Abs(p.offset-c.offset+(p.drift-c.drift)*t))
		}
	}
	return largest
}

const (
	// maxFitPoints is the number of points above which fitLine computes slopes from a sample of them.
	maxFitPoints = 300

	// minSlopeNanos is the smallest distance of two points whose slope counts; noise dominates the slope of closer ones.
	minSlopeNanos = 1e9

	// minSlopes is the smallest number of slopes from which fitLine estimates a drift; with fewer it assumes none.
	minSlopes = 10
)

// fitLine fits a line by the median slope and offset (Theil–Sen estimator), which tolerates many outliers. It samples
// the points to limit the number of slopes.
func fitLine(middle int64, at []int64, diffs []float64) candidate {
	var slopes, residuals []float64
	step := 1 + len(at)/maxFitPoints
	for i := 0; i < len(at); i += step {
		for k := i + 1; k < len(at); k += step {
			if dt := float64(at[k] - at[i]); math.Abs(dt) > minSlopeNanos {
				slopes = append(slopes, (diffs[k]-diffs[i])/dt)
			}
		}
	}
	c := candidate{}
	if len(slopes) >= minSlopes {
		c.drift = min(MaxDrift, max(-MaxDrift, median(slopes)))
	}
	for i := range at {
		residuals = append(residuals, diffs[i]-c.drift*float64(at[i]-middle))
	}
	c.offset = median(residuals)
	return c
}

func median(values []float64) float64 {
	s := append([]float64(nil), values...)
	sort.Float64s(s)
	if len(s) == 0 {
		return 0
	}
	return (s[(len(s)-1)/2] + s[len(s)/2]) / 2
}

// recordRef identifies a record by its run and its position in the run.
type recordRef struct {
	run   int
	at    int64 // the run's own wall clock, nanoseconds since 1970
	index int   // position among the run's records, from 0
}

// happensBefore relates two records whose order is certain regardless of the clocks.
type happensBefore struct{ before, after recordRef }

// attempt is a request of a client that sent a trace id with it.
type attempt struct {
	taken, ended recordRef // ended.index is 0 if no end was recorded
	repeat       bool      // the client marked the request as a repeat
}

// clockEvidence holds the events that relate the clocks of several runs to each other.
type clockEvidence struct {
	start    []int64                  // by run: earliest time, the run's own wall clock, nanoseconds since 1970
	end      []int64                  // by run: latest time, likewise
	received map[uint64][]recordRef   // peer messages received, by messageKey
	sent     map[uint64][]recordRef   // peer messages sent, by messageKey
	attempts map[[2]uint64][]attempt  // by trace id
	updates  []map[string][]recordRef // by run: release and worker updates from the platform
}

// collectEvidence reads all records of the runs once and collects the events that relate their clocks.
func collectEvidence(runs []*Run, onDamage func(string, Damage)) (*clockEvidence, error) {
	s := &clockEvidence{start: make([]int64, len(runs)), end: make([]int64, len(runs)), received: map[uint64][]recordRef{}, sent: map[uint64][]recordRef{},
		attempts: map[[2]uint64][]attempt{}}
	for i, l := range runs {
		offset := l.Headers[0].Wall - l.Headers[0].Start
		index, first := 0, true
		type attemptRef struct {
			traceID [2]uint64
			index   int // in clockEvidence.attempts
		}
		open := map[uint64]attemptRef{}
		ends := map[uint64]string{}
		updates := map[string][]recordRef{}
		releaseUpdates := 0
		err := l.Each(func(r *Record, _ []string) bool {
			at := r.At + offset
			if first {
				s.start[i], s.end[i], first = at, at, false
			}
			s.start[i], s.end[i] = min(s.start[i], at), max(s.end[i], at)
			ref := recordRef{i, at, index}
			index++
			switch r.Kind {
			case tracepb.Kind_TELL:
				k := messageKey(l.Sentry, r.Number, r.Body)
				s.sent[k] = append(s.sent[k], ref)
			case tracepb.Kind_TOLD:
				k := messageKey(r.Number, l.Sentry, r.Body)
				s.received[k] = append(s.received[k], ref)
			case tracepb.Kind_NEWS:
				var m tracepb.News
				// The first update carries the state at start-up rather than a change.
				if releaseUpdates++; releaseUpdates > 1 && proto.Unmarshal(r.Body, &m) == nil && !m.Answer {
					// The update's age, measured by the platform, dates back to the moment at which the release changed.
					k := fmt.Sprintf("release %d %d %d %g", m.Build, m.Stage, m.Phase, m.Cap)
					updates[k] = append(updates[k], recordRef{i, at - m.Age, index - 1})
				}
			case tracepb.Kind_LIST:
				var m tracepb.List
				if logic.ListMode(r.Number) == logic.Changes && proto.Unmarshal(r.Body, &m) == nil {
					for _, w := range m.Workers {
						k := fmt.Sprintf("worker %s %d %d", w.Id, w.Build, w.State)
						updates[k] = append(updates[k], ref)
					}
				}
			case tracepb.Kind_TAKE:
				if r.TraceID != [2]uint64{} {
					open[r.Txn] = attemptRef{r.TraceID, len(s.attempts[r.TraceID])}
					s.attempts[r.TraceID] = append(s.attempts[r.TraceID], attempt{taken: ref, repeat: r.Repeat})
					ends[r.Txn] = "cut"
				}
			}
			if o, known := open[r.Txn]; known && r.Txn != 0 {
				if end := endingAfter(ends[r.Txn], r); end != "cut" {
					if end != "left" { // a client can send its next attempt before the edge sees that it left
						s.attempts[o.traceID][o.index].ended = ref
					}
					delete(open, r.Txn)
					delete(ends, r.Txn)
				}
			}
			return true
		}, onDamage)
		if err != nil {
			return nil, err
		}
		s.updates = append(s.updates, updates)
	}
	return s, nil
}

// messageKey identifies a peer message by its sender, its receiver and its content.
func messageKey(from, to uint32, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.Write(uint64Bytes(uint64(from)<<32 | uint64(to)))
	d.Write(body)
	return d.Sum64()
}

// certainOrder returns the relations that hold regardless of the clocks: a message was sent before it was received, and
// a request that its client marked as a repeat came after the end of the previous attempt, or after the start of that
// attempt if no end was recorded.
func (s *clockEvidence) certainOrder() (relations []happensBefore) {
	for k, to := range s.received {
		if from := s.sent[k]; len(from) == 1 && len(to) == 1 && from[0].run != to[0].run {
			relations = append(relations, happensBefore{from[0], to[0]})
		}
	}
	for _, attempts := range s.attempts {
		if len(attempts) == 2 && attempts[0].repeat != attempts[1].repeat {
			a, b := attempts[0], attempts[1]
			if a.repeat {
				a, b = b, a
			}
			relations = append(relations, attemptOrder(a, b))
		}
	}
	sortRelations(relations)
	return relations
}

// sortRelations sorts relations by their later record, so that results do not depend on map order.
func sortRelations(relations []happensBefore) {
	sort.Slice(relations, func(i, j int) bool {
		a, b := relations[i].after, relations[j].after
		return a.run < b.run || a.run == b.run && (a.index < b.index || a.index == b.index && relations[i].before.run < relations[j].before.run)
	})
}

// attemptOrder relates attempt a to the later attempt b of the same client.
func attemptOrder(a, b attempt) happensBefore {
	if a.ended.index > 0 {
		return happensBefore{a.ended, b.taken}
	}
	return happensBefore{a.taken, b.taken}
}

// EstimateClocks estimates each run's clock relative to that of the first run. Messages and client repeats bound the
// difference of two clocks because their order is certain; updates that the platform sends to all sentries bound it
// because they arrive at about the same time. The bounds leave a region of offsets and drifts, a convex polygon, as in
// Duda, Harrus, Haddad and Bernard, "Estimating global time in distributed systems", ICDCS 1987. The estimate is a point
// inside the region, and the region's extent is the uncertainty. Runs that share no event with the first run are related
// to it through other runs, along the path of least uncertainty.
func EstimateClocks(runs []*Run, onDamage func(path string, d Damage)) ([]Clock, error) {
	s, err := collectEvidence(runs, onDamage)
	if err != nil {
		return nil, err
	}
	clocks, _ := s.estimateClocks()
	return clocks, nil
}

// estimateClocks returns the estimated clocks and the relations that they are based on.
func (s *clockEvidence) estimateClocks() ([]Clock, []happensBefore) {
	certain := s.certainOrder()
	clocks := s.solve(certain)
	// Attempts with the same trace id that are not marked as repeats add bounds where the estimated clocks leave no doubt
	// about their order.
	extended := certain
	for _, attempts := range s.attempts {
		sort.Slice(attempts, func(i, j int) bool {
			a, b := attempts[i].taken, attempts[j].taken
			return clocks[a.run].ToReference(a.at) < clocks[b.run].ToReference(b.at)
		})
		for k := 1; k < len(attempts); k++ {
			a, b := attempts[k-1], attempts[k]
			ca, cb := clocks[a.taken.run], clocks[b.taken.run]
			if a.taken.run == b.taken.run || len(attempts) == 2 && attempts[0].repeat != attempts[1].repeat || ca.Unsure < 0 || cb.Unsure < 0 {
				continue
			}
			if cb.ToReference(b.taken.at)-ca.ToReference(a.taken.at) > 2*(ca.Unsure+cb.Unsure) {
				extended = append(extended, attemptOrder(a, b))
			}
		}
	}
	if len(extended) == len(certain) {
		return clocks, certain
	}
	sortRelations(extended)
	return s.solve(extended), extended
}

// pairEstimate estimates the clock of one run relative to that of another.
type pairEstimate struct {
	region
	fitted       *candidate // line through the updates that both runs received; nil if there is none
	best         candidate  // the estimate
	uncertainty  float64    // largest error of best's offset, nanoseconds
	bounds       int        // number of events that bound the estimate
	contradicted int        // number of bounds ignored because they contradict the others
}

// estimatePair estimates the clock of run j relative to that of run i.
func (s *clockEvidence) estimatePair(i, j int, certain []offsetBound) *pairEstimate {
	start, end := max(s.start[i], s.start[j]), min(s.end[i], s.end[j])
	if end <= start { // by their clocks, the runs do not overlap
		start, end = s.start[j], s.end[j]
	}
	p := &pairEstimate{region: newRegion((s.start[j] + s.end[j]) / 2)}
	p.applyBounds(certain)
	if p.contradicted == 0 {
		p.applyUpdates(s.updates[i], s.updates[j])
	} else {
		// At least one of the certain bounds is wrong, possibly the first. Start over from the platform's updates, most of
		// which agree, so that the wrong bound is the one found to contradict the region.
		*p = pairEstimate{region: newRegion(p.middle)}
		p.applyUpdates(s.updates[i], s.updates[j])
		p.applyBounds(certain)
	}
	if p.best = p.center(); p.fitted != nil && p.contains(*p.fitted) {
		p.best = *p.fitted
	}
	p.uncertainty = p.maxDeviation(p.best, start, end)
	return p
}

// applyBounds clips the region by bounds from relations that are certain, and counts those that contradict it.
func (p *pairEstimate) applyBounds(bounds []offsetBound) {
	for _, x := range bounds {
		p.bounds++
		if !p.clip(x) {
			p.contradicted++
		}
	}
}

// maxMarginDoublings limits how often applyUpdates doubles its margin to find a band that overlaps the region.
const maxMarginDoublings = 20

// applyUpdates clips the region by the platform's updates that each run received exactly once, so that there is no doubt
// that both received the same update.
func (p *pairEstimate) applyUpdates(first, second map[string][]recordRef) {
	var at []int64
	var diffs []float64
	keys := make([]string, 0, len(second))
	for k := range second {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		if a, b := first[k], second[k]; len(a) == 1 && len(b) == 1 {
			at, diffs = append(at, b[0].at), append(diffs, float64(b[0].at-a[0].at))
		}
	}
	if len(at) == 0 {
		return
	}
	line := fitLine(p.middle, at, diffs)
	var residuals []float64
	for k := range at {
		residuals = append(residuals, math.Abs(diffs[k]-line.offset-line.drift*float64(at[k]-p.middle)))
	}
	margin := max(5*median(residuals), maxUpdateSkew)
	if len(at) < 5 { // too few updates to show how late one can be
		margin = max(margin, 2*maxUpdateSkew)
	}
	// Updates are late at random, so a band around each of them would shrink the region until it excluded the true clock.
	// A single band around the fitted line avoids that. Updates that reached one of the two runs late lie far outside it
	// and do not count.
	start, end := slices.Min(at), slices.Max(at)
	for try := 0; try < maxMarginDoublings; try, margin = try+1, margin*2 {
		clipped, ok := region{p.middle, p.corners}, true
		for _, t := range []int64{start, end + 1} {
			mid := line.offset + line.drift*float64(t-p.middle)
			ok = ok && clipped.clip(offsetBound{t, mid + margin, false}) && clipped.clip(offsetBound{t, mid - margin, true})
		}
		if !ok {
			continue
		}
		for k := range at {
			if residuals[k] <= margin {
				p.bounds++
			}
		}
		p.region, p.fitted = clipped, &line
		return
	}
}

// maxUpdateSkew is an assumed bound, in nanoseconds, on how much later one sentry receives an update than another. It
// covers a systematic lag, which the events cannot reveal, such as that of a platform that serves its sentries in turn.
const maxUpdateSkew = 50e6

// contains reports whether a candidate is in the region.
func (r *region) contains(c candidate) bool {
	for i, p := range r.corners {
		q := r.corners[(i+1)%len(r.corners)]
		if (q.offset-p.offset)*(c.drift-p.drift)-(q.drift-p.drift)*(c.offset-p.offset) < 0 {
			return false
		}
	}
	return true
}

// solve estimates all clocks relative to the first. Each is reached along the path of least uncertainty: as in Prim's
// algorithm, the next clock added is the one with the smallest total.
func (s *clockEvidence) solve(relations []happensBefore) []Clock {
	n := len(s.start)
	certain := map[[2]int][]offsetBound{}
	for _, c := range relations {
		i, j := c.before.run, c.after.run
		// The clock of the later record is ahead of that of the earlier one by at most the difference of their times.
		certain[[2]int{i, j}] = append(certain[[2]int{i, j}], offsetBound{c.after.at, float64(c.after.at - c.before.at), false})
		certain[[2]int{j, i}] = append(certain[[2]int{j, i}], offsetBound{c.before.at, float64(c.before.at - c.after.at), true})
	}
	clocks := make([]Clock, n)
	solved := make([]bool, n)
	for i := range clocks {
		clocks[i] = Clock{Middle: (s.start[i] + s.end[i]) / 2, Unsure: -1}
	}
	if n == 0 {
		return clocks
	}
	clocks[0].Unsure, solved[0] = 0, true
	pairs := map[[2]int]*pairEstimate{}
	for {
		best, reference := -1, -1
		lowest := math.Inf(1)
		for i := range clocks {
			for j := range clocks {
				if !solved[i] || solved[j] {
					continue
				}
				p := pairs[[2]int{i, j}]
				if p == nil {
					p = s.estimatePair(i, j, certain[[2]int{i, j}])
					pairs[[2]int{i, j}] = p
				}
				if sum := float64(clocks[i].Unsure) + p.uncertainty; p.uncertainty < maxClockOffset/2 && sum < lowest {
					best, reference, lowest = j, i, sum
				}
			}
		}
		if best < 0 {
			return clocks
		}
		// Compose the estimate relative to the clock via with the estimate of via itself.
		p, via := pairs[[2]int{reference, best}], clocks[reference]
		at := float64(p.middle) - p.best.offset // via's clock at p.middle
		offset := p.best.offset + via.Offset + via.Drift*(at-float64(via.Middle))
		clocks[best] = Clock{Middle: p.middle, Offset: offset, Drift: p.best.drift + via.Drift*(1-p.best.drift), Unsure: int64(math.Ceil(lowest)), Bounds: p.bounds,
			Broken: p.contradicted}
		solved[best] = true
	}
}

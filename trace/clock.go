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

// Clock says what a life's clock showed beside the first life's: true time is what the first one shows.
type Clock struct {
	Middle int64   // moment of the life's own wall clock, nanoseconds since 1970
	Offset float64 // nanoseconds that it was ahead at that moment
	Drift  float64 // nanoseconds that it gained in each
	Unsure int64   // the offset may be off by so much, anywhere in what was recorded; negative: nothing binds it
	Bounds int     // events that bound it
	Broken int     // bounds that contradict the others, and were left aside
}

// True turns a moment of the life's own wall clock into one of the first life's.
func (c Clock) True(at int64) int64 {
	return at - int64(math.Round(c.Offset+c.Drift*float64(at-c.Middle)))
}

// String is for people.
func (c Clock) String() string {
	if c.Unsure < 0 {
		return "nothing binds its clock to the others'"
	}
	return fmt.Sprintf("ahead by %v, drift %.1f ppm, within %v, from %d events", time.Duration(c.Offset).Round(time.Microsecond),
		c.Drift*1e6, time.Duration(c.Unsure).Round(time.Microsecond), c.Bounds)
}

// Fastest is how fast two clocks may part at the most: crystals are far better than this.
const Fastest = 500e-6

// bound is one thing known of a clock that is j's less i's, at a moment of j's: at most, or at least, so much.
type bound struct {
	at    int64
	limit float64
	least bool
}

// point is a candidate: offset and drift.
type point struct{ a, b float64 }

// region is the set of candidates that fit all bounds: a convex polygon. Each bound cuts a half off it.
type region struct {
	middle  int64
	corners []point
}

// farthest is how far clocks may be apart at the most, in nanoseconds: a week.
const farthest = float64(7 * 24 * 3600 * 1e9)

func newRegion(middle int64) region {
	return region{middle, []point{{-farthest, -Fastest}, {farthest, -Fastest}, {farthest, Fastest}, {-farthest, Fastest}}}
}

// cut leaves what fits a bound; empty: nothing did, and the region is as it was.
func (r *region) cut(x bound) (ok bool) {
	t := float64(x.at - r.middle)
	over := func(p point) float64 { // above 0: it does not fit
		d := p.a + p.b*t - x.limit
		if x.least {
			return -d
		}
		return d
	}
	var out []point
	for i, p := range r.corners {
		q := r.corners[(i+1)%len(r.corners)]
		dp, dq := over(p), over(q)
		if dp <= 0 {
			out = append(out, p)
		}
		if dp < 0 && dq > 0 || dp > 0 && dq < 0 {
			k := dp / (dp - dq)
			out = append(out, point{p.a + k*(q.a-p.a), p.b + k*(q.b-p.b)})
		}
	}
	if len(out) == 0 {
		return false
	}
	r.corners = out
	return true
}

// center is the mean of the corners: inside, as the region is convex.
func (r *region) center() (c point) {
	for _, p := range r.corners {
		c.a += p.a / float64(len(r.corners))
		c.b += p.b / float64(len(r.corners))
	}
	return c
}

// spread is how far a candidate's offset can be from any other's within a span.
func (r *region) spread(c point, from, till int64) float64 {
	most := 0.0
	for _, at := range []int64{from, till} {
		t := float64(at - r.middle)
		for _, p := range r.corners {
			most = max(most, math.Abs(p.a-c.a+(p.b-c.b)*t))
		}
	}
	return most
}

// fitLine is the line of the median slope and offset (Theil and Sen): half the points may be wrong.
func fitLine(middle int64, at []int64, d []float64) point {
	var slopes, rest []float64
	step := 1 + len(at)/300
	for i := 0; i < len(at); i += step {
		for k := i + 1; k < len(at); k += step {
			if dt := float64(at[k] - at[i]); math.Abs(dt) > 1e9 {
				slopes = append(slopes, (d[k]-d[i])/dt)
			}
		}
	}
	c := point{}
	if len(slopes) >= 10 {
		c.b = min(Fastest, max(-Fastest, median(slopes)))
	}
	for i := range at {
		rest = append(rest, d[i]-c.b*float64(at[i]-middle))
	}
	c.a = median(rest)
	return c
}

func median(v []float64) float64 {
	s := append([]float64(nil), v...)
	sort.Float64s(s)
	if len(s) == 0 {
		return 0
	}
	return (s[(len(s)-1)/2] + s[len(s)/2]) / 2
}

// spot is where a record stands: whose it is, at which of its moments, and as which of its records.
type spot struct {
	life int
	at   int64 // own wall clock, nanoseconds since 1970
	n    int   // of the life's records
}

// cause binds two records: the one was before the other, whatever the clocks say.
type cause struct{ before, after spot }

// tried is a try of a client, by a trace id that it sent.
type tried struct {
	taken, ended spot // ended.n 0: it is not known to have
	repeat       bool // the client said so
}

// signs is what scanning some lives gathers to hold their clocks against each other.
type signs struct {
	from, till []int64 // of each life
	told       map[uint64][]spot
	tell       map[uint64][]spot
	tries      map[[2]uint64][]tried
	news       []map[string][]spot // by life: what the platform told, and when
}

// scan reads the lives once.
func scan(lives []*Life, hurt func(string, Damage)) (*signs, error) {
	s := &signs{from: make([]int64, len(lives)), till: make([]int64, len(lives)), told: map[uint64][]spot{}, tell: map[uint64][]spot{},
		tries: map[[2]uint64][]tried{}}
	for i, l := range lives {
		offset := l.Headers[0].Wall - l.Headers[0].Start
		n, first := 0, true
		type opened struct {
			id [2]uint64
			at int
		}
		open := map[uint64]opened{}
		ends := map[uint64]string{}
		news := map[string][]spot{}
		said := 0
		err := l.Each(func(r *Record, _ []string) bool {
			at := r.At + offset
			if first {
				s.from[i], s.till[i], first = at, at, false
			}
			s.from[i], s.till[i] = min(s.from[i], at), max(s.till[i], at)
			here := spot{i, at, n}
			n++
			switch r.Kind {
			case tracepb.Kind_TELL:
				k := messageKey(l.Sentry, r.Number, r.Body)
				s.tell[k] = append(s.tell[k], here)
			case tracepb.Kind_TOLD:
				k := messageKey(r.Number, l.Sentry, r.Body)
				s.told[k] = append(s.told[k], here)
			case tracepb.Kind_NEWS:
				var m tracepb.News
				if said++; said > 1 && proto.Unmarshal(r.Body, &m) == nil && !m.Answer { // the first is what was so at the start
					// Its age is told with it, by the platform's clock; that far back it was so.
					k := fmt.Sprintf("release %d %d %d %g", m.Build, m.Stage, m.Phase, m.Cap)
					news[k] = append(news[k], spot{i, at - m.Age, n - 1})
				}
			case tracepb.Kind_LIST:
				var m tracepb.List
				if logic.ListMode(r.Number) == logic.Changes && proto.Unmarshal(r.Body, &m) == nil {
					for _, w := range m.Workers {
						k := fmt.Sprintf("worker %s %d %d", w.Id, w.Build, w.State)
						news[k] = append(news[k], here)
					}
				}
			case tracepb.Kind_TAKE:
				if r.TraceID != [2]uint64{} {
					open[r.Txn] = opened{r.TraceID, len(s.tries[r.TraceID])}
					s.tries[r.TraceID] = append(s.tries[r.TraceID], tried{taken: here, repeat: r.Repeat})
					ends[r.Txn] = "cut"
				}
			}
			if o, known := open[r.Txn]; known && r.Txn != 0 {
				if end := endAfter(ends[r.Txn], r); end != "cut" {
					if end != "left" { // a client that left may have sent the next one before
						s.tries[o.id][o.at].ended = here
					}
					delete(open, r.Txn)
					delete(ends, r.Txn)
				}
			}
			return true
		}, hurt)
		if err != nil {
			return nil, err
		}
		s.news = append(s.news, news)
	}
	return s, nil
}

func messageKey(from, to uint32, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	d.Write(uint64Bytes(uint64(from)<<32 | uint64(to)))
	d.Write(body)
	return d.Sum64()
}

// causes lists what is certain whatever the clocks say: a message was sent before it came, and a repeat that its client
// marks as one came after the try before it had begun, or ended if it was answered.
func (s *signs) causes() (out []cause) {
	for k, to := range s.told {
		if from := s.tell[k]; len(from) == 1 && len(to) == 1 && from[0].life != to[0].life {
			out = append(out, cause{from[0], to[0]})
		}
	}
	for _, list := range s.tries {
		if len(list) == 2 && list[0].repeat != list[1].repeat {
			a, b := list[0], list[1]
			if a.repeat {
				a, b = b, a
			}
			out = append(out, orderOf(a, b))
		}
	}
	sortCauses(out)
	return out
}

func sortCauses(list []cause) {
	sort.Slice(list, func(i, j int) bool {
		a, b := list[i].after, list[j].after
		return a.life < b.life || a.life == b.life && (a.n < b.n || a.n == b.n && list[i].before.life < list[j].before.life)
	})
}

func orderOf(a, b tried) cause {
	if a.ended.n > 0 {
		return cause{a.ended, b.taken}
	}
	return cause{a.taken, b.taken}
}

// Clocks estimates each life's clock against the first one's, from events that bound each other: messages and client's
// repeats, whose order is certain, and what the platform told all, which came to all at about the same time. The bounds
// of two lives leave a region of offsets and drifts (a convex polygon, as in Duda, Harrus, Haddad and Bernard, "Estimating
// global time in distributed systems", ICDCS 1987); its middle is the estimate, its width what is not known. Lives that
// share no event with the first are bound through others, by the way that leaves the least unknown.
func Clocks(lives []*Life, hurt func(path string, d Damage)) ([]Clock, error) {
	s, err := scan(lives, hurt)
	if err != nil {
		return nil, err
	}
	clocks, _ := s.clocks()
	return clocks, nil
}

// clocks also gives the causes that are certain once the clocks are known.
func (s *signs) clocks() ([]Clock, []cause) {
	sure := s.causes()
	clocks := s.solve(sure)
	// Tries of one trace id whose order the clocks leave no doubt of bound them further, though no client marked them.
	more := sure
	for _, list := range s.tries {
		sort.Slice(list, func(i, j int) bool {
			a, b := list[i].taken, list[j].taken
			return clocks[a.life].True(a.at) < clocks[b.life].True(b.at)
		})
		for k := 1; k < len(list); k++ {
			a, b := list[k-1], list[k]
			ca, cb := clocks[a.taken.life], clocks[b.taken.life]
			if a.taken.life == b.taken.life || len(list) == 2 && list[0].repeat != list[1].repeat || ca.Unsure < 0 || cb.Unsure < 0 {
				continue
			}
			if cb.True(b.taken.at)-ca.True(a.taken.at) > 2*(ca.Unsure+cb.Unsure) {
				more = append(more, orderOf(a, b))
			}
		}
	}
	if len(more) == len(sure) {
		return clocks, sure
	}
	sortCauses(more)
	return s.solve(more), more
}

// pairing is what is known of two lives' clocks: the second's less the first's.
type pairing struct {
	region
	line   *point // that fits what both were told; nil: nothing does
	est    point
	unsure float64
	bounds int
	broken int
}

// pair holds the clock of life j against that of life i.
func (s *signs) pair(i, j int, certain []bound) *pairing {
	from, till := max(s.from[i], s.from[j]), min(s.till[i], s.till[j])
	if till <= from { // never alive together, by their clocks
		from, till = s.from[j], s.till[j]
	}
	p := &pairing{region: newRegion((s.from[j] + s.till[j]) / 2)}
	p.certain(certain)
	if p.broken == 0 {
		p.told(s.news[i], s.news[j])
	} else {
		// One of them must be wrong, and the first is as likely to be it as any. What the platform told goes first
		// then: the most of it agrees.
		*p = pairing{region: newRegion(p.middle)}
		p.told(s.news[i], s.news[j])
		p.certain(certain)
	}
	if p.est = p.center(); p.line != nil && p.holds(*p.line) {
		p.est = *p.line
	}
	p.unsure = p.spread(p.est, from, till)
	return p
}

// certain cuts off what does not fit bounds that hold whatever the clocks show.
func (p *pairing) certain(list []bound) {
	for _, x := range list {
		p.bounds++
		if !p.cut(x) {
			p.broken++
		}
	}
}

// told does the same by what both were told: once by each, so that there is no doubt which is which.
func (p *pairing) told(first, second map[string][]spot) {
	var at []int64
	var d []float64
	keys := make([]string, 0, len(second))
	for k := range second {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	for _, k := range keys {
		if a, b := first[k], second[k]; len(a) == 1 && len(b) == 1 {
			at, d = append(at, b[0].at), append(d, float64(b[0].at-a[0].at))
		}
	}
	if len(at) == 0 {
		return
	}
	line := fitLine(p.middle, at, d)
	var off []float64
	for k := range at {
		off = append(off, math.Abs(d[k]-line.a-line.b*float64(at[k]-p.middle)))
	}
	wide := max(5*median(off), toldWithin)
	if len(at) < 5 { // a few events say little of how late one can be
		wide = max(wide, 2*toldWithin)
	}
	// Danger: a band around each event would leave less the more events there are, and soon not the truth. What is
	// told is late by chance, so it is the line that is known, within a band. What came late to one of the two is far
	// off it, and does not count.
	from, till := slices.Min(at), slices.Max(at)
	for try := 0; try < 20; try, wide = try+1, wide*2 {
		trial, ok := region{p.middle, p.corners}, true
		for _, t := range []int64{from, till + 1} {
			mid := line.a + line.b*float64(t-p.middle)
			ok = ok && trial.cut(bound{t, mid + wide, false}) && trial.cut(bound{t, mid - wide, true})
		}
		if !ok {
			continue
		}
		for k := range at {
			if off[k] <= wide {
				p.bounds++
			}
		}
		p.region, p.line = trial, &line
		return
	}
}

// toldWithin is how much later than another a sentry may be told all the same: the events cannot show that one is always
// told first, as where the platform serves them in turn. It is taken on trust, in nanoseconds.
const toldWithin = 50e6

// holds tells whether a candidate is in the region; the corners go round it against the clock.
func (r *region) holds(c point) bool {
	for i, p := range r.corners {
		q := r.corners[(i+1)%len(r.corners)]
		if (q.a-p.a)*(c.b-p.b)-(q.b-p.b)*(c.a-p.a) < 0 {
			return false
		}
	}
	return true
}

// solve binds all lives to the first, each by the way of least doubt.
func (s *signs) solve(causes []cause) []Clock {
	n := len(s.from)
	certain := map[[2]int][]bound{}
	for _, c := range causes {
		i, j := c.before.life, c.after.life
		// The later's clock less the earlier's is at most the difference of what they showed.
		certain[[2]int{i, j}] = append(certain[[2]int{i, j}], bound{c.after.at, float64(c.after.at - c.before.at), false})
		certain[[2]int{j, i}] = append(certain[[2]int{j, i}], bound{c.before.at, float64(c.before.at - c.after.at), true})
	}
	clocks := make([]Clock, n)
	bound := make([]bool, n)
	for i := range clocks {
		clocks[i] = Clock{Middle: (s.from[i] + s.till[i]) / 2, Unsure: -1}
	}
	if n == 0 {
		return clocks
	}
	clocks[0].Unsure, bound[0] = 0, true
	pairs := map[[2]int]*pairing{}
	for {
		best, from := -1, -1
		least := math.Inf(1)
		for i := range clocks {
			for j := range clocks {
				if !bound[i] || bound[j] {
					continue
				}
				p := pairs[[2]int{i, j}]
				if p == nil {
					p = s.pair(i, j, certain[[2]int{i, j}])
					pairs[[2]int{i, j}] = p
				}
				if sum := float64(clocks[i].Unsure) + p.unsure; p.unsure < farthest/2 && sum < least {
					best, from, least = j, i, sum
				}
			}
		}
		if best < 0 {
			return clocks
		}
		// The way through another: first to that one's clock, then on from there.
		p, via := pairs[[2]int{from, best}], clocks[from]
		at := float64(p.middle) - p.est.a // what via's clock showed
		offset := p.est.a + via.Offset + via.Drift*(at-float64(via.Middle))
		clocks[best] = Clock{Middle: p.middle, Offset: offset, Drift: p.est.b + via.Drift*(1-p.est.b), Unsure: int64(math.Ceil(least)), Bounds: p.bounds,
			Broken: p.broken}
		bound[best] = true
	}
}

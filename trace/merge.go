package trace

import (
	"fmt"
	"io"
	"iter"
	"sort"

	"google.golang.org/protobuf/proto"

	"dunegrade/trace/tracepb"
)

// Merged is what a merge came to.
type Merged struct {
	Clocks  []Clock
	Records int
	Held    int // records that the clocks would have put before their cause
	Loops   int // causes that contradict each other, so that one of them was not kept
}

// stream is a life's records in the order of its own clock.
type stream struct {
	next  func() (Record, string, bool)
	stop  func()
	clock Clock
	shift int64 // from the sentry's clock to its wall clock
	head  Record
	name  string // of the head's worker
	at    int64  // of the head, by the first life's clock
	floor int64  // nothing of it comes before this any more
	n     int    // of the head
	done  bool
	fault error
}

// records gives a life's records in order, with the name of each one's worker. Files whose txns were written when they
// had ended are sorted.
func (l *Life) records(hurt func(string, Damage), fault *error) iter.Seq2[Record, string] {
	ordered := true
	for _, h := range l.Headers {
		ordered = ordered && h.Level == LevelWhole
	}
	if ordered {
		return func(yield func(Record, string) bool) {
			*fault = l.Each(func(r *Record, names []string) bool { return yield(*r, names[r.Worker]) }, hurt)
		}
	}
	return func(yield func(Record, string) bool) {
		type one struct {
			r    Record
			name string
		}
		var all []one
		*fault = l.Each(func(r *Record, names []string) bool {
			x := *r
			x.Body = append([]byte(nil), r.Body...)
			all = append(all, one{x, names[r.Worker]})
			return true
		}, hurt)
		sort.SliceStable(all, func(i, j int) bool { return all[i].r.At < all[j].r.At })
		for i := range all {
			if !yield(all[i].r, all[i].name) {
				return
			}
		}
	}
}

func (s *stream) advance() {
	var ok bool
	if s.head, s.name, ok = s.next(); !ok {
		s.done = true
		return
	}
	s.n++
	s.at = max(s.floor, s.clock.ToReference(s.head.At+s.shift))
	s.floor = s.at
}

// merging walks some lives in one order: by the first one's clock, and never an effect before its cause.
type merging struct {
	out     Merged
	streams []*stream
	waits   []map[int][]recordRef // by life: the causes that its record number n waits for
}

// merge gives each record of the lives, with its life's place and its time, in one order. What the clocks leave in
// doubt is within their Unsure.
func merge(lives []*Life, hurt func(string, Damage), do func(life int, at int64, r *Record, worker string) error) (*Merged, error) {
	s, err := collectEvidence(lives, hurt)
	if err != nil {
		return nil, err
	}
	clocks, causes := s.estimateClocks()
	m := &merging{out: Merged{Clocks: clocks}}
	quiet := func(string, Damage) {}
	if hurt == nil {
		quiet = nil
	}
	for i, l := range lives {
		x := &stream{clock: clocks[i], shift: l.Headers[0].Wall - l.Headers[0].Start, n: -1, floor: -1 << 62}
		x.next, x.stop = iter.Pull2(l.records(quiet, &x.fault))
		defer x.stop()
		m.streams = append(m.streams, x)
		m.waits = append(m.waits, map[int][]recordRef{})
	}
	// Positions in a sorted file are not those of the scan: such files take part by their clocks alone.
	for _, c := range causes {
		if lives[c.before.run].whole() && lives[c.after.run].whole() {
			m.waits[c.after.run][c.after.index] = append(m.waits[c.after.run][c.after.index], c.before)
		}
	}
	for _, x := range m.streams {
		x.advance()
	}
	for {
		k := m.first()
		if k < 0 {
			break
		}
		x := m.streams[k]
		if x.head.Kind != tracepb.Kind_WORKER && x.head.Kind != tracepb.Kind_BACK {
			m.out.Records++
			if err := do(k, x.at, &x.head, x.name); err != nil {
				return nil, err
			}
		}
		x.advance()
	}
	for _, x := range m.streams {
		if x.fault != nil {
			return nil, x.fault
		}
	}
	return &m.out, nil
}

func (l *Life) whole() bool { return l.Headers[0].Level == LevelWhole && l.origin == 0 }

// first picks the stream whose head is next: the earliest whose causes are all through. -1: all are through.
func (m *merging) first() int {
	best, blocked := -1, -1
	for k, x := range m.streams {
		if x.done {
			continue
		}
		if !m.free(k) {
			if blocked < 0 || x.at < m.streams[blocked].at {
				blocked = k
			}
			continue
		}
		if best < 0 || x.at < m.streams[best].at {
			best = k
		}
	}
	if best < 0 && blocked >= 0 {
		m.out.Loops++
		return blocked
	}
	return best
}

// free tells whether a head's causes are through, and moves it behind them.
func (m *merging) free(k int) bool {
	x := m.streams[k]
	list := m.waits[k][x.n]
	for _, c := range list {
		if y := m.streams[c.run]; !y.done && y.n <= c.index {
			return false
		}
	}
	if len(list) == 0 {
		return true
	}
	late := x.at
	for _, c := range list {
		late = max(late, m.streams[c.run].clock.ToReference(c.at))
	}
	if late > x.at {
		m.out.Held++
		x.at, x.floor = late, late
	}
	delete(m.waits[k], x.n)
	return true
}

// Merge writes some lives as one file, in one order, by the first one's clock. The file is a part: it cannot be
// replayed, as its times are no longer those that the decisions were made on.
func Merge(lives []*Life, w io.Writer, hurt func(path string, d Damage)) (*Merged, error) {
	if len(lives) == 0 {
		return nil, fmt.Errorf("trace: nothing to merge")
	}
	h := &tracepb.Header{Version: Version, Edge: "merged", Level: LevelPart, Products: lives[0].Headers[0].Products, Customers: lives[0].Headers[0].Customers}
	for _, l := range lives {
		if l.origin != 0 {
			return nil, fmt.Errorf("trace: %s is a merged file already; merge the files that it was made of", l.Paths[0])
		}
		if fmt.Sprint(l.Headers[0].Products) != fmt.Sprint(h.Products) {
			return nil, fmt.Errorf("trace: %s has the products %v, %s has %v; such files cannot be merged", l.Paths[0], l.Headers[0].Products,
				lives[0].Paths[0], h.Products)
		}
	}
	s, err := collectEvidence(lives, hurt)
	if err != nil {
		return nil, err
	}
	clocks, _ := s.estimateClocks()
	for i, l := range lives {
		x := l.Headers[0]
		h.Origins = append(h.Origins, &tracepb.Header_Origin{Edge: l.Edge, Sentry: l.Sentry, Life: l.ID, Offset: int64(clocks[i].Offset),
			Drift: clocks[i].Drift, Middle: clocks[i].Middle, Unsure: clocks[i].Unsure, Settings: x.Settings, Module: x.Module, Level: x.Level, OneIn: x.OneIn})
	}
	p, err := newFileWriter(w, h)
	if err != nil {
		return nil, err
	}
	out, err := merge(lives, hurt, func(life int, at int64, r *Record, worker string) error {
		x := *r
		x.At, x.Origin = at, uint32(life+1)
		return p.add(x, worker)
	})
	if err != nil {
		return nil, err
	}
	return out, p.close()
}

// splitMergedFile takes a merged file apart into the lives that it was made of. Their clock is the first one's.
func splitMergedFile(path string, h *tracepb.Header) []*Life {
	var out []*Life
	for i, o := range h.Origins {
		x := proto.Clone(h).(*tracepb.Header)
		x.Origins, x.Edge, x.Sentry, x.Life, x.Settings, x.Module = nil, o.Edge, o.Sentry, o.Life, o.Settings, o.Module
		x.Wall, x.Start, x.OneIn = 0, 0, o.OneIn
		out = append(out, &Life{ID: o.Life, Edge: o.Edge, Sentry: o.Sentry, Paths: []string{path}, Headers: []*tracepb.Header{x}, origin: uint32(i + 1),
			ClockUncertainty: o.Unsure, sourceLevel: o.Level})
	}
	return out
}

package trace

import (
	"fmt"
	"io"
	"iter"
	"sort"

	"google.golang.org/protobuf/proto"

	"dunegrade/trace/tracepb"
)

// MergeResult describes a merge of several runs.
type MergeResult struct {
	Clocks  []Clock // by run
	Records int     // number of merged records
	Held    int     // number of records delayed because their clock put them before a predecessor
	Loops   int     // number of cycles of contradicting relations, each resolved by ignoring one relation
}

// runStream yields a run's records in the order of its own clock.
type runStream struct {
	next       func() (Record, string, bool)
	stop       func()
	clock      Clock
	wallOffset int64  // the sentry's wall clock less its monotonic clock, nanoseconds
	record     Record // the current record
	worker     string // name of its worker
	at         int64  // its time by the reference clock
	minTime    int64  // time of the previous record, which is the earliest possible for this one
	index      int    // position of the record in the run
	done       bool   // there are no more records
	err        error
}

// orderedRecords returns a run's records in order of time, each with the name of its worker. It has to sort the records
// of files that hold only a part of the txns, in which a txn's records are written together, after its end.
func (l *Run) orderedRecords(onDamage func(string, Damage), err *error) iter.Seq2[Record, string] {
	ordered := true
	for _, h := range l.Headers {
		ordered = ordered && h.Level == LevelWhole
	}
	if ordered {
		return func(yield func(Record, string) bool) {
			*err = l.Each(func(r *Record, names []string) bool { return yield(*r, names[r.Worker]) }, onDamage)
		}
	}
	return func(yield func(Record, string) bool) {
		type workerRecord struct {
			record Record
			worker string
		}
		var all []workerRecord
		*err = l.Each(func(r *Record, names []string) bool {
			record := *r
			record.Body = append([]byte(nil), r.Body...)
			all = append(all, workerRecord{record, names[r.Worker]})
			return true
		}, onDamage)
		sort.SliceStable(all, func(i, j int) bool { return all[i].record.At < all[j].record.At })
		for i := range all {
			if !yield(all[i].record, all[i].worker) {
				return
			}
		}
	}
}

// advance moves to the next record.
func (s *runStream) advance() {
	var ok bool
	if s.record, s.worker, ok = s.next(); !ok {
		s.done = true
		return
	}
	s.index++
	s.at = max(s.minTime, s.clock.ToReference(s.record.At+s.wallOffset))
	s.minTime = s.at
}

// merger orders the records of several runs by the reference clock, but no record before one of its predecessors.
type merger struct {
	result       MergeResult
	streams      []*runStream
	predecessors []map[int][]recordRef // by run and record index: the records that must precede that record
}

// mergeRecords calls fn for each record of the runs in the merged order, with the index of its run and its time by the
// reference clock. The error of a time is at most its clock's Unsure.
func mergeRecords(runs []*Run, onDamage func(string, Damage), fn func(run int, at int64, r *Record, worker string) error) (*MergeResult, error) {
	s, err := collectEvidence(runs, onDamage)
	if err != nil {
		return nil, err
	}
	clocks, relations := s.estimateClocks()
	m := &merger{result: MergeResult{Clocks: clocks}}
	// collectEvidence has already reported all damage. A nil onDamage stays nil, because it makes damage an error.
	ignoreDamage := func(string, Damage) {}
	if onDamage == nil {
		ignoreDamage = nil
	}
	for i, l := range runs {
		stream := &runStream{clock: clocks[i], wallOffset: l.Headers[0].Wall - l.Headers[0].Start, index: -1, minTime: -1 << 62}
		stream.next, stream.stop = iter.Pull2(l.orderedRecords(ignoreDamage, &stream.err))
		defer stream.stop()
		m.streams = append(m.streams, stream)
		m.predecessors = append(m.predecessors, map[int][]recordRef{})
	}
	// Sorting changes the record indexes that collectEvidence saw, so files that are sorted are ordered by their clocks
	// alone.
	for _, c := range relations {
		if runs[c.before.run].isWhole() && runs[c.after.run].isWhole() {
			m.predecessors[c.after.run][c.after.index] = append(m.predecessors[c.after.run][c.after.index], c.before)
		}
	}
	for _, stream := range m.streams {
		stream.advance()
	}
	for {
		k := m.nextStream()
		if k < 0 {
			break
		}
		stream := m.streams[k]
		if stream.record.Kind != tracepb.Kind_WORKER && stream.record.Kind != tracepb.Kind_BACK {
			m.result.Records++
			if err := fn(k, stream.at, &stream.record, stream.worker); err != nil {
				return nil, err
			}
		}
		stream.advance()
	}
	for _, stream := range m.streams {
		if stream.err != nil {
			return nil, stream.err
		}
	}
	return &m.result, nil
}

// isWhole reports whether the run's own file holds all of its records in order.
func (l *Run) isWhole() bool { return l.Headers[0].Level == LevelWhole && l.origin == 0 }

// nextStream returns the index of the stream with the earliest record that has no pending predecessor, or -1 at the end.
// If every record has one, the relations form a cycle, which is broken by taking the earliest record.
func (m *merger) nextStream() int {
	best, blocked := -1, -1
	for k, stream := range m.streams {
		if stream.done {
			continue
		}
		if !m.isReady(k) {
			if blocked < 0 || stream.at < m.streams[blocked].at {
				blocked = k
			}
			continue
		}
		if best < 0 || stream.at < m.streams[best].at {
			best = k
		}
	}
	if best < 0 && blocked >= 0 {
		m.result.Loops++
		return blocked
	}
	return best
}

// isReady reports whether all predecessors of a stream's current record are merged. If so, and if the record's own clock
// puts it before the latest of them, isReady delays it to the time of that predecessor.
func (m *merger) isReady(k int) bool {
	stream := m.streams[k]
	predecessors := m.predecessors[k][stream.index]
	for _, c := range predecessors {
		if other := m.streams[c.run]; !other.done && other.index <= c.index {
			return false
		}
	}
	if len(predecessors) == 0 {
		return true
	}
	earliest := stream.at
	for _, c := range predecessors {
		earliest = max(earliest, m.streams[c.run].clock.ToReference(c.at))
	}
	if earliest > stream.at {
		m.result.Held++
		stream.at, stream.minTime = earliest, earliest
	}
	delete(m.predecessors[k], stream.index)
	return true
}

// Merge writes several runs to one file, ordered by the reference clock. The file is marked as partial and cannot be
// replayed, because its times are not those at which the decisions were made.
func Merge(runs []*Run, w io.Writer, onDamage func(path string, d Damage)) (*MergeResult, error) {
	if len(runs) == 0 {
		return nil, fmt.Errorf("trace: nothing to merge")
	}
	h := &tracepb.Header{Version: Version, Edge: "merged", Level: LevelPart, Products: runs[0].Headers[0].Products, Customers: runs[0].Headers[0].Customers}
	for _, l := range runs {
		if l.origin != 0 {
			return nil, fmt.Errorf("trace: %s is already a merged file; merge its source files instead", l.Paths[0])
		}
		if fmt.Sprint(l.Headers[0].Products) != fmt.Sprint(h.Products) {
			return nil, fmt.Errorf("trace: %s has the products %v but %s has %v; only files with the same products can be merged", l.Paths[0], l.Headers[0].Products,
				runs[0].Paths[0], h.Products)
		}
	}
	s, err := collectEvidence(runs, onDamage)
	if err != nil {
		return nil, err
	}
	clocks, _ := s.estimateClocks()
	for i, l := range runs {
		header := l.Headers[0]
		h.Origins = append(h.Origins, &tracepb.Header_Origin{Edge: l.Edge, Sentry: l.Sentry, Life: l.ID, Offset: int64(clocks[i].Offset),
			Drift: clocks[i].Drift, Middle: clocks[i].Middle, Unsure: clocks[i].Unsure, Settings: header.Settings, Module: header.Module,
			Level: header.Level, OneIn: header.OneIn})
	}
	fw, err := newFileWriter(w, h)
	if err != nil {
		return nil, err
	}
	result, err := mergeRecords(runs, onDamage, func(run int, at int64, r *Record, worker string) error {
		record := *r
		record.At, record.Origin = at, uint32(run+1)
		return fw.writeRecord(record, worker)
	})
	if err != nil {
		return nil, err
	}
	return result, fw.close()
}

// splitMergedFile returns the runs that were merged into a file. Their times are by the reference clock.
func splitMergedFile(path string, h *tracepb.Header) []*Run {
	var runs []*Run
	for i, o := range h.Origins {
		header := proto.Clone(h).(*tracepb.Header)
		header.Origins, header.Edge, header.Sentry, header.Life, header.Settings, header.Module = nil, o.Edge, o.Sentry, o.Life, o.Settings, o.Module
		header.Wall, header.Start, header.OneIn = 0, 0, o.OneIn
		runs = append(runs, &Run{ID: o.Life, Edge: o.Edge, Sentry: o.Sentry, Paths: []string{path}, Headers: []*tracepb.Header{header}, origin: uint32(i + 1),
			ClockUncertainty: o.Unsure, sourceLevel: o.Level})
	}
	return runs
}

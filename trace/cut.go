package trace

import (
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"dunegrade/trace/tracepb"
)

// Filter selects txns. A field with its zero value matches every txn; a txn must match all other fields.
type Filter struct {
	From    int64 // earliest time at which the txn was taken, wall clock, nanoseconds since 1970
	Till    int64 // latest such time
	Query   *Query
	Product string
	Worker  string // a worker to which the txn was submitted
	Build   int64  // a build to which the txn was submitted
	End     string // the txn's ending: settled, declined, voided, left or cut
}

// candidateTxn is a txn that matches the filter by its TAKE record and whose other records are still being read.
type candidateTxn struct {
	serial        uint64
	ending        string
	workerMatches bool
	buildMatches  bool
	pending       int // number of submissions without an outcome
}

// Cut writes all records of the matching txns of a run to one file, together with the platform's updates. It returns the
// number of txns. The file is marked as partial, because the other txns are missing.
func Cut(l *Run, f Filter, w io.Writer, onDamage func(path string, d Damage)) (int, error) {
	if l.origin != 0 {
		return 0, fmt.Errorf("trace: %s is a merged file; cut its source files and merge the results", l.Paths[0])
	}
	matching, err := l.matchingSerials(f, onDamage)
	if err != nil {
		return 0, err
	}
	h := proto.Clone(l.Headers[0]).(*tracepb.Header)
	h.Level = LevelPart
	fw, err := newFileWriter(w, h)
	if err != nil {
		return 0, err
	}
	selected := map[uint64]bool{}
	var writeErr error
	err = l.Each(func(r *Record, names []string) bool {
		if r.Kind == tracepb.Kind_TAKE {
			selected[r.Txn] = matching[r.Serial]
		}
		switch {
		case r.Kind == tracepb.Kind_WORKER, r.Kind == tracepb.Kind_BACK: // fileWriter writes its own
		case r.Txn != 0 && selected[r.Txn],
			r.Txn == 0 && r.Kind != tracepb.Kind_TIMER && r.Kind != tracepb.Kind_REMIND:
			writeErr = fw.writeRecord(*r, names[r.Worker])
		}
		return writeErr == nil
	}, onDamage)
	if err == nil {
		err = writeErr
	}
	if err != nil {
		return 0, err
	}
	return len(matching), fw.close()
}

// mayMatch reports, from the block's index entry, whether a block can hold the TAKE of a matching txn or a worker list.
func (f *Filter) mayMatch(l *Run, q Query, file *File, i int) bool {
	b := file.Blocks[i].Block
	if b.Kinds == 0 || b.Kinds&(1<<tracepb.Kind_LIST) != 0 {
		return true // either an older version wrote the entry without record kinds, or the block has the workers' builds
	}
	wallOffset := l.Headers[0].Wall - l.Headers[0].Start
	first := b.First
	if b.Earliest != 0 {
		first = b.Earliest
	}
	product := uint64(0)
	for k, name := range l.Headers[0].Products {
		if name == f.Product {
			product = 1 << min(k, lastProductBit)
		}
	}
	return b.Kinds&(1<<tracepb.Kind_TAKE) != 0 && (f.From == 0 || b.Last+wallOffset >= f.From) && (f.Till == 0 || first+wallOffset <= f.Till) &&
		(f.Product == "" || b.Products&product != 0) && (f.Query == nil || q.mayMatch(file, i))
}

// matchingSerials returns the serials of the txns that match the filter.
func (l *Run) matchingSerials(f Filter, onDamage func(string, Damage)) (map[uint64]bool, error) {
	matching, open, builds := map[uint64]bool{}, map[uint64]*candidateTxn{}, map[string]int64{}
	wallOffset := l.Headers[0].Wall - l.Headers[0].Start
	q := Query{}
	if f.Query != nil {
		q = f.Query.forRun(l)
	}
	addIfMatching := func(c *candidateTxn) {
		if (f.Worker == "" || c.workerMatches) && (f.Build == 0 || c.buildMatches) && (f.End == "" || f.End == c.ending) {
			matching[c.serial] = true
		}
	}
	err := l.eachSkipping(func(r *Record, names []string) bool {
		switch r.Kind {
		case tracepb.Kind_LIST:
			var list tracepb.List
			if proto.Unmarshal(r.Body, &list) == nil {
				for _, w := range list.Workers {
					builds[w.Id] = w.Build
				}
			}
		case tracepb.Kind_TAKE:
			taken := r.At + wallOffset
			if f.From != 0 && taken < f.From || f.Till != 0 && taken > f.Till || f.Query != nil && !q.matches(r) ||
				f.Product != "" && (int(r.Product) >= len(l.Headers[0].Products) || l.Headers[0].Products[r.Product] != f.Product) {
				return true
			}
			open[r.Txn] = &candidateTxn{serial: r.Serial, ending: "cut"}
		}
		c := open[r.Txn]
		if c == nil || r.Txn == 0 {
			return true
		}
		switch r.Kind {
		case tracepb.Kind_SUBMIT:
			c.pending++
			c.workerMatches = c.workerMatches || names[r.Worker] == f.Worker
			c.buildMatches = c.buildMatches || builds[names[r.Worker]] == f.Build
		case tracepb.Kind_OUTCOME:
			c.pending--
		}
		c.ending = endingAfter(c.ending, r)
		if c.ending != "cut" && c.pending == 0 {
			addIfMatching(c)
			delete(open, r.Txn)
		}
		return true
	}, onDamage, func(file *File, i int) bool { return len(open) == 0 && !f.mayMatch(l, q, file, i) })
	for _, c := range open {
		addIfMatching(c)
	}
	return matching, err
}

// fileWriter writes records to a trace file.
type fileWriter struct {
	w           io.Writer
	enc         *encoder
	records     []byte            // of the current block, encoded
	first, last int64             // times of the block's first and last records
	workers     map[string]uint32 // worker numbers in the block, by name
	index       tracepb.Index
	size        uint64 // bytes written to w
}

// newFileWriter writes the header and returns a writer for the records.
func newFileWriter(w io.Writer, h *tracepb.Header) (*fileWriter, error) {
	enc, err := newEncoder()
	if err != nil {
		return nil, err
	}
	fw := &fileWriter{w: w, enc: enc, workers: map[string]uint32{}}
	frame, err := headerFrame(h)
	if err != nil {
		return nil, err
	}
	return fw, fw.write(frame)
}

func (fw *fileWriter) write(b []byte) error {
	n, err := fw.w.Write(b)
	fw.size += uint64(n)
	if err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	return nil
}

// writeRecord appends a record. It inserts a BACK record where the time is earlier than that of the previous record, and
// a WORKER record where the block has none for the worker yet. The worker is given by name, "" for none.
func (fw *fileWriter) writeRecord(r Record, worker string) error {
	if len(fw.records) >= blockBytes {
		if err := fw.flush(); err != nil {
			return err
		}
	}
	if len(fw.records) == 0 {
		fw.first, fw.last = r.At, r.At
	}
	if r.At < fw.last {
		back := Record{Kind: tracepb.Kind_BACK, At: fw.last, Span: uint64(fw.last - r.At)}
		fw.records = back.Append(fw.records, fw.last)
		fw.last = r.At
	}
	if r.Worker = 0; worker != "" {
		n, known := fw.workers[worker]
		if !known {
			n = uint32(len(fw.workers) + 1)
			fw.workers[worker] = n
			workerRecord := Record{Kind: tracepb.Kind_WORKER, At: r.At, Worker: n, Text: worker}
			fw.records = workerRecord.Append(fw.records, fw.last)
			fw.last = r.At
		}
		r.Worker = n
	}
	fw.records = r.Append(fw.records, fw.last)
	fw.last = r.At
	return nil
}

// flush writes the current block.
func (fw *fileWriter) flush() error {
	if len(fw.records) == 0 {
		return nil
	}
	frame, info, err := fw.enc.encodeBlock(fw.first, fw.records)
	if err != nil {
		return err
	}
	fw.index.Blocks = append(fw.index.Blocks, fw.enc.indexEntry(fw.size, info))
	fw.records = fw.records[:0]
	clear(fw.workers)
	return fw.write(frame)
}

// close writes the last block and the index. It does not close the underlying writer.
func (fw *fileWriter) close() error {
	if err := fw.flush(); err != nil {
		return err
	}
	frame, err := indexFrame(&fw.index)
	if err != nil {
		return err
	}
	return fw.write(frame)
}

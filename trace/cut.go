package trace

import (
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"dunegrade/trace/tracepb"
)

// Filter chooses txns. What is empty chooses all; what is given must all fit.
type Filter struct {
	From, Till int64 // wall clock, nanoseconds since 1970, of the taking; 0: open
	Query      *Query
	Product    string
	Worker     string // that a submission went to
	Build      int64  // that a submission went to; 0: any
	End        string // settled, declined, voided, left or cut
}

// chosen is what is known of a txn while it is decided whether it fits.
type chosen struct {
	serial uint64
	end    string
	worker bool
	build  bool
	out    int
}

// Cut writes the chosen txns of a life as one file of its own: all their records, and what the platform told. It gives how
// many txns it holds. The rest is left out, so the file says that it is a part.
func Cut(l *Life, f Filter, w io.Writer, hurt func(path string, d Damage)) (int, error) {
	if l.origin != 0 {
		return 0, fmt.Errorf("trace: %s is a merged file; cut the files that it was made of, and merge what comes out", l.Paths[0])
	}
	fit, err := l.choose(f, hurt)
	if err != nil {
		return 0, err
	}
	h := proto.Clone(l.Headers[0]).(*tracepb.Header)
	h.Level = LevelPart
	p, err := newFileWriter(w, h)
	if err != nil {
		return 0, err
	}
	open := map[uint64]bool{}
	var fault error
	err = l.Each(func(r *Record, names []string) bool {
		if r.Kind == tracepb.Kind_TAKE {
			open[r.Txn] = fit[r.Serial]
		}
		switch {
		case r.Kind == tracepb.Kind_WORKER, r.Kind == tracepb.Kind_BACK: // named, and set back, anew where it is needed
		case r.Txn != 0 && open[r.Txn],
			r.Txn == 0 && r.Kind != tracepb.Kind_TIMER && r.Kind != tracepb.Kind_REMIND:
			fault = p.add(*r, names[r.Worker])
		}
		return fault == nil
	}, hurt)
	if err == nil {
		err = fault
	}
	if err != nil {
		return 0, err
	}
	return len(fit), p.close()
}

// may tells from the index whether a block can hold the taking of a txn that fits, or a list.
func (f *Filter) may(l *Life, q Query, file *File, i int) bool {
	b := file.Blocks[i].Block
	if b.Kinds == 0 || b.Kinds&(1<<tracepb.Kind_LIST) != 0 {
		return true // made before such things were told, or news of builds
	}
	shift := l.Headers[0].Wall - l.Headers[0].Start
	first := b.First
	if b.Earliest != 0 {
		first = b.Earliest
	}
	product := uint64(0)
	for k, name := range l.Headers[0].Products {
		if name == f.Product {
			product = 1 << min(k, 63)
		}
	}
	return b.Kinds&(1<<tracepb.Kind_TAKE) != 0 && (f.From == 0 || b.Last+shift >= f.From) && (f.Till == 0 || first+shift <= f.Till) &&
		(f.Product == "" || b.Products&product != 0) && (f.Query == nil || q.may(file, i))
}

// choose finds the serials of the txns that fit.
func (l *Life) choose(f Filter, hurt func(string, Damage)) (map[uint64]bool, error) {
	fit, open, builds := map[uint64]bool{}, map[uint64]*chosen{}, map[string]int64{}
	offset := l.Headers[0].Wall - l.Headers[0].Start
	q := Query{}
	if f.Query != nil {
		q = f.Query.in(l)
	}
	decide := func(c *chosen) {
		if (f.Worker == "" || c.worker) && (f.Build == 0 || c.build) && (f.End == "" || f.End == c.end) {
			fit[c.serial] = true
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
			when := r.At + offset
			if f.From != 0 && when < f.From || f.Till != 0 && when > f.Till || f.Query != nil && !q.fits(r) ||
				f.Product != "" && (int(r.Product) >= len(l.Headers[0].Products) || l.Headers[0].Products[r.Product] != f.Product) {
				return true
			}
			open[r.Txn] = &chosen{serial: r.Serial, end: "cut"}
		}
		c := open[r.Txn]
		if c == nil || r.Txn == 0 {
			return true
		}
		switch r.Kind {
		case tracepb.Kind_SUBMIT:
			c.out++
			c.worker = c.worker || names[r.Worker] == f.Worker
			c.build = c.build || builds[names[r.Worker]] == f.Build
		case tracepb.Kind_OUTCOME:
			c.out--
		}
		c.end = endAfter(c.end, r)
		if c.end != "cut" && c.out == 0 {
			decide(c)
			delete(open, r.Txn)
		}
		return true
	}, hurt, func(file *File, i int) bool { return len(open) == 0 && !f.may(l, q, file, i) })
	for _, c := range open {
		decide(c)
	}
	return fit, err
}

// fileWriter writes records as a file.
type fileWriter struct {
	w           io.Writer
	enc         *encoder
	buf         []byte
	first, last int64
	names       map[string]uint32
	index       tracepb.Index
	size        uint64
}

func newFileWriter(w io.Writer, h *tracepb.Header) (*fileWriter, error) {
	enc, err := newEncoder()
	if err != nil {
		return nil, err
	}
	p := &fileWriter{w: w, enc: enc, names: map[string]uint32{}}
	frame, err := headerFrame(h)
	if err != nil {
		return nil, err
	}
	return p, p.write(frame)
}

func (p *fileWriter) write(b []byte) error {
	n, err := p.w.Write(b)
	p.size += uint64(n)
	if err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	return nil
}

// add appends a record; worker is the name that its number stands for.
func (p *fileWriter) add(r Record, worker string) error {
	if len(p.buf) >= blockBytes {
		if err := p.flush(); err != nil {
			return err
		}
	}
	if len(p.buf) == 0 {
		p.first, p.last = r.At, r.At
	}
	if r.At < p.last {
		back := Record{Kind: tracepb.Kind_BACK, At: p.last, Span: uint64(p.last - r.At)}
		p.buf = back.Append(p.buf, p.last)
		p.last = r.At
	}
	if r.Worker = 0; worker != "" {
		n, known := p.names[worker]
		if !known {
			n = uint32(len(p.names) + 1)
			p.names[worker] = n
			name := Record{Kind: tracepb.Kind_WORKER, At: r.At, Worker: n, Text: worker}
			p.buf = name.Append(p.buf, p.last)
			p.last = r.At
		}
		r.Worker = n
	}
	p.buf = r.Append(p.buf, p.last)
	p.last = r.At
	return nil
}

func (p *fileWriter) flush() error {
	if len(p.buf) == 0 {
		return nil
	}
	frame, info, err := p.enc.encodeBlock(p.first, p.buf)
	if err != nil {
		return err
	}
	p.index.Blocks = append(p.index.Blocks, p.enc.indexEntry(p.size, info))
	p.buf = p.buf[:0]
	clear(p.names)
	return p.write(frame)
}

func (p *fileWriter) close() error {
	if err := p.flush(); err != nil {
		return err
	}
	frame, err := indexFrame(&p.index)
	if err != nil {
		return err
	}
	return p.write(frame)
}

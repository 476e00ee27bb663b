package trace

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"google.golang.org/protobuf/proto"

	"dunegrade/logic"
	"dunegrade/trace/tracepb"
)

// Life is all segments of one sentry's life, in order.
type Life struct {
	ID               uint64
	Edge             string
	Sentry           uint32
	Paths            []string
	Headers          []*tracepb.Header
	ClockUncertainty int64 // of a merged file: its times may be off by so much against the others'; negative: by any
	origin           uint32
	sourceLevel      uint32 // of the file that a merged one was made of
}

// Level is how much of the life is there.
func (l *Life) Level() uint32 {
	if l.origin != 0 {
		return l.sourceLevel
	}
	return l.Headers[0].Level
}

// Lives groups the segments among some files and folders by the sentry's life. Files that are no traces are named
// in the error; the others are given all the same.
func Lives(paths []string) ([]*Life, error) {
	var files []string
	var faults []error
	for _, p := range paths {
		info, err := os.Stat(p)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		if !info.IsDir() {
			files = append(files, p)
			continue
		}
		filepath.WalkDir(p, func(path string, _ os.DirEntry, err error) error {
			if err == nil && filepath.Ext(path) == Suffix {
				files = append(files, path)
			}
			return nil
		})
	}
	byID := map[uint64]*Life{}
	var out []*Life
	for _, path := range files {
		h, err := readHeader(path)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		if len(h.Origins) > 0 {
			out = append(out, splitMergedFile(path, h)...)
			continue
		}
		l := byID[h.Life]
		if l == nil {
			l = &Life{ID: h.Life, Edge: h.Edge, Sentry: h.Sentry}
			byID[h.Life] = l
			out = append(out, l)
		}
		l.Paths, l.Headers = append(l.Paths, path), append(l.Headers, h)
	}
	for _, l := range out {
		if l.origin == 0 {
			sort.Sort(bySegment{l})
			l.appendTail()
		}
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		return a.Sentry < b.Sentry || a.Sentry == b.Sentry && a.Headers[0].Wall < b.Headers[0].Wall
	})
	return out, errors.Join(faults...)
}

// appendTail has the life end with what its process has not written to segments yet, or, if it was killed, never will.
func (l *Life) appendTail() {
	path := tailPath(TailDir, l.ID)
	f, _, err := readTail(path)
	if err != nil {
		return
	}
	defer f.Close()
	own, err := filepath.Abs(filepath.Dir(l.Paths[0]))
	if err == nil && f.Header.Folder == own && len(f.Blocks) > 0 {
		f.Header.Segment = l.Headers[len(l.Headers)-1].Segment + 1
		l.Paths, l.Headers = append(l.Paths, path), append(l.Headers, f.Header)
	}
}

// TailDir is where tails are looked for.
var TailDir = DefaultTailDir

type bySegment struct{ *Life }

func (s bySegment) Len() int           { return len(s.Paths) }
func (s bySegment) Less(i, j int) bool { return s.Headers[i].Segment < s.Headers[j].Segment }
func (s bySegment) Swap(i, j int) {
	s.Paths[i], s.Paths[j] = s.Paths[j], s.Paths[i]
	s.Headers[i], s.Headers[j] = s.Headers[j], s.Headers[i]
}

// readHeader reads a file's header.
func readHeader(path string) (*tracepb.Header, error) {
	if strings.HasSuffix(path, TailSuffix) {
		f, _, err := readTail(path)
		if err != nil {
			return nil, err
		}
		f.Close()
		return f.Header, nil
	}
	in, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	info, err := in.Stat()
	if err != nil {
		return nil, err
	}
	f, _, err := openHeader(in, info.Size())
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	f.Close()
	return f.Header, nil
}

// OpenPath opens a file by its path; done closes it.
func OpenPath(path string) (f *File, done func(), err error) {
	if strings.HasSuffix(path, TailSuffix) {
		if f, _, err = readTail(path); err != nil {
			return nil, nil, err
		}
		return f, f.Close, nil
	}
	in, err := os.Open(path)
	if err != nil {
		return nil, nil, err
	}
	info, err := in.Stat()
	if err == nil {
		f, err = Open(in, info.Size())
	}
	if err != nil {
		in.Close()
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, func() { f.Close(); in.Close() }, nil
}

// Each gives every record of a life, in order. Damage found on the way is given to hurt, if it is not nil, and is an error
// otherwise.
func (l *Life) Each(do func(r *Record, names []string) bool, hurt func(path string, d Damage)) error {
	return l.eachSkipping(do, hurt, nil)
}

// eachSkipping passes over the blocks that pass says hold nothing of interest.
func (l *Life) eachSkipping(do func(r *Record, names []string) bool, hurt func(path string, d Damage), pass func(f *File, i int) bool) error {
	number := uint64(0)
	for i, path := range l.Paths {
		if i > 0 && l.Headers[i].Segment != l.Headers[i-1].Segment+1 {
			d := Damage{Why: fmt.Sprintf("segment %d is followed by %d", l.Headers[i-1].Segment, l.Headers[i].Segment)}
			if hurt == nil {
				return fmt.Errorf("%s: %w: %v", path, ErrDamaged, d.Why)
			}
			hurt(path, d)
		}
		more, err := l.eachInFile(path, &number, do, hurt, pass)
		if err != nil || !more {
			return err
		}
	}
	return nil
}

func (l *Life) eachInFile(path string, number *uint64, do func(r *Record, names []string) bool, hurt func(path string, d Damage),
	pass func(f *File, i int) bool) (more bool, err error) {
	f, done, err := OpenPath(path)
	if err != nil {
		return false, err
	}
	defer done()
	for _, d := range f.Damages {
		// A torn end is what a crash leaves; nothing before it is lost.
		if d.Till == f.size && hurt == nil {
			continue
		}
		if hurt == nil {
			return false, fmt.Errorf("%s: %w: %v", path, ErrDamaged, d)
		}
		hurt(path, d)
	}
	more = true
	for i := range f.Blocks {
		if f.isDuplicate(i, number) || pass != nil && pass(f, i) {
			continue
		}
		err := f.Read(i, func(r *Record, names []string) bool {
			if l.origin == 0 || r.Origin == l.origin || r.Kind == tracepb.Kind_WORKER || r.Kind == tracepb.Kind_BACK {
				more = do(r, names)
			}
			return more
		})
		if err != nil {
			if hurt == nil {
				return false, fmt.Errorf("%s: %w", path, err)
			}
			hurt(path, Damage{From: int64(f.Blocks[i].Offset), Till: int64(f.Blocks[i].Offset), Why: err.Error()})
		}
		if !more {
			return false, nil
		}
	}
	return true, nil
}

// Replayed is what a replay came to.
type Replayed struct {
	Events, Actions int
	Txns            int
	Differs         string // the first difference, "" for none
	At              int64
	OtherVersion    bool // recorded under another text of the decisions
}

// Why a life cannot be replayed.
var (
	ErrGap     = errors.New("trace: something was not recorded here, so the decisions cannot be replayed any further")
	ErrSampled = errors.New("trace: a sampled trace holds a part of the txns, and cannot be replayed")
	ErrNoStart = errors.New("trace: the sentry's start is missing, so the decisions cannot be replayed")
)

// action is what left the module, in the form that is compared.
type action struct {
	kind   Kind
	txn    uint64
	worker string
	number uint32
	token  uint64
	span   uint64
	text   string
}

func (a action) String() string {
	s := a.kind.String()
	if a.txn != 0 {
		s += fmt.Sprintf(" txn %x", a.txn)
	}
	if a.worker != "" {
		s += " worker " + a.worker
	}
	return s + fmt.Sprintf(" number %d token %d span %d %q", a.number, a.token, a.span, a.text)
}

// actionCollector is the module's Sink in a replay.
type actionCollector struct{ actions []action }

func (p *actionCollector) add(a action) { p.actions = append(p.actions, a) }

// Submit is a part of logic.Sink, as are the methods below.
func (p *actionCollector) Submit(t logic.TxnID, w logic.WorkerID, timeout logic.Nanos) {
	p.add(action{kind: tracepb.Kind_SUBMIT, txn: uint64(t), worker: string(w), span: uint64(timeout)})
}
func (p *actionCollector) Cancel(t logic.TxnID, number int) {
	p.add(action{kind: tracepb.Kind_CANCEL, txn: uint64(t), number: uint32(number)})
}
func (p *actionCollector) Decline(t logic.TxnID, after logic.Nanos) {
	p.add(action{kind: tracepb.Kind_DECLINE, txn: uint64(t), span: uint64(after)})
}
func (p *actionCollector) Void(t logic.TxnID) { p.add(action{kind: tracepb.Kind_VOID, txn: uint64(t)}) }
func (p *actionCollector) SetTimer(after logic.Nanos, token uint64) {
	p.add(action{kind: tracepb.Kind_REMIND, token: token, span: uint64(after)})
}
func (p *actionCollector) Vote(v logic.Verdict, rel logic.RelID, stage int) {
	p.add(action{kind: tracepb.Kind_VOTE, number: uint32(v), token: uint64(rel), span: uint64(stage)})
}
func (p *actionCollector) WatchWorkers() { p.add(action{kind: tracepb.Kind_WATCH}) }
func (p *actionCollector) SendToPeer(to int, data []byte) {
	p.add(action{kind: tracepb.Kind_TELL, number: uint32(to), text: string(data)})
}
func (p *actionCollector) Log(text string) { p.add(action{kind: tracepb.Kind_LOG, text: text}) }

// isAction tells whether a record left the module.
func isAction(k Kind) bool { return k >= tracepb.Kind_SUBMIT && k <= tracepb.Kind_LOG }

// Replay runs the decision module on a life's recorded events and holds its actions against the recorded ones, up to
// the first that differs. The error says why the replay could not be made, or no further.
func Replay(l *Life) (*Replayed, error) {
	return replay(l, nil)
}

func replay(l *Life, settings map[string]any) (*Replayed, error) {
	if l.Headers[0].Level != 0 {
		return &Replayed{}, ErrSampled
	}
	if settings == nil {
		settings = map[string]any{}
		if err := json.Unmarshal(l.Headers[0].Settings, &settings); err != nil {
			return nil, fmt.Errorf("trace: the header's settings: %w", err)
		}
	}
	out := &Replayed{OtherVersion: l.Headers[0].Module != logic.Version()}
	p := &actionCollector{}
	next := 0 // of p.out, not seen in the trace yet
	var s *logic.Sentry
	var fault error
	differ := func(r *Record, want string) bool {
		got := "nothing more"
		if next < len(p.actions) {
			got = p.actions[next].String()
		}
		out.Differs, out.At = fmt.Sprintf("recorded: %s; decided now: %s", want, got), r.At
		return false
	}
	err := l.Each(func(r *Record, names []string) bool {
		if isAction(r.Kind) {
			want := action{kind: r.Kind, txn: r.Txn, worker: names[r.Worker], number: r.Number, token: r.Token, span: r.Span, text: r.Text + string(r.Body)}
			if next >= len(p.actions) || p.actions[next] != want {
				return differ(r, want.String())
			}
			next++
			out.Actions++
			return true
		}
		switch r.Kind {
		case tracepb.Kind_WORKER, tracepb.Kind_END, tracepb.Kind_LEFT_OUT, tracepb.Kind_STANDING:
			return true
		case tracepb.Kind_GAP:
			fault = ErrGap
			return false
		}
		if next < len(p.actions) {
			return differ(r, "the event "+r.Kind.String())
		}
		p.actions, next = p.actions[:0], 0
		now := logic.Nanos(r.At)
		if s == nil && r.Kind != tracepb.Kind_START {
			fault = ErrNoStart
			return false
		}
		out.Events++
		if fault = out.applyEvent(&s, now, r, names, settings, p); fault != nil {
			return false
		}
		return true
	}, nil)
	if err == nil {
		err = fault
	}
	return out, err
}

// applyEvent hands one recorded applyEvent to the module.
func (out *Replayed) applyEvent(s **logic.Sentry, now logic.Nanos, r *Record, names []string, settings map[string]any, p *actionCollector) error {
	switch r.Kind {
	case tracepb.Kind_START:
		*s = logic.New(now, int64(r.Token), settings, p)
	case tracepb.Kind_LIST:
		var l tracepb.List
		if err := proto.Unmarshal(r.Body, &l); err != nil {
			return fmt.Errorf("%w: a list: %w", ErrDamaged, err)
		}
		var list []logic.Worker
		for _, w := range l.Workers {
			list = append(list, logic.Worker{ID: logic.WorkerID(w.Id), Zone: logic.ZoneID(w.Zone), Kind: logic.KindID(w.Kind), Cell: int(w.Cell),
				State: logic.State(w.State), Weight: w.Weight, Rel: logic.RelID(w.Build), Start: logic.Nanos(w.Start)})
		}
		(*s).UpdateWorkers(now, logic.ListMode(r.Number), list)
	case tracepb.Kind_TAKE:
		out.Txns++
		(*s).Take(now, logic.Txn{ID: logic.TxnID(r.Txn), Product: logic.ProductID(r.Product), Customer: logic.CustomerID(r.Customer),
			Key: logic.KeyID(r.Key), Cost: logic.Nanos(r.Cost), Repeat: r.Repeat, Expiry: now + logic.Nanos(r.Patience)})
	case tracepb.Kind_OUTCOME:
		o := logic.Outcome{Txn: logic.TxnID(r.Txn), Number: int(r.Number), Ending: logic.Ending(r.Ending), Elapsed: logic.Nanos(r.Elapsed), Final: r.Over}
		if r.Loaded {
			o.Load = &logic.Load{Util: r.Util, Queue: r.Queue, Busy: r.Busy}
		}
		(*s).Outcome(now, o)
	case tracepb.Kind_LEFT:
		(*s).ClientLeft(now, logic.TxnID(r.Txn))
	case tracepb.Kind_STREAMING:
		(*s).StreamStarted(now, logic.TxnID(r.Txn), int(r.Number))
	case tracepb.Kind_TIMER:
		(*s).TimerFired(now, r.Token)
	case tracepb.Kind_NEWS:
		var n tracepb.News
		if err := proto.Unmarshal(r.Body, &n); err != nil {
			return fmt.Errorf("%w: news: %w", ErrDamaged, err)
		}
		(*s).ReleaseUpdate(now, logic.ReleaseUpdate{Stage: int(n.Stage), VoteReply: n.Answer, Rel: logic.RelID(n.Build), Cap: n.Cap, Phase: logic.Phase(n.Phase),
			Age: logic.Nanos(n.Age), Ending: logic.Ending(n.Ending)})
	case tracepb.Kind_TALLY:
		var t tracepb.Tally
		if err := proto.Unmarshal(r.Body, &t); err != nil {
			return fmt.Errorf("%w: a tally: %w", ErrDamaged, err)
		}
		(*s).Tally(now, logic.Tally{Rel: logic.RelID(t.Build), Product: logic.ProductID(t.Product), Many: int(t.Many), Bad: int(t.Bad),
			Mean: logic.Nanos(t.Mean)})
	case tracepb.Kind_CONTESTED:
		(*s).Contested(now, logic.ProductID(r.Product), logic.WorkerID(names[r.Worker]), logic.Nanos(r.Span))
	case tracepb.Kind_TOLD:
		(*s).PeerMessage(now, int(r.Number), append([]byte(nil), r.Body...))
	default:
		return fmt.Errorf("trace: a record of kind %d, which this program does not know", r.Kind)
	}
	return nil
}

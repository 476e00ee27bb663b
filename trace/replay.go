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

// Run is the trace of one run of a sentry, from its start to its end: all of its segments in order. In file names and
// headers, the id of a run is called its life.
type Run struct {
	ID               uint64
	Edge             string
	Sentry           uint32
	Paths            []string          // of the files, in order
	Headers          []*tracepb.Header // by file
	ClockUncertainty int64             // in a merged file: largest error of its times, nanoseconds; negative: unbounded
	origin           uint32            // in a merged file: position in the header's origins, from 1; otherwise 0
	sourceLevel      uint32            // in a merged file: level of the file that this run was merged from
}

// Level returns the level of detail of the run's trace.
func (l *Run) Level() uint32 {
	if l.origin != 0 {
		return l.sourceLevel
	}
	return l.Headers[0].Level
}

// FindRuns finds the segments among files and directories and groups them by run. The error lists the files that are not
// traces; the runs found are returned even then.
func FindRuns(paths []string) ([]*Run, error) {
	var files []string
	var errs []error
	for _, p := range paths {
		info, err := os.Stat(p)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if !info.IsDir() {
			files = append(files, p)
			continue
		}
		filepath.WalkDir(p, func(path string, _ os.DirEntry, err error) error {
			if err == nil && filepath.Ext(path) == SegmentSuffix {
				files = append(files, path)
			}
			return nil
		})
	}
	byID := map[uint64]*Run{}
	var runs []*Run
	for _, path := range files {
		h, err := readHeader(path)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if len(h.Origins) > 0 {
			runs = append(runs, splitMergedFile(path, h)...)
			continue
		}
		l := byID[h.Life]
		if l == nil {
			l = &Run{ID: h.Life, Edge: h.Edge, Sentry: h.Sentry}
			byID[h.Life] = l
			runs = append(runs, l)
		}
		l.Paths, l.Headers = append(l.Paths, path), append(l.Headers, h)
	}
	for _, l := range runs {
		if l.origin == 0 {
			sort.Sort(bySegment{l})
			l.appendTail()
		}
	}
	sort.Slice(runs, func(i, j int) bool {
		a, b := runs[i], runs[j]
		return a.Sentry < b.Sentry || a.Sentry == b.Sentry && a.Headers[0].Wall < b.Headers[0].Wall
	})
	return runs, errors.Join(errs...)
}

// appendTail appends the run's tail file, if there is one. It holds the blocks that the process has not written to
// segments yet or that, if it was killed, it never will.
func (l *Run) appendTail() {
	path := tailPath(TailDir, l.ID)
	f, _, err := readTail(path)
	if err != nil {
		return
	}
	defer f.Close()
	dir, err := filepath.Abs(filepath.Dir(l.Paths[0]))
	if err == nil && f.Header.Folder == dir && len(f.Blocks) > 0 {
		f.Header.Segment = l.Headers[len(l.Headers)-1].Segment + 1
		l.Paths, l.Headers = append(l.Paths, path), append(l.Headers, f.Header)
	}
}

// TailDir is the directory that is searched for tail files.
var TailDir = DefaultTailDir

// bySegment sorts the files of a run by segment number.
type bySegment struct{ *Run }

func (s bySegment) Len() int           { return len(s.Paths) }
func (s bySegment) Less(i, j int) bool { return s.Headers[i].Segment < s.Headers[j].Segment }
func (s bySegment) Swap(i, j int) {
	s.Paths[i], s.Paths[j] = s.Paths[j], s.Paths[i]
	s.Headers[i], s.Headers[j] = s.Headers[j], s.Headers[i]
}

// readHeader reads the header of a segment or tail file.
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

// OpenPath opens a segment or tail file by its path; done closes it.
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

// Each calls fn for each record of the run, in order, until fn returns false. Damage is passed to onDamage, or returned
// as an error if onDamage is nil.
func (l *Run) Each(fn func(r *Record, names []string) bool, onDamage func(path string, d Damage)) error {
	return l.eachSkipping(fn, onDamage, nil)
}

// eachSkipping is like Each, but skips the blocks for which skip returns true.
func (l *Run) eachSkipping(fn func(r *Record, names []string) bool, onDamage func(path string, d Damage), skip func(f *File, i int) bool) error {
	lastNumber := uint64(0)
	for i, path := range l.Paths {
		if i > 0 && l.Headers[i].Segment != l.Headers[i-1].Segment+1 {
			d := Damage{Why: fmt.Sprintf("segment %d is followed by %d", l.Headers[i-1].Segment, l.Headers[i].Segment)}
			if onDamage == nil {
				return fmt.Errorf("%s: %w: %v", path, ErrDamaged, d.Why)
			}
			onDamage(path, d)
		}
		more, err := l.eachInFile(path, &lastNumber, fn, onDamage, skip)
		if err != nil || !more {
			return err
		}
	}
	return nil
}

// eachInFile calls fn for the records of one file, except those in blocks with a number up to lastNumber, and reports
// whether fn asked for more records.
func (l *Run) eachInFile(path string, lastNumber *uint64, fn func(r *Record, names []string) bool, onDamage func(path string, d Damage),
	skip func(f *File, i int) bool) (more bool, err error) {
	f, done, err := OpenPath(path)
	if err != nil {
		return false, err
	}
	defer done()
	for _, d := range f.Damages {
		// A truncated end of the file is normal after a crash and affects no records before it.
		if d.Till == f.size && onDamage == nil {
			continue
		}
		if onDamage == nil {
			return false, fmt.Errorf("%s: %w: %v", path, ErrDamaged, d)
		}
		onDamage(path, d)
	}
	more = true
	for i := range f.Blocks {
		if f.isDuplicate(i, lastNumber) || skip != nil && skip(f, i) {
			continue
		}
		err := f.Read(i, func(r *Record, names []string) bool {
			if l.origin == 0 || r.Origin == l.origin || r.Kind == tracepb.Kind_WORKER || r.Kind == tracepb.Kind_BACK {
				more = fn(r, names)
			}
			return more
		})
		if err != nil {
			if onDamage == nil {
				return false, fmt.Errorf("%s: %w", path, err)
			}
			onDamage(path, Damage{From: int64(f.Blocks[i].Offset), Till: int64(f.Blocks[i].Offset), Why: err.Error()})
		}
		if !more {
			return false, nil
		}
	}
	return true, nil
}

// ReplayResult is the result of a replay.
type ReplayResult struct {
	Events, Actions int    // number of events replayed, and of actions that match the recorded ones
	Txns            int    // number of txns replayed
	Differs         string // first difference, "" if there is none
	At              int64  // sentry clock at the first difference
	OtherVersion    bool   // the run was recorded by another version of the decision module
}

// Reasons why a run cannot be replayed, or only up to some record.
var (
	ErrGap     = errors.New("trace: records are missing here, so the decisions cannot be replayed any further")
	ErrSampled = errors.New("trace: the trace does not hold all records of all txns, so it cannot be replayed")
	ErrNoStart = errors.New("trace: the record of the sentry's start is missing, so the decisions cannot be replayed")
)

// action is an action of the decision module in a comparable form.
type action struct {
	kind   Kind
	txn    uint64
	worker string
	number uint32
	token  uint64
	span   uint64
	text   string
}

// String returns the action as shown in ReplayResult.Differs.
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

// actionCollector is the decision module's Sink in a replay. It collects the actions.
type actionCollector struct{ actions []action }

func (c *actionCollector) add(a action) { c.actions = append(c.actions, a) }

// Submit and the methods below implement logic.Sink.
func (c *actionCollector) Submit(t logic.TxnID, w logic.WorkerID, timeout logic.Nanos) {
	c.add(action{kind: tracepb.Kind_SUBMIT, txn: uint64(t), worker: string(w), span: uint64(timeout)})
}
func (c *actionCollector) Cancel(t logic.TxnID, number int) {
	c.add(action{kind: tracepb.Kind_CANCEL, txn: uint64(t), number: uint32(number)})
}
func (c *actionCollector) Decline(t logic.TxnID, after logic.Nanos) {
	c.add(action{kind: tracepb.Kind_DECLINE, txn: uint64(t), span: uint64(after)})
}
func (c *actionCollector) Void(t logic.TxnID) {
	c.add(action{kind: tracepb.Kind_VOID, txn: uint64(t)})
}
func (c *actionCollector) SetTimer(after logic.Nanos, token uint64) {
	c.add(action{kind: tracepb.Kind_REMIND, token: token, span: uint64(after)})
}
func (c *actionCollector) Vote(v logic.Verdict, rel logic.RelID, stage int) {
	c.add(action{kind: tracepb.Kind_VOTE, number: uint32(v), token: uint64(rel), span: uint64(stage)})
}
func (c *actionCollector) WatchWorkers() { c.add(action{kind: tracepb.Kind_WATCH}) }
func (c *actionCollector) SendToPeer(to int, data []byte) {
	c.add(action{kind: tracepb.Kind_TELL, number: uint32(to), text: string(data)})
}
func (c *actionCollector) Log(text string) { c.add(action{kind: tracepb.Kind_LOG, text: text}) }

// isAction reports whether records of a kind are actions of the decision module.
func isAction(k Kind) bool { return k >= tracepb.Kind_SUBMIT && k <= tracepb.Kind_LOG }

// Replay runs the decision module on the recorded events of a run and compares its actions with the recorded ones, up to
// the first difference. The error is the reason why the run could not be replayed, or only up to some record.
func Replay(l *Run) (*ReplayResult, error) {
	return replay(l, nil)
}

// replay is like Replay under the given settings; nil stands for the recorded ones.
func replay(l *Run, settings map[string]any) (*ReplayResult, error) {
	if l.Headers[0].Level != 0 {
		return &ReplayResult{}, ErrSampled
	}
	if settings == nil {
		settings = map[string]any{}
		if err := json.Unmarshal(l.Headers[0].Settings, &settings); err != nil {
			return nil, fmt.Errorf("trace: decoding the header's settings: %w", err)
		}
	}
	res := &ReplayResult{OtherVersion: l.Headers[0].Module != logic.Version()}
	sink := &actionCollector{}
	next := 0 // index of the first action not yet compared with the trace
	var sentry *logic.Sentry
	var replayErr error
	reportDifference := func(r *Record, recorded string) bool {
		got := "nothing more"
		if next < len(sink.actions) {
			got = sink.actions[next].String()
		}
		res.Differs, res.At = fmt.Sprintf("recorded: %s; decided now: %s", recorded, got), r.At
		return false
	}
	err := l.Each(func(r *Record, names []string) bool {
		if isAction(r.Kind) {
			recorded := action{kind: r.Kind, txn: r.Txn, worker: names[r.Worker], number: r.Number, token: r.Token, span: r.Span, text: r.Text + string(r.Body)}
			if next >= len(sink.actions) || sink.actions[next] != recorded {
				return reportDifference(r, recorded.String())
			}
			next++
			res.Actions++
			return true
		}
		switch r.Kind {
		case tracepb.Kind_WORKER, tracepb.Kind_END, tracepb.Kind_LEFT_OUT, tracepb.Kind_STANDING:
			return true
		case tracepb.Kind_GAP:
			replayErr = ErrGap
			return false
		}
		if next < len(sink.actions) {
			return reportDifference(r, "the event "+r.Kind.String())
		}
		sink.actions, next = sink.actions[:0], 0
		now := logic.Nanos(r.At)
		if sentry == nil && r.Kind != tracepb.Kind_START {
			replayErr = ErrNoStart
			return false
		}
		res.Events++
		if replayErr = res.applyEvent(&sentry, now, r, names, settings, sink); replayErr != nil {
			return false
		}
		return true
	}, nil)
	if err == nil {
		err = replayErr
	}
	return res, err
}

// applyEvent passes a recorded event to the decision module. A START creates the module.
func (res *ReplayResult) applyEvent(sentry **logic.Sentry, now logic.Nanos, r *Record, names []string, settings map[string]any, sink *actionCollector) error {
	switch r.Kind {
	case tracepb.Kind_START:
		*sentry = logic.New(now, int64(r.Token), settings, sink)
	case tracepb.Kind_LIST:
		var list tracepb.List
		if err := proto.Unmarshal(r.Body, &list); err != nil {
			return fmt.Errorf("%w: worker list: %w", ErrDamaged, err)
		}
		var workers []logic.Worker
		for _, w := range list.Workers {
			workers = append(workers, logic.Worker{ID: logic.WorkerID(w.Id), Zone: logic.ZoneID(w.Zone), Kind: logic.KindID(w.Kind), Cell: int(w.Cell),
				State: logic.State(w.State), Weight: w.Weight, Rel: logic.RelID(w.Build), Start: logic.Nanos(w.Start)})
		}
		(*sentry).UpdateWorkers(now, logic.ListMode(r.Number), workers)
	case tracepb.Kind_TAKE:
		res.Txns++
		(*sentry).Take(now, logic.Txn{ID: logic.TxnID(r.Txn), Product: logic.ProductID(r.Product), Customer: logic.CustomerID(r.Customer),
			Key: logic.KeyID(r.Key), Cost: logic.Nanos(r.Cost), Repeat: r.Repeat, Expiry: now + logic.Nanos(r.Patience)})
	case tracepb.Kind_OUTCOME:
		outcome := logic.Outcome{Txn: logic.TxnID(r.Txn), Number: int(r.Number), Ending: logic.Ending(r.Ending), Elapsed: logic.Nanos(r.Elapsed), Final: r.Over}
		if r.Loaded {
			outcome.Load = &logic.Load{Util: r.Util, Queue: r.Queue, Busy: r.Busy}
		}
		(*sentry).Outcome(now, outcome)
	case tracepb.Kind_LEFT:
		(*sentry).ClientLeft(now, logic.TxnID(r.Txn))
	case tracepb.Kind_STREAMING:
		(*sentry).StreamStarted(now, logic.TxnID(r.Txn), int(r.Number))
	case tracepb.Kind_TIMER:
		(*sentry).TimerFired(now, r.Token)
	case tracepb.Kind_NEWS:
		var update tracepb.News
		if err := proto.Unmarshal(r.Body, &update); err != nil {
			return fmt.Errorf("%w: release update: %w", ErrDamaged, err)
		}
		(*sentry).ReleaseUpdate(now, logic.ReleaseUpdate{Stage: int(update.Stage), VoteReply: update.Answer, Rel: logic.RelID(update.Build), Cap: update.Cap,
			Phase: logic.Phase(update.Phase), Age: logic.Nanos(update.Age), Ending: logic.Ending(update.Ending)})
	case tracepb.Kind_TALLY:
		var tally tracepb.Tally
		if err := proto.Unmarshal(r.Body, &tally); err != nil {
			return fmt.Errorf("%w: tally: %w", ErrDamaged, err)
		}
		(*sentry).Tally(now, logic.Tally{Rel: logic.RelID(tally.Build), Product: logic.ProductID(tally.Product), Many: int(tally.Many),
			Bad: int(tally.Bad), Mean: logic.Nanos(tally.Mean)})
	case tracepb.Kind_CONTESTED:
		(*sentry).Contested(now, logic.ProductID(r.Product), logic.WorkerID(names[r.Worker]), logic.Nanos(r.Span))
	case tracepb.Kind_TOLD:
		(*sentry).PeerMessage(now, int(r.Number), append([]byte(nil), r.Body...))
	default:
		return fmt.Errorf("trace: unknown record kind %d", r.Kind)
	}
	return nil
}

package trace

import (
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"dunegrade/logic"
	"dunegrade/trace/tracepb"
)

// Query names txns: by their name (s1-4711: sentry 1, serial 4711), by their key, or by their trace context.
type Query struct {
	Sentry  int // -1: any
	Serial  uint64
	Key     uint64
	TraceID [2]uint64
}

// ParseQuery reads a query: a txn's name, a W3C traceparent or trace id, or else a key as clients write it.
func ParseQuery(text string) Query {
	q := Query{Sentry: -1}
	if rest, found := strings.CutPrefix(text, "s"); found {
		sentry, serial, ok := strings.Cut(rest, "-")
		n, err1 := strconv.Atoi(sentry)
		k, err2 := strconv.ParseUint(serial, 10, 64)
		if ok && err1 == nil && err2 == nil {
			q.Sentry, q.Serial = n, k
			return q
		}
	}
	id := text
	if parts := strings.Split(text, "-"); len(parts) == 4 && len(parts[0]) == 2 {
		id = parts[1]
	}
	if len(id) == 32 {
		high, err1 := strconv.ParseUint(id[:16], 16, 64)
		low, err2 := strconv.ParseUint(id[16:], 16, 64)
		if err1 == nil && err2 == nil {
			q.TraceID = [2]uint64{high, low}
			return q
		}
	}
	q.Key = xxhash.Sum64String(text) | 1
	return q
}

// Trace ids that the edge gives name the txn: the sentry's life, and its serial, mixed. So they need not be kept.
const (
	mixer   = 0x9e3779b97f4a7c15
	unmixer = 0xf1de83e19937733d // mixer * unmixer = 1, modulo 2^64
)

// MixSerial is the lower half of a trace id that the edge gives.
func MixSerial(serial uint64) uint64 { return serial * mixer }

// in is the query as it stands for one life.
func (q Query) in(l *Life) Query {
	if q.TraceID[0] == l.ID && l.ID != 0 {
		return Query{Sentry: int(l.Sentry), Serial: q.TraceID[1] * unmixer}
	}
	return q
}

func (q Query) fits(r *Record) bool {
	switch {
	case q.Serial != 0:
		return r.Serial == q.Serial
	case q.TraceID != [2]uint64{}:
		return r.TraceID == q.TraceID
	}
	return r.Key == q.Key
}

// may tells whether a block may hold the start of a txn that is asked for.
func (q Query) may(f *File, i int) bool {
	b := f.Blocks[i].Block
	switch {
	case b.FirstSerial == 0:
		return false
	case q.Serial != 0:
		return b.FirstSerial <= q.Serial && q.Serial <= b.LastSerial
	case q.TraceID != [2]uint64{}:
		return f.MayContain(i, q.TraceID[0]^q.TraceID[1]) && f.ContainsBytes(i, q.TraceID[1], q.TraceID[0])
	}
	return f.MayContain(i, q.Key) && f.ContainsBytes(i, q.Key)
}

// Story is all that was recorded of one txn.
type Story struct {
	Edge    string
	Sentry  uint32
	Serial  uint64
	Product string
	Key     uint64
	TraceID [2]uint64
	Wall    time.Time // about when it was taken, by the edge's wall clock
	Taken   int64     // the sentry's clock
	Expiry  int64
	Steps   []Step
	End     string        // settled, declined, voided, left, or cut: the trace ends before it did
	Unsure  time.Duration `json:",omitempty"` // Wall may be off by so much against other sentries; negative: by any
	life    *Life
	product int
	id      uint64
	out     int
	done    bool
}

// Name is what follow finds the txn by.
func (s *Story) Name() string { return fmt.Sprintf("s%d-%d", s.Sentry, s.Serial) }

// Step is one thing that was decided on a txn, or happened to it.
type Step struct {
	At      int64
	Kind    Kind
	Number  uint32
	Worker  string
	Build   int64
	Trial   bool // that build was on trial then, as far as the sentry knew
	Ending  logic.Ending
	Elapsed time.Duration
	Token   uint64
	Span    time.Duration
	What    string // for people, as is Why
	Why     string
}

var endingTexts = map[logic.Ending]string{logic.OK: "ok", logic.Cancelled: "called off", logic.TimedOut: "timed out", logic.Rejected: "turned away unseen",
	logic.Skipped: "not sent", logic.Disconnected: "connection broke", logic.ErrorResponse: "error", logic.ConnectFailed: "no connection",
	logic.MalformedResponse: "spoilt"}

// Follow finds the stories of the txns that fit, looking only into blocks that may hold them. Damage is passed
// over and named to hurt.
func Follow(lives []*Life, q Query, hurt func(path string, d Damage)) ([]*Story, error) {
	var out []*Story
	for _, l := range lives {
		if q.Sentry >= 0 && uint32(q.Sentry) != l.Sentry {
			continue
		}
		found, err := l.follow(q.in(l), hurt)
		if err != nil {
			return out, err
		}
		out = append(out, found...)
	}
	return out, nil
}

func (l *Life) follow(q Query, hurt func(string, Damage)) ([]*Story, error) {
	var out []*Story
	open := map[uint64]*Story{}
	number := uint64(0)
	for k, path := range l.Paths {
		f, done, err := OpenPath(path)
		if err != nil {
			return out, err
		}
		for _, d := range f.Damages {
			hurt(path, d)
		}
		var news tracepb.News
		for i := range f.Blocks {
			if f.isDuplicate(i, &number) || len(open) == 0 && !q.may(f, i) {
				continue
			}
			builds := map[string]int64{}
			err := f.Read(i, func(r *Record, names []string) bool {
				switch r.Kind {
				case tracepb.Kind_WORKER:
					builds[r.Text] = int64(r.Token)
					return true
				case tracepb.Kind_NEWS, tracepb.Kind_STANDING:
					if l.origin == 0 || r.Origin == l.origin {
						news.Reset()
						proto.Unmarshal(r.Body, &news) // what cannot be read tells nothing
					}
					return true
				}
				if l.origin != 0 && r.Origin != l.origin {
					return true
				}
				if r.Kind == tracepb.Kind_TAKE && q.fits(r) {
					s := &Story{Edge: l.Edge, Sentry: l.Sentry, Serial: r.Serial, Key: r.Key, TraceID: r.TraceID, Taken: r.At, Expiry: r.At + int64(r.Patience),
						Wall: time.Unix(0, l.Headers[k].Wall+r.At-l.Headers[k].Start).UTC(), id: r.Txn, End: "cut", life: l, product: int(r.Product),
						Unsure: time.Duration(l.ClockUncertainty)}
					if int(r.Product) < len(l.Headers[k].Products) {
						s.Product = l.Headers[k].Products[r.Product]
					}
					if s.TraceID == [2]uint64{} {
						s.TraceID = [2]uint64{l.ID, MixSerial(r.Serial)}
					}
					open[r.Txn] = s
					out = append(out, s)
				}
				if s := open[r.Txn]; s != nil && r.Txn != 0 {
					build := builds[names[r.Worker]]
					s.step(r, names, build, build > news.Build || build == news.Build && logic.Phase(news.Phase) != logic.Released)
					if s.done {
						delete(open, r.Txn)
					}
				}
				return true
			})
			if err != nil {
				hurt(path, Damage{Why: err.Error()})
			}
		}
		done()
	}
	return out, nil
}

// step adds a record of the txn to its story.
func (s *Story) step(r *Record, names []string, build int64, trial bool) {
	t := Step{At: r.At, Kind: r.Kind, Number: r.Number, Worker: names[r.Worker], Ending: logic.Ending(r.Ending), Elapsed: time.Duration(r.Elapsed),
		Token: r.Token, Span: time.Duration(r.Span)}
	switch r.Kind {
	case tracepb.Kind_SUBMIT:
		t.Build, t.Trial = build, trial && build > 0
		t.Number = uint32(len(s.sent()))
		s.out++
	case tracepb.Kind_OUTCOME:
		s.out--
	}
	s.explain(&t)
	s.End = endAfter(s.End, r)
	s.Steps = append(s.Steps, t)
	s.done = s.End != "cut" && s.out == 0
}

// sent lists the submissions so far.
func (s *Story) sent() (out []*Step) {
	for i := range s.Steps {
		if s.Steps[i].Kind == tracepb.Kind_SUBMIT {
			out = append(out, &s.Steps[i])
		}
	}
	return out
}

// explain says what a step is, and why it came, as far as the records before it tell.
func (s *Story) explain(t *Step) {
	sent := s.sent()
	to := func(n uint32) string {
		if int(n) < len(sent) {
			return sent[n].Worker
		}
		return "a worker that is not recorded"
	}
	switch t.Kind {
	case tracepb.Kind_TAKE:
		t.What = "taken"
	case tracepb.Kind_SUBMIT:
		t.What = fmt.Sprintf("submission %d to %s", t.Number, t.Worker)
		t.Why = "first choice"
		if len(s.Steps) > 0 && len(sent) > 0 {
			t.Why = "a second copy, as the first is long in coming"
			for i := len(s.Steps) - 1; i > 0; i-- {
				if x := &s.Steps[i]; x.Kind == tracepb.Kind_OUTCOME && x.At == t.At {
					t.Why = fmt.Sprintf("again, as submission %d ended: %s", x.Number, endingTexts[x.Ending])
					break
				}
			}
		}
		if t.Build > 0 {
			t.Why += fmt.Sprintf("; build %d", t.Build)
			if t.Trial {
				t.Why += ", on trial"
			}
		}
	case tracepb.Kind_OUTCOME:
		t.What = fmt.Sprintf("submission %d at %s ended", t.Number, to(t.Number))
		t.Why = fmt.Sprintf("%s after %.1f ms", endingTexts[t.Ending], float64(t.Elapsed)/1e6)
		if t.Token != 0 {
			t.Why += fmt.Sprintf(", the client was answered with %d", t.Token)
		}
	case tracepb.Kind_CANCEL:
		t.What = fmt.Sprintf("submission %d at %s called off", t.Number, to(t.Number))
		t.Why = "the txn is over"
	case tracepb.Kind_DECLINE:
		t.What, t.Why = "declined", fmt.Sprintf("%s; may come back after %v", s.lack(), t.Span)
	case tracepb.Kind_VOID:
		t.What, t.Why = "voided", s.lack()
	case tracepb.Kind_LEFT:
		t.What, t.Why = "its client left", fmt.Sprintf("after %v of a patience of %v", time.Duration(t.At-s.Taken).Round(time.Millisecond),
			time.Duration(s.Expiry-s.Taken).Round(time.Millisecond))
	case tracepb.Kind_STREAMING:
		t.What = fmt.Sprintf("submission %d streams its answer", t.Number)
	default:
		t.What = strings.ToLower(t.Kind.String())
	}
}

// lack says why a txn was given up.
func (s *Story) lack() string {
	sent := len(s.sent())
	for i := len(s.Steps) - 1; i >= 0; i-- {
		if x := &s.Steps[i]; x.Kind == tracepb.Kind_OUTCOME {
			return fmt.Sprintf("submission %d of %d ended (%s), and no worker could be sent another", x.Number+1, sent, endingTexts[x.Ending])
		}
	}
	if sent > 0 {
		return "its time was up"
	}
	return "no worker could be sent it"
}

// endAfter is how a txn stands after one more of its records: "cut" until its end is recorded.
func endAfter(end string, r *Record) string {
	switch {
	case r.Kind == tracepb.Kind_DECLINE:
		return "declined"
	case r.Kind == tracepb.Kind_VOID:
		return "voided"
	case r.Kind == tracepb.Kind_STREAMING, end == "cut" && r.Kind == tracepb.Kind_OUTCOME && r.Over && logic.Ending(r.Ending) == logic.OK:
		return "settled"
	case end == "cut" && r.Kind == tracepb.Kind_LEFT:
		return "left"
	}
	return end
}

// head tells which txn it is.
func (s *Story) head(w io.Writer) {
	fmt.Fprintf(w, "txn %s at edge %s: %s, taken about %s, patience %v, %s\n", s.Name(), s.Edge, s.Product, s.Wall.Format(time.RFC3339Nano),
		time.Duration(s.Expiry-s.Taken).Round(time.Millisecond), map[bool]string{true: "no end recorded: the trace ends before the txn did", false: s.End}[s.End == "cut"])
	if s.TraceID != [2]uint64{} {
		fmt.Fprintf(w, "trace id %016x%016x\n", s.TraceID[0], s.TraceID[1])
	}
}

// Print tells the story as a table.
func (s *Story) Print(w io.Writer) {
	s.head(w)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, x := range s.Steps {
		fmt.Fprintf(t, "  %9.3f ms\t%s\t%s\n", math.Round(float64(x.At-s.Taken)/1e3)/1e3, x.What, x.Why)
	}
	t.Flush()
}

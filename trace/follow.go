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
		return f.Has(i, q.TraceID[0]^q.TraceID[1])
	}
	return f.Has(i, q.Key)
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
	End     string // settled, declined, voided, left, or cut: the trace ends before it did
	Builds  map[string]int64
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
	Ending  logic.Ending
	Elapsed time.Duration
	Token   uint64
	Span    time.Duration
}

var endingTexts = map[logic.Ending]string{logic.OK: "ok", logic.Cancelled: "called off", logic.TimedOut: "timed out", logic.Full: "turned away unseen",
	logic.Moot: "not sent", logic.Broken: "connection broke", logic.Erred: "error", logic.ConnectFailed: "no connection"}

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
	builds := map[string]int64{}
	for k, path := range l.Paths {
		f, done, err := OpenPath(path)
		if err != nil {
			return out, err
		}
		for _, d := range f.Damages {
			hurt(path, d)
		}
		for i := range f.Blocks {
			if len(open) == 0 && !q.may(f, i) {
				continue
			}
			err := f.Read(i, func(r *Record, names []string) bool {
				if l.origin != 0 && r.Origin != l.origin {
					return true
				}
				if r.Kind == tracepb.Kind_TAKE && q.fits(r) {
					s := &Story{Edge: l.Edge, Sentry: l.Sentry, Serial: r.Serial, Key: r.Key, TraceID: r.TraceID, Taken: r.At, Expiry: r.At + int64(r.Patience),
						Wall: time.Unix(0, l.Headers[k].Wall+r.At-l.Headers[k].Start).UTC(), id: r.Txn, Builds: builds, End: "cut"}
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
					s.step(r, names)
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
func (s *Story) step(r *Record, names []string) {
	t := Step{At: r.At, Kind: r.Kind, Number: r.Number, Worker: names[r.Worker], Ending: logic.Ending(r.Ending), Elapsed: time.Duration(r.Elapsed),
		Token: r.Token, Span: time.Duration(r.Span)}
	switch r.Kind {
	case tracepb.Kind_SUBMIT:
		t.Number = 0
		for _, x := range s.Steps {
			if x.Kind == tracepb.Kind_SUBMIT {
				t.Number++
			}
		}
		s.out++
	case tracepb.Kind_OUTCOME:
		s.out--
	}
	s.End = endAfter(s.End, r)
	s.Steps = append(s.Steps, t)
	s.done = s.End != "cut" && s.out == 0
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

// Print tells the story as a table.
func (s *Story) Print(w io.Writer) {
	fmt.Fprintf(w, "txn %s at edge %s: %s, taken about %s, patience %v, %s\n", s.Name(), s.Edge, s.Product, s.Wall.Format(time.RFC3339Nano),
		time.Duration(s.Expiry-s.Taken).Round(time.Millisecond), map[bool]string{true: "no end recorded: the trace ends before the txn did", false: s.End}[s.End == "cut"])
	if s.TraceID != [2]uint64{} {
		fmt.Fprintf(w, "trace id %016x%016x\n", s.TraceID[0], s.TraceID[1])
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	to := map[uint32]string{}
	for _, x := range s.Steps {
		what, detail := "", ""
		switch x.Kind {
		case tracepb.Kind_TAKE:
			what = "taken"
		case tracepb.Kind_SUBMIT:
			to[x.Number] = x.Worker
			what, detail = fmt.Sprintf("submission %d to %s", x.Number, x.Worker), "first choice"
			if x.Number > 0 {
				detail = "a further one"
			}
		case tracepb.Kind_OUTCOME:
			what = fmt.Sprintf("submission %d at %s ended", x.Number, to[x.Number])
			detail = fmt.Sprintf("%s after %.1f ms", endingTexts[x.Ending], float64(x.Elapsed)/1e6)
			if x.Token != 0 {
				detail += fmt.Sprintf(", the client was answered with %d", x.Token)
			}
		case tracepb.Kind_CANCEL:
			what = fmt.Sprintf("submission %d at %s called off", x.Number, to[x.Number])
		case tracepb.Kind_DECLINE:
			what, detail = "declined", fmt.Sprintf("back after %v", x.Span)
		case tracepb.Kind_VOID:
			what = "voided"
		case tracepb.Kind_LEFT:
			what = "its client left"
		case tracepb.Kind_STREAMING:
			what = fmt.Sprintf("submission %d streams", x.Number)
		default:
			what = strings.ToLower(x.Kind.String())
		}
		fmt.Fprintf(t, "  %9.3f ms\t%s\t%s\n", math.Round(float64(x.At-s.Taken)/1e3)/1e3, what, detail)
	}
	t.Flush()
}

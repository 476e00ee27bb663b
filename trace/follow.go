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

// Query selects txns by name (s1-4711 is sentry 1, serial 4711), by trace id or by key.
type Query struct {
	Sentry  int       // -1: any
	Serial  uint64    // 0: selected by TraceID or Key
	Key     uint64    // hash of the key; used if both Serial and TraceID are zero
	TraceID [2]uint64 // upper and lower half; used if Serial is 0
}

// ParseQuery parses a txn's name, a W3C traceparent or a trace id. It takes any other text as a key sent by a client.
func ParseQuery(text string) Query {
	q := Query{Sentry: -1}
	if rest, found := strings.CutPrefix(text, "s"); found {
		sentry, serial, ok := strings.Cut(rest, "-")
		n, err1 := strconv.Atoi(sentry)
		number, err2 := strconv.ParseUint(serial, 10, 64)
		if ok && err1 == nil && err2 == nil {
			q.Sentry, q.Serial = n, number
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

// A trace id that the edge generates consists of the id of the sentry's run and of the txn's serial, multiplied by an odd
// constant to spread its bits. It can be computed from the run and the serial and is therefore not recorded.
const (
	serialMultiplier = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
	serialInverse    = 0xf1de83e19937733d // multiplicative inverse modulo 2^64
)

// MixSerial returns the lower half of a trace id that the edge generates.
func MixSerial(serial uint64) uint64 { return serial * serialMultiplier }

// forRun returns the query for use with a run: a trace id that the edge generated in that run becomes a txn's serial.
func (q Query) forRun(l *Run) Query {
	if q.TraceID[0] == l.ID && l.ID != 0 {
		return Query{Sentry: int(l.Sentry), Serial: q.TraceID[1] * serialInverse}
	}
	return q
}

// matches reports whether a TAKE record is that of a selected txn.
func (q Query) matches(r *Record) bool {
	switch {
	case q.Serial != 0:
		return r.Serial == q.Serial
	case q.TraceID != [2]uint64{}:
		return r.TraceID == q.TraceID
	}
	return r.Key == q.Key
}

// mayMatch reports whether a block may hold the TAKE record of a selected txn.
func (q Query) mayMatch(f *File, i int) bool {
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

// TxnHistory is everything recorded about one txn.
type TxnHistory struct {
	Edge    string
	Sentry  uint32
	Serial  uint64
	Product string
	Key     uint64
	TraceID [2]uint64
	Wall    time.Time // approximate time at which it was taken, the edge's wall clock
	Taken   int64     // time at which it was taken, the sentry's clock, nanoseconds
	Expiry  int64     // the sentry's clock, nanoseconds
	Steps   []Step
	End     string        // settled, declined, voided, left, or cut if the trace ends before the txn
	Unsure  time.Duration `json:",omitempty"` // largest error of Wall relative to other sentries; negative: unbounded
	run     *Run
	product int    // index in the header's products
	id      uint64 // the sentry's id of the txn
	pending int    // number of submissions without an outcome
	done    bool   // the txn has ended and no submission is pending
}

// Name returns the name by which a query finds the txn.
func (h *TxnHistory) Name() string { return fmt.Sprintf("s%d-%d", h.Sentry, h.Serial) }

// Step is one decision about a txn, or one event. Most fields are those of its Record.
type Step struct {
	At      int64 // the sentry's clock, nanoseconds
	Kind    Kind
	Number  uint32 // number of the submission, from 0
	Worker  string
	Build   int64
	Trial   bool // the build was on trial at the time, as far as the sentry knew
	Ending  logic.Ending
	Elapsed time.Duration
	Token   uint64
	Span    time.Duration
	What    string // human-readable description
	Why     string // human-readable reason
}

// endingTexts names the endings of submissions in reports and exports.
var endingTexts = map[logic.Ending]string{logic.OK: "ok", logic.Cancelled: "called off", logic.TimedOut: "timed out", logic.Rejected: "turned away unseen",
	logic.Skipped: "not sent", logic.Disconnected: "connection broke", logic.ErrorResponse: "error", logic.ConnectFailed: "no connection",
	logic.MalformedResponse: "spoilt"}

// Follow returns the histories of the selected txns. It reads only blocks that may hold them. It skips damaged parts and
// passes them to onDamage.
func Follow(runs []*Run, q Query, onDamage func(path string, d Damage)) ([]*TxnHistory, error) {
	var histories []*TxnHistory
	for _, l := range runs {
		if q.Sentry >= 0 && uint32(q.Sentry) != l.Sentry {
			continue
		}
		found, err := l.findTxns(q.forRun(l), onDamage)
		if err != nil {
			return histories, err
		}
		histories = append(histories, found...)
	}
	return histories, nil
}

// findTxns returns the histories of the run's selected txns.
func (l *Run) findTxns(q Query, onDamage func(string, Damage)) ([]*TxnHistory, error) {
	var histories []*TxnHistory
	open := map[uint64]*TxnHistory{}
	lastBlock := uint64(0)
	for k, path := range l.Paths {
		f, closeFile, err := OpenPath(path)
		if err != nil {
			return histories, err
		}
		for _, d := range f.Damages {
			onDamage(path, d)
		}
		var release tracepb.News
		for i := range f.Blocks {
			if f.isDuplicate(i, &lastBlock) || len(open) == 0 && !q.mayMatch(f, i) {
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
						release.Reset()
						proto.Unmarshal(r.Body, &release) // if the body is malformed, no release is assumed
					}
					return true
				}
				if l.origin != 0 && r.Origin != l.origin {
					return true
				}
				if r.Kind == tracepb.Kind_TAKE && q.matches(r) {
					h := &TxnHistory{Edge: l.Edge, Sentry: l.Sentry, Serial: r.Serial, Key: r.Key, TraceID: r.TraceID, Taken: r.At, Expiry: r.At + int64(r.Patience),
						Wall: time.Unix(0, l.Headers[k].Wall+r.At-l.Headers[k].Start).UTC(), id: r.Txn, End: "cut", run: l, product: int(r.Product),
						Unsure: time.Duration(l.ClockUncertainty)}
					if int(r.Product) < len(l.Headers[k].Products) {
						h.Product = l.Headers[k].Products[r.Product]
					}
					if h.TraceID == [2]uint64{} {
						h.TraceID = [2]uint64{l.ID, MixSerial(r.Serial)}
					}
					open[r.Txn] = h
					histories = append(histories, h)
				}
				if h := open[r.Txn]; h != nil && r.Txn != 0 {
					build := builds[names[r.Worker]]
					h.addRecord(r, names, build, build > release.Build || build == release.Build && logic.Phase(release.Phase) != logic.Released)
					if h.done {
						delete(open, r.Txn)
					}
				}
				return true
			})
			if err != nil {
				onDamage(path, Damage{Why: err.Error()})
			}
		}
		closeFile()
	}
	return histories, nil
}

// addRecord adds a record of the txn to its history. build is that of the record's worker, trial whether it is on trial.
func (h *TxnHistory) addRecord(r *Record, names []string, build int64, trial bool) {
	step := Step{At: r.At, Kind: r.Kind, Number: r.Number, Worker: names[r.Worker], Ending: logic.Ending(r.Ending), Elapsed: time.Duration(r.Elapsed),
		Token: r.Token, Span: time.Duration(r.Span)}
	switch r.Kind {
	case tracepb.Kind_SUBMIT:
		step.Build, step.Trial = build, trial && build > 0
		step.Number = uint32(len(h.submissions()))
		h.pending++
	case tracepb.Kind_OUTCOME:
		h.pending--
	}
	h.explain(&step)
	h.End = endingAfter(h.End, r)
	h.Steps = append(h.Steps, step)
	h.done = h.End != "cut" && h.pending == 0
}

// submissions returns the steps of the submissions so far, in the order of their numbers.
func (h *TxnHistory) submissions() (list []*Step) {
	for i := range h.Steps {
		if h.Steps[i].Kind == tracepb.Kind_SUBMIT {
			list = append(list, &h.Steps[i])
		}
	}
	return list
}

// explain sets a step's What and Why, which depend on the step and on those before it.
func (h *TxnHistory) explain(step *Step) {
	submissions := h.submissions()
	workerOf := func(n uint32) string {
		if int(n) < len(submissions) {
			return submissions[n].Worker
		}
		return "a worker that is not recorded"
	}
	switch step.Kind {
	case tracepb.Kind_TAKE:
		step.What = "taken"
	case tracepb.Kind_SUBMIT:
		step.What = fmt.Sprintf("submission %d to %s", step.Number, step.Worker)
		step.Why = "first choice"
		if len(h.Steps) > 0 && len(submissions) > 0 {
			step.Why = "a second copy, as the first is long in coming"
			for i := len(h.Steps) - 1; i > 0; i-- {
				if previous := &h.Steps[i]; previous.Kind == tracepb.Kind_OUTCOME && previous.At == step.At {
					step.Why = fmt.Sprintf("again, as submission %d ended: %s", previous.Number, endingTexts[previous.Ending])
					break
				}
			}
		}
		if step.Build > 0 {
			step.Why += fmt.Sprintf("; build %d", step.Build)
			if step.Trial {
				step.Why += ", on trial"
			}
		}
	case tracepb.Kind_OUTCOME:
		step.What = fmt.Sprintf("submission %d at %s ended", step.Number, workerOf(step.Number))
		step.Why = fmt.Sprintf("%s after %.1f ms", endingTexts[step.Ending], float64(step.Elapsed)/1e6)
		if step.Token != 0 {
			step.Why += fmt.Sprintf(", the client was answered with %d", step.Token)
		}
	case tracepb.Kind_CANCEL:
		step.What = fmt.Sprintf("submission %d at %s called off", step.Number, workerOf(step.Number))
		step.Why = "the txn is over"
	case tracepb.Kind_DECLINE:
		step.What, step.Why = "declined", fmt.Sprintf("%s; may come back after %v", h.endReason(), step.Span)
	case tracepb.Kind_VOID:
		step.What, step.Why = "voided", h.endReason()
	case tracepb.Kind_LEFT:
		step.What, step.Why = "its client left", fmt.Sprintf("after %v of a patience of %v", time.Duration(step.At-h.Taken).Round(time.Millisecond),
			time.Duration(h.Expiry-h.Taken).Round(time.Millisecond))
	case tracepb.Kind_STREAMING:
		step.What = fmt.Sprintf("submission %d streams its answer", step.Number)
	default:
		step.What = strings.ToLower(step.Kind.String())
	}
}

// endReason returns the reason why a txn was declined or voided.
func (h *TxnHistory) endReason() string {
	submitted := len(h.submissions())
	for i := len(h.Steps) - 1; i >= 0; i-- {
		if step := &h.Steps[i]; step.Kind == tracepb.Kind_OUTCOME {
			return fmt.Sprintf("submission %d of %d ended (%s), and no worker could be sent another", step.Number+1, submitted, endingTexts[step.Ending])
		}
	}
	if submitted > 0 {
		return "its time was up"
	}
	return "no worker could be sent it"
}

// endingAfter returns a txn's ending after another of its records, given the ending before it. The ending is "cut" until
// the txn's end is recorded.
func endingAfter(end string, r *Record) string {
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

// printHeader writes the txn's name, product, time, ending and trace id.
func (h *TxnHistory) printHeader(w io.Writer) {
	fmt.Fprintf(w, "txn %s at edge %s: %s, taken about %s, patience %v, %s\n", h.Name(), h.Edge, h.Product, h.Wall.Format(time.RFC3339Nano),
		time.Duration(h.Expiry-h.Taken).Round(time.Millisecond), map[bool]string{true: "no end recorded: the trace ends before the txn did", false: h.End}[h.End == "cut"])
	if h.TraceID != [2]uint64{} {
		fmt.Fprintf(w, "trace id %016x%016x\n", h.TraceID[0], h.TraceID[1])
	}
}

// Print writes the history as a table.
func (h *TxnHistory) Print(w io.Writer) {
	h.printHeader(w)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, step := range h.Steps {
		fmt.Fprintf(table, "  %9.3f ms\t%s\t%s\n", math.Round(float64(step.At-h.Taken)/1e3)/1e3, step.What, step.Why)
	}
	table.Flush()
}

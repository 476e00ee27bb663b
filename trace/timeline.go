package trace

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"text/tabwriter"
	"time"

	"dunegrade/logic"
	"dunegrade/trace/tracepb"
)

// Timeline combines the histories of several txns in one order, such as those of a client's attempts at several sentries.
type Timeline struct {
	Histories []*TxnHistory
	Entries   []TimelineEntry
}

// TimelineEntry is one step of one history.
type TimelineEntry struct {
	At      time.Time     // by the reference clock
	History int           // index in Histories
	Step    int           // index in the history's steps
	Unsure  time.Duration // largest error of At relative to other sentries; negative: unbounded
}

// NewTimeline puts the steps of histories into one order. clocks holds the clock of each run, or is nil to use the runs'
// own wall clocks, as for a merged file.
func NewTimeline(histories []*TxnHistory, runs []*Run, clocks []Clock) *Timeline {
	t := &Timeline{Histories: histories}
	for i, h := range histories {
		shift, unsure := int64(0), h.Unsure
		for k, l := range runs {
			if l == h.run && clocks != nil {
				shift, unsure = clocks[k].ToReference(h.Wall.UnixNano())-h.Wall.UnixNano(), time.Duration(clocks[k].Unsure)
			}
		}
		h.Unsure = unsure
		for k := range h.Steps {
			t.Entries = append(t.Entries, TimelineEntry{At: time.Unix(0, h.Wall.UnixNano()+shift+h.Steps[k].At-h.Taken).UTC(), History: i, Step: k, Unsure: unsure})
		}
	}
	sort.SliceStable(t.Entries, func(i, j int) bool { return t.Entries[i].At.Before(t.Entries[j].At) })
	return t
}

// RunsOf returns the runs that recorded the histories, each once.
func RunsOf(histories []*TxnHistory) (runs []*Run) {
	for _, h := range histories {
		if !slices.Contains(runs, h.run) {
			runs = append(runs, h.run)
		}
	}
	return runs
}

// TotalSize returns the total size of the runs' files in bytes.
func TotalSize(runs []*Run) (sum int64) {
	for _, l := range runs {
		for _, p := range l.Paths {
			if info, err := os.Stat(p); err == nil {
				sum += info.Size()
			}
		}
	}
	return sum
}

// orderUncertain reports whether the clocks are too inaccurate to order entry i and the one before it. The order of
// entries of the same run is always certain.
func (t *Timeline) orderUncertain(i int) bool {
	if i == 0 || t.Histories[t.Entries[i].History].run == t.Histories[t.Entries[i-1].History].run {
		return false
	}
	a, b := t.Entries[i-1], t.Entries[i]
	return a.Unsure < 0 || b.Unsure < 0 || b.At.Sub(a.At) <= a.Unsure+b.Unsure
}

// Print writes the timeline as a table.
func (t *Timeline) Print(w io.Writer) {
	for _, h := range t.Histories {
		h.printHeader(w)
	}
	if len(t.Entries) == 0 {
		return
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	anyUncertain := false
	for i, entry := range t.Entries {
		h := t.Histories[entry.History]
		mark := ""
		if t.orderUncertain(i) {
			mark, anyUncertain = "?", true
		}
		step := &h.Steps[entry.Step]
		fmt.Fprintf(table, "  %9.3f ms%s\t%s\t%s\t%s\n", float64(entry.At.Sub(t.Entries[0].At).Microseconds())/1e3, mark, h.Name(), step.What, step.Why)
	}
	table.Flush()
	if anyUncertain {
		fmt.Fprintln(w, "  ?: the clocks leave open whether this came before the line above")
	}
}

// ExplainLastDecision replays a run up to the last recorded decision on a txn, and returns the state of each worker as
// the decision module saw it, with the module's reason not to choose the worker. The run must be recorded from its start.
func ExplainLastDecision(h *TxnHistory) ([]logic.WorkerStatus, error) {
	run := h.run
	if run.Level() != LevelWhole || run.origin != 0 {
		return nil, ErrSampled
	}
	settings := map[string]any{}
	if err := json.Unmarshal(run.Headers[0].Settings, &settings); err != nil {
		return nil, fmt.Errorf("trace: decoding the header's settings: %w", err)
	}
	var decidedAt int64
	submissions := 0
	for _, step := range h.Steps {
		switch step.Kind {
		case tracepb.Kind_SUBMIT, tracepb.Kind_DECLINE, tracepb.Kind_VOID:
			decidedAt = step.At
		}
		if step.Kind == tracepb.Kind_SUBMIT {
			submissions++
		}
	}
	collector, result := &actionCollector{}, &ReplayResult{}
	var sentry *logic.Sentry
	var replayErr error
	decided := false
	err := run.Each(func(r *Record, names []string) bool {
		switch {
		case isAction(r.Kind):
			// Stop at the action of the decision: the state of the module is still that right after the event.
			decided = decided || r.At == decidedAt && r.Txn == h.id && (r.Kind == tracepb.Kind_DECLINE || r.Kind == tracepb.Kind_VOID || r.Kind == tracepb.Kind_SUBMIT)
			return !decided
		case r.Kind == tracepb.Kind_WORKER, r.Kind == tracepb.Kind_END, r.Kind == tracepb.Kind_STANDING:
			return true
		case r.Kind == tracepb.Kind_GAP:
			replayErr = ErrGap
			return false
		case sentry == nil && r.Kind != tracepb.Kind_START:
			replayErr = ErrNoStart
			return false
		}
		collector.actions = collector.actions[:0]
		replayErr = result.applyEvent(&sentry, logic.Nanos(r.At), r, names, settings, collector)
		return replayErr == nil
	}, nil)
	if err == nil {
		err = replayErr
	}
	if err != nil {
		return nil, err
	}
	if !decided {
		return nil, fmt.Errorf("trace: no decision on %s was recorded", h.Name())
	}
	return sentry.Explain(logic.ProductID(h.product), logic.KeyID(h.Key), submissions), nil
}

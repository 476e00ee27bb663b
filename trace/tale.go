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

// Tale is the stories of some txns in one order: what a client asked for, over all sentries that it went to.
type Tale struct {
	Stories []*TxnHistory
	Lines   []Line
}

// Line is a step of a story, at its place among all.
type Line struct {
	At     time.Time // by the first life's clock
	Story  int
	Step   int
	Unsure time.Duration // may stand before lines of other sentries that are nearer than this; negative: anywhere
}

// Join puts stories into one order. clocks are those of all lives that they come from, by the lives' order; nil: the
// lives' own wall clocks are taken as they are, as in a merged file.
func Join(stories []*TxnHistory, lives []*Life, clocks []Clock) *Tale {
	t := &Tale{Stories: stories}
	for i, s := range stories {
		shift, unsure := int64(0), s.Unsure
		for k, l := range lives {
			if l == s.run && clocks != nil {
				shift, unsure = clocks[k].ToReference(s.Wall.UnixNano())-s.Wall.UnixNano(), time.Duration(clocks[k].Unsure)
			}
		}
		s.Unsure = unsure
		for k := range s.Steps {
			t.Lines = append(t.Lines, Line{At: time.Unix(0, s.Wall.UnixNano()+shift+s.Steps[k].At-s.Taken).UTC(), Story: i, Step: k, Unsure: unsure})
		}
	}
	sort.SliceStable(t.Lines, func(i, j int) bool { return t.Lines[i].At.Before(t.Lines[j].At) })
	return t
}

// LivesOf lists the lives that stories come from.
func LivesOf(stories []*TxnHistory) (out []*Life) {
	for _, s := range stories {
		if !slices.Contains(out, s.run) {
			out = append(out, s.run)
		}
	}
	return out
}

// SizeOf is how many bytes the files of lives have.
func SizeOf(lives []*Life) (sum int64) {
	for _, l := range lives {
		for _, p := range l.Paths {
			if info, err := os.Stat(p); err == nil {
				sum += info.Size()
			}
		}
	}
	return sum
}

// doubt tells whether a line's order against the one before, of another sentry, is not known.
func (t *Tale) doubt(i int) bool {
	if i == 0 || t.Stories[t.Lines[i].Story].run == t.Stories[t.Lines[i-1].Story].run {
		return false
	}
	a, b := t.Lines[i-1], t.Lines[i]
	return a.Unsure < 0 || b.Unsure < 0 || b.At.Sub(a.At) <= a.Unsure+b.Unsure
}

// Print tells the tale as a table.
func (t *Tale) Print(w io.Writer) {
	for _, s := range t.Stories {
		s.printHeader(w)
	}
	if len(t.Lines) == 0 {
		return
	}
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	doubts := false
	for i, l := range t.Lines {
		s := t.Stories[l.Story]
		mark := ""
		if t.doubt(i) {
			mark, doubts = "?", true
		}
		x := &s.Steps[l.Step]
		fmt.Fprintf(out, "  %9.3f ms%s\t%s\t%s\t%s\n", float64(l.At.Sub(t.Lines[0].At).Microseconds())/1e3, mark, s.Name(), x.What, x.Why)
	}
	out.Flush()
	if doubts {
		fmt.Fprintln(w, "  ?: the clocks leave open whether this came before the line above")
	}
}

// Why replays a life up to a txn's last recorded decision, and lists how each worker stood for it: what the decision
// module itself says speaks against each. It needs the life from its start.
func Why(s *TxnHistory) ([]logic.WorkerStatus, error) {
	l := s.run
	if l.Level() != LevelWhole || l.origin != 0 {
		return nil, ErrSampled
	}
	settings := map[string]any{}
	if err := json.Unmarshal(l.Headers[0].Settings, &settings); err != nil {
		return nil, fmt.Errorf("trace: the header's settings: %w", err)
	}
	var at int64
	tried := 0
	for _, x := range s.Steps {
		switch x.Kind {
		case tracepb.Kind_SUBMIT, tracepb.Kind_DECLINE, tracepb.Kind_VOID:
			at = x.At
		}
		if x.Kind == tracepb.Kind_SUBMIT {
			tried++
		}
	}
	p, out := &actionCollector{}, &Replayed{}
	var m *logic.Sentry
	var fault error
	found := false
	err := l.Each(func(r *Record, names []string) bool {
		switch {
		case isAction(r.Kind):
			// The actions of the event that decided: the module stands right behind it.
			found = found || r.At == at && r.Txn == s.id && (r.Kind == tracepb.Kind_DECLINE || r.Kind == tracepb.Kind_VOID || r.Kind == tracepb.Kind_SUBMIT)
			return !found
		case r.Kind == tracepb.Kind_WORKER, r.Kind == tracepb.Kind_END, r.Kind == tracepb.Kind_STANDING:
			return true
		case r.Kind == tracepb.Kind_GAP:
			fault = ErrGap
			return false
		case m == nil && r.Kind != tracepb.Kind_START:
			fault = ErrNoStart
			return false
		}
		p.actions = p.actions[:0]
		fault = out.applyEvent(&m, logic.Nanos(r.At), r, names, settings, p)
		return fault == nil
	}, nil)
	if err == nil {
		err = fault
	}
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, fmt.Errorf("trace: nothing was decided on %s", s.Name())
	}
	return m.Explain(logic.ProductID(s.product), logic.KeyID(s.Key), tried), nil
}

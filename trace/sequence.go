package trace

import (
	"fmt"
	"io"
	"time"

	svg "github.com/ajstarks/svgo"

	"dunegrade/logic"
	"dunegrade/trace/tracepb"
)

// Sizes of a sequence chart, in pixels.
const (
	chartLane  = 190
	chartRow   = 34
	chartTop   = 70
	chartSide  = 110
	chartSmall = "font-family:sans-serif;font-size:11px"
	chartBig   = "font-family:sans-serif;font-size:13px;font-weight:bold"
)

// sequence draws a tale.
type sequence struct {
	s     *svg.SVG
	lanes []string
	place map[string]int
}

func (c *sequence) lane(name string) int {
	at, known := c.place[name]
	if !known {
		at = len(c.lanes)
		c.place[name] = at
		c.lanes = append(c.lanes, name)
	}
	return chartSide + at*chartLane + chartLane/2
}

// SVG draws the tale as a sequence chart: the client, the sentries and the workers side by side, time downwards, in
// order and not to scale.
func (t *Tale) SVG(w io.Writer) error {
	c := &sequence{place: map[string]int{}}
	c.lane("client")
	for _, s := range t.Stories {
		c.lane(sentryLane(s))
	}
	for _, l := range t.Lines {
		if x := t.Stories[l.Story].Steps[l.Step]; x.Worker != "" {
			c.lane(x.Worker)
		}
	}
	out := &keptError{w: w}
	c.s = svg.New(out)
	width, height := 2*chartSide+len(c.lanes)*chartLane, chartTop+(len(t.Lines)+1)*chartRow+40
	c.s.Start(width, height)
	c.s.Rect(0, 0, width, height, "fill:white")
	for _, name := range c.lanes {
		x := c.lane(name)
		c.s.Text(x, 40, name, chartBig+";text-anchor:middle")
		c.s.Line(x, 52, x, height-20, "stroke:#999;stroke-dasharray:4 3")
	}
	for i, l := range t.Lines {
		s := t.Stories[l.Story]
		c.step(chartTop+(i+1)*chartRow, l.At.Sub(t.Lines[0].At), t.doubt(i), s, &s.Steps[l.Step])
	}
	c.s.End()
	return out.err
}

func sentryLane(s *TxnHistory) string {
	return fmt.Sprintf("%s (s%d)", s.Edge, s.Sentry)
}

// step draws one line of the tale.
func (c *sequence) step(y int, at time.Duration, doubt bool, s *TxnHistory, x *Step) {
	mark := ""
	if doubt {
		mark = " ?"
	}
	c.s.Text(8, y+4, fmt.Sprintf("%.3f ms%s", float64(at.Microseconds())/1e3, mark), chartSmall)
	here := c.lane(sentryLane(s))
	label := x.What
	if x.Why != "" {
		label += ": " + x.Why
	}
	switch x.Kind {
	case tracepb.Kind_TAKE:
		c.arrow(c.lane("client"), here, y, s.Name()+" "+s.Product, "#225")
	case tracepb.Kind_SUBMIT:
		c.arrow(here, c.lane(x.Worker), y, label, "#225")
	case tracepb.Kind_OUTCOME:
		color := "#282"
		if x.Ending != logic.OK {
			color = "#b22"
		}
		if sent := s.submissions(); int(x.Number) < len(sent) {
			c.arrow(c.lane(sent[x.Number].Worker), here, y, label, color)
		}
	case tracepb.Kind_CANCEL:
		if sent := s.submissions(); int(x.Number) < len(sent) {
			c.arrow(here, c.lane(sent[x.Number].Worker), y, label, "#888")
		}
	case tracepb.Kind_DECLINE, tracepb.Kind_VOID:
		c.arrow(here, c.lane("client"), y, label, "#b22")
	case tracepb.Kind_LEFT:
		c.arrow(c.lane("client"), here, y, label, "#888")
	default:
		c.s.Text(here+8, y+4, label, chartSmall)
	}
}

func (c *sequence) arrow(from, to, y int, label, color string) {
	c.s.Line(from, y, to, y, "stroke:"+color+";stroke-width:1.5")
	d := -6
	if to < from {
		d = 6
	}
	c.s.Polygon([]int{to, to + d, to + d}, []int{y, y - 4, y + 4}, "fill:"+color)
	c.s.Text(min(from, to)+8, y-5, label, chartSmall+";fill:"+color)
}

// keptError keeps the first error: the drawing library tells none.
type keptError struct {
	w   io.Writer
	err error
}

func (c *keptError) Write(b []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.w.Write(b)
	c.err = err
	return n, err
}

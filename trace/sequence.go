package trace

import (
	"fmt"
	"io"
	"time"

	svg "github.com/ajstarks/svgo"

	"dunegrade/logic"
	"dunegrade/trace/tracepb"
)

// Layout of a sequence diagram, in pixels, and its text styles.
const (
	laneWidth      = 190
	rowHeight      = 34
	topMargin      = 70
	sideMargin     = 110
	smallTextStyle = "font-family:sans-serif;font-size:11px"
	titleTextStyle = "font-family:sans-serif;font-size:13px;font-weight:bold"
)

// sequenceDiagram draws a timeline. A lane is the vertical line of a participant.
type sequenceDiagram struct {
	canvas    *svg.SVG
	lanes     []string       // names, from left to right
	laneIndex map[string]int // by name
}

// laneCenter returns the x coordinate of the center of a lane. It adds a lane for a name that has none yet.
func (d *sequenceDiagram) laneCenter(name string) int {
	index, known := d.laneIndex[name]
	if !known {
		index = len(d.lanes)
		d.laneIndex[name] = index
		d.lanes = append(d.lanes, name)
	}
	return sideMargin + index*laneWidth + laneWidth/2
}

// SVG writes the timeline as a sequence diagram, with lanes for the client, the sentries and the workers. Time runs
// downwards and is not to scale.
func (t *Timeline) SVG(w io.Writer) error {
	d := &sequenceDiagram{laneIndex: map[string]int{}}
	d.laneCenter("client")
	for _, h := range t.Histories {
		d.laneCenter(sentryLane(h))
	}
	for _, entry := range t.Entries {
		if step := t.Histories[entry.History].Steps[entry.Step]; step.Worker != "" {
			d.laneCenter(step.Worker)
		}
	}
	ew := &errorKeepingWriter{w: w}
	d.canvas = svg.New(ew)
	width, height := 2*sideMargin+len(d.lanes)*laneWidth, topMargin+(len(t.Entries)+1)*rowHeight+40
	d.canvas.Start(width, height)
	d.canvas.Rect(0, 0, width, height, "fill:white")
	for _, name := range d.lanes {
		center := d.laneCenter(name)
		d.canvas.Text(center, 40, name, titleTextStyle+";text-anchor:middle")
		d.canvas.Line(center, 52, center, height-20, "stroke:#999;stroke-dasharray:4 3")
	}
	for i, entry := range t.Entries {
		h := t.Histories[entry.History]
		d.drawEntry(topMargin+(i+1)*rowHeight, entry.At.Sub(t.Entries[0].At), t.orderUncertain(i), h, &h.Steps[entry.Step])
	}
	d.canvas.End()
	return ew.err
}

// sentryLane returns the name of the lane of the history's sentry.
func sentryLane(h *TxnHistory) string {
	return fmt.Sprintf("%s (s%d)", h.Edge, h.Sentry)
}

// drawEntry draws one entry of the timeline.
func (d *sequenceDiagram) drawEntry(y int, elapsed time.Duration, uncertain bool, h *TxnHistory, step *Step) {
	mark := ""
	if uncertain {
		mark = " ?"
	}
	d.canvas.Text(8, y+4, fmt.Sprintf("%.3f ms%s", float64(elapsed.Microseconds())/1e3, mark), smallTextStyle)
	sentry := d.laneCenter(sentryLane(h))
	label := step.What
	if step.Why != "" {
		label += ": " + step.Why
	}
	switch step.Kind {
	case tracepb.Kind_TAKE:
		d.drawArrow(d.laneCenter("client"), sentry, y, h.Name()+" "+h.Product, "#225")
	case tracepb.Kind_SUBMIT:
		d.drawArrow(sentry, d.laneCenter(step.Worker), y, label, "#225")
	case tracepb.Kind_OUTCOME:
		color := "#282"
		if step.Ending != logic.OK {
			color = "#b22"
		}
		if submissions := h.submissions(); int(step.Number) < len(submissions) {
			d.drawArrow(d.laneCenter(submissions[step.Number].Worker), sentry, y, label, color)
		}
	case tracepb.Kind_CANCEL:
		if submissions := h.submissions(); int(step.Number) < len(submissions) {
			d.drawArrow(sentry, d.laneCenter(submissions[step.Number].Worker), y, label, "#888")
		}
	case tracepb.Kind_DECLINE, tracepb.Kind_VOID:
		d.drawArrow(sentry, d.laneCenter("client"), y, label, "#b22")
	case tracepb.Kind_LEFT:
		d.drawArrow(d.laneCenter("client"), sentry, y, label, "#888")
	default:
		d.canvas.Text(sentry+8, y+4, label, smallTextStyle)
	}
}

// drawArrow draws a labelled horizontal arrow.
func (d *sequenceDiagram) drawArrow(from, to, y int, label, color string) {
	d.canvas.Line(from, y, to, y, "stroke:"+color+";stroke-width:1.5")
	head := -6
	if to < from {
		head = 6
	}
	d.canvas.Polygon([]int{to, to + head, to + head}, []int{y, y - 4, y + 4}, "fill:"+color)
	d.canvas.Text(min(from, to)+8, y-5, label, smallTextStyle+";fill:"+color)
}

// errorKeepingWriter keeps the first write error, because the drawing library ignores errors.
type errorKeepingWriter struct {
	w   io.Writer
	err error
}

func (ew *errorKeepingWriter) Write(b []byte) (int, error) {
	if ew.err != nil {
		return 0, ew.err
	}
	n, err := ew.w.Write(b)
	ew.err = err
	return n, err
}

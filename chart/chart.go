// Package chart draws figures as SVG, and puts them into pages that need nothing from elsewhere.
package chart

import (
	"bytes"
	"fmt"
	"html"
	"image/color"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Colors that tell lines apart, in the order of a chart's series.
var Colors = []color.Color{color.RGBA{30, 130, 60, 255}, color.RGBA{60, 90, 200, 255}, color.RGBA{200, 40, 40, 255}, color.RGBA{220, 150, 0, 255},
	color.RGBA{150, 60, 160, 255}, color.RGBA{0, 150, 160, 255}, color.RGBA{120, 120, 120, 255}, color.RGBA{0, 0, 0, 255}}

// Series is one line of a chart. Low and High, if given, are drawn as its band.
type Series struct {
	Name      string
	X, Y      []float64
	Low, High []float64
	Color     color.Color // nil: by its place
	Points    bool        // points rather than a line
	Stepped   bool
}

// Axes name a chart's axes. LogX and LogY draw them as powers of ten; every figure is above 0 then.
type Axes struct {
	X, Y       string
	LogX, LogY bool
}

// LineChart draws a chart as SVG.
func LineChart(title string, axes Axes, all []Series) (string, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, axes.X, axes.Y
	p.Legend.Top = true
	if axes.LogX {
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	}
	if axes.LogY {
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	} else {
		p.Y.Min = 0
	}
	for i, s := range all {
		c := s.Color
		if c == nil {
			c = Colors[i%len(Colors)]
		}
		points := make(plotter.XYs, len(s.X))
		for k := range s.X {
			points[k].X, points[k].Y = s.X[k], s.Y[k]
		}
		if len(points) == 0 {
			continue
		}
		if len(s.Low) == len(s.X) && len(s.Low) > 0 {
			var ring plotter.XYs
			for k := range s.X {
				ring = append(ring, plotter.XY{X: s.X[k], Y: s.High[k]})
			}
			for k := len(s.X) - 1; k >= 0; k-- {
				ring = append(ring, plotter.XY{X: s.X[k], Y: s.Low[k]})
			}
			band, err := plotter.NewPolygon(ring)
			if err != nil {
				return "", fmt.Errorf("chart: %s: %w", s.Name, err)
			}
			r, g, b, _ := c.RGBA()
			band.Color, band.LineStyle.Width = color.NRGBA{uint8(r >> 8), uint8(g >> 8), uint8(b >> 8), 40}, 0
			p.Add(band)
		}
		if s.Points {
			dots, err := plotter.NewScatter(points)
			if err != nil {
				return "", fmt.Errorf("chart: %s: %w", s.Name, err)
			}
			dots.Color, dots.Radius = c, 2
			p.Add(dots)
			p.Legend.Add(s.Name, dots)
			continue
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return "", fmt.Errorf("chart: %s: %w", s.Name, err)
		}
		l.Color = c
		if s.Stepped {
			l.StepStyle = plotter.PostStep
		}
		p.Add(l)
		p.Legend.Add(s.Name, l)
	}
	canvas := vgsvg.New(9*vg.Inch, 3.2*vg.Inch)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", fmt.Errorf("chart: %w", err)
	}
	svg := b.String()
	if at := strings.Index(svg, "<svg"); at > 0 { // without the XML prolog, within a page
		svg = svg[at:]
	}
	return svg, nil
}

// Page makes a page of a title, charts and a text.
func Page(title string, charts []string, text string) string {
	t := html.EscapeString(title)
	return fmt.Sprintf("<!doctype html>\n<meta charset=\"utf-8\"><title>%s</title>\n<body style=\"font-family:sans-serif;margin:2em\"><h1>%s</h1>\n%s\n<pre>%s</pre>\n",
		t, t, strings.Join(charts, "\n"), html.EscapeString(text))
}

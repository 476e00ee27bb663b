// Package chart draws line charts as SVG and embeds them in self-contained HTML pages.
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

// Palette holds the default colors of series, by their index in the chart.
var Palette = []color.Color{color.RGBA{30, 130, 60, 255}, color.RGBA{60, 90, 200, 255}, color.RGBA{200, 40, 40, 255},
	color.RGBA{220, 150, 0, 255}, color.RGBA{150, 60, 160, 255}, color.RGBA{0, 150, 160, 255}, color.RGBA{120, 120, 120, 255}, color.RGBA{0, 0, 0, 255}}

// Series is one line of a chart. Low and High, if not empty, bound a band that is drawn around the line.
type Series struct {
	Name      string
	X, Y      []float64
	Low, High []float64
	Color     color.Color // nil selects the color from Palette
	Points    bool        // whether to draw separate points instead of a line
	Stepped   bool        // whether to draw steps instead of straight segments
}

// Axes holds the axis labels of a chart. LogX and LogY select logarithmic scales, on which all values have to be above 0.
type Axes struct {
	X, Y       string
	LogX, LogY bool
}

const (
	// chartWidth and chartHeight are the size of a chart.
	chartWidth  = 9 * vg.Inch
	chartHeight = 3.2 * vg.Inch
	// dotRadius is the radius of a separate point, in typographic points.
	dotRadius = 2
	// bandAlpha is the opacity of a band, from 0 to 255.
	bandAlpha = 40
)

// LineChart returns a chart as an SVG element.
func LineChart(title string, axes Axes, series []Series) (string, error) {
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
	for i, s := range series {
		lineColor := s.Color
		if lineColor == nil {
			lineColor = Palette[i%len(Palette)]
		}
		points := make(plotter.XYs, len(s.X))
		for k := range s.X {
			points[k].X, points[k].Y = s.X[k], s.Y[k]
		}
		if len(points) == 0 {
			continue
		}
		if len(s.Low) == len(s.X) && len(s.Low) > 0 {
			var outline plotter.XYs
			for k := range s.X {
				outline = append(outline, plotter.XY{X: s.X[k], Y: s.High[k]})
			}
			for k := len(s.X) - 1; k >= 0; k-- {
				outline = append(outline, plotter.XY{X: s.X[k], Y: s.Low[k]})
			}
			band, err := plotter.NewPolygon(outline)
			if err != nil {
				return "", fmt.Errorf("chart: %s: %w", s.Name, err)
			}
			red, green, blue, _ := lineColor.RGBA()
			band.Color, band.LineStyle.Width = color.NRGBA{uint8(red >> 8), uint8(green >> 8), uint8(blue >> 8), bandAlpha}, 0
			p.Add(band)
		}
		if s.Points {
			dots, err := plotter.NewScatter(points)
			if err != nil {
				return "", fmt.Errorf("chart: %s: %w", s.Name, err)
			}
			dots.Color, dots.Radius = lineColor, dotRadius
			p.Add(dots)
			p.Legend.Add(s.Name, dots)
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", fmt.Errorf("chart: %s: %w", s.Name, err)
		}
		line.Color = lineColor
		if s.Stepped {
			line.StepStyle = plotter.PostStep
		}
		p.Add(line)
		p.Legend.Add(s.Name, line)
	}
	canvas := vgsvg.New(chartWidth, chartHeight)
	p.Draw(draw.New(canvas))
	var buf bytes.Buffer
	if _, err := canvas.WriteTo(&buf); err != nil {
		return "", fmt.Errorf("chart: %w", err)
	}
	svg := buf.String()
	if start := strings.Index(svg, "<svg"); start > 0 { // remove the XML prolog, which is not allowed within HTML
		svg = svg[start:]
	}
	return svg, nil
}

// Page returns an HTML page with a title, charts and preformatted text.
func Page(title string, charts []string, text string) string {
	escapedTitle := html.EscapeString(title)
	return fmt.Sprintf("<!doctype html>\n<meta charset=\"utf-8\"><title>%s</title>\n<body style=\"font-family:sans-serif;margin:2em\"><h1>%s</h1>\n%s\n<pre>%s</pre>\n",
		escapedTitle, escapedTitle, strings.Join(charts, "\n"), html.EscapeString(text))
}

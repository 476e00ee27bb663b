package lab

import (
	"encoding/json"
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"strings"

	"dunegrade/chart"
)

// WriteReport writes the report of a run, report.json and report.html, to the directory dir, and returns the path of the
// HTML page. The page contains its charts as SVG and refers to no other files.
func WriteReport(dir string, figures *Figures, events []string) (string, error) {
	data, err := json.MarshalIndent(figures, "", "  ")
	if err != nil {
		return "", err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "report.json"), append(data, '\n'), 0o644); err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	seriesOf := func(name string, seriesColor color.Color, value func(Second) int) chart.Series {
		series := chart.Series{Name: name, Color: seriesColor}
		for i := range figures.Series {
			series.X, series.Y = append(series.X, float64(i)), append(series.Y, float64(value(figures.Series[i])))
		}
		return series
	}
	axes := chart.Axes{X: "second of the day"}
	txnChart, err := chart.LineChart("txns by the second they were asked for", axes, []chart.Series{
		seriesOf("asked", color.RGBA{120, 120, 120, 255}, func(s Second) int { return s.Asked }),
		seriesOf("in time", color.RGBA{30, 130, 60, 255}, func(s Second) int { return s.InTime }),
		seriesOf("late", color.RGBA{220, 150, 0, 255}, func(s Second) int { return s.Late }),
		seriesOf("declined", color.RGBA{60, 90, 200, 255}, func(s Second) int { return s.Declined }),
		seriesOf("voided", color.RGBA{200, 40, 40, 255}, func(s Second) int { return s.Voided }),
		seriesOf("lost", color.RGBA{0, 0, 0, 255}, func(s Second) int { return s.Lost })})
	if err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	buildChart, err := chart.LineChart("submissions at the newest build, a second", axes, []chart.Series{
		seriesOf("submissions", color.RGBA{150, 60, 160, 255}, func(s Second) int { return s.Trial })})
	if err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	var text strings.Builder
	figures.WriteTable(&text)
	fmt.Fprintf(&text, "\nwhat happened\n%s\n", strings.Join(events, "\n"))
	for _, violation := range figures.Violations {
		fmt.Fprintf(&text, "\n%s\n", violation)
	}
	page := chart.Page(fmt.Sprintf("%s, seed %d, %s", figures.Day, figures.Seed, figures.Edge), []string{txnChart, buildChart}, text.String())
	path := filepath.Join(dir, "report.html")
	if err := os.WriteFile(path, []byte(page), 0o644); err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	return path, nil
}

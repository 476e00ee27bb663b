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

// WriteReport writes a run's report into a folder: report.json and report.html, and gives the page's path. The page
// holds its charts as SVG and needs nothing from elsewhere.
func WriteReport(dir string, f *Figures, marks []string) (string, error) {
	data, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		return "", err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "report.json"), append(data, '\n'), 0o644); err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	of := func(name string, c color.Color, value func(Second) int) chart.Series {
		s := chart.Series{Name: name, Color: c}
		for i := range f.Series {
			s.X, s.Y = append(s.X, float64(i)), append(s.Y, float64(value(f.Series[i])))
		}
		return s
	}
	axes := chart.Axes{X: "second of the day"}
	day, err := chart.LineChart("txns by the second they were asked for", axes, []chart.Series{
		of("asked", color.RGBA{120, 120, 120, 255}, func(s Second) int { return s.Asked }),
		of("in time", color.RGBA{30, 130, 60, 255}, func(s Second) int { return s.InTime }),
		of("late", color.RGBA{220, 150, 0, 255}, func(s Second) int { return s.Late }),
		of("declined", color.RGBA{60, 90, 200, 255}, func(s Second) int { return s.Declined }),
		of("voided", color.RGBA{200, 40, 40, 255}, func(s Second) int { return s.Voided }),
		of("lost", color.RGBA{0, 0, 0, 255}, func(s Second) int { return s.Lost })})
	if err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	build, err := chart.LineChart("submissions at the newest build, a second", axes, []chart.Series{
		of("submissions", color.RGBA{150, 60, 160, 255}, func(s Second) int { return s.Trial })})
	if err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	var text strings.Builder
	f.Table(&text)
	fmt.Fprintf(&text, "\nwhat happened\n%s\n", strings.Join(marks, "\n"))
	for _, v := range f.Violations {
		fmt.Fprintf(&text, "\n%s\n", v)
	}
	page := chart.Page(fmt.Sprintf("%s, seed %d, %s", f.Day, f.Seed, f.Edge), []string{day, build}, text.String())
	path := filepath.Join(dir, "report.html")
	if err := os.WriteFile(path, []byte(page), 0o644); err != nil {
		return "", fmt.Errorf("report: %w", err)
	}
	return path, nil
}

package lab

import (
	"context"
	"fmt"
	"io"
	"os/exec"
	"path/filepath"
	"sync"
)

// ComparisonRun is the run of a day with one kind of edge in a comparison.
type ComparisonRun struct {
	Kind        string // dunegrade, or one of ComparisonEdges
	Day         *Day
	Out         string                              // directory for the report and the edges' files
	EdgeCommand func(settingsPath string) *exec.Cmd // returns the command that runs one edge
}

// RunComparison performs all runs at the same time, each with its own fleet, so that a busy machine affects all of them
// alike. It writes their reports and returns their figures in the order of runs.
func RunComparison(ctx context.Context, runs []ComparisonRun) ([]*Figures, error) {
	figures, errs := make([]*Figures, len(runs)), make([]error, len(runs))
	var group sync.WaitGroup
	for i, spec := range runs {
		group.Go(func() {
			r := &Runner{Day: spec.Day, Out: filepath.Join(spec.Out, "edges"), EdgeCommand: spec.EdgeCommand}
			rec, err := r.Run(ctx)
			if err != nil {
				errs[i] = fmt.Errorf("%s, seed %d, %s: %w", spec.Day.Name, spec.Day.Seed, spec.Kind, err)
				return
			}
			figures[i] = ComputeFigures(spec.Day, rec, spec.Kind, Check(spec.Day, rec))
			_, errs[i] = WriteReport(spec.Out, figures[i], rec.Events)
		})
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return figures, nil
}

// ViolationCount returns the number of violations of all rules.
func (f *Figures) ViolationCount() int {
	total := 0
	for _, n := range f.Rules {
		total += n
	}
	return total
}

// WriteComparisonTable writes the figures of runs as a WriteComparisonTable table.
func WriteComparisonTable(w io.Writer, rows []*Figures) {
	fmt.Fprintln(w, "| day | seed | edge | txns | revenue in time | worst 5 s | harm | bad builds back after | good builds released after | submissions per txn | rules violated |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, f := range rows {
		backTimes, releaseTimes := "", ""
		for _, build := range f.Builds {
			formatTime := func(seconds float64) string {
				if seconds == 0 {
					return "never"
				}
				return fmt.Sprintf("%.1f s", seconds)
			}
			if build.Flaw == "good" {
				releaseTimes += formatTime(build.Released) + " "
				if build.Back > 0 {
					releaseTimes += fmt.Sprintf("(back after %.1f s) ", build.Back)
				}
			} else {
				backTimes += formatTime(build.Back) + " "
			}
		}
		rules := "none"
		if f.ViolationCount() > 0 {
			rules = ""
			for rule, n := range f.Rules {
				if n > 0 {
					rules += fmt.Sprintf("%d: %d ", rule, n)
				}
			}
		}
		fmt.Fprintf(w, "| %s | %d | %s | %d | %.3f | %.3f | %.4f | %s | %s | %.3f | %s |\n", f.Day, f.Seed, f.Edge, f.Txns, f.Revenue, f.WorstFive, f.Harm,
			backTimes, releaseTimes, f.Work, rules)
	}
}

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"dunegrade/config"
	"dunegrade/trace"
	"dunegrade/trace/tracepb"
)

// traceCmds are the subcommands of dunegrade trace.
type traceCmds struct {
	Follow    followCmd    `cmd:"" help:"Tell the story of a txn, by its name (s1-4711), key or traceparent."`
	Replay    replayCmd    `cmd:"" help:"Run the decisions on the recorded events, and show the first that differs."`
	Summarise summariseCmd `cmd:"" help:"Count txns by product, and submissions by build and worker."`
	Anonymise anonymiseCmd `cmd:"" help:"Write files without texts, names or keys that could tell who it was."`
	Cut       cutCmd       `cmd:"" help:"Write chosen txns to files of their own, one a life."`
	Merge     mergeCmd     `cmd:"" help:"Put files of several sentries in one order, though their clocks disagree."`
	Verify    verifyCmd    `cmd:"" help:"Check files: frames, checksums, order, gaps."`
	Export    exportCmd    `cmd:"" help:"Print records as JSON lines."`
}

// reportDamage prints the position and kind of damage to a trace file to standard error.
func reportDamage(path string, damage trace.Damage) {
	fmt.Fprintf(os.Stderr, "%s: damaged: %v\n", path, damage)
}

// openRuns returns the recorded runs of sentries in files and directories. The output calls the id of a run its life.
// openRuns prints an error for files that cannot be read and skips them. It fails if no run is left.
func openRuns(paths []string) ([]*trace.Run, error) {
	runs, err := trace.FindRuns(paths)
	if err != nil {
		fmt.Fprintln(os.Stderr, "dunegrade:", err)
	}
	if len(runs) == 0 {
		return nil, inputError{errors.New("no trace files found")}
	}
	return runs, nil
}

type followCmd struct {
	Txn   string   `arg:"" help:"The txn's name, key, traceparent or trace id."`
	Paths []string `arg:"" help:"Files or folders." type:"path"`
	JSON  bool     `help:"Print JSON lines, one a txn."`
	SVG   string   `name:"svg" help:"Write a sequence chart to this file." type:"path"`
	Why   bool     `help:"Replay up to the last decision on the txn, and list how each worker stood then."`
}

func (*followCmd) Help() string {
	return `Examples:

  dunegrade trace follow s1-4711 state/trace
  dunegrade trace follow order-2291 edge-0/trace edge-1/trace --svg order.svg
  dunegrade trace follow 00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01 state/trace --why

Txns of one key or trace id are told in one order, over all sentries; their clocks are held against each other first,
which reads all the files: for large ones, cut or merge first.`
}

// maxClockCompareBytes is the total size of the files up to which followCmd compares the sentries' clocks, for which all
// files are read.
const maxClockCompareBytes = 256 << 20

func (c *followCmd) Run() error {
	runs, err := openRuns(c.Paths)
	if err != nil {
		return err
	}
	stories, err := trace.Follow(runs, trace.ParseQuery(c.Txn), reportDamage)
	if err != nil {
		return err
	}
	if len(stories) == 0 {
		return fmt.Errorf("no txn matches %q", c.Txn)
	}
	var clocks []trace.Clock
	if len(trace.RunsOf(stories)) > 1 {
		if trace.TotalSize(runs) <= maxClockCompareBytes {
			if clocks, err = trace.EstimateClocks(runs, func(string, trace.Damage) {}); err != nil {
				return err
			}
		} else {
			fmt.Fprintln(os.Stderr, "dunegrade: the sentries' clocks are not compared, as the files are too large for it; see trace merge")
		}
	}
	timeline := trace.NewTimeline(stories, runs, clocks)
	if c.SVG != "" {
		file, err := os.Create(c.SVG)
		if err != nil {
			return err
		}
		err = timeline.SVG(file)
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return err
		}
	}
	if c.JSON {
		encoder := json.NewEncoder(os.Stdout)
		for _, story := range stories {
			if err := encoder.Encode(story); err != nil {
				return err
			}
		}
		return nil
	}
	timeline.Print(os.Stdout)
	if !c.Why {
		return nil
	}
	for _, story := range stories {
		statuses, err := trace.ExplainLastDecision(story)
		if err != nil {
			return fmt.Errorf("%s: %w", story.Name(), err)
		}
		fmt.Printf("\nat the last decision on %s\n", story.Name())
		table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "  worker\tbuild\tin hand\tof\ttimes the usual time\tagainst it")
		for _, status := range statuses {
			fmt.Fprintf(table, "  %s\t%d\t%d\t%.1f\t%.2f\t%s\n", status.Worker, status.Rel, status.Open, status.Limit, status.Slowdown,
				status.Reason)
		}
		table.Flush()
	}
	return nil
}

type replayCmd struct {
	Paths []string `arg:"" help:"Files or folders." type:"path"`
	With  string   `help:"An edge's settings file: show what it would have decided differently." type:"path"`
	JSON  bool     `help:"Print JSON, a line a life."`
}

func (*replayCmd) Help() string {
	return `Examples:

  dunegrade trace replay state/trace
  dunegrade trace replay --with tighter.sexp state/trace`
}

func (c *replayCmd) Run() error {
	runs, err := openRuns(c.Paths)
	if err != nil {
		return err
	}
	if c.With != "" {
		return whatIf(runs, c.With, c.JSON)
	}
	encoder := json.NewEncoder(os.Stdout)
	differing, events, actions := 0, 0, 0
	start := time.Now()
	for _, run := range runs {
		result, err := trace.Replay(run)
		name := fmt.Sprintf("%s, sentry %d, life %016x", run.Edge, run.Sentry, run.ID)
		if result == nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		events, actions = events+result.Events, actions+result.Actions
		if c.JSON {
			errText := ""
			if err != nil {
				errText = err.Error()
			}
			if result.Differs != "" || err != nil {
				differing++
			}
			if err := encoder.Encode(struct {
				Edge, Life string
				Sentry     uint32
				Why        string `json:",omitempty"`
				*trace.ReplayResult
			}{run.Edge, fmt.Sprintf("%016x", run.ID), run.Sentry, errText, result}); err != nil {
				return err
			}
			continue
		}
		if result.OtherVersion {
			fmt.Printf("%s: recorded by another version of the decision module\n", name)
		}
		switch {
		case result.Differs != "":
			differing++
			fmt.Printf("%s: differs after %d events and %d actions: %s\n", name, result.Events, result.Actions, result.Differs)
		case err != nil:
			differing++
			fmt.Printf("%s: %v, after %d equal events and %d equal actions\n", name, err, result.Events, result.Actions)
		default:
			fmt.Printf("%s: equal: %d txns, %d events, %d actions\n", name, result.Txns, result.Events, result.Actions)
		}
	}
	if !c.JSON {
		fmt.Printf("%d events and %d actions in %v\n", events, actions, time.Since(start).Round(time.Millisecond))
	}
	if differing > 0 {
		return fmt.Errorf("%d of %d lives differ or end early", differing, len(runs))
	}
	return nil
}

// whatIf prints how the decisions on the recorded events differ under the settings of the file at path.
func whatIf(runs []*trace.Run, path string, asJSON bool) error {
	edgeConfig, err := config.ReadEdge(path)
	if err != nil {
		return inputError{err}
	}
	for _, run := range runs {
		settings := map[string]any{}
		for name, value := range edgeConfig.ModuleSettings {
			settings[name] = value
		}
		settings["index"] = float64(run.Sentry)
		result, err := trace.WhatIf(run, settings)
		if err != nil {
			return fmt.Errorf("%s, sentry %d: %w", run.Edge, run.Sentry, err)
		}
		if asJSON {
			if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
				return err
			}
			continue
		}
		fmt.Printf("%s, sentry %d: %d of %d txns are sent, declined or voided differently\n", run.Edge, run.Sentry,
			result.Differ, result.Txns)
		kinds := make([]string, 0, len(result.Sums))
		for kind := range result.Sums {
			kinds = append(kinds, kind)
		}
		sort.Strings(kinds)
		for _, kind := range kinds {
			fmt.Printf("  %-10s %7d recorded %7d now\n", strings.ToLower(kind), result.Sums[kind][0], result.Sums[kind][1])
		}
		for _, example := range result.Examples {
			fmt.Println("  " + example)
		}
	}
	return nil
}

type summariseCmd struct {
	Paths   []string `arg:"" help:"Files or folders." type:"path"`
	Against []string `help:"Files or folders to hold them against: what changed from these." type:"path"`
	HTML    string   `name:"html" help:"Write a page with charts to this file." type:"path"`
	JSON    bool     `help:"Print JSON."`
}

func (*summariseCmd) Help() string {
	return `Examples:

  dunegrade trace summarise state/trace --html today.html
  dunegrade trace summarise tuesday/trace --against monday/trace`
}

func (c *summariseCmd) Run() error {
	runs, err := openRuns(c.Paths)
	if err != nil {
		return err
	}
	summary, err := trace.Summarise(runs, reportDamage)
	if err != nil {
		return err
	}
	if c.HTML != "" {
		page, err := summary.Page("traces of " + strings.Join(c.Paths, ", "))
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.HTML, []byte(page), 0o644); err != nil {
			return err
		}
	}
	if len(c.Against) > 0 {
		if runs, err = openRuns(c.Against); err != nil {
			return err
		}
		before, err := trace.Summarise(runs, reportDamage)
		if err != nil {
			return err
		}
		changes := trace.Compare(before, summary)
		if c.JSON {
			return json.NewEncoder(os.Stdout).Encode(changes)
		}
		trace.PrintChanges(os.Stdout, changes)
		return nil
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(summary)
	}
	summary.Print(os.Stdout)
	return nil
}

type cutCmd struct {
	Paths   []string  `arg:"" help:"Files or folders." type:"path"`
	O       string    `short:"o" required:"" help:"Folder of the files that are written." type:"path"`
	From    time.Time `help:"Taken from this moment on, such as 2026-12-01T16:40:00Z."`
	Till    time.Time `help:"Taken up to this moment."`
	Txn     string    `help:"A txn's name, key, traceparent or trace id."`
	Product string    `help:"Of this product."`
	Worker  string    `help:"With a submission to this worker."`
	Build   int64     `help:"With a submission to this build."`
	JSON    bool      `help:"Print JSON, a line a file."`
	End     string    `help:"That ended so: settled, declined, voided, left, or cut where no end was recorded." enum:",settled,declined,voided,left,cut" default:""`
}

func (*cutCmd) Help() string {
	return `Examples:

  dunegrade trace cut -o declined --end declined --product booking state/trace
  dunegrade trace cut -o minute --from 2026-12-01T16:40:00Z --till 2026-12-01T16:41:00Z state/trace`
}

func (c *cutCmd) Run() error {
	runs, err := openRuns(c.Paths)
	if err != nil {
		return err
	}
	filter := trace.Filter{Product: c.Product, Worker: c.Worker, Build: c.Build, End: c.End}
	if !c.From.IsZero() {
		filter.From = c.From.UnixNano()
	}
	if !c.Till.IsZero() {
		filter.Till = c.Till.UnixNano()
	}
	if c.Txn != "" {
		query := trace.ParseQuery(c.Txn)
		filter.Query = &query
	}
	if err := os.MkdirAll(c.O, 0o755); err != nil {
		return err
	}
	for _, run := range runs {
		path := filepath.Join(c.O, fmt.Sprintf("%s-s%d-%016x-cut%s", run.Edge, run.Sentry, run.ID, trace.SegmentSuffix))
		file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
		if err != nil {
			return err
		}
		numTxns, err := trace.Cut(run, filter, file, reportDamage)
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return err
		}
		if c.JSON {
			err = json.NewEncoder(os.Stdout).Encode(struct {
				Path string
				Txns int
			}{path, numTxns})
		} else {
			_, err = fmt.Printf("%s: %d txns\n", path, numTxns)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

type anonymiseCmd struct {
	Paths  []string `arg:"" help:"Files or folders." type:"path"`
	O      string   `short:"o" required:"" help:"Folder of the files that are written." type:"path"`
	JSON   bool     `help:"Print JSON, a line a file."`
	Secret string   `required:"" help:"A file of 16 bytes or more that only its owner may read. Files made with one secret can be joined by key." type:"path"`
}

func (*anonymiseCmd) Help() string {
	return `Examples:

  head -c 32 /dev/urandom > secret && chmod 600 secret
  dunegrade trace anonymise --secret secret -o out state/trace`
}

func (c *anonymiseCmd) Run() error {
	secret, err := trace.ReadSecret(c.Secret)
	if err != nil {
		return inputError{err}
	}
	runs, err := openRuns(c.Paths)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(c.O, 0o755); err != nil {
		return err
	}
	for i, run := range runs {
		// The file's name must not reveal its source either.
		path := filepath.Join(c.O, fmt.Sprintf("anonymous-%d%s", i, trace.SegmentSuffix))
		file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
		if err != nil {
			return err
		}
		err = trace.Anonymise(run, secret, file, reportDamage)
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			os.Remove(path)
			return err
		}
		if c.JSON {
			err = json.NewEncoder(os.Stdout).Encode(struct{ Path string }{path})
		} else {
			_, err = fmt.Println(path)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

type mergeCmd struct {
	Paths []string `arg:"" help:"Files or folders." type:"path"`
	O     string   `short:"o" help:"The file that is written; none: the clocks are shown only." type:"path"`
	JSON  bool     `help:"Print JSON."`
}

func (*mergeCmd) Help() string {
	return `Examples:

  dunegrade trace merge edge-0/trace edge-1/trace
  dunegrade trace merge -o all.dgt edge-0/trace edge-1/trace && dunegrade trace follow order-2291 all.dgt`
}

func (c *mergeCmd) Run() error {
	runs, err := openRuns(c.Paths)
	if err != nil {
		return err
	}
	var clocks []trace.Clock
	merged := &trace.MergeResult{}
	if c.O == "" {
		if clocks, err = trace.EstimateClocks(runs, reportDamage); err != nil {
			return err
		}
	} else {
		file, err := os.OpenFile(c.O, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
		if err != nil {
			return err
		}
		merged, err = trace.Merge(runs, file, reportDamage)
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			os.Remove(c.O)
			return err
		}
		clocks = merged.Clocks
	}
	merged.Clocks = clocks
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(merged)
	}
	for i, run := range runs {
		if i == 0 {
			fmt.Printf("%s, sentry %d, life %016x: the reference clock\n", run.Edge, run.Sentry, run.ID)
			continue
		}
		fmt.Printf("%s, sentry %d, life %016x: %v\n", run.Edge, run.Sentry, run.ID, clocks[i])
		if clocks[i].Broken > 0 {
			fmt.Printf("  %d events contradict the others and were ignored\n", clocks[i].Broken)
		}
	}
	if c.O != "" {
		fmt.Printf("%s: %d records; %d were delayed to follow their causes\n", c.O, merged.Records, merged.Held)
	}
	return nil
}

type verifyCmd struct {
	Paths []string `arg:"" help:"Files or folders." type:"path"`
	Rules bool     `help:"Hold the five rules against them, all files in one order."`
	With  string   `help:"With --rules: against an edge's settings file in place of the settings recorded." type:"path"`
	Cores float64  `help:"With --rules: cores of a worker, for the rule on cold ones."`
	JSON  bool     `help:"Print JSON."`
}

// checkRules checks the five rules on recorded runs and prints the violations.
func (c *verifyCmd) checkRules(runs []*trace.Run) error {
	options := trace.RulesOptions{Cores: c.Cores}
	if c.With != "" {
		edgeConfig, err := config.ReadEdge(c.With)
		if err != nil {
			return inputError{err}
		}
		options.Settings = edgeConfig.ModuleSettings
	}
	report, err := trace.CheckRules(runs, options, reportDamage)
	if err != nil {
		return err
	}
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
			return err
		}
	} else {
		report.Print(os.Stdout)
	}
	if len(report.Broken) > 0 {
		return fmt.Errorf("%d rule violations", len(report.Broken))
	}
	return nil
}

func (*verifyCmd) Help() string {
	return `Examples:

  dunegrade trace verify state/trace
  dunegrade trace verify --rules --cores 2 edge-0/trace edge-1/trace`
}

func (c *verifyCmd) Run() error {
	runs, err := openRuns(c.Paths)
	if err != nil {
		return err
	}
	if c.Rules {
		return c.checkRules(runs)
	}
	faults := 0
	for _, run := range runs {
		records, missing, lastTime, backwards := 0, uint64(0), int64(0), 0
		ended := false
		err := run.Each(func(record *trace.Record, _ []string) bool {
			records++
			if record.Kind == tracepb.Kind_BACK {
				// The next records are up to Span earlier, because the records of a txn are written when it ends.
				lastTime = record.At - int64(record.Span)
				return true
			}
			if record.At < lastTime {
				backwards++
			}
			lastTime = record.At
			if record.Kind == tracepb.Kind_GAP {
				missing += record.Token
			}
			ended = record.Kind == tracepb.Kind_END
			return true
		}, func(path string, damage trace.Damage) { faults++; reportDamage(path, damage) })
		if err != nil {
			return err
		}
		ending := "it ends cleanly"
		if !ended {
			ending = "it is truncated"
		}
		if c.JSON {
			if err := json.NewEncoder(os.Stdout).Encode(struct {
				Edge, Life        string
				Sentry            uint32
				Segments, Records int
				Missing           uint64
				Ended             bool
				Backwards         int
			}{run.Edge, fmt.Sprintf("%016x", run.ID), run.Sentry, len(run.Paths), records, missing, ended, backwards}); err != nil {
				return err
			}
		} else {
			fmt.Printf("%s, sentry %d, life %016x: %d segments, %d records, %d txns not recorded, %s\n", run.Edge, run.Sentry, run.ID,
				len(run.Paths), records, missing, ending)
		}
		faults += backwards
	}
	if faults > 0 {
		return fmt.Errorf("%d faults", faults)
	}
	return nil
}

type exportCmd struct {
	Paths  []string `arg:"" help:"Files or folders." type:"path"`
	Format string   `help:"json: a line a record; otlp: OpenTelemetry's TracesData, a span a txn and one a submission." enum:"json,otlp" default:"json"`
	O      string   `short:"o" help:"Write to this file." type:"path"`
}

func (*exportCmd) Help() string {
	return `Examples:

  dunegrade trace export state/trace | jq 'select(.What == "DECLINE")'
  dunegrade trace export --format otlp -o spans.binpb state/trace`
}

func (c *exportCmd) Run() error {
	runs, err := openRuns(c.Paths)
	if err != nil {
		return err
	}
	file := os.Stdout
	if c.O != "" {
		if file, err = os.OpenFile(c.O, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644); err != nil {
			return err
		}
		defer file.Close()
	}
	if c.Format == "otlp" {
		clocks, err := trace.EstimateClocks(runs, func(string, trace.Damage) {})
		if err != nil {
			return err
		}
		numSpans, err := trace.ExportSpans(runs, clocks, file, reportDamage)
		if err == nil && c.O != "" {
			fmt.Printf("%s: %d spans\n", c.O, numSpans)
		}
		return err
	}
	buffered := bufio.NewWriter(file)
	encoder := json.NewEncoder(buffered)
	for _, run := range runs {
		var encodeErr error
		err := run.Each(func(record *trace.Record, names []string) bool {
			encodeErr = encoder.Encode(struct {
				Sentry uint32
				What   string
				Worker string `json:",omitempty"`
				*trace.Record
			}{run.Sentry, record.Kind.String(), names[record.Worker], record})
			return encodeErr == nil
		}, reportDamage)
		if err == nil {
			err = encodeErr
		}
		if err != nil {
			return err
		}
	}
	return buffered.Flush()
}

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

// reportDamage prints a damaged part of a trace file to standard error.
func reportDamage(path string, d trace.Damage) { fmt.Fprintf(os.Stderr, "%s: damaged: %v\n", path, d) }

// openRuns returns the recorded runs of sentries (the lives) in files and folders. It reports trace files that cannot be
// read and skips them; it is an error if none is left.
func openRuns(paths []string) ([]*trace.Life, error) {
	found, err := trace.Lives(paths)
	if err != nil {
		fmt.Fprintln(os.Stderr, "dunegrade:", err)
	}
	if len(found) == 0 {
		return nil, inputError{errors.New("no trace files found")}
	}
	return found, nil
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

// maxClockCompareBytes is the total size of files up to which follow compares the sentries' clocks, which reads all of them.
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
	if len(trace.LivesOf(stories)) > 1 {
		if trace.SizeOf(runs) <= maxClockCompareBytes {
			if clocks, err = trace.Clocks(runs, func(string, trace.Damage) {}); err != nil {
				return err
			}
		} else {
			fmt.Fprintln(os.Stderr, "dunegrade: the sentries' clocks are not compared, as the files are too large for it; see trace merge")
		}
	}
	timeline := trace.Join(stories, runs, clocks)
	if c.SVG != "" {
		out, err := os.Create(c.SVG)
		if err != nil {
			return err
		}
		err = timeline.SVG(out)
		if cerr := out.Close(); err == nil {
			err = cerr
		}
		if err != nil {
			return err
		}
	}
	if c.JSON {
		enc := json.NewEncoder(os.Stdout)
		for _, s := range stories {
			if err := enc.Encode(s); err != nil {
				return err
			}
		}
		return nil
	}
	timeline.Print(os.Stdout)
	if !c.Why {
		return nil
	}
	for _, s := range stories {
		workers, err := trace.Why(s)
		if err != nil {
			return fmt.Errorf("%s: %w", s.Name(), err)
		}
		fmt.Printf("\nat the last decision on %s\n", s.Name())
		t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "  worker\tbuild\tin hand\tof\ttimes the usual time\tagainst it")
		for _, w := range workers {
			fmt.Fprintf(t, "  %s\t%d\t%d\t%.1f\t%.2f\t%s\n", w.Worker, w.Rel, w.Open, w.Limit, w.Slowdown, w.Reason)
		}
		t.Flush()
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
	enc := json.NewEncoder(os.Stdout)
	different, events, actions := 0, 0, 0
	began := time.Now()
	for _, l := range runs {
		r, err := trace.Replay(l)
		name := fmt.Sprintf("%s, sentry %d, life %016x", l.Edge, l.Sentry, l.ID)
		if r == nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		events, actions = events+r.Events, actions+r.Actions
		if c.JSON {
			why := ""
			if err != nil {
				why = err.Error()
			}
			if r.Differs != "" || err != nil {
				different++
			}
			if err := enc.Encode(struct {
				Edge, Life string
				Sentry     uint32
				Why        string `json:",omitempty"`
				*trace.Replayed
			}{l.Edge, fmt.Sprintf("%016x", l.ID), l.Sentry, why, r}); err != nil {
				return err
			}
			continue
		}
		if r.OtherVersion {
			fmt.Printf("%s: recorded by another version of the decision module\n", name)
		}
		switch {
		case r.Differs != "":
			different++
			fmt.Printf("%s: differs after %d events and %d actions: %s\n", name, r.Events, r.Actions, r.Differs)
		case err != nil:
			different++
			fmt.Printf("%s: %v, after %d equal events and %d equal actions\n", name, err, r.Events, r.Actions)
		default:
			fmt.Printf("%s: equal: %d txns, %d events, %d actions\n", name, r.Txns, r.Events, r.Actions)
		}
	}
	if !c.JSON {
		fmt.Printf("%d events and %d actions in %v\n", events, actions, time.Since(began).Round(time.Millisecond))
	}
	if different > 0 {
		return fmt.Errorf("%d of %d lives differ or end early", different, len(runs))
	}
	return nil
}

// whatIf prints how the decisions on the recorded events differ under other settings.
func whatIf(runs []*trace.Life, path string, asJSON bool) error {
	edgeConfig, err := config.ReadEdge(path)
	if err != nil {
		return inputError{err}
	}
	for _, l := range runs {
		settings := map[string]any{}
		for k, v := range edgeConfig.Module {
			settings[k] = v
		}
		settings["index"] = float64(l.Sentry)
		d, err := trace.WhatIf(l, settings)
		if err != nil {
			return fmt.Errorf("%s, sentry %d: %w", l.Edge, l.Sentry, err)
		}
		if asJSON {
			if err := json.NewEncoder(os.Stdout).Encode(d); err != nil {
				return err
			}
			continue
		}
		fmt.Printf("%s, sentry %d: %d of %d txns are sent, declined or voided differently\n", l.Edge, l.Sentry, d.Differ, d.Txns)
		kinds := make([]string, 0, len(d.Sums))
		for k := range d.Sums {
			kinds = append(kinds, k)
		}
		sort.Strings(kinds)
		for _, k := range kinds {
			fmt.Printf("  %-10s %7d recorded %7d now\n", strings.ToLower(k), d.Sums[k][0], d.Sums[k][1])
		}
		for _, e := range d.Examples {
			fmt.Println("  " + e)
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
	s, err := trace.Summarise(runs, reportDamage)
	if err != nil {
		return err
	}
	if c.HTML != "" {
		page, err := s.Page("traces of " + strings.Join(c.Paths, ", "))
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
		changes := trace.Compare(before, s)
		if c.JSON {
			return json.NewEncoder(os.Stdout).Encode(changes)
		}
		trace.PrintChanges(os.Stdout, changes)
		return nil
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(s)
	}
	s.Print(os.Stdout)
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
	f := trace.Filter{Product: c.Product, Worker: c.Worker, Build: c.Build, End: c.End}
	if !c.From.IsZero() {
		f.From = c.From.UnixNano()
	}
	if !c.Till.IsZero() {
		f.Till = c.Till.UnixNano()
	}
	if c.Txn != "" {
		q := trace.ParseQuery(c.Txn)
		f.Query = &q
	}
	if err := os.MkdirAll(c.O, 0o755); err != nil {
		return err
	}
	for _, l := range runs {
		path := filepath.Join(c.O, fmt.Sprintf("%s-s%d-%016x-cut%s", l.Edge, l.Sentry, l.ID, trace.Suffix))
		out, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
		if err != nil {
			return err
		}
		n, err := trace.Cut(l, f, out, reportDamage)
		if cerr := out.Close(); err == nil {
			err = cerr
		}
		if err != nil {
			return err
		}
		if c.JSON {
			err = json.NewEncoder(os.Stdout).Encode(struct {
				Path string
				Txns int
			}{path, n})
		} else {
			_, err = fmt.Printf("%s: %d txns\n", path, n)
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
	for i, l := range runs {
		// The file's name must not reveal its source either.
		path := filepath.Join(c.O, fmt.Sprintf("anonymous-%d%s", i, trace.Suffix))
		out, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
		if err != nil {
			return err
		}
		err = trace.Anonymise(l, secret, out, reportDamage)
		if cerr := out.Close(); err == nil {
			err = cerr
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
	m := &trace.Merged{}
	if c.O == "" {
		if clocks, err = trace.Clocks(runs, reportDamage); err != nil {
			return err
		}
	} else {
		out, err := os.OpenFile(c.O, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
		if err != nil {
			return err
		}
		m, err = trace.Merge(runs, out, reportDamage)
		if cerr := out.Close(); err == nil {
			err = cerr
		}
		if err != nil {
			os.Remove(c.O)
			return err
		}
		clocks = m.Clocks
	}
	m.Clocks = clocks
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(m)
	}
	for i, l := range runs {
		if i == 0 {
			fmt.Printf("%s, sentry %d, life %016x: the reference clock\n", l.Edge, l.Sentry, l.ID)
			continue
		}
		fmt.Printf("%s, sentry %d, life %016x: %v\n", l.Edge, l.Sentry, l.ID, clocks[i])
		if clocks[i].Broken > 0 {
			fmt.Printf("  %d events contradict the others and were ignored\n", clocks[i].Broken)
		}
	}
	if c.O != "" {
		fmt.Printf("%s: %d records; %d were delayed to follow their causes\n", c.O, m.Records, m.Held)
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

// checkRules checks the five rules on recorded runs.
func (c *verifyCmd) checkRules(runs []*trace.Life) error {
	plan := trace.RulesPlan{Cores: c.Cores}
	if c.With != "" {
		e, err := config.ReadEdge(c.With)
		if err != nil {
			return inputError{err}
		}
		plan.Settings = e.Module
	}
	r, err := trace.CheckRules(runs, plan, reportDamage)
	if err != nil {
		return err
	}
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
			return err
		}
	} else {
		r.Print(os.Stdout)
	}
	if len(r.Broken) > 0 {
		return fmt.Errorf("%d rule violations", len(r.Broken))
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
	for _, l := range runs {
		records, missing, lastTime, backwards := 0, uint64(0), int64(0), 0
		ended := false
		err := l.Each(func(r *trace.Record, _ []string) bool {
			records++
			if r.Kind == tracepb.Kind_BACK {
				lastTime = r.At - int64(r.Span) // an announced step back in time: txns are recorded when they have ended
				return true
			}
			if r.At < lastTime {
				backwards++
			}
			lastTime = r.At
			if r.Kind == tracepb.Kind_GAP {
				missing += r.Token
			}
			ended = r.Kind == tracepb.Kind_END
			return true
		}, func(path string, d trace.Damage) { faults++; reportDamage(path, d) })
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
			}{l.Edge, fmt.Sprintf("%016x", l.ID), l.Sentry, len(l.Paths), records, missing, ended, backwards}); err != nil {
				return err
			}
		} else {
			fmt.Printf("%s, sentry %d, life %016x: %d segments, %d records, %d txns not recorded, %s\n", l.Edge, l.Sentry, l.ID, len(l.Paths), records, missing, ending)
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
		clocks, err := trace.Clocks(runs, func(string, trace.Damage) {})
		if err != nil {
			return err
		}
		n, err := trace.ExportSpans(runs, clocks, file, reportDamage)
		if err == nil && c.O != "" {
			fmt.Printf("%s: %d spans\n", c.O, n)
		}
		return err
	}
	out := bufio.NewWriter(file)
	enc := json.NewEncoder(out)
	for _, l := range runs {
		var encodeErr error
		err := l.Each(func(r *trace.Record, names []string) bool {
			encodeErr = enc.Encode(struct {
				Sentry uint32
				What   string
				Worker string `json:",omitempty"`
				*trace.Record
			}{l.Sentry, r.Kind.String(), names[r.Worker], r})
			return encodeErr == nil
		}, reportDamage)
		if err == nil {
			err = encodeErr
		}
		if err != nil {
			return err
		}
	}
	return out.Flush()
}

// Command dunegrade is the command line tool for operators and developers: it checks settings files, reads traces, and runs
// simulated days and load tests against real edges.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"dunegrade/config"
	"dunegrade/edge"
	"dunegrade/lab"
)

type checkCmd struct {
	Files []string `arg:"" help:"Settings files of edges." type:"path"`
}

func (c *checkCmd) Run() error {
	invalid := 0
	for _, path := range c.Files {
		edgeConfig, err := config.ReadEdge(path)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			invalid++
			continue
		}
		fmt.Printf("%s: valid, %d products, %d routes, %d loops\n", path, len(edgeConfig.Products), len(edgeConfig.Routes), edgeConfig.Loops)
	}
	if invalid > 0 {
		return inputError{fmt.Errorf("%d of %d files are invalid", invalid, len(c.Files))}
	}
	return nil
}

// inputError is an error in the arguments or the input files. It makes the command exit with status 2.
type inputError struct{ error }

// errRuleViolated means that a run violated one of the five rules. It makes the command exit with status 1.
var errRuleViolated = errors.New("a rule was violated")

type runCmd struct {
	Day       string  `arg:"" help:"A day's file, or the name of one that comes with the program."`
	Seed      int64   `help:"Another seed than the day's own." default:"-1"`
	TimeScale float64 `help:"Play the script so many times as fast." default:"1"`
	Out       string  `help:"Folder of the report and the edges' logs." type:"path"`
	JSON      bool    `help:"Print the figures as JSON, and no live lines."`
	Edge      string  `help:"Which edge: dunegrade, round-robin or reverse-proxy." enum:"dunegrade,round-robin,reverse-proxy" default:"dunegrade"`
}

func (c *runCmd) Run() error {
	day, err := findDay(c.Day)
	if err != nil {
		return inputError{err}
	}
	if c.Seed >= 0 {
		day.Seed = c.Seed
	}
	if c.TimeScale < 0.1 || c.TimeScale > 20 {
		return inputError{fmt.Errorf("--time-scale %g: wanted a number from 0.1 to 20", c.TimeScale)}
	}
	day.Scale(c.TimeScale)
	return runDay(day, c.Edge, c.Out, c.JSON)
}

// findDay reads a day from the file called name if name contains a slash or a dot. Otherwise it returns the embedded day
// with that name.
func findDay(name string) (*lab.Day, error) {
	if strings.ContainsAny(name, "/.") {
		return lab.ReadDay(name)
	}
	return lab.EmbeddedDay(name)
}

// runDay runs a day against real edges of a kind and writes its report to outDir. It prints the progress and a table of the
// figures, or with asJSON only the figures.
func runDay(day *lab.Day, edgeKind, outDir string, asJSON bool) error {
	if outDir == "" {
		outDir = filepath.Join("found", "lab", fmt.Sprintf("%s-%d-%s", day.Name, day.Seed, edgeKind))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	runner := &lab.Runner{Day: day, Out: filepath.Join(outDir, "edges"), EdgeCommand: func(settings string) *exec.Cmd {
		if edgeKind == "dunegrade" {
			return exec.Command(executable, "edge", settings)
		}
		return exec.Command(executable, "lab", "rival", edgeKind, settings)
	}}
	if !asJSON {
		fmt.Printf("%s: %v, %d machines, %d edges (%s), %g txns a second, seed %d\n", day.Name, day.Length.Round(time.Millisecond), day.Machines,
			day.Sentries, edgeKind, day.Rate, day.Seed)
		fmt.Println("  time  build stage phase        txns  in time  late  declined  voided  lost  at the newest build")
		runner.OnProgress = func(snapshot lab.Snapshot) {
			for _, event := range snapshot.Events {
				fmt.Println("          " + event)
			}
			fmt.Printf("%5.0fs  %5d %5d %-11s %5d  %7d %5d  %8d  %6d %5d  %d\n", snapshot.At.Seconds(), snapshot.Build,
				snapshot.Stage, snapshot.Phase, snapshot.Asked, snapshot.InTime, snapshot.Late, snapshot.Declined,
				snapshot.Voided, snapshot.Lost, snapshot.NewBuildSubmissions)
		}
	}
	record, err := runner.Run(ctx)
	if err != nil {
		return err
	}
	violations := lab.Check(day, record)
	figures := lab.ComputeFigures(day, record, edgeKind, violations)
	page, err := lab.WriteReport(outDir, figures, record.Events)
	if err != nil {
		return err
	}
	if asJSON {
		data, err := os.ReadFile(filepath.Join(outDir, "report.json"))
		if err != nil {
			return err
		}
		os.Stdout.Write(data)
	} else {
		figures.WriteTable(os.Stdout)
		fmt.Println("report:", page)
	}
	if len(violations) > 0 {
		return errRuleViolated
	}
	return nil
}

type compareCmd struct {
	Days      []string `arg:"" help:"Days' files, or names of days that come with the program."`
	Seeds     int      `help:"How many seeds, from the day's own on." default:"5"`
	TimeScale float64  `help:"Play the script so many times as fast." default:"1"`
	Edges     []string `help:"Which edges, side by side." default:"dunegrade,round-robin,reverse-proxy"`
	Out       string   `help:"Folder of the reports." type:"path" default:"found/lab"`
}

// Run runs each day, with each seed, against all kinds of edges concurrently, each with a fleet of its own. It prints a
// Markdown table.
func (c *compareCmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	var rows []*lab.Figures
	for _, name := range c.Days {
		for seedOffset := 0; seedOffset < c.Seeds; seedOffset++ {
			var runs []lab.ComparisonRun
			for _, edgeKind := range c.Edges {
				day, err := findDay(name)
				if err != nil {
					return inputError{err}
				}
				day.Seed += int64(seedOffset)
				day.Scale(c.TimeScale)
				args := []string{"edge"}
				if edgeKind != "dunegrade" {
					args = []string{"lab", "rival", edgeKind}
				}
				runs = append(runs, lab.ComparisonRun{Kind: edgeKind, Day: day,
					Out: filepath.Join(c.Out, fmt.Sprintf("%s-%d-%s", day.Name, day.Seed, edgeKind)),
					EdgeCommand: func(settings string) *exec.Cmd {
						return exec.Command(executable, append(args[:len(args):len(args)], settings)...)
					}})
			}
			results, err := lab.RunComparison(ctx, runs)
			if err != nil {
				return err
			}
			rows = append(rows, results...)
		}
	}
	lab.WriteComparisonTable(os.Stdout, rows)
	for _, figures := range rows {
		if figures.Edge == "dunegrade" && figures.ViolationCount() > 0 {
			return errRuleViolated
		}
	}
	return nil
}

type importCmd struct {
	Day      string  `arg:"" help:"A day drawn by the bench, as JSON." type:"path"`
	Machines int     `help:"At the most so many machines." default:"20"`
	Sentries int     `help:"At the most so many edges." default:"4"`
	Rate     float64 `help:"At the most so many txns a second: bounds the machines, whose load is kept." default:"800"`
	O        string  `short:"o" help:"Where the day goes; standard output if not given." type:"path"`
}

func (c *importCmd) Run() error {
	text, omitted, err := lab.ImportDay(c.Day, lab.ImportLimits{Machines: c.Machines, Sentries: c.Sentries, Rate: c.Rate})
	if err != nil {
		return inputError{err}
	}
	for _, line := range omitted {
		fmt.Fprintln(os.Stderr, "not imported:", line)
	}
	if c.O == "" {
		fmt.Print(text)
		return nil
	}
	return os.WriteFile(c.O, []byte(text), 0o644)
}

type benchCmd struct {
	Rounds int           `help:"Rounds over all subjects; medians are told." default:"5"`
	Span   time.Duration `help:"Of each measurement." default:"2s"`
	Conns  int           `help:"Connections of the load." default:"64"`
	Rate   float64       `help:"Txns a second where times are measured." default:"3000"`
	Sizes  []int         `help:"Bytes of an answer." default:"64,16384"`
	Loops  []int         `help:"Event loops, and cores that each subject may use." default:"1,2"`
	Only   []string      `help:"Subjects." default:"direct,gnet,edge,fasthttp,reverse-proxy"`
	Out    string        `type:"path" default:"found/bench"`
}

func (c *benchCmd) Run() error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	rows, err := lab.Bench(ctx, lab.BenchPlan{Executable: executable, Out: c.Out, Rounds: c.Rounds, Duration: c.Span, Conns: c.Conns, Rate: c.Rate, AnswerSizes: c.Sizes,
		Loops: c.Loops, Subjects: c.Only}, os.Stderr)
	if err != nil {
		return err
	}
	lab.WriteBenchTable(os.Stdout, rows)
	return nil
}

type loadCmd struct {
	URL     string        `arg:"" help:"The target."`
	Against string        `help:"A second target, loaded in turn with the first, slice by slice."`
	Rates   []float64     `help:"Txns a second, a step each." default:"1000"`
	Ramp    bool          `help:"Go from one rate to the next evenly."`
	Span    time.Duration `help:"Of each step." default:"10s"`
	Slice   time.Duration `help:"A target's turn, and the grain of the charts." default:"1s"`
	Conns   int           `help:"Connections at the most." default:"64"`
	Method  string        `default:"GET"`
	Body    int           `help:"Bytes of a request's body."`
	Timeout time.Duration `help:"After which a txn is given up." default:"5s"`
	HTML    string        `name:"html" help:"Write a page with charts to this file." type:"path"`
	JSON    bool          `help:"Print JSON."`
}

func (*loadCmd) Help() string {
	return `Times count from when a txn was due, so that a target that stalls is charged for all that it kept waiting.

Examples:

  dunegrade lab load http://127.0.0.1:8080/read --rates 500,1000,2000 --span 10s
  dunegrade lab load http://127.0.0.1:8080/read --against http://127.0.0.1:8081/read --rates 2000 --span 30s --html load.html`
}

func (c *loadCmd) Run() error {
	plan := lab.LoadPlan{Targets: []string{c.URL}, Rates: c.Rates, Ramp: c.Ramp, StepDuration: c.Span, SliceDuration: c.Slice, Conns: c.Conns, Method: c.Method, Body: c.Body,
		Timeout: c.Timeout}
	if c.Against != "" {
		plan.Targets = append(plan.Targets, c.Against)
	}
	if err := plan.Validate(); err != nil {
		return inputError{err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	slices, err := lab.RunLoad(ctx, plan, func(slice *lab.LoadSlice) {
		if !c.JSON {
			fmt.Fprintf(os.Stderr, "%s: %6.0f offered, %6.0f successful a second, %d refused, %d failed, p99 %d us\n",
				plan.Targets[slice.Target], slice.Rate, slice.PerSecond(), slice.Refused, slice.Failed, slice.Latencies.ValueAtQuantile(99))
		}
	})
	if err != nil {
		return err
	}
	rows, differences := lab.SummarizeLoad(plan, slices)
	var text strings.Builder
	lab.WriteLoadTable(&text, rows, differences)
	if c.HTML != "" {
		page, err := lab.LoadPage(plan, slices, text.String())
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.HTML, []byte(page), 0o644); err != nil {
			return err
		}
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(struct {
			Rows        []lab.LoadRow
			Differences []lab.LoadDifference
		}{rows, differences})
	}
	fmt.Print(text.String())
	return nil
}

type hostileCmd struct {
	Span time.Duration `help:"Of each attack." default:"6s"`
	Out  string        `type:"path" default:"found/bench"`
}

func (c *hostileCmd) Run() error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	rows, err := lab.HostileBench(ctx, lab.BenchPlan{Executable: executable, Out: c.Out, Duration: c.Span}, os.Stderr)
	if err != nil {
		return err
	}
	lab.WriteHostileTable(os.Stdout, rows)
	return nil
}

// subjectCmd runs a forwarder or the worker of the throughput bench, which starts it as a child process.
type subjectCmd struct {
	Kind   string `arg:""`
	Listen string
	Worker string
	Size   int
}

func (c *subjectCmd) Run() error { return lab.ServeSubject(c.Kind, c.Listen, c.Worker, c.Size) }

type demoCmd struct {
	Out string `help:"Folder of the report." type:"path"`
}

func (c *demoCmd) Run() error {
	day, err := lab.EmbeddedDay("demo")
	if err != nil {
		return err
	}
	return runDay(day, "dunegrade", c.Out, false)
}

type daysCmd struct{}

func (daysCmd) Run() error {
	for _, name := range lab.EmbeddedDayNames() {
		fmt.Println(name)
	}
	return nil
}

// edgeCmd runs an edge, as dunegrade-edge does. The lab starts its edges with it.
type edgeCmd struct {
	Settings string `arg:"" type:"path"`
}

func (c *edgeCmd) Run() error { os.Exit(edge.Serve(c.Settings)); return nil }

// rivalCmd runs a comparison edge. The lab starts it as a child process.
type rivalCmd struct {
	Kind     string `arg:"" enum:"round-robin,reverse-proxy"`
	Settings string `arg:"" type:"path"`
}

func (c *rivalCmd) Run() error { os.Exit(lab.ServeComparisonEdge(c.Kind, c.Settings)); return nil }

func main() {
	var cli struct {
		Demo  demoCmd   `cmd:"" help:"Play a small day of under a minute: a bad build, a hung worker, a good build."`
		Check checkCmd  `cmd:"" help:"Check edges' settings files; all faults at once, each with its place."`
		Edge  edgeCmd   `cmd:"" hidden:"" help:"Run an edge, as dunegrade-edge does."`
		Trace traceCmds `cmd:"" help:"Tools on trace files: what the sentries decided, and why."`
		Lab   struct {
			Run     runCmd     `cmd:"" help:"Play a day against real edges and judge it from the sockets."`
			Compare compareCmd `cmd:"" help:"Play days with several edges side by side, seed by seed, and print a table."`
			Days    daysCmd    `cmd:"" help:"List the days that come with the program."`
			Load    loadCmd    `cmd:"" help:"Load an HTTP target, or two in turn, at given rates."`
			Hostile hostileCmd `cmd:"" help:"Set hostile clients on an edge, beside honest ones."`
			Import  importCmd  `cmd:"" help:"Turn a day drawn by the bench into one of ours, scaled; lists what cannot be carried over."`
			Bench   benchCmd   `cmd:"" help:"Measure throughput and added time beside other forwarders, in one run."`
			Rival   rivalCmd   `cmd:"" hidden:""`
			Subject subjectCmd `cmd:"" hidden:""`
		} `cmd:"" help:"Days, stand-ins, load and the checker of the rules."`
	}
	command := kong.Parse(&cli, kong.Name("dunegrade"), kong.Description("Release controller and router: the tool for people."),
		kong.UsageOnError())
	err := command.Run()
	var invalidInput inputError
	switch {
	case err == nil:
	case errors.As(err, &invalidInput):
		fmt.Fprintln(os.Stderr, "dunegrade:", err)
		os.Exit(2)
	default:
		fmt.Fprintln(os.Stderr, "dunegrade:", err)
		os.Exit(1)
	}
}

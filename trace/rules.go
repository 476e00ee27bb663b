package trace

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"dunegrade/logic"
	"dunegrade/trace/tracepb"
)

// RuleViolation is a violation of a rule found in a trace.
type RuleViolation struct {
	Rule   int
	Sentry uint32
	Txn    string    // name of the txn, "" if the violation concerns none
	At     time.Time // by the reference clock
	Text   string
}

// String returns the violation as a line of text.
func (v RuleViolation) String() string {
	txn := ""
	if v.Txn != "" {
		txn = "txn " + v.Txn + ": "
	}
	return fmt.Sprintf("rule %d, %s: %s%s", v.Rule, v.At.UTC().Format(time.RFC3339Nano), txn, v.Text)
}

// RulesOptions configures CheckRules.
type RulesOptions struct {
	Settings map[string]any // settings of the decision module; nil: those recorded with each run
	Cores    float64        // number of cores of a worker of weight 1, which traces do not record; 0: skip rule 4
}

// RulesReport is the result of CheckRules.
type RulesReport struct {
	Txns, Submissions int
	Trials            int             // number of submissions to a build on trial
	Broken            []RuleViolation // the violations
	Not               []string        // checks that were not possible, each with the reason
	Clocks            []Clock
}

// CheckRules checks recorded runs against the five rules: each run by its own clock, and in the merged order for rule 4,
// which concerns all sentries together. It trusts the content and the order of a run's records, and shares no code with
// the decision module. The lab's checker verifies the same rules independently of traces, at the sockets.
func CheckRules(runs []*Run, options RulesOptions, onDamage func(path string, d Damage)) (*RulesReport, error) {
	report := &RulesReport{}
	var checkers []*sentryChecker
	for _, l := range runs {
		checker, err := newSentryChecker(l, options, report)
		if err != nil {
			return nil, err
		}
		checkers = append(checkers, checker)
	}
	cold := &coldStartChecker{options: options, report: report, workers: map[string]*coldWorker{}}
	if options.Cores <= 0 {
		report.Not = append(report.Not, "rule 4: traces do not record a worker's capacity; give the number of cores")
	}
	merged, err := mergeRecords(runs, onDamage, func(run int, at int64, r *Record, worker string) error {
		checker := checkers[run]
		checker.at = at
		if options.Cores > 0 {
			cold.checkRecord(checker, at, r, worker)
		}
		checker.checkRecord(r, worker)
		return nil
	})
	if err != nil {
		return nil, err
	}
	for _, checker := range checkers {
		checker.finish()
	}
	report.Clocks = merged.Clocks
	slices.SortStableFunc(report.Broken, func(a, b RuleViolation) int {
		if a.Rule != b.Rule {
			return a.Rule - b.Rule
		}
		return a.At.Compare(b.At)
	})
	return report, nil
}

// Print writes the report in human-readable form.
func (r *RulesReport) Print(w io.Writer) {
	fmt.Fprintf(w, "%d txns, %d submissions, %d of them at a build on trial\n", r.Txns, r.Submissions, r.Trials)
	for _, n := range r.Not {
		fmt.Fprintln(w, "not checked:", n)
	}
	for i, b := range r.Broken {
		if i == 20 {
			fmt.Fprintf(w, "and %d more\n", len(r.Broken)-i)
			break
		}
		fmt.Fprintln(w, b)
	}
	if len(r.Broken) == 0 {
		fmt.Fprintln(w, "no rule is broken")
	}
}

// checkedSubmission is the state of a submission.
type checkedSubmission struct {
	worker  string
	at      int64 // the sentry's clock, nanoseconds
	pending bool  // it has no outcome yet
	unseen  bool  // its worker never received it
}

// checkedTxn is the state of an open txn. Times are by the sentry's clock, in nanoseconds.
type checkedTxn struct {
	serial      uint64
	product     int
	key         uint64
	cost        int64
	taken       int64
	expiry      int64
	submissions []checkedSubmission
	endedAt     int64 // 0: not ended
	answers     int
	streaming   bool
}

// checkedWorker is the state of a worker as the sentry knows it. Times are by the sentry's clock, in nanoseconds.
type checkedWorker struct {
	build        int64
	zone         int64
	cell         int64
	up           bool
	downSince    int64 // time at which the sentry learned that the worker is not up
	start        int64 // time of the worker's start; 0: long ago
	startKnownAt int64 // time at which the sentry learned of the start
}

// checkedProduct holds a product's settings.
type checkedProduct struct {
	effect, group string
	memory        int64 // time for which workers remember a txn, nanoseconds
}

// sentryChecker checks the rules that concern a single sentry.
type sentryChecker struct {
	run           *Run
	report        *RulesReport
	settings      map[string]any
	products      []checkedProduct
	open          map[uint64]*checkedTxn    // by id
	workers       map[string]*checkedWorker // by name
	release       tracepb.News              // latest release update, if releaseKnown
	releaseKnown  bool
	previousCap   float64                 // cap before the latest release update
	capChangedAt  int64                   // the sentry's clock, nanoseconds
	windows       map[int]*exposureWindow // by product; -1 for all products together
	answeredBy    map[uint64]int64        // by key: the newest release's build, if it answered a txn of the key
	at            int64                   // time of the current record by the reference clock
	lastAt        int64                   // time of the current record by the sentry's clock
	ended         bool                    // the run's end is recorded
	partial       bool                    // txns are missing from the trace, so exposure cannot be checked
	windowTrials  int                     // number of trial submissions in the window that ends at the latest one
	windowAllowed float64                 // number of submissions allowed in that window
}

// exposureWindow holds the txns and submissions that count for the exposure of one product, or of all products together.
type exposureWindow struct {
	takes  []takenTxn
	trials map[int64][]int64 // by build on trial: times of submissions, the sentry's clock, nanoseconds
}

// takenTxn is a txn in an exposure window.
type takenTxn struct {
	at    int64   // the sentry's clock, nanoseconds
	cap   float64 // cap in force when the txn was taken
	build int64   // build to which the cap applied
}

// newSentryChecker returns a checker of a run, and reports which checks the run's trace does not permit.
func newSentryChecker(l *Run, options RulesOptions, report *RulesReport) (*sentryChecker, error) {
	s := &sentryChecker{run: l, report: report, settings: options.Settings, open: map[uint64]*checkedTxn{}, workers: map[string]*checkedWorker{},
		windows: map[int]*exposureWindow{}, answeredBy: map[uint64]int64{}}
	if s.settings == nil {
		s.settings = map[string]any{}
		if err := json.Unmarshal(l.Headers[0].Settings, &s.settings); err != nil {
			return nil, fmt.Errorf("trace: decoding the header's settings: %w", err)
		}
	}
	for i := 0; i < int(s.number("products.count")); i++ {
		prefix := "products." + strconv.Itoa(i) + "."
		s.products = append(s.products, checkedProduct{s.text(prefix + "effect"), s.text(prefix + "group"), int64(s.number(prefix + "memory"))})
	}
	if level := l.Level(); level != LevelWhole {
		s.partial = true
		report.Not = append(report.Not, fmt.Sprintf("rule 5 of sentry %d: not all of its txns are in the file", l.Sentry))
	}
	return s, nil
}

// number, text and flag return a setting, or a zero value if the setting is missing or has another type.
func (s *sentryChecker) number(name string) float64 { v, _ := s.settings[name].(float64); return v }
func (s *sentryChecker) text(name string) string    { v, _ := s.settings[name].(string); return v }
func (s *sentryChecker) flag(name string) bool      { v, _ := s.settings[name].(bool); return v }

// addViolation adds a violation to the report. txn is nil if the violation concerns none.
func (s *sentryChecker) addViolation(rule int, txn *checkedTxn, format string, args ...any) {
	v := RuleViolation{Rule: rule, Sentry: s.run.Sentry, At: time.Unix(0, s.at), Text: fmt.Sprintf(format, args...)}
	if txn != nil {
		v.Txn = fmt.Sprintf("s%d-%d", s.run.Sentry, txn.serial)
	}
	s.report.Broken = append(s.report.Broken, v)
}

// checkRecord checks one record of the run and updates the state.
func (s *sentryChecker) checkRecord(r *Record, worker string) {
	s.lastAt = r.At
	switch r.Kind {
	case tracepb.Kind_GAP:
		// Records of the open txns may be missing.
		clear(s.open)
		s.report.Not = append(s.report.Not, fmt.Sprintf("sentry %d: %d txns were not recorded; those open at the time are not checked", s.run.Sentry, r.Token))
		s.partial = true
	case tracepb.Kind_END:
		s.ended = true
	case tracepb.Kind_LIST:
		s.updateWorkers(r)
	case tracepb.Kind_NEWS:
		s.updateRelease(r)
	case tracepb.Kind_TAKE:
		s.addTxn(r)
	}
	txn := s.open[r.Txn]
	if txn == nil || r.Txn == 0 {
		return
	}
	switch r.Kind {
	case tracepb.Kind_SUBMIT:
		s.checkSubmission(txn, r, worker)
	case tracepb.Kind_OUTCOME:
		s.checkOutcome(txn, r)
	case tracepb.Kind_STREAMING:
		txn.streaming = true
		s.checkAnswer(txn, r.At)
	case tracepb.Kind_DECLINE:
		if p := s.product(txn); p.effect == "once-only" && slices.ContainsFunc(txn.submissions, func(b checkedSubmission) bool { return !b.unseen }) {
			s.addViolation(2, txn, "declined, though a once-only submission of it may have run")
		}
		s.checkAnswer(txn, r.At)
	case tracepb.Kind_VOID:
		s.checkAnswer(txn, r.At)
	case tracepb.Kind_LEFT:
		if txn.endedAt == 0 {
			txn.endedAt = r.At
		}
	}
	if txn.endedAt != 0 && !slices.ContainsFunc(txn.submissions, func(b checkedSubmission) bool { return b.pending }) {
		delete(s.open, r.Txn)
	}
}

// product returns a txn's product. An unknown product counts as once-only, the strictest effect.
func (s *sentryChecker) product(txn *checkedTxn) checkedProduct {
	if txn.product < len(s.products) {
		return s.products[txn.product]
	}
	return checkedProduct{effect: "once-only"}
}

// updateWorkers applies a worker list, either a whole one or changes.
func (s *sentryChecker) updateWorkers(r *Record) {
	var list tracepb.List
	if proto.Unmarshal(r.Body, &list) != nil || logic.ListMode(r.Number) == logic.ListUnavailable {
		return
	}
	listed := map[string]bool{}
	for _, w := range list.Workers {
		listed[w.Id] = true
		worker := s.workers[w.Id]
		if worker == nil {
			worker = &checkedWorker{up: true}
			s.workers[w.Id] = worker
		}
		if w.Start != worker.start {
			worker.startKnownAt = r.At
		}
		worker.build, worker.zone, worker.cell, worker.start = w.Build, w.Zone, w.Cell, w.Start
		s.setState(worker, logic.State(w.State) == logic.Up, r.At)
	}
	if mode := logic.ListMode(r.Number); mode == logic.Whole || mode == logic.Restored {
		for id, worker := range s.workers {
			if !listed[id] {
				s.setState(worker, false, r.At)
			}
		}
	}
}

// setState sets whether a worker is up, and notes the time at which it went down.
func (s *sentryChecker) setState(worker *checkedWorker, up bool, at int64) {
	if worker.up && !up {
		worker.downSince = at
	}
	worker.up = up
}

// updateRelease applies a release update.
func (s *sentryChecker) updateRelease(r *Record) {
	var update tracepb.News
	if proto.Unmarshal(r.Body, &update) != nil || logic.Ending(update.Ending) != logic.OK {
		return
	}
	if update.Build != s.release.Build || update.Phase == int64(logic.GoingBack) || update.Phase == int64(logic.Withdrawn) {
		clear(s.answeredBy)
	}
	s.previousCap, s.capChangedAt = s.release.Cap, r.At
	s.release = tracepb.News{Build: update.Build, Stage: update.Stage, Phase: update.Phase, Cap: update.Cap}
	s.releaseKnown = true
}

// addTxn adds a txn to the open ones and to its exposure window.
func (s *sentryChecker) addTxn(r *Record) {
	s.report.Txns++
	s.open[r.Txn] = &checkedTxn{serial: r.Serial, product: int(r.Product), key: r.Key, cost: int64(r.Cost), taken: r.At, expiry: r.At + int64(r.Patience)}
	window := s.window(int(r.Product))
	exposureCap := s.release.Cap
	if s.release.Phase == int64(logic.Released) {
		exposureCap = 0
	}
	window.takes = append(window.takes, takenTxn{r.At, exposureCap, s.release.Build})
}

// window returns the exposure window of a product, or the common one if the settings count all products together.
func (s *sentryChecker) window(product int) *exposureWindow {
	if s.text("release.counts") != "product" {
		product = -1
	}
	if s.windows[product] == nil {
		s.windows[product] = &exposureWindow{trials: map[int64][]int64{}}
	}
	return s.windows[product]
}

// checkAnswer checks rule 1: a txn is answered only once, and in time.
func (s *sentryChecker) checkAnswer(txn *checkedTxn, at int64) {
	txn.answers++
	if txn.answers > 1 {
		s.addViolation(1, txn, "answered %d times", txn.answers)
	}
	if late := at - txn.expiry - int64(s.number("rules.answer-slack")); late > 0 {
		s.addViolation(1, txn, "answered %v after its expiry", time.Duration(late))
	}
	if txn.endedAt == 0 {
		txn.endedAt = at
	}
}

// checkOutcome ends a submission, and checks the answer if the client got one from it.
func (s *sentryChecker) checkOutcome(txn *checkedTxn, r *Record) {
	if int(r.Number) >= len(txn.submissions) {
		return
	}
	submission := &txn.submissions[r.Number]
	submission.pending = false
	ending := logic.Ending(r.Ending)
	submission.unseen = ending == logic.Rejected || ending == logic.Skipped || ending == logic.ConnectFailed
	if r.Token == 0 || txn.streaming {
		return
	}
	s.checkAnswer(txn, r.At)
	if worker := s.workers[submission.worker]; ending == logic.OK && r.Token < 300 && worker != nil && txn.key != 0 && worker.build == s.release.Build &&
		s.flag("release.one-way") && (s.release.Phase == int64(logic.OnTrial) || s.release.Phase == int64(logic.Released)) {
		s.answeredBy[txn.key] = worker.build
	}
}

// checkSubmission checks a submission against rules 1, 2, 3 and 5.
func (s *sentryChecker) checkSubmission(txn *checkedTxn, r *Record, worker string) {
	s.report.Submissions++
	if txn.endedAt != 0 && r.At >= txn.endedAt && txn.answers > 0 {
		s.addViolation(1, txn, "sent to %s after its end", worker)
	}
	w := s.workers[worker]
	if w == nil {
		s.addViolation(3, txn, "sent to %s, which was in no worker list", worker)
		w = &checkedWorker{up: true}
		s.workers[worker] = w
	}
	if downFor := r.At - w.downSince; !w.up && downFor > int64(s.number("rules.drain-grace")) {
		s.addViolation(3, txn, "sent to %s %v after the sentry learned that it is not up", worker, time.Duration(downFor))
	}
	product := s.product(txn)
	for _, previous := range txn.submissions {
		if previous.unseen || product.effect == "inquiry-like" {
			continue
		}
		if product.effect == "once-only" {
			s.addViolation(2, txn, "once-only, sent to %s though its submission to %s may have run", worker, previous.worker)
			break
		}
		if r.At-previous.at > product.memory {
			s.addViolation(2, txn, "referenced, sent again %v after a submission; workers remember %v", time.Duration(r.At-previous.at), time.Duration(product.memory))
			break
		}
		if other := s.workers[previous.worker]; other != nil && (product.group == "zone" && other.zone != w.zone || product.group == "cell" && other.cell != w.cell) {
			s.addViolation(2, txn, "referenced, sent to %s, which does not share the memory of %s", worker, previous.worker)
			break
		}
	}
	txn.submissions = append(txn.submissions, checkedSubmission{worker: worker, at: r.At, pending: true})
	if s.releaseKnown {
		s.checkExposure(txn, r, w.build)
	}
	if build, answered := s.answeredBy[txn.key]; answered && txn.key != 0 && w.build < build {
		s.addViolation(5, txn, "its key was answered by build %d, and it went to %s of build %d", build, worker, w.build)
	}
}

// checkExposure checks rule 5 for a submission to a build on trial: the cap and the guarded stages.
func (s *sentryChecker) checkExposure(txn *checkedTxn, r *Record, build int64) {
	if build < s.release.Build || build == s.release.Build && s.release.Phase == int64(logic.Released) {
		return
	}
	s.report.Trials++
	// An increase of the cap applies at once, a decrease only after the drain grace.
	exposureCap, stage := s.release.Cap, s.release.Stage
	if build > s.release.Build {
		exposureCap, stage = s.number("release.caps.0"), 0
	}
	if s.capChangedAt > r.At-int64(s.number("rules.drain-grace")) {
		exposureCap = max(exposureCap, s.previousCap)
	}
	if exposureCap <= 0 {
		s.addViolation(5, txn, "sent to build %d, on trial at a cap of 0", build)
		return
	}
	if p := s.product(txn); float64(stage) < s.number("release.guarded-stages") && p.effect != "inquiry-like" {
		s.addViolation(5, txn, "a txn with an effect, sent to build %d in stage %d, which is guarded", build, stage)
	}
	if s.partial {
		return
	}
	window := s.window(txn.product)
	start := r.At - int64(s.number("release.window"))
	trials := append(window.trials[build], r.At)
	for len(trials) > 0 && trials[0] <= start {
		trials = trials[1:]
	}
	window.trials[build] = trials
	for len(window.takes) > 0 && window.takes[0].at <= start {
		window.takes = window.takes[1:]
	}
	allowed := s.number("release.free")
	for _, taken := range window.takes {
		if taken.build == build {
			allowed += max(exposureCap, taken.cap)
		} else {
			allowed += exposureCap
		}
	}
	s.windowTrials, s.windowAllowed = len(trials), allowed
	if n := float64(len(trials)); n > allowed+1e-9 {
		s.addViolation(5, txn, "submission %g to build %d within %v; allowed are %.2f = %g free and a cap of %g on %d txns", n, build,
			time.Duration(s.number("release.window")), allowed, s.number("release.free"), exposureCap, len(window.takes))
	}
}

// endRecordSlack is the time after a txn's expiry and the answer slack from which a missing end is a violation.
const endRecordSlack = 100 * time.Millisecond

// finish reports txns without a recorded end (rule 1): all that are open at the recorded end of the run, or, if the trace
// ends before the run does, those whose time is over.
func (s *sentryChecker) finish() {
	slack := int64(s.number("rules.answer-slack")) + int64(endRecordSlack)
	for _, txn := range s.open {
		if txn.endedAt == 0 && (s.ended || s.lastAt > txn.expiry+slack) {
			s.addViolation(1, txn, "no end was recorded")
		}
	}
}

// fallWindow is the time after an overload within which a lost connection is attributed to it.
const fallWindow = 500 * time.Millisecond

// coldStartChecker checks rule 4: the work that all sentries together send to a worker that has just started.
type coldStartChecker struct {
	options RulesOptions
	report  *RulesReport
	workers map[string]*coldWorker // by name
}

// coldWorker is a worker that has just started. Times are by the reference clock, in nanoseconds.
type coldWorker struct {
	start        int64
	recent       []sentWork // work sent within the last rules.fall-after
	overloadedAt int64      // time of the first overload; 0: none
	startKnown   bool       // unused
	reason       string     // text of the violation
	reported     bool       // the violation is in the report
}

// sentWork is the time of a submission by the reference clock and its estimated cost, both in nanoseconds.
type sentWork struct{ at, cost int64 }

// checkRecord sums the work sent to cold workers, and reports a worker that loses a connection after an overload.
func (c *coldStartChecker) checkRecord(s *sentryChecker, at int64, r *Record, worker string) {
	switch r.Kind {
	case tracepb.Kind_SUBMIT:
		txn, known := s.open[r.Txn], s.workers[worker]
		if txn == nil || known == nil || known.start == 0 {
			return
		}
		coldTime := s.number("rules.cold")
		age := float64(r.At - known.start)
		if age < 0 || age >= coldTime {
			return
		}
		state := c.workers[worker]
		start := at - int64(age)
		if state == nil || start-state.start > int64(coldTime) {
			state = &coldWorker{start: start}
			c.workers[worker] = state
		}
		state.recent = append(state.recent, sentWork{at, txn.cost})
		period := int64(s.number("rules.fall-after"))
		for len(state.recent) > 0 && at-state.recent[0].at > period {
			state.recent = state.recent[1:]
		}
		sum, largest := int64(0), int64(0)
		for _, sent := range state.recent {
			sum, largest = sum+sent.cost, max(largest, sent.cost)
		}
		ramp := s.number("rules.cold-from") + (1-s.number("rules.cold-from"))*age/coldTime
		capacity := c.options.Cores * ramp * float64(period)
		if state.overloadedAt == 0 && float64(sum) > s.number("rules.fall-multiple")*capacity+2*float64(largest) {
			state.overloadedAt = at
			state.reason = fmt.Sprintf("worker %s, %v after its start, was sent work of %v within %v, but its capacity in that time is %v", worker,
				time.Duration(age).Round(time.Millisecond), time.Duration(sum).Round(time.Millisecond), time.Duration(period),
				time.Duration(capacity).Round(time.Millisecond))
		}
	case tracepb.Kind_OUTCOME:
		// Costs are estimates, so an overload alone is no violation. A worker that fails from overload loses its
		// connections, and only then is the overload reported.
		txn := s.open[r.Txn]
		if txn == nil || int(r.Number) >= len(txn.submissions) || logic.Ending(r.Ending) != logic.Disconnected {
			return
		}
		target := txn.submissions[r.Number].worker
		if state := c.workers[target]; state != nil && state.overloadedAt != 0 && !state.reported && at-state.overloadedAt < int64(fallWindow) {
			state.reported = true
			c.report.Broken = append(c.report.Broken, RuleViolation{Rule: 4, Sentry: s.run.Sentry, At: time.Unix(0, state.overloadedAt), Text: state.reason})
		}
	}
}

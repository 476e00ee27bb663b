package lab

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"dunegrade/api"
)

// Tolerances of the checker for the delay between an event on a socket and its record, which is longer on a busy machine.
// They widen the limits only; what counts towards a limit is measured without them.
const (
	answerTolerance         = 150 * time.Millisecond // for a final answer after the client's deadline
	lateSubmissionTolerance = 150 * time.Millisecond // for a submission that was in flight when the txn ended
	drainTolerance          = 100 * time.Millisecond // in addition to the drain grace
	exposureTolerance       = 200 * time.Millisecond // from the sending of an update to an edge until it takes effect there
)

// tolerances holds the tolerances of a checker. On a virtual clock, they need to cover only the delay of a message.
type tolerances struct{ answer, lateSubmission, drain, exposure time.Duration }

// socketTolerances are the tolerances for a day on sockets.
var socketTolerances = tolerances{answerTolerance, lateSubmissionTolerance, drainTolerance, exposureTolerance}

// Violation is a violation of a rule, with the history of the txn that violated it.
type Violation struct {
	Rule    int
	At      time.Duration
	Text    string
	History []string // events of the txn in order; empty if the violation concerns no single txn
}

// String returns the violation with the history of its txn.
func (v Violation) String() string {
	return fmt.Sprintf("rule %d at %.3fs: %s\n    %s", v.Rule, v.At.Seconds(), v.Text, strings.Join(v.History, "\n    "))
}

// checker checks the rules against a record. Of what edges send, it uses only the answers to clients, and no reports on
// the edges' own state.
type checker struct {
	day              *Day
	rec              *Record
	submissionsByTxn map[uint64][]*SubmissionRecord
	txnsByID         map[uint64]*TxnRecord
	incarnations     map[[2]int]Incarnation // by edge and number
	releaseUpdates   map[int][]EdgeUpdate   // by edge
	workerUpdates    map[int][]EdgeUpdate   // by edge
	tolerances
	violations []Violation
}

// Check checks the five rules against the recorded socket traffic, and returns all violations, ordered by rule and time.
func Check(day *Day, rec *Record) []Violation { return check(day, rec, socketTolerances) }

// check is Check with the given tolerances.
func check(day *Day, rec *Record, allowed tolerances) []Violation {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	c := &checker{day: day, rec: rec, submissionsByTxn: map[uint64][]*SubmissionRecord{}, txnsByID: map[uint64]*TxnRecord{},
		incarnations: map[[2]int]Incarnation{}, releaseUpdates: map[int][]EdgeUpdate{}, workerUpdates: map[int][]EdgeUpdate{},
		tolerances: allowed}
	for _, txn := range rec.Txns {
		c.txnsByID[txn.ID] = txn
	}
	for _, submission := range rec.Submissions {
		c.submissionsByTxn[submission.Txn] = append(c.submissionsByTxn[submission.Txn], submission)
	}
	for _, list := range c.submissionsByTxn {
		sort.SliceStable(list, func(i, j int) bool { return list[i].ReceivedAt < list[j].ReceivedAt })
	}
	for _, incarnation := range rec.Incarnations {
		c.incarnations[[2]int{incarnation.Edge, incarnation.Number}] = incarnation
	}
	for _, update := range rec.Updates {
		if update.Release != nil {
			c.releaseUpdates[update.Edge] = append(c.releaseUpdates[update.Edge], update)
		} else {
			c.workerUpdates[update.Edge] = append(c.workerUpdates[update.Edge], update)
		}
	}
	for _, byEdge := range []map[int][]EdgeUpdate{c.releaseUpdates, c.workerUpdates} {
		for _, list := range byEdge {
			sort.SliceStable(list, func(i, j int) bool { return list[i].At < list[j].At })
		}
	}
	c.checkAnswers()
	c.checkEffects()
	c.checkDrains()
	c.checkOverloads()
	c.checkExposure()
	c.checkOneWayKeys()
	sort.SliceStable(c.violations, func(i, j int) bool {
		return c.violations[i].Rule < c.violations[j].Rule ||
			c.violations[i].Rule == c.violations[j].Rule && c.violations[i].At < c.violations[j].At
	})
	return c.violations
}

// addViolation adds a violation of a rule. txn may be nil.
func (c *checker) addViolation(rule int, at time.Duration, txn *TxnRecord, format string, args ...any) {
	v := Violation{Rule: rule, At: at, Text: fmt.Sprintf(format, args...)}
	if txn != nil {
		v.History = c.describeTxn(txn)
	}
	c.violations = append(c.violations, v)
}

// describeTxn returns the recorded events of a txn in order.
func (c *checker) describeTxn(txn *TxnRecord) []string {
	lines := []string{fmt.Sprintf("txn %d (%s, key %d) sent to edge %d at %.3fs, patience until %.3fs", txn.ID,
		c.day.Products[txn.Product].Name, txn.Key, txn.Edge, txn.SentAt.Seconds(), txn.Deadline.Seconds())}
	for _, submission := range c.submissionsByTxn[txn.ID] {
		lines = append(lines, fmt.Sprintf("%.3fs at worker %s of build %d: %s (began %t, ended %.3fs)", submission.ReceivedAt.Seconds(),
			submission.Worker, submission.Build, submission.Result, submission.TookEffect, submission.FinishedAt.Seconds()))
	}
	switch {
	case txn.AnsweredAt > 0:
		lines = append(lines, fmt.Sprintf("answered at %.3fs: %d %s", txn.AnsweredAt.Seconds(), txn.Status, txn.Outcome))
	case txn.LeftAt > 0:
		lines = append(lines, fmt.Sprintf("client left at %.3fs", txn.LeftAt.Seconds()))
	default:
		lines = append(lines, "no answer: "+txn.Failure)
	}
	return lines
}

// isExcused reports whether the edge need not answer the txn because its process ended. A killed process is excused for
// every txn that it held. One that was asked to stop is excused only for a txn that the client sent while the process
// closed the connection, and that reached no worker.
func (c *checker) isExcused(txn *TxnRecord) bool {
	incarnation, known := c.incarnations[[2]int{txn.Edge, txn.Incarnation}]
	if !known || incarnation.EndedAt == 0 {
		return false
	}
	if incarnation.Killed {
		return txn.SentAt <= incarnation.EndedAt+c.lateSubmission && txn.Deadline+c.tolerances.answer >= incarnation.EndedAt
	}
	return incarnation.StopRequestedAt > 0 && txn.SentAt >= incarnation.StopRequestedAt-c.lateSubmission &&
		len(c.submissionsByTxn[txn.ID]) == 0
}

// checkAnswers checks rule 1: each txn gets exactly one final answer in time, and no submissions after it.
func (c *checker) checkAnswers() {
	for _, txn := range c.rec.Txns {
		if txn.ExtraBytes || txn.ForeignAnswer {
			c.addViolation(1, txn.AnsweredAt, txn, "more than one answer, or another txn's")
		}
		switch {
		case txn.Failure == "broken" && !c.isExcused(txn):
			c.addViolation(1, txn.SentAt, txn, "the connection ended without an answer")
		case txn.LeftAt >= txn.Deadline && txn.LeftAt > 0 && !c.isExcused(txn):
			c.addViolation(1, txn.Deadline, txn, "no answer within the client's patience")
		case txn.AnsweredAt > txn.Deadline+c.tolerances.answer:
			c.addViolation(1, txn.AnsweredAt, txn, "answered %v after the client's patience", txn.AnsweredAt-txn.Deadline)
		}
		endedAt := txn.Deadline
		if txn.AnsweredAt > 0 {
			endedAt = min(endedAt, txn.AnsweredAt)
		}
		if txn.LeftAt > 0 {
			endedAt = min(endedAt, txn.LeftAt)
		}
		if txn.Failure != "" {
			continue // the time at which the txn ended is unknown
		}
		for _, submission := range c.submissionsByTxn[txn.ID] {
			if submission.ReceivedAt > endedAt+c.lateSubmission {
				c.addViolation(1, submission.ReceivedAt, txn, "sent to a worker %v after its end", submission.ReceivedAt-endedAt)
			}
		}
	}
}

// checkEffects checks rule 2: no effect takes place twice.
func (c *checker) checkEffects() {
	executions := map[uint64]int{}
	for _, txn := range c.rec.Txns {
		product := &c.day.Products[txn.Product]
		if product.Effect == "inquiry-like" {
			continue
		}
		var firstExecution *SubmissionRecord // first submission that may have run, from the edge's point of view
		for _, submission := range c.submissionsByTxn[txn.ID] {
			if firstExecution != nil && product.Effect == "once-only" {
				c.addViolation(2, submission.ReceivedAt, txn, "once-only, sent again though it may have run")
			}
			if firstExecution != nil && product.Effect == "referenced" &&
				submission.ReceivedAt-firstExecution.ReceivedAt > product.DedupMemory+c.drain {
				c.addViolation(2, submission.ReceivedAt, txn, "referenced, sent again %v after its first submission; workers remember %v",
					submission.ReceivedAt-firstExecution.ReceivedAt, product.DedupMemory)
			}
			if !submission.Rejected && firstExecution == nil {
				firstExecution = submission
			}
			if submission.TookEffect {
				executions[txn.FirstTryID]++
			}
		}
		if txn.Outcome == "declined" && product.Effect == "once-only" &&
			firstExecution != nil && firstExecution.ReceivedAt < txn.AnsweredAt {
			c.addViolation(2, txn.AnsweredAt, txn, "once-only, declined though it may have run")
		}
		if product.Effect == "once-only" && executions[txn.FirstTryID] > 1 {
			c.addViolation(2, txn.SentAt, txn, "a once-only effect took place %d times", executions[txn.FirstTryID])
			executions[txn.FirstTryID] = -1000 // reports the violation once
		}
	}
}

// checkDrains checks rule 3: after the edge has been informed that a worker drains or is gone, and the drain grace has
// passed, it submits nothing to the worker.
func (c *checker) checkDrains() {
	type workerState struct {
		at        time.Duration // when the state was sent to the edge
		leaving   bool          // whether the worker drains or is gone
		startedAt time.Duration
	}
	for edge, updates := range c.workerUpdates {
		// For each incarnation of the edge, collect the states of each worker that it was sent, in order.
		for id, incarnation := range c.incarnations {
			if id[0] != edge {
				continue
			}
			endedAt := incarnation.EndedAt
			if endedAt == 0 {
				endedAt = 1 << 62 // the process still runs
			}
			statesByWorker := map[string][]workerState{}
			for i := 0; i < len(updates); i++ {
				update := updates[i]
				if update.At < incarnation.StartedAt || update.At > endedAt {
					continue
				}
				if update.FullList {
					listed := map[string]bool{}
					for k := i + 1; k < len(updates) && updates[k].At == update.At && !updates[k].FullList; k++ {
						listed[updates[k].Worker] = true
					}
					for worker, states := range statesByWorker {
						if !listed[worker] && !states[len(states)-1].leaving {
							statesByWorker[worker] = append(states, workerState{update.At, true, 0})
						}
					}
					continue
				}
				statesByWorker[update.Worker] = append(statesByWorker[update.Worker],
					workerState{update.At, update.State != api.WorkerUp, update.WorkerStartedAt})
			}
			for _, submission := range c.rec.Submissions {
				txn := c.txnsByID[submission.Txn]
				if txn == nil || txn.Edge != edge || txn.Incarnation != id[1] {
					continue
				}
				var latest *workerState
				backUp := false // whether the edge may have been informed by then that the worker is up again
				for i := range statesByWorker[submission.Worker] {
					state := &statesByWorker[submission.Worker][i]
					if state.at <= submission.ReceivedAt-c.day.DrainGrace-c.drain {
						latest, backUp = state, false
					} else if state.at <= submission.ReceivedAt+c.drain && !state.leaving {
						backUp = true
					}
				}
				if latest != nil && latest.leaving && !backUp {
					c.addViolation(3, submission.ReceivedAt, txn, "sent to worker %s %v after the edge was informed that it drains or is gone", submission.Worker,
						submission.ReceivedAt-latest.at)
				}
			}
		}
	}
}

// checkOverloads checks rule 4: no cold worker fails from overload. A failure is a violation only if edges that had been
// informed of the worker's start sent at least two thirds of the work.
func (c *checker) checkOverloads() {
	for _, failure := range c.rec.OverloadFailures {
		totalWork, informedWork := time.Duration(0), time.Duration(0)
		for edge, work := range failure.WorkByEdge {
			totalWork += work
			for _, update := range c.workerUpdates[edge] {
				if update.Worker == failure.Worker && update.WorkerStartedAt == failure.WorkerStartedAt && update.At <= failure.At {
					informedWork += work
					break
				}
			}
		}
		if totalWork > 0 && 3*informedWork >= 2*totalWork {
			c.addViolation(4, failure.At, nil, "worker %s, started at %.3fs, was pushed over by %v of work from edges %v", failure.Worker,
				failure.WorkerStartedAt.Seconds(), totalWork, failure.WorkByEdge)
		}
	}
}

// possibleReleases returns the release updates that may have been the edge's newest at a time. The tolerance extends the
// time in both directions. The drain grace extends it further back, because a lower cap binds only after the grace.
func (c *checker) possibleReleases(edge int, incarnation Incarnation, at time.Duration) []EdgeUpdate {
	var possible []EdgeUpdate
	updates := c.releaseUpdates[edge]
	earliest, latest := at-c.day.DrainGrace-c.tolerances.exposure, at+c.tolerances.exposure
	for i, update := range updates {
		if update.At > latest || update.At < incarnation.StartedAt {
			continue
		}
		if i+1 < len(updates) && updates[i+1].At < earliest && updates[i+1].At >= incarnation.StartedAt {
			continue // a newer update had replaced it
		}
		possible = append(possible, update)
	}
	return possible
}

// checkExposure checks rule 5: in every window, the submissions to a build on trial stay within the cap.
func (c *checker) checkExposure() {
	type exposureGroup struct{ edge, incarnation, product int }
	type trialSubmission struct {
		*SubmissionRecord
		build int
	}
	submissions, takenAt := map[exposureGroup][]*SubmissionRecord{}, map[exposureGroup][]time.Duration{}
	groupOf := func(txn *TxnRecord) exposureGroup {
		group := exposureGroup{txn.Edge, txn.Incarnation, -1}
		if c.day.ExposureScope == "product" {
			group.product = txn.Product
		}
		return group
	}
	for _, txn := range c.rec.Txns {
		if txn.Failure != "refused" {
			group := groupOf(txn)
			takenAt[group] = append(takenAt[group], txn.SentAt)
		}
		for _, submission := range c.submissionsByTxn[txn.ID] {
			group := groupOf(txn)
			submissions[group] = append(submissions[group], submission)
		}
	}
	for group, ordered := range submissions {
		incarnation := c.incarnations[[2]int{group.edge, group.incarnation}]
		sort.Slice(ordered, func(i, j int) bool { return ordered[i].ReceivedAt < ordered[j].ReceivedAt })
		sort.Slice(takenAt[group], func(i, j int) bool { return takenAt[group][i] < takenAt[group][j] })
		var trialSubmissions []trialSubmission
		for _, submission := range ordered {
			build := c.effectiveBuild(group.edge, incarnation, submission)
			onTrial, maxCap, windowStart := true, 0.0, submission.ReceivedAt-c.day.ExposureWindow
			updates := c.possibleReleases(group.edge, incarnation, submission.ReceivedAt)
			guarded := len(updates) > 0
			for _, update := range updates {
				release := update.Release
				if build < release.Build || build == release.Build && release.Phase == api.PhaseReleased {
					onTrial = false
				}
				updateCap, stage := release.Cap, release.Stage
				if build > release.Build { // not announced yet, so the first stage's cap applies
					updateCap, stage = c.day.stageCaps()[0], 0
				}
				maxCap = max(maxCap, updateCap)
				guarded = guarded && stage < c.day.GuardedStages
			}
			if !onTrial || len(updates) == 0 {
				continue
			}
			trialSubmissions = append(trialSubmissions, trialSubmission{submission, build})
			txn := c.txnsByID[submission.Txn]
			if maxCap == 0 {
				c.addViolation(5, submission.ReceivedAt, txn, "sent to build %d on trial at a cap of 0", build)
				continue
			}
			if guarded && c.day.Products[txn.Product].Effect != "inquiry-like" {
				c.addViolation(5, submission.ReceivedAt, txn, "a txn with an effect sent to build %d in a guarded stage", build)
			}
			count := 0
			for k := len(trialSubmissions) - 1; k >= 0 && trialSubmissions[k].ReceivedAt > windowStart; k-- {
				if trialSubmissions[k].build == build {
					count++
				}
			}
			txns := 0
			for k := sort.Search(len(takenAt[group]), func(k int) bool { return takenAt[group][k] > submission.ReceivedAt }) - 1; k >= 0 &&
				takenAt[group][k] > windowStart-c.tolerances.exposure; k-- {
				txns++
			}
			widening := 1 + 2*c.tolerances.exposure.Seconds()/c.day.ExposureWindow.Seconds()
			allowed := c.day.FreeSubmissions*float64(c.day.Loops)*widening + maxCap*float64(txns)
			if float64(count) > allowed+1e-9 {
				c.addViolation(5, submission.ReceivedAt, txn, "%d submissions to build %d in %v; allowed %.1f = %g free + %g of %d txns", count, build,
					c.day.ExposureWindow, allowed, c.day.FreeSubmissions, maxCap, txns)
			}
		}
	}
}

// effectiveBuild returns the build that a submission is counted for: the build that ran it, or the worker's last build on
// the edge's worker list if the list did not show the new build yet.
func (c *checker) effectiveBuild(edge int, incarnation Incarnation, submission *SubmissionRecord) int {
	build := submission.Build
	for _, update := range c.workerUpdates[edge] {
		if update.Worker != submission.Worker || update.At < incarnation.StartedAt ||
			update.At > submission.ReceivedAt+c.tolerances.exposure {
			continue
		}
		if update.Build == submission.Build && update.At >= submission.ReceivedAt-c.tolerances.exposure {
			return submission.Build
		}
		if update.At <= submission.ReceivedAt && update.Build > 0 {
			build = update.Build
		}
	}
	return build
}

// checkOneWayKeys checks the part of rule 5 on keys: a key that the new build has answered is not sent to an earlier build
// unless the new build goes back.
func (c *checker) checkOneWayKeys() {
	if !c.day.OneWayKeys {
		return
	}
	type keyOnEdge struct {
		edge, incarnation int
		key               uint64
	}
	answersByKey := map[keyOnEdge][]*TxnRecord{}
	for _, txn := range c.rec.Txns {
		if txn.AnsweredAt > 0 && txn.Status == 200 && txn.Build > 0 {
			key := keyOnEdge{txn.Edge, txn.Incarnation, txn.Key}
			answersByKey[key] = append(answersByKey[key], txn)
		}
	}
	for _, txn := range c.rec.Txns {
		for _, submission := range c.submissionsByTxn[txn.ID] {
			for _, answer := range answersByKey[keyOnEdge{txn.Edge, txn.Incarnation, txn.Key}] {
				if answer.Build <= submission.Build || answer.AnsweredAt+c.tolerances.exposure >= submission.ReceivedAt {
					continue
				}
				incarnation := c.incarnations[[2]int{txn.Edge, txn.Incarnation}]
				bound := true
				// The key is bound only if every release update binds it that may have been the edge's newest since the answer.
				for _, update := range c.releasesBetween(txn.Edge, incarnation, answer.AnsweredAt-c.tolerances.exposure,
					submission.ReceivedAt+c.tolerances.exposure) {
					release := update.Release
					if release.Build != answer.Build || release.Phase != api.PhaseOnTrial && release.Phase != api.PhaseReleased {
						bound = false
					}
				}
				if bound {
					c.addViolation(5, submission.ReceivedAt, txn, "key %d, answered by build %d through this edge at %.3fs, sent to build %d", txn.Key,
						answer.Build, answer.AnsweredAt.Seconds(), submission.Build)
					break
				}
			}
		}
	}
}

// releasesBetween returns the release updates that may have been the edge's newest at some time from start to end.
func (c *checker) releasesBetween(edge int, incarnation Incarnation, start, end time.Duration) []EdgeUpdate {
	var possible []EdgeUpdate
	updates := c.releaseUpdates[edge]
	for i, update := range updates {
		if update.At < incarnation.StartedAt || update.At > end {
			continue
		}
		if i+1 < len(updates) && updates[i+1].At < start {
			continue
		}
		possible = append(possible, update)
	}
	return possible
}

package lab

import (
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

// checkDay is the day of the records that the tests check.
const checkDay = `(day "check" (length 20s) (fleet (machines 4) (cold 3s)) (traffic (rate 10))
  (product "ask" (share 40%) (sla 200ms) (expiry 1s) (effect inquiry-like))
  (product "book" (share 30%) (sla 200ms) (expiry 1s) (effect referenced) (memory 500ms))
  (product "pay" (share 30%) (sla 200ms) (expiry 1s) (effect once-only))
  (platform (stages 0.1 1) (slack 1) (window 4s) (free 2) (one-way true) (guarded-stages 1) (grace 500ms)))`

// Indexes of the products of checkDay. The txns of compliantRecord have them in turn.
const (
	ask = iota
	book
	pay
)

// compliantRecord returns checkDay and a record of it without violations, with one edge, two workers of build 1 and one of
// build 2, which is on trial.
func compliantRecord(t *testing.T) (*Day, *Record) {
	day, err := ParseDay("check.sexp", checkDay)
	if err != nil {
		t.Fatal(err)
	}
	rec := &Record{Incarnations: []Incarnation{{Edge: 0, Number: 0, StartedAt: 0}}}
	rec.Updates = []EdgeUpdate{{FullList: true}, {Worker: "old1", State: "up"}, {Worker: "old2", State: "up"},
		{Worker: "new", State: "up", WorkerStartedAt: 1}, {Release: &ReleaseState{2, 0, "on-trial", 0.1}}}
	for i := 0; i < 200; i++ {
		sentAt := time.Duration(i) * 50 * ms
		txn := &TxnRecord{ID: uint64(i + 1), FirstTryID: uint64(i + 1), Product: i % 3, Key: uint64(i % 7), SentAt: sentAt,
			Deadline: sentAt + time.Second, AnsweredAt: sentAt + 30*ms, Status: 200, Build: 1}
		worker, build := "old1", 1
		if i%30 == 0 { // always a txn of product ask
			worker, build, txn.Build, txn.Key = "new", 2, 2, uint64(1000+i)
		}
		rec.Txns = append(rec.Txns, txn)
		rec.Submissions = append(rec.Submissions, &SubmissionRecord{Txn: txn.ID, Worker: worker, Build: build,
			ReceivedAt: sentAt + 5*ms, TookEffect: true, Result: "ok", FinishedAt: sentAt + 25*ms})
	}
	return day, rec
}

// addExtraSubmission adds a further submission of the txn with the given index, at a time after the txn was sent.
func (r *Record) addExtraSubmission(txn int, after time.Duration, worker string, build int) *SubmissionRecord {
	submission := &SubmissionRecord{Txn: r.Txns[txn].ID, Worker: worker, Build: build,
		ReceivedAt: r.Txns[txn].SentAt + after, Result: "failed"}
	r.Submissions = append(r.Submissions, submission)
	return submission
}

// TestCheckerAcceptsCompliantRecord guards against a checker that reports a rule-abiding retry, or a client that left early,
// as a violation.
func TestCheckerAcceptsCompliantRecord(t *testing.T) {
	d, r := compliantRecord(t)
	r.addExtraSubmission(1, 300*ms, "old2", 1) // a retry within the dedup memory
	r.Txns[1].AnsweredAt = r.Txns[1].SentAt + 400*ms
	r.Txns[10].AnsweredAt, r.Txns[10].Status, r.Txns[10].LeftAt = 0, 0, r.Txns[10].SentAt+100*ms // the client left early
	for _, violation := range Check(d, r) {
		t.Error(violation)
	}
}

// TestCheckerFindsViolations violates one rule in each record. It guards against a checker that overlooks the violation or
// reports another rule.
func TestCheckerFindsViolations(t *testing.T) {
	for _, c := range []struct {
		name    string
		rule    int
		text    string
		violate func(r *Record)
	}{
		{"connection closed without an answer", 1, "ended without an answer", func(r *Record) {
			r.Txns[4].AnsweredAt, r.Txns[4].Status, r.Txns[4].Failure = 0, 0, "broken"
		}},
		{"no answer within the deadline", 1, "no answer within", func(r *Record) {
			r.Txns[4].AnsweredAt, r.Txns[4].Status, r.Txns[4].LeftAt = 0, 0, r.Txns[4].Deadline+answerTolerance
		}},
		{"late answer", 1, "after the client's patience", func(r *Record) { r.Txns[4].AnsweredAt = r.Txns[4].Deadline + 200*ms }},
		{"two answers", 1, "more than one answer", func(r *Record) { r.Txns[4].ExtraBytes = true }},
		{"answer of another txn", 1, "another txn's", func(r *Record) { r.Txns[4].ForeignAnswer = true }},
		{"submission after the txn has ended", 1, "after its end", func(r *Record) { r.addExtraSubmission(3, 500*ms, "old1", 1) }},
		{"another edge was killed", 1, "ended without an answer", func(r *Record) {
			r.Incarnations = append(r.Incarnations, Incarnation{Edge: 1, Number: 1, StartedAt: 0,
				EndedAt: r.Txns[4].SentAt + 10*ms, Killed: true})
			r.Txns[4].AnsweredAt, r.Txns[4].Failure = 0, "broken"
		}},
		{"once-only sent twice", 2, "sent again though it may have run", func(r *Record) { r.addExtraSubmission(2, 20*ms, "old2", 1) }},
		{"once-only declined after it was sent", 2, "declined though it may have run", func(r *Record) {
			r.Txns[2].Status, r.Txns[2].Outcome = 503, "declined"
		}},
		{"once-only effect took place twice through a client's retry", 2, "took place 2 times", func(r *Record) { r.Txns[5].FirstTryID = r.Txns[2].FirstTryID }},
		{"referenced txn sent again after the dedup memory", 2, "workers remember", func(r *Record) {
			r.addExtraSubmission(1, 700*ms, "old2", 1)
			r.Txns[1].AnsweredAt = r.Txns[1].SentAt + 800*ms
		}},
		{"submission to a draining worker", 3, "after the edge was informed", func(r *Record) {
			r.Updates = append(r.Updates, EdgeUpdate{At: 4 * time.Second, Worker: "old1", State: "draining"})
		}},
		{"submission to a worker missing from a full list", 3, "after the edge was informed", func(r *Record) {
			r.Updates = append(r.Updates, EdgeUpdate{At: 4 * time.Second, FullList: true}, EdgeUpdate{At: 4 * time.Second, Worker: "old2", State: "up"})
		}},
		{"cold worker overloaded", 4, "was pushed over", func(r *Record) {
			r.OverloadFailures = []OverloadFailure{{"new", 1, 5 * time.Second, map[int]time.Duration{0: time.Second}}}
		}},
		{"cold worker overloaded, mostly by informed edges", 4, "was pushed over", func(r *Record) {
			r.OverloadFailures = []OverloadFailure{{"new", 1, 5 * time.Second, map[int]time.Duration{0: 2 * time.Second, 1: time.Second}}}
		}},
		{"exposure over the cap", 5, "allowed", func(r *Record) {
			for i := 3; i < 60; i += 3 {
				r.Submissions[i].Worker, r.Submissions[i].Build = "new", 2
			}
		}},
		{"exposure of an unannounced build over the first cap", 5, "allowed", func(r *Record) {
			for i := 3; i < 60; i += 3 {
				r.Submissions[i].Worker, r.Submissions[i].Build = "new", 3
			}
		}},
		{"submission at a cap of 0", 5, "at a cap of 0", func(r *Record) {
			r.Updates = append(r.Updates, EdgeUpdate{At: 2 * time.Second, Release: &ReleaseState{2, 0, "going-back", 0}})
		}},
		{"txn with an effect in a guarded stage", 5, "guarded stage", func(r *Record) { r.Submissions[31].Build, r.Submissions[31].Worker = 2, "new" }},
		{"key sent back to the old build", 5, "answered by build 2", func(r *Record) { r.Txns[40].Key = r.Txns[30].Key }},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, r := compliantRecord(t)
			c.violate(r)
			violations := Check(d, r)
			for _, v := range violations {
				if v.Rule != c.rule {
					t.Errorf("violation of another rule: %v", v)
				}
			}
			if len(violations) == 0 || !strings.Contains(violations[0].Text, c.text) {
				t.Errorf("got violations %v, want the first to contain %q", violations, c.text)
			}
			if len(violations) > 0 && c.rule != 4 && len(violations[0].History) < 2 {
				t.Errorf("violation without the txn's events: %v", violations[0])
			}
		})
	}
}

// TestCheckerAcceptsUnavoidableEvents guards against a checker that reports a violation where the edge could not know or
// prevent the event.
func TestCheckerAcceptsUnavoidableEvents(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(r *Record)
	}{
		{"txns of a killed edge", func(r *Record) {
			r.Incarnations[0].EndedAt, r.Incarnations[0].Killed = r.Txns[199].SentAt+10*ms, true
			r.Txns[199].AnsweredAt, r.Txns[199].Failure = 0, "broken"
		}},
		{"txn sent while a stopping edge closed its idle connection", func(r *Record) {
			r.Incarnations[0].StopRequestedAt, r.Incarnations[0].EndedAt = r.Txns[199].SentAt-5*ms, r.Txns[199].SentAt+50*ms
			r.Txns[199].AnsweredAt, r.Txns[199].Failure = 0, "broken"
			r.Submissions = r.Submissions[:199]
		}},
		{"submission to a worker that is up again", func(r *Record) {
			r.Updates = append(r.Updates, EdgeUpdate{At: 4 * time.Second, Worker: "old2", State: "gone"},
				EdgeUpdate{At: 6 * time.Second, Worker: "old2", State: "up", WorkerStartedAt: 9})
			r.Submissions[199].Worker = "old2"
		}},
		{"key sent to the old build after the new one went back", func(r *Record) {
			r.Updates = append(r.Updates, EdgeUpdate{At: 9 * time.Second, Release: &ReleaseState{2, 0, "going-back", 0}})
			r.Txns[199].Key = r.Txns[30].Key
			r.Submissions[180].Build = 1
		}},
		{"cold worker overloaded by edges that were not informed", func(r *Record) {
			r.OverloadFailures = []OverloadFailure{{"new", 1, 5 * time.Second, map[int]time.Duration{0: time.Second, 1: 2 * time.Second}}}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, r := compliantRecord(t)
			c.change(r)
			for _, v := range Check(d, r) {
				t.Error(v)
			}
		})
	}
}

// TestParseDayRejectsInvalidDays guards against a day with an inconsistent or misspelt setting that runs anyway.
func TestParseDayRejectsInvalidDays(t *testing.T) {
	for _, c := range []struct{ original, replacement, want string }{
		{"(share 40%)", "(share 50%)", "shares that sum to 1"},
		{"(stages 0.1 1)", "(stages 0.5 0.5)", "stages that rise"},
		{"(memory 500ms)", "", "(memory ...)"},
		{"(length 20s)", "(length soon)", "a time from"},
		{"(guarded-stages 1)", "(guarded 1)", `unknown word "guarded"`},
		{"(traffic", "(trouble flood) (traffic", "one of bad-requests"},
		{"(traffic", `(offer (flaw product) (product "x")) (traffic`, "with the name of one"},
	} {
		if _, err := ParseDay("d", strings.Replace(checkDay, c.original, c.replacement, 1)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q instead of %q: got error %v, want %q", c.replacement, c.original, err, c.want)
		}
	}
}

package lab

import (
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

const checkDay = `(day "check" (length 20s) (fleet (machines 4) (cold 3s)) (traffic (rate 10))
  (product "ask" (share 40%) (sla 200ms) (expiry 1s) (effect inquiry-like))
  (product "book" (share 30%) (sla 200ms) (expiry 1s) (effect referenced) (memory 500ms))
  (product "pay" (share 30%) (sla 200ms) (expiry 1s) (effect once-only))
  (platform (stages 0.1 1) (slack 1) (window 4s) (free 2) (one-way true) (guarded-stages 1) (grace 500ms)))`

const (
	ask = iota
	book
	pay
)

// honest is a record in which all rules are kept: an edge with two workers of build 1 and one of build 2 on trial.
func honest(t *testing.T) (*Day, *Record) {
	d, err := ParseDay("check.sexp", checkDay)
	if err != nil {
		t.Fatal(err)
	}
	r := &Record{Incarnations: []Incarnation{{Edge: 0, Number: 0, StartedAt: 0}}}
	r.Updates = []EdgeUpdate{{FullList: true}, {Worker: "old1", State: "up"}, {Worker: "old2", State: "up"}, {Worker: "new", State: "up", Started: 1},
		{Release: &ReleaseState{2, 0, "on-trial", 0.1}}}
	for i := 0; i < 200; i++ {
		sent := time.Duration(i) * 50 * ms
		x := &TxnRecord{ID: uint64(i + 1), FirstTryID: uint64(i + 1), Product: i % 3, Key: uint64(i % 7), SentAt: sent, Deadline: sent + time.Second,
			AnsweredAt: sent + 30*ms, Status: 200, Build: 1}
		w, b := "old1", 1
		if i%30 == 0 { // of product ask
			w, b, x.Build, x.Key = "new", 2, 2, uint64(1000+i)
		}
		r.Txns = append(r.Txns, x)
		r.Submissions = append(r.Submissions, &SubmissionRecord{Txn: x.ID, Worker: w, Build: b, ReceivedAt: sent + 5*ms, TookEffect: true, Result: "ok", FinishedAt: sent + 25*ms})
	}
	return d, r
}

// more is one more submission of txn i, some time after it was sent.
func (r *Record) more(i int, after time.Duration, worker string, build int) *SubmissionRecord {
	a := &SubmissionRecord{Txn: r.Txns[i].ID, Worker: worker, Build: build, ReceivedAt: r.Txns[i].SentAt + after, Result: "failed"}
	r.Submissions = append(r.Submissions, a)
	return a
}

func TestCheckerPassesAnHonestRecord(t *testing.T) {
	d, r := honest(t)
	r.more(1, 300*ms, "old2", 1) // referenced, within its memory
	r.Txns[1].AnsweredAt = r.Txns[1].SentAt + 400*ms
	r.Txns[10].AnsweredAt, r.Txns[10].Status, r.Txns[10].LeftAt = 0, 0, r.Txns[10].SentAt+100*ms // its client left early
	for _, v := range Check(d, r) {
		t.Error(v)
	}
}

func TestCheckerCatchesOffenders(t *testing.T) {
	for _, c := range []struct {
		name  string
		rule  int
		text  string
		spoil func(r *Record)
	}{
		{"no answer", 1, "ended without an answer", func(r *Record) {
			r.Txns[4].AnsweredAt, r.Txns[4].Status, r.Txns[4].Failure = 0, 0, "broken"
		}},
		{"silence", 1, "no answer within", func(r *Record) {
			r.Txns[4].AnsweredAt, r.Txns[4].Status, r.Txns[4].LeftAt = 0, 0, r.Txns[4].Deadline+answerTolerance
		}},
		{"late", 1, "after the client's patience", func(r *Record) { r.Txns[4].AnsweredAt = r.Txns[4].Deadline + 200*ms }},
		{"two answers", 1, "more than one answer", func(r *Record) { r.Txns[4].ExtraBytes = true }},
		{"another's answer", 1, "another txn's", func(r *Record) { r.Txns[4].ForeignAnswer = true }},
		{"sent after its end", 1, "after its end", func(r *Record) { r.more(3, 500*ms, "old1", 1) }},
		{"a killed edge excuses only its own", 1, "ended without an answer", func(r *Record) {
			r.Incarnations = append(r.Incarnations, Incarnation{Edge: 1, Number: 1, StartedAt: 0, EndedAt: r.Txns[4].SentAt + 10*ms, Killed: true})
			r.Txns[4].AnsweredAt, r.Txns[4].Failure = 0, "broken"
		}},
		{"once-only sent twice", 2, "sent again though it may have run", func(r *Record) { r.more(2, 20*ms, "old2", 1) }},
		{"once-only declined after it was sent", 2, "declined though it may have run", func(r *Record) {
			r.Txns[2].Status, r.Txns[2].Outcome = 503, "declined"
		}},
		{"once-only effect twice by a client's repeat", 2, "took place 2 times", func(r *Record) { r.Txns[5].FirstTryID = r.Txns[2].FirstTryID }},
		{"referenced beyond its memory", 2, "workers remember", func(r *Record) {
			r.more(1, 700*ms, "old2", 1)
			r.Txns[1].AnsweredAt = r.Txns[1].SentAt + 800*ms
		}},
		{"draining", 3, "after the edge was told", func(r *Record) {
			r.Updates = append(r.Updates, EdgeUpdate{At: 4 * time.Second, Worker: "old1", State: "draining"})
		}},
		{"missing from a whole list", 3, "after the edge was told", func(r *Record) {
			r.Updates = append(r.Updates, EdgeUpdate{At: 4 * time.Second, FullList: true}, EdgeUpdate{At: 4 * time.Second, Worker: "old2", State: "up"})
		}},
		{"pushed over", 4, "was pushed over", func(r *Record) {
			r.OverloadFailures = []OverloadFailure{{"new", 1, 5 * time.Second, map[int]time.Duration{0: time.Second}}}
		}},
		{"pushed over, mostly by those told", 4, "was pushed over", func(r *Record) {
			r.OverloadFailures = []OverloadFailure{{"new", 1, 5 * time.Second, map[int]time.Duration{0: 2 * time.Second, 1: time.Second}}}
		}},
		{"over the cap", 5, "allowed", func(r *Record) {
			for i := 3; i < 60; i += 3 {
				r.Submissions[i].Worker, r.Submissions[i].Build = "new", 2
			}
		}},
		{"a build not announced counts as in its first stage", 5, "allowed", func(r *Record) {
			for i := 3; i < 60; i += 3 {
				r.Submissions[i].Worker, r.Submissions[i].Build = "new", 3
			}
		}},
		{"at a cap of 0", 5, "at a cap of 0", func(r *Record) {
			r.Updates = append(r.Updates, EdgeUpdate{At: 2 * time.Second, Release: &ReleaseState{2, 0, "going-back", 0}})
		}},
		{"an effect in a guarded stage", 5, "guarded stage", func(r *Record) { r.Submissions[31].Build, r.Submissions[31].Worker = 2, "new" }},
		{"a key that met the new build", 5, "answered by build 2", func(r *Record) { r.Txns[40].Key = r.Txns[30].Key }},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, r := honest(t)
			c.spoil(r)
			got := Check(d, r)
			for _, v := range got {
				if v.Rule != c.rule {
					t.Errorf("another rule: %v", v)
				}
			}
			if len(got) == 0 || !strings.Contains(got[0].Text, c.text) {
				t.Errorf("got %v, want %q", got, c.text)
			}
			if len(got) > 0 && c.rule != 4 && len(got[0].Story) < 2 {
				t.Errorf("no story: %v", got[0])
			}
		})
	}
}

func TestCheckerExcuses(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(r *Record)
	}{
		{"what a killed edge held", func(r *Record) {
			r.Incarnations[0].EndedAt, r.Incarnations[0].Killed = r.Txns[199].SentAt+10*ms, true
			r.Txns[199].AnsweredAt, r.Txns[199].Failure = 0, "broken"
		}},
		{"a client that wrote as an idle connection closed", func(r *Record) {
			r.Incarnations[0].StopRequestedAt, r.Incarnations[0].EndedAt = r.Txns[199].SentAt-5*ms, r.Txns[199].SentAt+50*ms
			r.Txns[199].AnsweredAt, r.Txns[199].Failure = 0, "broken"
			r.Submissions = r.Submissions[:199]
		}},
		{"a worker that is back", func(r *Record) {
			r.Updates = append(r.Updates, EdgeUpdate{At: 4 * time.Second, Worker: "old2", State: "gone"}, EdgeUpdate{At: 6 * time.Second, Worker: "old2", State: "up", Started: 9})
			r.Submissions[199].Worker = "old2"
		}},
		{"a key after the build went back", func(r *Record) {
			r.Updates = append(r.Updates, EdgeUpdate{At: 9 * time.Second, Release: &ReleaseState{2, 0, "going-back", 0}})
			r.Txns[199].Key = r.Txns[30].Key
			r.Submissions[180].Build = 1
		}},
		{"workers pushed over by edges that were not told", func(r *Record) {
			r.OverloadFailures = []OverloadFailure{{"new", 1, 5 * time.Second, map[int]time.Duration{0: time.Second, 1: 2 * time.Second}}}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d, r := honest(t)
			c.change(r)
			for _, v := range Check(d, r) {
				t.Error(v)
			}
		})
	}
}

func TestDayRefused(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{"(share 40%)", "(share 50%)", "shares that sum to 1"},
		{"(stages 0.1 1)", "(stages 0.5 0.5)", "stages that rise"},
		{"(memory 500ms)", "", "(memory ...)"},
		{"(length 20s)", "(length soon)", "a time from"},
		{"(guarded-stages 1)", "(guarded 1)", `unknown word "guarded"`},
		{"(traffic", "(trouble flood) (traffic", "one of bad-requests"},
		{"(traffic", `(offer (flaw product) (product "x")) (traffic`, "with the name of one"},
	} {
		if _, err := ParseDay("d", strings.Replace(checkDay, c.from, c.to, 1)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v", c.to, err)
		}
	}
}

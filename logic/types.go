// Package logic is the decision module of a sentry. This file holds what passes between the module and
// whatever hosts it: ids, events and the sink for actions. All decisions are in logic.go.
package logic

// Nanos is a clock time or a span of time, in whole nanoseconds.
type Nanos int64

// Spans that read well in code.
const (
	Millisecond Nanos = 1_000_000
	Second      Nanos = 1_000_000_000
)

// Ids, one type for each kind.
type (
	TxnID      uint64
	WorkerID   string
	KeyID      uint64 // what a txn is about; 0 for none
	ProductID  int
	CustomerID int // 0 for none, else the place in the settings' list plus one
	ZoneID     int
	KindID     int
	RelID      int // a build; a later one has a higher number
)

// State is a worker's standing in the list.
type State int

// Standings of a worker.
const (
	Up State = iota
	Draining
	Gone
)

// Worker is one line of the list of workers.
type Worker struct {
	ID     WorkerID
	Zone   ZoneID
	Kind   KindID
	Cell   int
	State  State
	Weight float64
	Rel    RelID
	Start  Nanos // of its latest start; 0: long past
}

// ListMode says how a list event relates to the list held so far.
type ListMode int

// Modes of a list event.
const (
	Changes         ListMode = iota // altered lines only
	Whole                           // the complete list
	Restored                        // the complete list as held before a restart
	ListUnavailable                 // a call for the list failed
)

// Txn is a txn that a client hands to the sentry.
type Txn struct {
	ID       TxnID
	Product  ProductID
	Customer CustomerID
	Key      KeyID
	Cost     Nanos // expected work, 0 where unknown
	Repeat   bool  // the client marked it as its own repeat
	Expiry   Nanos // clock time at which the client gives up
}

// Ending is how a submission, a probe or a vote ended.
type Ending int

// Endings.
const (
	OK Ending = iota
	Cancelled
	TimedOut
	Rejected          // turned away unseen
	Skipped           // not sent, or a vote that no longer applies
	Disconnected      // the connection broke
	ErrorResponse     // answered with an error
	ConnectFailed     // no connection could be made
	MalformedResponse // answered with what cannot be read: it has run
)

// Load is a worker's load report; a value that it lacks is negative.
type Load struct {
	Util  float64 // share of its cores busy
	Queue float64 // txns waiting
	Busy  float64 // txns in hand
}

// Outcome is the end of one submission.
type Outcome struct {
	Txn           TxnID
	Number        int // of the submission, from 0
	Ending        Ending
	Elapsed       Nanos
	Final         bool // the txn has its final answer
	MaybeAnswered bool // where it did not end well: an answer may have been given that did not arrive
	Load          *Load
}

// Phase is where a build stands.
type Phase int

// Phases of a build.
const (
	OnTrial Phase = iota
	GoingBack
	Released
	Withdrawn
)

// ReleaseUpdate is what the platform tells of the newest build.
type ReleaseUpdate struct {
	Stage     int
	VoteReply bool // in answer to a vote
	Rel       RelID
	Cap       float64
	Phase     Phase
	Age       Nanos // of this state
	Ending    Ending
}

// Tally is what the platform counted for one build and product.
type Tally struct {
	Rel       RelID
	Product   ProductID
	Many, Bad int
	Mean      Nanos
}

// Verdict is a vote on a build.
type Verdict int

// Verdicts.
const (
	VerdictNone Verdict = iota
	VerdictOn
	VerdictHold
	VerdictBack
)

// Sink takes the actions of one sentry, in order, at the time of the event being handled.
type Sink interface {
	Submit(t TxnID, w WorkerID, timeout Nanos) // 0: until the client gives up
	Cancel(t TxnID, number int)
	Decline(t TxnID, retryAfter Nanos) // 0: no guidance
	Void(t TxnID)
	SetTimer(after Nanos, token uint64)
	Vote(v Verdict, rel RelID, stage int)
	WatchWorkers()                  // changes of the list from now on
	SendToPeer(to int, data []byte) // to the sentry of that number, at most 256 bytes
	Log(text string)
}

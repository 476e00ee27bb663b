// Package logic is the decision module of a sentry. This file declares its interface with the host: ids, events and the
// sink for actions. All decisions are made in logic.go.
package logic

// Nanos is a time of the host's clock, or a duration, in nanoseconds.
type Nanos int64

// Units of a duration.
const (
	Millisecond Nanos = 1_000_000
	Second      Nanos = 1_000_000_000
)

// Ids, one type for each kind.
type (
	TxnID      uint64
	WorkerID   string
	KeyID      uint64 // identifies what a txn is about; 0 for none
	ProductID  int
	CustomerID int // index in the settings' list plus one; 0 for none
	ZoneID     int
	KindID     int // of a machine
	RelID      int // number of a build; a later build has a higher one
)

// State is a worker's state in the worker list.
type State int

// States of a worker.
const (
	Up State = iota
	Draining
	Gone
)

// Worker is one entry of the worker list.
type Worker struct {
	ID     WorkerID
	Zone   ZoneID
	Kind   KindID
	Cell   int
	State  State
	Weight float64
	Rel    RelID
	Start  Nanos // when it last started; 0 if long ago
}

// ListMode is how an update of the worker list relates to the list held so far.
type ListMode int

// Modes of a list update.
const (
	Changes         ListMode = iota // changed entries only
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
	Cost     Nanos // expected work, 0 if unknown
	Repeat   bool  // the client marked it as a repeat of its own
	Expiry   Nanos // clock time at which the client gives up
}

// Ending is how a submission, a probe or a vote ended.
type Ending int

// Endings.
const (
	OK Ending = iota
	Cancelled
	TimedOut
	Rejected          // the worker rejected it without running it
	Skipped           // it was not sent; a vote: it no longer applied
	Disconnected      // the connection broke
	ErrorResponse     // the response was an error
	ConnectFailed     // no connection could be established
	MalformedResponse // the response could not be parsed: the submission has run
)

// Load is a worker's load report. A negative value was not reported.
type Load struct {
	Util  float64 // share of its cores that are busy
	Queue float64 // txns waiting
	Busy  float64 // txns being processed
}

// Outcome is the end of one submission.
type Outcome struct {
	Txn           TxnID
	Number        int // of the submission, from 0
	Ending        Ending
	Elapsed       Nanos
	Final         bool // the txn has its final answer
	MaybeAnswered bool // if it did not end well: the worker may have sent a response that was not received
	Load          *Load
}

// Phase is the phase of a build's release.
type Phase int

// Phases of a release.
const (
	OnTrial Phase = iota
	GoingBack
	Released
	Withdrawn
)

// ReleaseUpdate is the state of the newest build's release, as announced by the platform.
type ReleaseUpdate struct {
	Stage     int
	VoteReply bool // received in reply to a vote
	Rel       RelID
	Cap       float64
	Phase     Phase
	Age       Nanos // time since it entered this state
	Ending    Ending
}

// Tally holds the platform's counts for one build and product.
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

// Sink performs the actions of one sentry, in order, at the time of the event being handled.
type Sink interface {
	Submit(t TxnID, w WorkerID, timeout Nanos) // timeout 0: until the client gives up
	Cancel(t TxnID, number int)
	Decline(t TxnID, retryAfter Nanos) // retryAfter 0: no guidance
	Void(t TxnID)
	SetTimer(after Nanos, token uint64)
	Vote(v Verdict, rel RelID, stage int)
	WatchWorkers()                  // request changes of the worker list from now on
	SendToPeer(to int, data []byte) // to the sentry with that number, at most 256 bytes
	Log(text string)
}

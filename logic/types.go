// Package logic is the decision module of a sentry. This file declares its interface with the host: identifiers, events and
// the sink for actions. All decisions are made in logic.go.
package logic

// Nanos is a time on the host's clock, or a duration, in nanoseconds.
type Nanos int64

// Units of a duration.
const (
	Millisecond Nanos = 1_000_000
	Second      Nanos = 1_000_000_000
)

// Identifiers.
type (
	TxnID      uint64
	WorkerID   string
	KeyID      uint64 // hash of a txn's key; 0 for none
	ProductID  int    // index in the settings' list
	CustomerID int    // index in the settings' list plus one; 0 for none
	ZoneID     int
	KindID     int // kind of machine
	RelID      int // number of a build; a later build has a higher number
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
	Start  Nanos // when the process started; 0 if long ago
}

// ListMode is how an update of the worker list relates to the current list.
type ListMode int

// Modes of a list update.
const (
	Changes         ListMode = iota // changed entries only
	Whole                           // the complete list
	Restored                        // the complete list from before a restart
	ListUnavailable                 // a request for the list failed
)

// Txn is a txn that a client hands to the sentry.
type Txn struct {
	ID       TxnID
	Product  ProductID
	Customer CustomerID
	Key      KeyID
	Cost     Nanos // expected work, 0 if unknown
	Repeat   bool  // the client marked it as a retry of an earlier txn
	Expiry   Nanos // time at which the client gives up
}

// Ending is how a submission, a probe or a vote ended.
type Ending int

// Endings.
const (
	OK Ending = iota
	Cancelled
	TimedOut
	Rejected          // the worker rejected it without running it
	Skipped           // it was not sent; for a vote: it no longer applied
	Disconnected      // the connection broke
	ErrorResponse     // the response was an error
	ConnectFailed     // no connection could be established
	MalformedResponse // the response could not be parsed; the submission has run
)

// Load is a worker's load report. A value that was not reported is negative.
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
	MaybeAnswered bool // Ending is not OK, but the worker may have sent a response that was not received
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
	Cap       float64 // submissions to the build per txn, at most
	Phase     Phase
	Age       Nanos  // time since the release entered this state
	Ending    Ending // of the vote, for a reply to one
}

// Tally holds the platform's counts for one build and product.
type Tally struct {
	Rel     RelID
	Product ProductID
	Many    int   // submissions
	Bad     int   // submissions that did not settle
	Mean    Nanos // mean response time of those that settled
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

// Sink performs the actions of one sentry. The module calls it in order while it handles an event.
type Sink interface {
	Submit(t TxnID, w WorkerID, timeout Nanos) // timeout 0: until the client gives up
	Cancel(t TxnID, number int)
	Decline(t TxnID, retryAfter Nanos) // retryAfter 0: no guidance
	Void(t TxnID)
	SetTimer(after Nanos, token uint64)
	Vote(v Verdict, rel RelID, stage int)
	WatchWorkers()                  // request changes of the worker list from now on
	SendToPeer(to int, data []byte) // send at most 256 bytes to the sentry with number to
	Log(text string)
}

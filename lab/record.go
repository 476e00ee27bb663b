package lab

import (
	"sync"
	"time"
)

// runTime is a time on the run's clock, or a duration. The clock counts from the start of the day. Clients, workers and the
// platform share it.
type runTime = time.Duration

// TxnRecord is one try of a txn as its client saw it. A time of 0 means that the event did not happen.
type TxnRecord struct {
	ID            uint64
	FirstTryID    uint64 // ID of the first try, which all retries of the client share
	Edge          int
	Incarnation   int // number of the edge's process when the txn was sent
	Product       int
	Key           uint64
	SentAt        runTime
	Deadline      runTime // when the client stops waiting
	AnsweredAt    runTime
	LeftAt        runTime // when the client closed the connection
	Status        int
	Outcome       string // declined or voided, from the edge's response header
	Failure       string // refused: no connection to the edge; broken: the connection ended without an answer
	ReusedConn    bool   // whether the connection had carried earlier txns
	ExtraBytes    bool   // whether bytes followed the answer
	ForeignAnswer bool   // whether the answer belongs to another txn
	Malformed     bool   // whether the request is one that fails at every worker
	Build         int    // number of the build that answered; 0: unknown
	WrongAnswer   bool   // whether the content of the answer was wrong
	IsRetry       bool
	Revenue       float64
}

// SubmissionRecord is one submission as a worker saw it.
type SubmissionRecord struct {
	Txn             uint64
	Worker          string
	Replica         int
	Build           int
	WorkerStartedAt runTime
	ReceivedAt      runTime
	TookEffect      bool   // whether the worker started the job, so that its effect took place
	Duplicate       bool   // whether the worker answered the submission as a duplicate, without running the job
	Rejected        bool   // whether the worker refused the submission without reading it
	Result          string // ok, failed, wrong, dropped, garbage, cancelled, bad, turned-away, silent or down; empty while it runs
	FinishedAt      runTime
}

// EdgeUpdate is one update that the platform sent to an edge: the start of a full worker list, an entry of a list, or a
// release state.
type EdgeUpdate struct {
	Edge            int
	At              runTime // when the update was written to the connection
	FullList        bool    // whether a full worker list follows; workers not on it are gone
	Worker          string
	State           string
	WorkerStartedAt runTime
	Build           int
	Release         *ReleaseState // nil: the update is on workers
}

// ReleaseState is the state of the newest build's release that an edge was sent.
type ReleaseState struct {
	Build, Stage int
	Phase        string
	Cap          float64
}

// Incarnation is one run of an edge process, from its start to its end.
type Incarnation struct {
	Edge            int
	Number          int
	StartedAt       runTime
	StopRequestedAt runTime // 0: the process was not asked to stop
	EndedAt         runTime
	Killed          bool
}

// OverloadFailure is the failure of a cold worker from overload.
type OverloadFailure struct {
	Worker          string
	WorkerStartedAt runTime
	At              runTime
	WorkByEdge      map[int]time.Duration // work that each edge sent within the machine's overload window
}

// VoteRecord is a vote that the platform received.
type VoteRecord struct {
	Edge    int
	At      runTime
	Verdict string
	Build   int
	Stage   int
	Counted bool // whether the platform accepted the vote
}

// Record holds everything that went over the sockets of a run. Its methods are safe for concurrent use.
type Record struct {
	mu               sync.Mutex
	Txns             []*TxnRecord
	Submissions      []*SubmissionRecord
	Updates          []EdgeUpdate
	Incarnations     []Incarnation
	OverloadFailures []OverloadFailure
	Votes            []VoteRecord
	Events           []string // lines of the run's log, for the report
	builds           []BuildFigures
	maxSendDelay     time.Duration // maximum delay between a txn's scheduled time and its sending
}

func (r *Record) addTxn(t *TxnRecord) {
	r.mu.Lock()
	r.Txns = append(r.Txns, t)
	r.mu.Unlock()
}

func (r *Record) addSubmission(s *SubmissionRecord) {
	r.mu.Lock()
	r.Submissions = append(r.Submissions, s)
	r.mu.Unlock()
}

func (r *Record) addUpdate(u EdgeUpdate) {
	r.mu.Lock()
	r.Updates = append(r.Updates, u)
	r.mu.Unlock()
}

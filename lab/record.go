package lab

import (
	"sync"
	"time"
)

// runTime is a time on the run's clock, or a span of it, in nanoseconds since the run's start. Clients, workers and the
// platform share this clock.
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
	Failure       string // refused: no connection; broken: the connection ended without an answer
	ReusedConn    bool   // whether the connection had carried earlier txns
	ExtraBytes    bool   // whether bytes followed the answer
	ForeignAnswer bool   // whether the answer belongs to another txn
	Malformed     bool   // whether the client sent a request that every worker fails
	Build         int    // build that answered; 0: unknown
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
	TookEffect      bool // the worker started the job, so its effect took place
	Duplicate       bool // answered as a duplicate, without running the job
	Rejected        bool // turned away before the worker read the txn
	Result          string
	FinishedAt      runTime
}

// EdgeUpdate is one update that the platform sent to an edge. At is when its bytes were written.
type EdgeUpdate struct {
	Edge     int
	At       runTime
	FullList bool // marks the start of a full worker list; workers not on it are gone
	Worker   string
	State    string
	Started  runTime
	Build    int
	Release  *ReleaseState
}

// ReleaseState is the state of the newest build's release as sent to an edge.
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
	Counted bool
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
	Marks            []string // log of the run for the report
	builds           []BuildFigures
	maxSendDelay     time.Duration // largest delay of a txn's sending past its scheduled time
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

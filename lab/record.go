package lab

import (
	"sync"
	"time"
)

// runTime is a moment of a run: nanoseconds since its start, by the one clock that clients, workers and platform share.
type runTime = time.Duration

// TxnRecord is what a client saw of one txn. Moments that did not come are 0.
type TxnRecord struct {
	ID         uint64
	Lineage    uint64 // the first try's id: a client's repeats share it
	Edge       int
	Life       int // of the edge, when it was sent: a restart begins a new one
	Product    int
	Key        uint64
	SentAt     runTime
	Until      runTime // when the client's patience ends
	AnsweredAt runTime
	Left       runTime // when the client hung up by itself
	Status     int
	Outcome    string // declined or voided, as the edge says
	Broken     string // refused: no connection; broken: it ended without an answer
	Reused     bool   // the connection had carried txns before
	Extra      bool   // more came than the one answer
	Strange    bool   // the answer was another txn's
	Bad        bool   // malformed on purpose
	Build      int    // whose answer it was
	Wrong      bool
	Retry      bool
	Revenue    float64
}

// Arrival is what a worker saw of one submission.
type Arrival struct {
	Txn      uint64
	Worker   string
	Place    int
	Build    int
	Started  runTime
	At       runTime
	Began    bool // its work began: its effect took place
	Dropped  bool // a repeat, answered without running
	Turned   bool // away, unseen
	End      string
	Finished runTime
}

// EdgeUpdate is one thing that the platform told one edge, when its bytes were written.
type EdgeUpdate struct {
	Edge     int
	At       runTime
	FullList bool // the whole list: what it lacks is gone
	Worker   string
	State    string
	Started  runTime
	Build    int
	Release  *ToldRelease
}

// ToldRelease is told news of the newest build.
type ToldRelease struct {
	Build, Stage int
	Phase        string
	Cap          float64
}

// Incarnation is the time between an edge's start and its end.
type Incarnation struct {
	Edge            int
	Number          int
	StartedAt       runTime
	StopRequestedAt runTime // when it was asked to stop; 0: it was not
	EndedAt         runTime
	Killed          bool
}

// Fall is a machine that was pushed over.
type Fall struct {
	Worker  string
	Started runTime
	At      runTime
	From    map[int]time.Duration // work of the last moments, by edge
}

// VoteRecord is a vote that reached the platform.
type VoteRecord struct {
	Edge    int
	At      runTime
	Verdict string
	Build   int
	Stage   int
	Counted bool
}

// Record is all that went over the sockets of a run. It is safe for concurrent use while the run lasts.
type Record struct {
	mu           sync.Mutex
	Txns         []*TxnRecord
	Submissions  []*Arrival
	Updates      []EdgeUpdate
	Incarnations []Incarnation
	Falls        []Fall
	Votes        []VoteRecord
	Marks        []string // what happened, for people
	builds       []BuildFigures
	maxSendDelay time.Duration
}

func (r *Record) txn(t *TxnRecord) {
	r.mu.Lock()
	r.Txns = append(r.Txns, t)
	r.mu.Unlock()
}

func (r *Record) arrival(a *Arrival) {
	r.mu.Lock()
	r.Submissions = append(r.Submissions, a)
	r.mu.Unlock()
}

func (r *Record) addUpdate(t EdgeUpdate) {
	r.mu.Lock()
	r.Updates = append(r.Updates, t)
	r.mu.Unlock()
}

// Package api defines the objects of the REST API between the platform and the edges, and a client for it. It contains no
// server.
//
//	GET  /v1/workers                      worker list         GET  /v1/workers?watch=1&revision=N   changes to it
//	GET  /v1/releases                     newest release      GET  /v1/releases?watch=1&revision=N  changes to it
//	POST /v1/releases/{name}/votes        cast a vote
//	GET  /v1/reports?watch=1&edge=E       answers from this edge that clients reported as wrong
//	GET  /v1/tallies?watch=1              the platform's counts by build and product
//
// A watch is an unbounded response of JSON lines, one event per line. An event of type "whole" replaces the client's state,
// "change" updates it, and "bookmark" is a keepalive that carries the server's current revision. After a disconnect the
// client resumes the watch from the last revision it received. If the server no longer holds that revision, it sends a
// "whole" event.
package api

// Event types.
const (
	EventSnapshot = "whole"    // replaces the client's state
	EventChange   = "change"   // updates the client's state
	EventBookmark = "bookmark" // a keepalive that carries the current revision
)

// Worker states.
const (
	WorkerUp       = "up"       // serves txns
	WorkerDraining = "draining" // gets no new txns and will stop soon
	WorkerGone     = "gone"     // has stopped
)

// Worker is an entry of the worker list.
type Worker struct {
	ID      string  `json:"id"`
	Address string  `json:"address"`
	Zone    string  `json:"zone,omitempty"`
	Kind    string  `json:"kind,omitempty"` // kind of machine
	Cell    int     `json:"cell,omitempty"` // workers of one cell may share their deduplication of txns
	State   string  `json:"state"`
	Weight  float64 `json:"weight,omitempty"`
	Build   int     `json:"build"`
	// StartedAt is when the worker last started, by the server's clock in nanoseconds; 0 means long ago. It distinguishes a
	// restarted worker from its earlier incarnation with the same id.
	StartedAt int64 `json:"startedAt,omitempty"`
}

// WorkersEvent is an event of the worker list watch.
type WorkersEvent struct {
	Type     string   `json:"type"`
	Revision uint64   `json:"revision"`
	Now      int64    `json:"now"` // the server's clock in nanoseconds
	Workers  []Worker `json:"workers,omitempty"`
}

// Release phases.
const (
	PhaseOnTrial   = "on-trial"   // its exposure is limited to Release.Cap
	PhaseGoingBack = "going-back" // its workers return to the preceding build
	PhaseReleased  = "released"   // its exposure is not limited
	PhaseWithdrawn = "withdrawn"  // all its workers have returned to the preceding build
)

// Release is the newest build and its rollout state.
type Release struct {
	Name  string  `json:"name"`
	Build int     `json:"build"`
	Stage int     `json:"stage"`
	Phase string  `json:"phase"`
	Cap   float64 `json:"cap"`
	// Since is when this state began, by the server's clock in nanoseconds.
	Since int64 `json:"since"`
}

// ReleaseEvent is an event of the release watch, and the answer to a vote.
type ReleaseEvent struct {
	Type     string  `json:"type"`
	Revision uint64  `json:"revision"`
	Now      int64   `json:"now"`
	Release  Release `json:"release"`
}

// Vote verdicts.
const (
	VoteNone = "none"
	VoteOn   = "on"
	VoteHold = "hold"
	VoteBack = "back"
)

// Vote is a sentry's vote on a stage of a build. It replaces the sentry's earlier vote.
type Vote struct {
	Edge    string `json:"edge"`
	Sentry  int    `json:"sentry"`
	Verdict string `json:"verdict"`
	Build   int    `json:"build"`
	Stage   int    `json:"stage"`
}

// Tally holds the platform's counts for one build and product over a past period, from a sample of all submissions.
type Tally struct {
	Type        string `json:"type"`
	Build       int    `json:"build"`
	Product     string `json:"product"`
	Submissions int    `json:"many"` // submissions in the sample
	NotSettled  int    `json:"bad"`  // submissions in the sample that did not settle
	Mean        int64  `json:"mean"` // mean time of the settled submissions, in nanoseconds
}

// Report states that a client found an answer wrong. It is sent to the edge that forwarded the answer.
type Report struct {
	Type    string `json:"type"`
	Sentry  int    `json:"sentry"`
	Product string `json:"product"`
	Worker  string `json:"worker"`
	Age     int64  `json:"age"` // time since the edge sent the submission, in nanoseconds
}

// Package api defines the objects of the REST API between the platform and the edges, and a client for it. It contains no
// server.
//
//	GET  /v1/workers                      worker list         GET  /v1/workers?watch=1&revision=N   changes to it
//	GET  /v1/releases                     newest release      GET  /v1/releases?watch=1&revision=N  changes to it
//	POST /v1/releases/{name}/votes        cast a vote
//	GET  /v1/reports?watch=1&edge=E       answers that clients reported as wrong
//	GET  /v1/tallies?watch=1              the platform's counts by build and product
//
// A watch is an unbounded response of JSON lines, one event per line. An event of type "whole" replaces the known state,
// "change" updates it, and "bookmark" is a keepalive that carries the server's current revision. After a disconnect the
// client resumes the watch from the last revision it saw; a server that no longer holds that revision sends a "whole" event.
package api

// Event types.
const (
	Whole    = "whole"    // a complete snapshot
	Change   = "change"   // an update to the state known so far
	Bookmark = "bookmark" // a keepalive with the current revision
)

// Worker states.
const (
	Up       = "up"
	Draining = "draining"
	Gone     = "gone"
)

// Worker is an entry of the worker list.
type Worker struct {
	ID      string  `json:"id"`
	Address string  `json:"address"`
	Zone    string  `json:"zone,omitempty"`
	Kind    string  `json:"kind,omitempty"`
	Cell    int     `json:"cell,omitempty"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight,omitempty"`
	Build   int     `json:"build"`
	// StartedAt is the server's clock at the worker's latest start, in nanoseconds; 0 means long ago. It distinguishes a
	// restarted worker from the earlier incarnation under the same id.
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
	OnTrial   = "on-trial"
	GoingBack = "going-back"
	Released  = "released"
	Withdrawn = "withdrawn"
)

// Release is the newest build and its rollout state.
type Release struct {
	Name  string  `json:"name"`
	Build int     `json:"build"`
	Stage int     `json:"stage"`
	Phase string  `json:"phase"`
	Cap   float64 `json:"cap"`
	// Since is the server's clock when this state began, in nanoseconds.
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

// Vote is the vote of one sentry. A later vote of the same sentry replaces it.
type Vote struct {
	Edge    string `json:"edge"`
	Sentry  int    `json:"sentry"`
	Verdict string `json:"verdict"`
	Build   int    `json:"build"`
	Stage   int    `json:"stage"`
}

// Tally holds the platform's counts for one build and product over a past period, from a sample of all submissions.
type Tally struct {
	Type    string `json:"type"`
	Build   int    `json:"build"`
	Product string `json:"product"`
	Many    int    `json:"many"` // number of submissions
	Bad     int    `json:"bad"`  // number of those that did not settle
	Mean    int64  `json:"mean"` // mean time of the settled ones, in nanoseconds
}

// Report states that a client found an answer wrong that this edge had forwarded to it.
type Report struct {
	Type    string `json:"type"`
	Sentry  int    `json:"sentry"`
	Product string `json:"product"`
	Worker  string `json:"worker"`
	Age     int64  `json:"age"` // time since the submission was sent, in nanoseconds
}

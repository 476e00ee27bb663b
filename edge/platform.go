package edge

import (
	"time"

	"go.uber.org/zap"

	"dunegrade/api"
	"dunegrade/config"
	"dunegrade/logic"
)

// PlatformOptions configures an edge that gets its worker list and releases from a platform, not from a file or the HTTP API.
type PlatformOptions struct {
	Source   Source
	Dialect  Dialect
	LastList api.WorkersEvent // the worker list from before the restart, which may be out of date
	Release  api.ReleaseEvent // the state of the newest release
}

// NewWithPlatform returns an edge that uses the PostgreSQL protocol with clients and workers. It starts listening when Run is
// called.
func NewWithPlatform(cfg *config.Edge, platform *PlatformOptions, log *zap.Logger) *Process {
	p := newProcess(cfg, log)
	p.platform, p.source, p.protocol = platform, platform.Source, newPgProtocol(platform.Dialect)
	for _, w := range platform.LastList.Workers {
		p.workers[w.ID] = w
	}
	p.release = platform.Release.Release
	return p
}

// initialState returns the worker list and release state that the edge was created with, for loop.start.
func (o *PlatformOptions) initialState() (*api.WorkersEvent, *logic.ReleaseUpdate) {
	update := toReleaseUpdate(o.Release, false)
	return &o.LastList, &update
}

// freshListWait is how long a new edge waits for a current worker list before it serves with the one it was created with.
const freshListWait = 1500 * time.Millisecond

// canServe reports whether the edge has a current worker list, or has waited long enough for one and has the list from before
// the restart.
func (l *loop) canServe() bool {
	return l.listCurrent || len(l.p.platform.LastList.Workers) > 0 && time.Since(l.p.startedAt) > freshListWait
}

package edge

import (
	"time"

	"go.uber.org/zap"

	"dunegrade/api"
	"dunegrade/config"
	"dunegrade/logic"
)

// PlatformOptions is what an edge has from the platform that it serves on, in place of a file or an API.
type PlatformOptions struct {
	Source  Source
	Dialect Dialect
	Known   api.WorkersEvent // the list as it was before a restart; it may be old
	Release api.ReleaseEvent // where the newest build stands
}

// NewWithPlatform makes an edge that speaks PostgreSQL's protocol with clients and workers. It listens when Run is called.
func NewWithPlatform(plan *config.Edge, live *PlatformOptions, log *zap.Logger) *Process {
	p := newProcess(plan, log)
	p.platform, p.source, p.protocol = live, live.Source, newPgProtocol(live.Dialect)
	for _, w := range live.Known.Workers {
		p.workers[w.ID] = w
	}
	p.release = live.Release.Release
	return p
}

// initialState gives what a live edge was initialState at its start, as its loops take it.
func (l *PlatformOptions) initialState() (*api.WorkersEvent, *logic.ReleaseUpdate) {
	n := toReleaseUpdate(l.Release, false)
	return &l.Known, &n
}

// freshListWait is how long a new edge waits for the list of the moment before it serves by the one it was started with.
const freshListWait = 1500 * time.Millisecond

// canServe tells whether this edge knows enough to serve: the list of the moment, or after a while the one known before.
func (l *loop) canServe() bool {
	return l.listCurrent || len(l.p.platform.Known.Workers) > 0 && time.Since(l.p.startedAt) > freshListWait
}

package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"net/url"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"dunegrade/api"
	"dunegrade/config"
)

// EventHandler is told what a source learns, from the source's goroutines.
type EventHandler interface {
	Workers(api.WorkersEvent)
	Release(api.ReleaseEvent)
	Report(api.Report)
	Tally(api.Tally)
}

// Source tells of workers and releases, and takes votes.
type Source interface {
	// Run tells to until ctx ends. It starts no goroutine that outlives it.
	Run(ctx context.Context, to EventHandler)
	// Refresh has the whole list told again. It does not block.
	Refresh()
	// Vote casts a vote. Its errors are those of api.Client.Vote.
	Vote(ctx context.Context, v api.Vote) (api.ReleaseEvent, error)
}

// apiSource follows an HTTP API by watches, each resumed where it broke.
type apiSource struct {
	client *api.Client
	edge   string
	log    *zap.Logger
}

func newAPISource(base, edge string, log *zap.Logger) *apiSource {
	return &apiSource{client: api.NewClient(base), edge: edge, log: log}
}

// Refresh has nothing to do: the watches push every change by themselves.
func (s *apiSource) Refresh() {}

func (s *apiSource) Vote(ctx context.Context, v api.Vote) (api.ReleaseEvent, error) {
	return s.client.Vote(ctx, v)
}

func (s *apiSource) Run(ctx context.Context, to EventHandler) {
	defer s.client.Close()
	var group sync.WaitGroup
	group.Go(func() {
		revision := uint64(0)
		s.follow(ctx, "/v1/workers", func() url.Values { return s.query("revision", strconv.FormatUint(revision, 10)) }, func(line []byte) error {
			var e api.WorkersEvent
			if err := json.Unmarshal(line, &e); err != nil {
				return fmt.Errorf("malformed event: %w", err)
			}
			switch e.Type {
			case api.Bookmark:
				return nil
			case api.Change:
				// Danger: a change that skips a revision was made to a list that we do not have.
				if have := revision; e.Revision != have+1 {
					revision = 0
					return fmt.Errorf("change %d after %d: the whole list is needed", e.Revision, have)
				}
			case api.Whole:
			default: // what it means for the list is not known
				revision = 0
				return fmt.Errorf("event of type %q: found neither whole, change nor bookmark; the whole list is needed", e.Type)
			}
			revision = e.Revision
			to.Workers(e)
			return nil
		})
	})
	group.Go(func() {
		s.follow(ctx, "/v1/releases", func() url.Values { return s.query() }, func(line []byte) error {
			var e api.ReleaseEvent
			if err := json.Unmarshal(line, &e); err != nil {
				return fmt.Errorf("malformed event: %w", err)
			}
			if e.Type != api.Bookmark {
				to.Release(e)
			}
			return nil
		})
	})
	group.Go(func() {
		s.follow(ctx, "/v1/reports", func() url.Values { return s.query() }, func(line []byte) error {
			var e api.Report
			if err := json.Unmarshal(line, &e); err != nil {
				return fmt.Errorf("malformed event: %w", err)
			}
			if e.Type != api.Bookmark {
				to.Report(e)
			}
			return nil
		})
	})
	group.Go(func() {
		s.follow(ctx, "/v1/tallies", func() url.Values { return s.query() }, func(line []byte) error {
			var t api.Tally
			if err := json.Unmarshal(line, &t); err != nil {
				return fmt.Errorf("malformed event: %w", err)
			}
			if t.Type != api.Bookmark {
				to.Tally(t)
			}
			return nil
		})
	})
	group.Wait()
}

// query names the edge, and further pairs.
func (s *apiSource) query(pairs ...string) url.Values {
	q := url.Values{"edge": {s.edge}}
	for i := 0; i+1 < len(pairs); i += 2 {
		q.Set(pairs[i], pairs[i+1])
	}
	return q
}

// follow keeps a watch alive. A server that comes back must not be met by all edges at once: waits are by chance.
func (s *apiSource) follow(ctx context.Context, path string, query func() url.Values, on func([]byte) error) {
	rng := rand.New(rand.NewSource(int64(xxhash.Sum64String(s.edge + path))))
	wait, broken := time.Duration(0), false
	for ctx.Err() == nil {
		err := s.client.Watch(ctx, path, query(), func(line []byte) error {
			if broken {
				s.log.Info("watch resumed", zap.String("path", path))
			}
			wait, broken = 0, false
			return on(line)
		})
		if ctx.Err() != nil {
			return
		}
		if !broken {
			s.log.Warn("watch broken", zap.String("path", path), zap.Error(err))
			broken = true
		}
		wait = min(max(2*wait, 50*time.Millisecond), 2*time.Second)
		t := time.NewTimer(wait/2 + time.Duration(rng.Int63n(int64(wait))))
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// fileSource reads list and release from a file, anew when it changes.
type fileSource struct {
	path             string
	log              *zap.Logger
	refreshRequested chan struct{}
}

func newFileSource(path string, log *zap.Logger) *fileSource {
	return &fileSource{path: path, log: log, refreshRequested: make(chan struct{}, 1)}
}

func (s *fileSource) Refresh() {
	select {
	case s.refreshRequested <- struct{}{}:
	default:
	}
}

// Vote finds nobody who counts: a file moves by hand.
func (s *fileSource) Vote(context.Context, api.Vote) (api.ReleaseEvent, error) {
	return api.ReleaseEvent{}, errors.New("a file takes no votes")
}

// mtimeSettleTime is how old a file's last change must be for its time to tell it from the next one: file systems stamp changes
// coarsely.
const mtimeSettleTime = 2 * time.Second

func (s *fileSource) Run(ctx context.Context, to EventHandler) {
	var seen time.Time // the change that was read when it was old enough
	var last []byte    // what was read then, nil: nothing yet
	away := false      // it could not be read
	revision := uint64(0)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		info, err := os.Stat(s.path)
		if err == nil && !info.ModTime().Equal(seen) {
			// Danger: a read may meet half of what is being written, and the rest may bear the same time.
			if seen = info.ModTime(); time.Since(seen) < mtimeSettleTime {
				seen = time.Time{}
			}
			var text []byte
			if text, err = os.ReadFile(s.path); err == nil && (last == nil || !bytes.Equal(text, last)) {
				last = text
				revision++
				s.publish(to, revision, text)
			}
		}
		if err != nil {
			seen = time.Time{} // Danger: it may be back with the time it had
		}
		if (err != nil) != away {
			if away = err != nil; away {
				s.log.Error("list file cannot be read", zap.Error(err))
			} else {
				s.log.Info("list file is read again")
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-s.refreshRequested:
			seen, last = time.Time{}, nil
		}
	}
}

// publish hands on what a file's text says; one that is refused leaves in force what was told before.
func (s *fileSource) publish(to EventHandler, revision uint64, text []byte) {
	list, err := config.ParseWorkerList(s.path, string(text))
	if err != nil {
		s.log.Error("list file refused", zap.Error(err))
		return
	}
	now := time.Now().UnixNano()
	to.Workers(api.WorkersEvent{Type: api.Whole, Revision: revision, Now: now, Workers: list.Workers})
	to.Release(api.ReleaseEvent{Type: api.Whole, Revision: revision, Now: now, Release: list.Release})
}

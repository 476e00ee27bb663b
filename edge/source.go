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

// EventHandler receives the events of a source, on the source's goroutines.
type EventHandler interface {
	// Workers handles a whole worker list or a change to it.
	Workers(api.WorkersEvent)
	// Release handles the state of the newest release.
	Release(api.ReleaseEvent)
	// Report handles a client's report of a wrong answer.
	Report(api.Report)
	// Tally handles the platform's counts of sampled submissions.
	Tally(api.Tally)
}

// Source delivers worker lists, release states, reports and tallies, and accepts votes.
type Source interface {
	// Run delivers events to the handler until ctx ends. It leaves no goroutine behind.
	Run(ctx context.Context, handler EventHandler)
	// Refresh requests that the whole list be delivered again. It does not block.
	Refresh()
	// Vote casts a vote. Its errors are those of api.Client.Vote.
	Vote(ctx context.Context, v api.Vote) (api.ReleaseEvent, error)
}

// apiSource receives events from watches of an HTTP API. A broken watch is opened again; the watch of the worker list then
// continues at the last revision.
type apiSource struct {
	client *api.Client
	edge   string // name of this edge
	log    *zap.Logger
}

func newAPISource(base, edge string, log *zap.Logger) *apiSource {
	return &apiSource{client: api.NewClient(base), edge: edge, log: log}
}

// Refresh does nothing, as the watches deliver every change anyway.
func (s *apiSource) Refresh() {}

// Vote casts a vote through the HTTP API.
func (s *apiSource) Vote(ctx context.Context, v api.Vote) (api.ReleaseEvent, error) {
	return s.client.Vote(ctx, v)
}

// Run keeps the watches open until ctx ends.
func (s *apiSource) Run(ctx context.Context, handler EventHandler) {
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
			case api.EventBookmark:
				return nil
			case api.EventChange:
				// A change that skips a revision applies to a list that this edge does not have.
				if current := revision; e.Revision != current+1 {
					revision = 0
					return fmt.Errorf("change to revision %d after revision %d: requesting the whole list", e.Revision, current)
				}
			case api.EventSnapshot:
			default: // its effect on the list is unknown
				revision = 0
				return fmt.Errorf("event of type %q, want whole, change or bookmark: requesting the whole list", e.Type)
			}
			revision = e.Revision
			handler.Workers(e)
			return nil
		})
	})
	group.Go(func() {
		s.follow(ctx, "/v1/releases", func() url.Values { return s.query() }, func(line []byte) error {
			var e api.ReleaseEvent
			if err := json.Unmarshal(line, &e); err != nil {
				return fmt.Errorf("malformed event: %w", err)
			}
			if e.Type != api.EventBookmark {
				handler.Release(e)
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
			if e.Type != api.EventBookmark {
				handler.Report(e)
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
			if t.Type != api.EventBookmark {
				handler.Tally(t)
			}
			return nil
		})
	})
	group.Wait()
}

// query returns query parameters with the name of the edge and the given pairs of names and values.
func (s *apiSource) query(pairs ...string) url.Values {
	q := url.Values{"edge": {s.edge}}
	for i := 0; i+1 < len(pairs); i += 2 {
		q.Set(pairs[i], pairs[i+1])
	}
	return q
}

const (
	minWatchBackoff = 50 * time.Millisecond // mean delay before the first retry of a broken watch
	maxWatchBackoff = 2 * time.Second       // upper limit of the mean delay
)

// follow keeps a watch open until ctx ends. Retries back off with jitter, so that edges don't all reconnect to a recovered
// server at the same time.
func (s *apiSource) follow(ctx context.Context, path string, query func() url.Values, handleLine func([]byte) error) {
	rng := rand.New(rand.NewSource(int64(xxhash.Sum64String(s.edge + path))))
	backoff, broken := time.Duration(0), false
	for ctx.Err() == nil {
		err := s.client.Watch(ctx, path, query(), func(line []byte) error {
			if broken {
				s.log.Info("watch resumed", zap.String("path", path))
			}
			backoff, broken = 0, false
			return handleLine(line)
		})
		if ctx.Err() != nil {
			return
		}
		if !broken {
			s.log.Warn("watch broken", zap.String("path", path), zap.Error(err))
			broken = true
		}
		backoff = min(max(2*backoff, minWatchBackoff), maxWatchBackoff)
		t := time.NewTimer(backoff/2 + time.Duration(rng.Int63n(int64(backoff))))
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// fileSource reads the worker list and the release state from a file, and rereads the file when it changes.
type fileSource struct {
	path             string
	log              *zap.Logger
	refreshRequested chan struct{}
}

func newFileSource(path string, log *zap.Logger) *fileSource {
	return &fileSource{path: path, log: log, refreshRequested: make(chan struct{}, 1)}
}

// Refresh requests that the file be read and delivered again even if it has not changed.
func (s *fileSource) Refresh() {
	select {
	case s.refreshRequested <- struct{}{}:
	default:
	}
}

// Vote returns an error, as no platform counts votes: the release state in a file is edited by hand.
func (s *fileSource) Vote(context.Context, api.Vote) (api.ReleaseEvent, error) {
	return api.ReleaseEvent{}, errors.New("a list file accepts no votes")
}

const (
	// filePollInterval is the interval between checks of the file's modification time.
	filePollInterval = time.Second
	// mtimeSettleTime is how old a modification time must be to identify a version of the file. File systems have coarse
	// timestamps, so a more recent time may be shared by the next version.
	mtimeSettleTime = 2 * time.Second
)

// Run delivers the contents of the file until ctx ends.
func (s *fileSource) Run(ctx context.Context, handler EventHandler) {
	var readModTime time.Time // modification time of the version last read; zero when the file must be read again
	var lastText []byte       // text of that version; nil when the next read must be published even if the text is the same
	unreadable := false       // whether the last attempt to read the file failed
	revision := uint64(0)
	tick := time.NewTicker(filePollInterval)
	defer tick.Stop()
	for {
		info, err := os.Stat(s.path)
		if err == nil && !info.ModTime().Equal(readModTime) {
			// A read may return a half-written file, and the complete file may have the same modification time.
			if readModTime = info.ModTime(); time.Since(readModTime) < mtimeSettleTime {
				readModTime = time.Time{}
			}
			var text []byte
			if text, err = os.ReadFile(s.path); err == nil && (lastText == nil || !bytes.Equal(text, lastText)) {
				lastText = text
				revision++
				s.publish(handler, revision, text)
			}
		}
		if err != nil {
			readModTime = time.Time{} // the file may come back with the same modification time but another text
		}
		if (err != nil) != unreadable {
			if unreadable = err != nil; unreadable {
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
			readModTime, lastText = time.Time{}, nil
		}
	}
}

// publish delivers the contents of the file. An invalid file is only logged, so the previous contents stay in force.
func (s *fileSource) publish(handler EventHandler, revision uint64, text []byte) {
	list, err := config.ParseWorkerList(s.path, string(text))
	if err != nil {
		s.log.Error("list file refused", zap.Error(err))
		return
	}
	now := time.Now().UnixNano()
	handler.Workers(api.WorkersEvent{Type: api.EventSnapshot, Revision: revision, Now: now, Workers: list.Workers})
	handler.Release(api.ReleaseEvent{Type: api.EventSnapshot, Revision: revision, Now: now, Release: list.Release})
}

package edge

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"dunegrade/api"
	"dunegrade/logic"

	"go.uber.org/zap"
)

const (
	saveDelay      = 100 * time.Millisecond // time over which changes are collected before the state is written
	saveRetryDelay = time.Second            // delay after a failed write
)

// scheduleSave schedules a save of the state, which the next process restores. Changes in quick succession are written once.
func (p *Process) scheduleSave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.saveTimer == nil && !p.saveClosed && p.cfg.StateDir != "" {
		p.saveTimer = time.AfterFunc(saveDelay, func() { p.saveState(false) }) // does nothing after saveFinal
	}
}

// saveFinal saves the state at the end of the process. Later saves do nothing.
func (p *Process) saveFinal() {
	p.mu.Lock()
	p.saveClosed = true
	if p.saveTimer != nil {
		p.saveTimer.Stop()
	}
	p.mu.Unlock()
	p.saveState(true)
}

// savedState is the content of the state file: the last worker list and release state.
type savedState struct {
	Version int          `json:"version"`
	Saved   int64        `json:"saved"`           // time of the save by the local clock, in Unix nanoseconds
	Clock   int64        `json:"clock,omitempty"` // platform's clock at that time, to which the workers' start times refer
	Workers []api.Worker `json:"workers"`
	Release api.Release  `json:"release"`
}

// validate returns an error if the state has another version or an invalid worker list or release.
func (s *savedState) validate() error {
	if s.Version != 1 {
		return fmt.Errorf("version %d, want 1", s.Version)
	}
	seen := map[string]bool{}
	for i := range s.Workers {
		w := &s.Workers[i]
		if err := w.Validate(); err != nil {
			return fmt.Errorf("entry %d: %w", i+1, err)
		}
		if seen[w.ID] {
			return fmt.Errorf("entry %d: duplicate worker id %q", i+1, w.ID)
		}
		seen[w.ID] = true
	}
	if s.Release == (api.Release{}) { // no release was known
		return nil
	}
	return s.Release.Validate()
}

// statePath returns the path of the state file.
func (p *Process) statePath() string { return filepath.Join(p.cfg.StateDir, p.cfg.Name+".list.json") }

// saveState writes the state to the state file. final is true for the save at the end of the process.
func (p *Process) saveState(final bool) {
	p.saveMu.Lock() // concurrent writers would leave a mixture of two versions in the file
	defer p.saveMu.Unlock()
	p.mu.Lock()
	if p.saveTimer = nil; p.saveClosed && !final {
		p.mu.Unlock()
		return
	}
	now := time.Now().UnixNano()
	state := savedState{Version: 1, Saved: now, Clock: now + p.clockOffset, Release: p.release}
	for _, w := range p.workers {
		state.Workers = append(state.Workers, w)
	}
	p.mu.Unlock()
	if p.cfg.StateDir == "" || len(state.Workers) == 0 {
		return
	}
	slices.SortFunc(state.Workers, func(a, b api.Worker) int { return cmp.Compare(a.ID, b.ID) })
	data, err := json.Marshal(state)
	if err == nil {
		err = replaceFile(p.statePath(), data)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	failed := err != nil
	if failed && !p.saveClosed && p.saveTimer == nil { // otherwise the state would stay unsaved until its next change
		p.saveTimer = time.AfterFunc(saveRetryDelay, func() { p.saveState(false) })
	}
	if failed == p.saveFailed {
		return
	}
	if p.saveFailed = failed; failed {
		p.log.Warn("the last list could not be kept", zap.Error(err))
	} else {
		p.log.Info("the last list is kept again", zap.Int("workers", len(state.Workers)))
	}
}

// replaceFile writes data to a temporary file and renames it to path, so that a crash leaves either the old file or the new
// one. The temporary file is synced first; otherwise the file could be empty after a power failure.
func replaceFile(path string, data []byte) error {
	f, err := os.Create(path + ".new")
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	return err
}

// restoreState reads the saved state and returns it as a list event and a release update, or nil if there is none. The event's
// time is the saved platform time plus the age of the state. An invalid file is logged and ignored.
func (p *Process) restoreState() (list *api.WorkersEvent, update *logic.ReleaseUpdate) {
	if p.cfg.StateDir == "" {
		return nil, nil
	}
	if err := os.MkdirAll(p.cfg.StateDir, 0o755); err != nil {
		p.log.Warn("state directory cannot be created", zap.Error(err))
		return nil, nil
	}
	data, err := os.ReadFile(p.statePath())
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	var state savedState
	if err == nil {
		err = json.Unmarshal(data, &state)
	}
	if err == nil {
		err = state.validate()
	}
	if err != nil {
		p.log.Warn("the kept list is refused", zap.String("file", p.statePath()), zap.Error(err))
		return nil, nil
	}
	now := time.Now().UnixNano()
	age := max(0, now-state.Saved)
	list = &api.WorkersEvent{Type: api.EventSnapshot, Now: now, Workers: state.Workers}
	if state.Clock != 0 {
		list.Now = state.Clock + age
	}
	p.clockOffset = list.Now - now
	for _, w := range state.Workers {
		p.workers[w.ID] = w
	}
	p.log.Info("last list restored", zap.Int("workers", len(state.Workers)), zap.Duration("age", time.Duration(age)))
	// A released build stays released until the platform reports otherwise. A build on trial may have lost its cap in the
	// meantime, so it gets no txns until then.
	if state.Release != (api.Release{}) {
		p.release = state.Release
		release := toReleaseUpdate(api.ReleaseEvent{Release: state.Release}, false)
		if release.Phase != logic.Released {
			release.Cap = 0
		}
		update = &release
	}
	return list, update
}

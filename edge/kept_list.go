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

// scheduleSave writes what is to outlive a restart; a storm of changes is written once.
func (p *Process) scheduleSave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.saveTimer == nil && !p.saveClosed && p.cfg.StateDir != "" {
		p.saveTimer = time.AfterFunc(100*time.Millisecond, func() { p.saveState(false) }) // of no effect after lastSave
	}
}

// saveFinal writes what is kept at the end of the process, and lets nothing be written after.
func (p *Process) saveFinal() {
	p.mu.Lock()
	p.saveClosed = true
	if p.saveTimer != nil {
		p.saveTimer.Stop()
	}
	p.mu.Unlock()
	p.saveState(true)
}

// savedState is the file of the last list.
type savedState struct {
	Version int          `json:"version"`
	Saved   int64        `json:"saved"`           // by this host's clock
	Clock   int64        `json:"clock,omitempty"` // the platform's at that moment: starts are told by it
	Workers []api.Worker `json:"workers"`
	Release api.Release  `json:"release"`
}

// validate gives what no list can hold.
func (k *savedState) validate() error {
	if k.Version != 1 {
		return fmt.Errorf("version: found %d, wanted 1", k.Version)
	}
	seen := map[string]bool{}
	for i := range k.Workers {
		w := &k.Workers[i]
		if err := w.Validate(); err != nil {
			return fmt.Errorf("entry %d: %w", i+1, err)
		}
		if seen[w.ID] {
			return fmt.Errorf("entry %d: found a second worker %q, wanted ids that differ", i+1, w.ID)
		}
		seen[w.ID] = true
	}
	if k.Release == (api.Release{}) { // none had been told
		return nil
	}
	return k.Release.Validate()
}

func (p *Process) statePath() string { return filepath.Join(p.cfg.StateDir, p.cfg.Name+".list.json") }

// saveState writes the last list beside its place and moves it there, so that a crash leaves the old one or the new.
func (p *Process) saveState(last bool) {
	p.saveMu.Lock() // Danger: two writers of one file would leave a mixture of both
	defer p.saveMu.Unlock()
	p.mu.Lock()
	if p.saveTimer = nil; p.saveClosed && !last {
		p.mu.Unlock()
		return
	}
	now := time.Now().UnixNano()
	k := savedState{Version: 1, Saved: now, Clock: now + p.clockOffset, Release: p.release}
	for _, w := range p.workers {
		k.Workers = append(k.Workers, w)
	}
	p.mu.Unlock()
	if p.cfg.StateDir == "" || len(k.Workers) == 0 {
		return
	}
	slices.SortFunc(k.Workers, func(a, b api.Worker) int { return cmp.Compare(a.ID, b.ID) })
	data, err := json.Marshal(k)
	if err == nil {
		err = replaceFile(p.statePath(), data)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	failed := err != nil
	if failed && !p.saveClosed && p.saveTimer == nil { // Danger: else the next start would not know of it until something else changes
		p.saveTimer = time.AfterFunc(time.Second, func() { p.saveState(false) })
	}
	if failed == p.saveFailed {
		return
	}
	if p.saveFailed = failed; failed {
		p.log.Warn("the last list could not be kept", zap.Error(err))
	} else {
		p.log.Info("the last list is kept again", zap.Int("workers", len(k.Workers)))
	}
}

// replaceFile puts data in a file's place. Danger: what is moved before it is on the disk is empty after a power cut.
func replaceFile(path string, data []byte) error {
	f, err := os.Create(path + ".new")
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err == nil {
		err = os.Rename(path+".new", path)
	}
	return err
}

// restoreState reads the last list, as an event with the platform's clock as it should be by now. One that is malformed is
// named and not used.
func (p *Process) restoreState() (list *api.WorkersEvent, news *logic.ReleaseUpdate) {
	if p.cfg.StateDir == "" {
		return nil, nil
	}
	if err := os.MkdirAll(p.cfg.StateDir, 0o755); err != nil {
		p.log.Warn("no folder for state", zap.Error(err))
		return nil, nil
	}
	data, err := os.ReadFile(p.statePath())
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	var k savedState
	if err == nil {
		err = json.Unmarshal(data, &k)
	}
	if err == nil {
		err = k.validate()
	}
	if err != nil {
		p.log.Warn("the kept list is refused", zap.String("file", p.statePath()), zap.Error(err))
		return nil, nil
	}
	now := time.Now().UnixNano()
	age := max(0, now-k.Saved)
	list = &api.WorkersEvent{Type: api.Whole, Now: now, Workers: k.Workers}
	if k.Clock != 0 {
		list.Now = k.Clock + age
	}
	p.clockOffset = list.Now - now
	for _, w := range k.Workers {
		p.workers[w.ID] = w
	}
	p.log.Info("last list restored", zap.Int("workers", len(k.Workers)), zap.Duration("age", time.Duration(age)))
	// What was released stays so till the platform says otherwise. A build on trial may have lost its cap meanwhile,
	// so it gets nothing until then.
	if k.Release != (api.Release{}) {
		p.release = k.Release
		n := toReleaseUpdate(api.ReleaseEvent{Release: k.Release}, false)
		if n.Phase != logic.Released {
			n.Cap = 0
		}
		news = &n
	}
	return list, news
}

package lab

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dunegrade/api"
)

// socketFaults are faults of an edge's process and of its inputs and files other than txns. Each is injected in every state
// of a release.
var socketFaults = []struct {
	name         string
	inject       func(r *run, state string) bool // reports whether the fault took place
	logText      string                          // text that the log of some edge must contain
	stopsEdge    bool                            // whether the fault itself stops an edge
	usesListFile bool                            // whether the edges read workers and release from a list file
}{
	{"malformed release updates and worker lists", func(r *run, state string) bool {
		return r.corruptLines(func(w http.ResponseWriter, line any, done func()) {
			switch e := line.(type) {
			case api.ReleaseEvent:
				bad := e
				bad.Release.Cap = 40
				writeLine(w, bad)
				done()
			case api.WorkersEvent:
				bad := e
				bad.Workers = append([]api.Worker(nil), e.Workers...)
				for i := range bad.Workers {
					bad.Workers[i].Address, bad.Workers[i].Build = "nowhere", 70000
				}
				if e.Type == api.EventSnapshot { // the valid event of the same revision follows
					writeLine(w, bad)
				}
			}
		})
	}, "not heeded", false, false},
	{"watches cut in the middle of a line", func(r *run, state string) bool {
		var once sync.Once
		return r.corruptLines(func(w http.ResponseWriter, line any, done func()) {
			if _, ok := line.(api.ReleaseEvent); ok {
				once.Do(func() {
					fmt.Fprint(w, `{"type":"whole","revision":99,"release":{"build":2,"phase":"released","cap":1`)
					w.(http.Flusher).Flush()
					done()
					panic(http.ErrAbortHandler)
				})
			}
		})
	}, "watch broken", false, false},
	{"edge killed, its saved worker list truncated", func(r *run, state string) bool {
		p := r.edges[1]
		path := filepath.Join(r.Out, "state", "edge-1.list.json")
		text, err := os.ReadFile(path)
		for err != nil && r.sleepUntil(r.now()+10*ms) { // the edge saves its first list shortly after it receives it
			text, err = os.ReadFile(path)
		}
		if err != nil || r.stopEdge(p, syscall.SIGKILL) != nil {
			return false
		}
		err = os.WriteFile(path, text[:len(text)/2], 0o644)
		return r.restartEdge(p) && err == nil
	}, "the kept list is refused", true, false},
	{"edge killed, its saved worker list intact", func(r *run, state string) bool {
		return r.stopEdge(r.edges[1], syscall.SIGKILL) == nil && r.restartEdge(r.edges[1])
	}, "last list restored", true, false},
	{"edge restarted by SIGTERM", func(r *run, state string) bool {
		return r.stopEdge(r.edges[1], syscall.SIGTERM) == nil && r.restartEdge(r.edges[1])
	}, "stopped", true, false},
	{"settings truncated, invalid, then valid and changed", func(r *run, state string) bool {
		p := r.edges[1]
		text, err := os.ReadFile(p.settingsPath)
		if err != nil || r.stopEdge(p, syscall.SIGTERM) != nil {
			return false
		}
		refused := true
		for _, invalid := range []string{string(text[:len(text)*2/3]), strings.Replace(string(text), "(window ", "(window x", 1)} {
			os.WriteFile(p.settingsPath, []byte(invalid), 0o644)
			output, err := r.EdgeCommand(p.settingsPath).CombinedOutput()
			var exit *exec.ExitError
			refused = refused && errors.As(err, &exit) && exit.ExitCode() == 2 && strings.Contains(string(output), "edge-1.sexp:")
		}
		changed := strings.Replace(string(text), "(free 3)", "(free 2)", 1)
		if changed == string(text) {
			changed = strings.Replace(changed, "(free 2)", "(free 3)", 1)
		}
		os.WriteFile(p.settingsPath, []byte(changed), 0o644)
		return r.restartEdge(p) && refused && changed != string(text)
	}, "serving", true, false},
	{"worker list cannot be saved", func(r *run, state string) bool {
		path := filepath.Join(r.Out, "state", "edge-1.list.json.new")
		failures := func() int {
			log, err := os.ReadFile(filepath.Join(r.Out, "edge-1.log"))
			if err != nil {
				return 0
			}
			return strings.Count(string(log), "could not be kept")
		}
		before := failures()
		err := os.Mkdir(path, 0o755)
		for errors.Is(err, fs.ErrExist) && r.sleepUntil(r.now()+ms) { // the edge is writing the file at this moment
			err = os.Mkdir(path, 0o755)
		}
		if err != nil {
			r.platform.logEvent("%v", err)
			return false
		}
		r.platform.mu.Lock()
		// A repeated line makes the edge save its list even if nothing else changes in this state.
		for _, s := range r.platform.replicas {
			if w := cmp.Or(s.oldWorker, s.newWorker); w != nil {
				r.platform.addWorkerChange(0, w, api.WorkerUp)
				break
			}
		}
		r.platform.mu.Unlock()
		for failures() == before && r.sleepUntil(r.now()+10*ms) {
		}
		savedAt := func() (modTime time.Time) { // zero if no list is saved yet
			if info, err := os.Stat(strings.TrimSuffix(path, ".new")); err == nil {
				modTime = info.ModTime()
			}
			return modTime
		}
		previous, failed := savedAt(), failures() > before
		if os.Remove(path) != nil {
			return false
		}
		for savedAt().Equal(previous) { // the edge must save the list without a further change
			if !r.sleepUntil(r.now() + 10*ms) {
				return false
			}
		}
		return failed
	}, "could not be kept", false, false},
	{"trace directory replaced by a file", func(r *run, state string) bool {
		path := filepath.Join(r.Out, "state", "trace")
		err := os.Rename(path, path+".away")
		if errors.Is(err, os.ErrNotExist) { // nothing has been written yet
			err = nil
		}
		for try := 0; err == nil && try < 100; try++ { // a recorder may recreate the directory at any time
			os.RemoveAll(path)
			if os.WriteFile(path, nil, 0o644) == nil {
				break
			}
		}
		r.sleepUntil(r.now() + 400*ms)
		os.RemoveAll(path) // a recorder recreates the directory
		os.RemoveAll(path + ".away")
		if err != nil {
			r.platform.logEvent("%v", err)
		}
		return err == nil
	}, "", false, false},
	{"list file cut between forms, then invalid", func(r *run, state string) bool {
		r.listFileMu.Lock() // keeps writeListLoop from overwriting the file
		defer r.listFileMu.Unlock()
		path := filepath.Join(r.Out, "list.sexp")
		text, err := os.ReadFile(path)
		truncated := string(text[:strings.LastIndex(string(text), "(worker")])
		for _, content := range []string{truncated, strings.Replace(string(text), "(build ", "(build x", 1)} {
			if err == nil {
				err = os.WriteFile(path, []byte(content), 0o644)
			}
			r.sleepUntil(r.now() + 1200*ms) // an edge reads the file once a second
		}
		return err == nil && strings.Contains(truncated, "(worker")
	}, "list file refused", false, true},
	{"answers that are not HTTP", func(r *run, state string) bool {
		ws := r.workersAt([]int{0, 4})
		set := func(share float64) {
			r.fleet.mu.Lock()
			for _, w := range ws {
				w.garbageRate = share
			}
			r.fleet.mu.Unlock()
		}
		set(0.5)
		r.sleepUntil(r.now() + 400*ms)
		set(0)
		return len(ws) > 0
	}, "", false, false},
}

// apiSource matches the (source ...) form in an edge's settings.
var apiSource = regexp.MustCompile(`\(source \(api "[^"]*"\)\)`)

// writeListLoop writes the list file ten times a second.
func (r *run) writeListLoop() {
	p := r.platform
	for r.sleepUntil(r.now() + 100*ms) {
		r.writeListFile(p)
	}
}

// writeListFile writes the workers and the release that the platform would announce to the list file, as an operator would,
// and records them as sent to all edges.
func (r *run) writeListFile(p *platform) {
	r.listFileMu.Lock()
	defer r.listFileMu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	last := map[string]api.Worker{}
	var ids []string
	for _, change := range p.workerChanges {
		if change.at > now {
			break
		}
		if _, known := last[change.worker.ID]; !known {
			ids = append(ids, change.worker.ID)
		}
		last[change.worker.ID] = change.worker
	}
	event := p.currentRelease()
	var text strings.Builder
	for i := range p.day.Sentries {
		p.rec.addUpdate(EdgeUpdate{Edge: i, At: now, FullList: true})
	}
	for _, id := range ids {
		w := last[id]
		if w.State == api.WorkerGone {
			continue
		}
		started := ""
		if w.StartedAt > 0 {
			started = fmt.Sprintf(" (started %s)", r.startTime.Add(runTime(r.dayOffset.Load())+runTime(w.StartedAt)).UTC().Format(time.RFC3339Nano))
		}
		fmt.Fprintf(&text, "(worker %s (address %q) (zone lab) (kind std) (state %s) (build %d)%s)\n", id, w.Address, w.State, w.Build, started)
		for i := range p.day.Sentries {
			p.rec.addUpdate(EdgeUpdate{Edge: i, At: now, Worker: id, State: w.State, WorkerStartedAt: runTime(w.StartedAt), Build: w.Build})
		}
	}
	fmt.Fprintf(&text, "(release (build %d) (stage %d) (phase %s) (cap %g))\n", event.Release.Build, event.Release.Stage, event.Release.Phase, event.Release.Cap)
	for i := range p.day.Sentries {
		p.recordReleaseUpdate(i, event)
	}
	path := filepath.Join(r.Out, "list.sexp")
	if os.WriteFile(path+".new", []byte(text.String()), 0o644) == nil {
		os.Rename(path+".new", path)
	}
}

// restartEdge starts a stopped edge and waits until it is ready, since an edge that is stopped earlier would not drain. It
// reports whether the edge became ready.
func (r *run) restartEdge(p *edgeProcess) bool {
	return r.startEdge(p) == nil && r.awaitReady(context.Background(), p, 20*time.Second) == nil
}

// writeLine writes a line of a watch.
func writeLine(w http.ResponseWriter, line any) { json.NewEncoder(w).Encode(line) }

// corruptLines makes the platform call corrupt before it writes a line of a watch, for at least 400 ms and until corrupt has
// called done. It reports whether done was called before the end of the day.
func (r *run) corruptLines(corrupt func(w http.ResponseWriter, line any, done func())) bool {
	var done atomic.Bool // watches are written concurrently
	setCorruptLine := func(hook func(http.ResponseWriter, any)) {
		r.platform.mu.Lock()
		r.platform.corruptLine = hook
		r.platform.mu.Unlock()
	}
	setCorruptLine(func(w http.ResponseWriter, line any) { corrupt(w, line, func() { done.Store(true) }) })
	r.sleepUntil(r.now() + 400*ms)
	for !done.Load() && r.sleepUntil(r.now()+10*ms) {
	}
	setCorruptLine(nil)
	return done.Load()
}

// TestFaultsAgainstStagesOnSockets guards against faults of an edge's inputs, files or process that lead to a violation only
// in some state of a release. For each fault it runs a day with a good build and one with a bad build, injects the fault in
// every state, and checks the rules by the recorded socket traffic.
func TestFaultsAgainstStagesOnSockets(t *testing.T) {
	if testing.Short() {
		t.Skip("runs days of several seconds")
	}
	for _, fault := range socketFaults {
		for _, c := range []struct {
			build, length, script string
			states                []string
		}{
			{"good", "16s", "(offer (at 900ms) (flaw good))", []string{"no trial", "first stage", "stage change", "last stage", "after release"}},
			{"bad", "16s", "(offer (at 300ms) (flaw errors) (strength 0.7)) (offer (at 5s) (flaw good))",
				[]string{"first stage", "going back", "withdrawn", "next build after one withdrawn"}},
		} {
			t.Run(fault.name+", "+c.build+" build", func(t *testing.T) {
				t.Parallel()
				text := strings.Replace(fmt.Sprintf(shortDay, fault.name, c.length, c.script), "(window", "(push 300ms) (window", 1)
				dir := t.TempDir()
				fileSource := ""
				if fault.usesListFile { // a list file takes no votes, and edges read it once a second
					text = strings.NewReplacer("(bake", "(votes clocked) (stage-time 700ms) (grace 1500ms) (bake", `(length 16s)`, `(length 25s)`).Replace(text)
					fileSource = fmt.Sprintf("(source (file %q))", filepath.Join(dir, "list.sexp"))
				}
				day, err := ParseDay("short.sexp", text)
				if err != nil {
					t.Fatal(err)
				}
				injected := map[string]bool{} // no lock: states follow one another
				r := &Runner{Day: day, Out: dir, EdgeCommand: func(settings string) *exec.Cmd {
					if data, err := os.ReadFile(settings); fault.usesListFile && err == nil {
						os.WriteFile(settings, apiSource.ReplaceAll(data, []byte(fileSource)), 0o644)
					}
					cmd := exec.Command(os.Args[0], settings)
					cmd.Env = append(os.Environ(), "LAB_EDGE=1")
					return cmd
				}}
				if fault.usesListFile {
					r.beforeEdges = func(r *run) {
						r.writeListFile(r.platform)
						r.group.Go(r.writeListLoop)
					}
				}
				r.stateHook = func(r *run, state string) {
					if !r.sleepUntil(r.now() + 100*ms) { // gives the state time to take effect
						return
					}
					var group sync.WaitGroup
					drained := false
					if state == "stage change" && !fault.stopsEdge { // an edge drains and restarts during the fault
						group.Go(func() {
							drained = r.stopEdge(r.edges[1], syscall.SIGTERM) == nil && r.restartEdge(r.edges[1])
						})
					}
					tookPlace := fault.inject(r, state)
					group.Wait()
					r.platform.mu.Lock()
					sameState := r.platform.state() == state
					r.platform.mu.Unlock()
					injected[state] = injected[state] || tookPlace && sameState
					injected["drain of the edge"] = injected["drain of the edge"] || tookPlace && sameState && drained
				}
				rec, err := r.Run(context.Background())
				if err != nil {
					t.Fatal(err)
				}
				states := c.states
				if !fault.stopsEdge && c.build == "good" {
					states = append([]string{"drain of the edge"}, states...)
				}
				for _, s := range states {
					if !injected[s] {
						t.Errorf("fault not injected in state %q, only in %v\n%s", s, injected, strings.Join(rec.Events, "\n"))
					}
				}
				for _, v := range Check(day, rec) {
					t.Errorf("%v", v)
				}
				logs := ""
				for i := 0; i < day.Sentries; i++ {
					log, err := os.ReadFile(filepath.Join(dir, fmt.Sprintf("edge-%d.log", i)))
					if err != nil || strings.Contains(string(log), "panic") || strings.Contains(string(log), "voided by the host") {
						t.Errorf("unreadable log, panic or txn voided by the host at edge %d; error %v, log:\n%s", i, err, log)
					}
					logs += string(log)
				}
				if !strings.Contains(logs, fault.logText) {
					t.Errorf("no edge logged %q", fault.logText)
				}
				if f := ComputeFigures(day, rec, "dunegrade", nil); f.Revenue < 0.3 || f.Txns < 100 {
					t.Errorf("revenue %.2f of %d txns; want at least 0.3 of at least 100", f.Revenue, f.Txns)
				}
			})
		}
	}
}

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

// socketFaults are troubles of what an edge reads and writes besides txns. Each strikes in every state that a release
// goes through; does tells whether it happened.
var socketFaults = []struct {
	name string
	does func(r *run, state string) bool
	logs string // what an edge must have said of it
	ends bool   // it stops an edge by itself
	file bool   // the edges read list and news from a file
}{
	{"news and lines malformed", func(r *run, state string) bool {
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
				if e.Type == api.Whole { // the sound one follows, of the same revision
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
	{"killed, its kept list half written", func(r *run, state string) bool {
		p := r.edges[1]
		path := filepath.Join(r.Out, "state", "edge-1.list.json")
		text, err := os.ReadFile(path)
		for err != nil && r.sleepUntil(r.now()+10*ms) { // it is first kept a moment after it is first told
			text, err = os.ReadFile(path)
		}
		if err != nil || r.stopEdge(p, syscall.SIGKILL) != nil {
			return false
		}
		err = os.WriteFile(path, text[:len(text)/2], 0o644)
		return r.restartEdge(p) && err == nil
	}, "the kept list is refused", true, false},
	{"killed, its kept list whole", func(r *run, state string) bool {
		return r.stopEdge(r.edges[1], syscall.SIGKILL) == nil && r.restartEdge(r.edges[1])
	}, "last list restored", true, false},
	{"rolled", func(r *run, state string) bool {
		return r.stopEdge(r.edges[1], syscall.SIGTERM) == nil && r.restartEdge(r.edges[1])
	}, "stopped", true, false},
	{"settings half written, wrong, then whole and changed", func(r *run, state string) bool {
		p := r.edges[1]
		text, err := os.ReadFile(p.settingsPath)
		if err != nil || r.stopEdge(p, syscall.SIGTERM) != nil {
			return false
		}
		refused := true
		for _, wrong := range []string{string(text[:len(text)*2/3]), strings.Replace(string(text), "(window ", "(window x", 1)} {
			os.WriteFile(p.settingsPath, []byte(wrong), 0o644)
			said, err := r.Edge(p.settingsPath).CombinedOutput()
			var exit *exec.ExitError
			refused = refused && errors.As(err, &exit) && exit.ExitCode() == 2 && strings.Contains(string(said), "edge-1.sexp:")
		}
		changed := strings.Replace(string(text), "(free 3)", "(free 2)", 1)
		if changed == string(text) {
			changed = strings.Replace(changed, "(free 2)", "(free 3)", 1)
		}
		os.WriteFile(p.settingsPath, []byte(changed), 0o644)
		return r.restartEdge(p) && refused && changed != string(text)
	}, "serving", true, false},
	{"the folder of state takes nothing", func(r *run, state string) bool {
		path := filepath.Join(r.Out, "state", "edge-1.list.json.new")
		said := func() int {
			log, err := os.ReadFile(filepath.Join(r.Out, "edge-1.log"))
			if err != nil {
				return 0
			}
			return strings.Count(string(log), "could not be kept")
		}
		before := said()
		err := os.Mkdir(path, 0o755)
		for errors.Is(err, fs.ErrExist) && r.sleepUntil(r.now()+ms) { // the edge is writing there just now
			err = os.Mkdir(path, 0o755)
		}
		if err != nil {
			r.platform.logEvent("%v", err)
			return false
		}
		r.platform.mu.Lock()
		for _, s := range r.platform.replicas { // a line that is told again is kept again, in a state without others too
			if w := cmp.Or(s.oldWorker, s.newWorker); w != nil {
				r.platform.addWorkerChange(0, w, api.Up)
				break
			}
		}
		r.platform.mu.Unlock()
		for said() == before && r.sleepUntil(r.now()+10*ms) {
		}
		kept := func() (at time.Time) { // zero: nothing yet
			if info, err := os.Stat(strings.TrimSuffix(path, ".new")); err == nil {
				at = info.ModTime()
			}
			return at
		}
		old, hit := kept(), said() > before
		if os.Remove(path) != nil {
			return false
		}
		for kept().Equal(old) { // what could not be kept is kept now, by itself
			if !r.sleepUntil(r.now() + 10*ms) {
				return false
			}
		}
		return hit
	}, "could not be kept", false, false},
	{"the folder of traces is away", func(r *run, state string) bool {
		path := filepath.Join(r.Out, "state", "trace")
		err := os.Rename(path, path+".away")
		if errors.Is(err, os.ErrNotExist) { // nothing was written yet
			err = nil
		}
		for try := 0; err == nil && try < 100; try++ { // a recorder makes it anew at once
			os.RemoveAll(path)
			if os.WriteFile(path, nil, 0o644) == nil {
				break
			}
		}
		r.sleepUntil(r.now() + 400*ms)
		os.RemoveAll(path) // a recorder makes it anew
		os.RemoveAll(path + ".away")
		if err != nil {
			r.platform.logEvent("%v", err)
		}
		return err == nil
	}, "", false, false},
	{"list file cut between forms, then wrong", func(r *run, state string) bool {
		r.listFileMu.Lock() // it writes nothing else meanwhile
		defer r.listFileMu.Unlock()
		path := filepath.Join(r.Out, "list.sexp")
		text, err := os.ReadFile(path)
		half := string(text[:strings.LastIndex(string(text), "(worker")])
		for _, bad := range []string{half, strings.Replace(string(text), "(build ", "(build x", 1)} {
			if err == nil {
				err = os.WriteFile(path, []byte(bad), 0o644)
			}
			r.sleepUntil(r.now() + 1200*ms) // an edge looks once a second
		}
		return err == nil && strings.Contains(half, "(worker")
	}, "list file refused", false, true},
	{"answers that are no HTTP", func(r *run, state string) bool {
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

var apiSource = regexp.MustCompile(`\(source \(api "[^"]*"\)\)`)

// writeListLoop writes list and news to a file for all edges as a hand does that knows what the platform would tell, some
// times a second, and notes it as told.
func (r *run) writeListLoop() {
	p := r.platform
	for r.sleepUntil(r.now() + 100*ms) {
		r.writeListFile(p)
	}
}

func (r *run) writeListFile(p *platform) {
	r.listFileMu.Lock()
	defer r.listFileMu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	last := map[string]api.Worker{}
	var ids []string
	for _, c := range p.workerChanges {
		if c.at > now {
			break
		}
		if _, known := last[c.worker.ID]; !known {
			ids = append(ids, c.worker.ID)
		}
		last[c.worker.ID] = c.worker
	}
	e := p.currentRelease()
	var text strings.Builder
	for i := range p.day.Sentries {
		p.rec.addUpdate(EdgeUpdate{Edge: i, At: now, FullList: true})
	}
	for _, id := range ids {
		w := last[id]
		if w.State == api.Gone {
			continue
		}
		started := ""
		if w.StartedAt > 0 {
			started = fmt.Sprintf(" (started %s)", r.startTime.Add(runTime(r.dayOffset.Load())+runTime(w.StartedAt)).UTC().Format(time.RFC3339Nano))
		}
		fmt.Fprintf(&text, "(worker %s (address %q) (zone lab) (kind std) (state %s) (build %d)%s)\n", id, w.Address, w.State, w.Build, started)
		for i := range p.day.Sentries {
			p.rec.addUpdate(EdgeUpdate{Edge: i, At: now, Worker: id, State: w.State, Started: runTime(w.StartedAt), Build: w.Build})
		}
	}
	fmt.Fprintf(&text, "(release (build %d) (stage %d) (phase %s) (cap %g))\n", e.Release.Build, e.Release.Stage, e.Release.Phase, e.Release.Cap)
	for i := range p.day.Sentries {
		p.recordReleaseUpdate(i, e)
	}
	path := filepath.Join(r.Out, "list.sexp")
	if os.WriteFile(path+".new", []byte(text.String()), 0o644) == nil {
		os.Rename(path+".new", path)
	}
}

// restartEdge starts an edge, and tells whether it serves before long. An edge that is stopped before would not drain.
func (r *run) restartEdge(p *edgeProcess) bool {
	return r.startEdge(p) == nil && r.awaitReady(context.Background(), p, 20*time.Second) == nil
}

func writeLine(w http.ResponseWriter, line any) { json.NewEncoder(w).Encode(line) }

// corruptLines lets something happen to the lines of watches for a while, and till it is done; false: it was not.
func (r *run) corruptLines(how func(w http.ResponseWriter, line any, done func())) bool {
	var done atomic.Bool // watches are written beside us
	set := func(how func(http.ResponseWriter, any)) {
		r.platform.mu.Lock()
		r.platform.corruptLine = how
		r.platform.mu.Unlock()
	}
	set(func(w http.ResponseWriter, line any) { how(w, line, func() { done.Store(true) }) })
	r.sleepUntil(r.now() + 400*ms)
	for !done.Load() && r.sleepUntil(r.now()+10*ms) {
	}
	set(nil)
	return done.Load()
}

// TestFaultsAgainstStagesOnSockets plays two days for each trouble, one with a good build and one with a bad one, and has
// it strike in every state. The rules are held against the sockets.
func TestFaultsAgainstStagesOnSockets(t *testing.T) {
	if testing.Short() {
		t.Skip("plays days for seconds each")
	}
	for _, row := range socketFaults {
		for _, c := range []struct {
			build, length, script string
			states                []string
		}{
			{"good", "16s", "(offer (at 900ms) (flaw good))", []string{"no trial", "first stage", "stage change", "last stage", "after release"}},
			{"bad", "16s", "(offer (at 300ms) (flaw errors) (strength 0.7)) (offer (at 5s) (flaw good))",
				[]string{"first stage", "going back", "withdrawn", "next build after one withdrawn"}},
		} {
			t.Run(row.name+", "+c.build+" build", func(t *testing.T) {
				t.Parallel()
				text := strings.Replace(fmt.Sprintf(shortDay, row.name, c.length, c.script), "(window", "(push 300ms) (window", 1)
				dir := t.TempDir()
				source := ""
				if row.file { // nobody takes votes there, and it is read once a second
					text = strings.NewReplacer("(bake", "(votes clocked) (stage-time 700ms) (grace 1500ms) (bake", `(length 16s)`, `(length 25s)`).Replace(text)
					source = fmt.Sprintf("(source (file %q))", filepath.Join(dir, "list.sexp"))
				}
				day, err := ParseDay("short.sexp", text)
				if err != nil {
					t.Fatal(err)
				}
				struck := map[string]bool{} // one state is played after another
				r := &Runner{Day: day, Out: dir, Edge: func(settings string) *exec.Cmd {
					if data, err := os.ReadFile(settings); row.file && err == nil {
						os.WriteFile(settings, apiSource.ReplaceAll(data, []byte(source)), 0o644)
					}
					cmd := exec.Command(os.Args[0], settings)
					cmd.Env = append(os.Environ(), "LAB_EDGE=1")
					return cmd
				}}
				if row.file {
					r.beforeEdges = func(r *run) {
						r.writeListFile(r.platform)
						r.group.Go(r.writeListLoop)
					}
				}
				r.stateHook = func(r *run, state string) {
					if !r.sleepUntil(r.now() + 100*ms) { // the state is under way
						return
					}
					var beside sync.WaitGroup
					drained := false
					if state == "stage change" && !row.ends { // an edge drains and starts anew meanwhile
						beside.Go(func() {
							drained = r.stopEdge(r.edges[1], syscall.SIGTERM) == nil && r.restartEdge(r.edges[1])
						})
					}
					did := row.does(r, state)
					beside.Wait()
					r.platform.mu.Lock()
					still := r.platform.state() == state
					r.platform.mu.Unlock()
					struck[state] = struck[state] || did && still
					struck["drain of the edge"] = struck["drain of the edge"] || did && still && drained
				}
				rec, err := r.Run(context.Background())
				if err != nil {
					t.Fatal(err)
				}
				states := c.states
				if !row.ends && c.build == "good" {
					states = append([]string{"drain of the edge"}, states...)
				}
				for _, s := range states {
					if !struck[s] {
						t.Errorf("it did not strike in the state %q, only in %v\n%s", s, struck, strings.Join(rec.Marks, "\n"))
					}
				}
				for _, v := range Check(day, rec) {
					t.Errorf("%v", v)
				}
				said := ""
				for i := 0; i < day.Sentries; i++ {
					log, err := os.ReadFile(filepath.Join(dir, fmt.Sprintf("edge-%d.log", i)))
					if err != nil || strings.Contains(string(log), "panic") || strings.Contains(string(log), "voided by the host") {
						t.Errorf("the log of edge %d: %v\n%s", i, err, log)
					}
					said += string(log)
				}
				if !strings.Contains(said, row.logs) {
					t.Errorf("no edge said %q", row.logs)
				}
				if f := Sum(day, rec, "dunegrade", nil); f.Revenue < 0.3 || f.Txns < 100 {
					t.Errorf("revenue %.2f of %d txns", f.Revenue, f.Txns)
				}
			})
		}
	}
}

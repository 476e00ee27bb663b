package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"dunegrade/api"
	"dunegrade/config"
	"dunegrade/logic"
)

// standings gives what speaks against each worker, by id.
func (r *testEdge) standings() map[logic.WorkerID]string {
	out, done := map[logic.WorkerID]string{}, make(chan struct{})
	l := r.p.loops[0]
	l.post(func() {
		for _, s := range l.sentry.Explain(0, 0, 0) {
			out[s.Worker] = s.Reason
		}
		close(done)
	})
	<-done
	return out
}

// until looks again till something holds, or fails.
func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	look := time.NewTicker(5 * time.Millisecond)
	defer look.Stop()
	for end := time.Now().Add(10 * time.Second); !holds(); <-look.C {
		if time.Now().After(end) {
			t.Fatalf("never came: %s", what)
		}
	}
}

func up(id string, build int) api.Worker {
	return api.Worker{ID: id, Address: "127.0.0.1:1", State: api.Up, Build: build, Weight: 1}
}

// Danger: one malformed line must neither change its worker, nor keep the others' drains from being heeded.
func TestMalformedLinesOfTheListChangeNothing(t *testing.T) {
	for _, c := range []struct {
		name   string
		spoil  func(w *api.Worker)
		wanted string // what speaks against the worker after
	}{
		{"no address", func(w *api.Worker) { w.Address = "" }, ""},
		{"no port", func(w *api.Worker) { w.Address = "127.0.0.1" }, ""},
		{"port out of range", func(w *api.Worker) { w.Address = "127.0.0.1:70000" }, ""},
		{"build out of range", func(w *api.Worker) { w.Build = 70000 }, ""},
		{"build below zero", func(w *api.Worker) { w.Build = -1 }, ""},
		{"weight below zero", func(w *api.Worker) { w.Weight = -1 }, ""},
		{"no state", func(w *api.Worker) { w.State = "" }, "not up"},
		{"a state not known here", func(w *api.Worker) { w.State = "resting" }, "not up"},
		{"malformed, but it drains", func(w *api.Worker) { w.Build, w.State = 70000, api.Draining }, "not up"},
	} {
		for _, mode := range []string{api.Change, api.Whole} {
			t.Run(c.name+" "+mode, func(t *testing.T) {
				r := startEdge(t, "")
				r.p.Workers(api.WorkersEvent{Type: api.Whole, Revision: 1, Now: 1, Workers: []api.Worker{up("a", 1), up("b", 1), up("c", 1)}})
				r.p.Release(api.ReleaseEvent{Release: api.Release{Build: 1, Phase: api.Released, Cap: 1}})
				bad, drains, unknown := up("a", 1), up("b", 1), up("d", 70000)
				drains.State = api.Draining
				c.spoil(&bad)
				r.p.Workers(api.WorkersEvent{Type: mode, Revision: 2, Now: 1, Workers: []api.Worker{bad, drains, unknown, up("c", 1)}})
				got := r.standings()
				if got["a"] != c.wanted || got["b"] != "not up" || got["c"] != "" {
					t.Errorf("stand as %v, want a %q, b not up, c free", got, c.wanted)
				}
				if _, known := got["d"]; known {
					t.Error("a malformed line of a worker not known brought it in")
				}
			})
		}
	}
}

// Danger: a cap of 40, meant as percent, or one of -1 would let everything or nothing through.
func TestMalformedNewsChangesNothing(t *testing.T) {
	sound := api.Release{Build: 2, Stage: 1, Phase: api.OnTrial, Cap: 0.4, Since: 100}
	for _, c := range []struct {
		name string
		next func(r *api.Release)
		want bool
	}{
		{"the same again", func(r *api.Release) {}, true},
		{"cap over one", func(r *api.Release) { r.Cap = 40 }, false},
		{"cap below zero", func(r *api.Release) { r.Cap = -0.1 }, false},
		{"stage below zero", func(r *api.Release) { r.Stage = -1 }, false},
		{"build out of range", func(r *api.Release) { r.Build = 1 << 20 }, false},
		{"phase not known", func(r *api.Release) { r.Phase = "paused" }, false},
		{"the next stage", func(r *api.Release) { r.Stage, r.Cap, r.Since = 2, 1, 200 }, true},
		{"going back", func(r *api.Release) { r.Phase, r.Cap, r.Since = api.GoingBack, 0, 200 }, true},
		{"overtaken: an earlier stage at a higher cap", func(r *api.Release) { r.Stage, r.Cap, r.Since = 0, 0.9, 50 }, false},
		{"overtaken: an earlier stage at a lower cap", func(r *api.Release) { r.Stage, r.Cap, r.Since = 0, 0.1, 50 }, true},
		{"overtaken: the build before", func(r *api.Release) { *r = api.Release{Build: 1, Phase: api.Released, Cap: 1, Since: 50} }, false},
		{"a build that was a slip is taken back", func(r *api.Release) { *r = api.Release{Build: 1, Phase: api.Released, Cap: 1, Since: 200} }, true},
		{"a file tells no times", func(r *api.Release) { r.Stage, r.Cap = 0, 0.9 }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := New(mustPlan(t, ""), zap.NewNop())
			if !p.acceptRelease(sound, func() {}) {
				t.Fatal("sound news was not heeded")
			}
			next := sound
			c.next(&next)
			if got := p.acceptRelease(next, func() {}); got != c.want {
				t.Errorf("heeded: %t", got)
			}
			want := sound
			if c.want {
				want = next
			}
			if p.release != want {
				t.Errorf("in force: %+v, want %+v", p.release, want)
			}
		})
	}
	t.Run("an answer after the build went back", func(t *testing.T) {
		p := New(mustPlan(t, ""), zap.NewNop())
		gone := sound
		gone.Phase, gone.Cap, gone.Since = api.Withdrawn, 0, 300
		p.acceptRelease(gone, func() {})
		if p.acceptRelease(sound, func() {}) {
			t.Error("the trial is back in force")
		}
	})
}

// Danger: news that was in order when it was looked at would still reach a loop behind what comes at the same moment.
func TestNewsIsPassedOnBeforeTheNextIsLookedAt(t *testing.T) {
	p := New(mustPlan(t, ""), zap.NewNop())
	passed := false
	p.acceptRelease(api.Release{Build: 2, Phase: api.OnTrial, Cap: 0.4}, func() {
		if passed = true; p.mu.TryLock() {
			p.mu.Unlock()
			t.Error("other news could overtake it")
		}
	})
	if !passed {
		t.Error("not passed on")
	}
}

func mustPlan(t *testing.T, extra string) *config.Edge {
	t.Helper()
	e, err := config.ParseEdge("t.sexp", fmt.Sprintf(configTemplate, extra))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// Danger: a process that took another's place counts as that one: warm, trusted, and answerable for what it did.
func TestWhoseProcessItIs(t *testing.T) {
	const sec = int64(time.Second)
	first := api.Worker{ID: "a", Address: "127.0.0.1:1", State: api.Up, Build: 1}
	told := first
	told.StartedAt = 90 * sec
	for _, c := range []struct {
		name      string
		held      *api.Worker // of the first list; nil: the id appears later
		next      func(w *api.Worker)
		age       logic.Nanos // by the clock at the second telling; -1: long past
		different bool        // from what the first telling gave
	}{
		{"the same again, not told", &first, func(w *api.Worker) {}, -1, false},
		{"the same again, told", &told, func(w *api.Worker) {}, 15 * logic.Second, false},
		{"another start", &told, func(w *api.Worker) { w.StartedAt = 104 * sec }, logic.Second, true},
		{"another address, not told", &first, func(w *api.Worker) { w.Address = "127.0.0.1:2" }, 0, true},
		{"another address at the same start", &told, func(w *api.Worker) { w.Address = "127.0.0.1:2" }, 0, true},
		{"another build, not told", &first, func(w *api.Worker) { w.Build = 2 }, 0, true},
		{"another build and start", &told, func(w *api.Worker) { w.Build, w.StartedAt = 2, 103*sec }, 2 * logic.Second, true},
		{"it drains, and the line has no address", &told, func(w *api.Worker) { w.Address, w.State = "", api.Draining }, 15 * logic.Second, false},
		{"an id that appears later, not told", nil, func(w *api.Worker) {}, 0, false},
		{"an id that appears later, told", nil, func(w *api.Worker) { w.StartedAt = 100 * sec }, 5 * logic.Second, false},
		{"a start that lies ahead", nil, func(w *api.Worker) { w.StartedAt = 200 * sec }, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := &loop{workerStarts: map[logic.WorkerID]workerStart{}, now: 1000 * logic.Second}
			w := first
			before := logic.Nanos(0)
			if c.held != nil {
				w = *c.held
				before = l.workerStartTime("a", w, 100*sec)
			}
			l.listSeen = true
			l.now += 5 * logic.Second
			c.next(&w)
			got := l.workerStartTime("a", w, 105*sec)
			if want := l.now - c.age; c.age >= 0 && got != want || c.age < 0 && got != 0 {
				t.Errorf("started %v ago, want %v", l.now-got, c.age)
			}
			if (got != before) != c.different && c.held != nil {
				t.Errorf("told apart: %t", got != before)
			}
			l.now += logic.Second
			if again := l.workerStartTime("a", w, 106*sec); again != got {
				t.Errorf("told once more, it started at %v, before at %v", again, got)
			}
		})
	}
}

// Maps by id hold what the list holds: ids that never come back must not stay.
func TestIdsThatAreGoneAreForgotten(t *testing.T) {
	r := startEdge(t, "")
	for i := 0; i < 300; i++ {
		e := api.WorkersEvent{Type: api.Whole, Revision: uint64(i), Now: 1, Workers: []api.Worker{up(fmt.Sprintf("w%d", i), 1)}}
		if i%2 == 0 { // half of them by changes
			gone := up(fmt.Sprintf("w%d", i-1), 1)
			gone.State = api.Gone
			e.Type, e.Workers = api.Change, append(e.Workers, gone)
		}
		r.p.Workers(e)
	}
	done := make(chan [3]int)
	l := r.p.loops[0]
	l.post(func() { done <- [3]int{len(l.workerStarts), len(l.pools), len(r.p.workers)} })
	if got := <-done; got != [3]int{1, 1, 1} {
		t.Errorf("starts, pools and kept lines: %v", got)
	}
}

// Danger: names that the settings lack would all pass for the first of them, and a repeat that may go to workers of the
// same zone only would leave it.
func TestZonesThatAreNotKnownDiffer(t *testing.T) {
	names := indexNames([]string{"north", "south"}, 0)
	seen := map[int]string{}
	for _, n := range []string{"north", "south", "east", "west", ""} {
		at := lookupID(names, n)
		if seen[at] != "" || n == "south" && at != 1 {
			t.Errorf("%q is %d, as %q", n, at, seen[at])
		}
		seen[at] = n + "."
	}
	if lookupID(nil, "") != 0 {
		t.Error("without zones no worker is at home")
	}
}

const keptText = `{"version":1,"saved":%d,"clock":%d,"workers":[
 {"id":"a","address":"127.0.0.1:1","state":"up","build":1,"weight":1},
 {"id":"b","address":"127.0.0.1:2","state":"up","build":1,"startedAt":%d,"weight":1}],
 "release":{"name":"1","build":1,"stage":0,"phase":"released","cap":1,"since":1}}`

// The platform's clock is an hour behind ours here, and the list was kept three seconds ago.
func keptNow() string {
	now := time.Now().Add(-3 * time.Second).UnixNano()
	clock := now - int64(time.Hour)
	return fmt.Sprintf(keptText, now, clock, clock-int64(time.Second))
}

func TestKeptListIsSoundOrRefused(t *testing.T) {
	for _, c := range []struct{ name, from, to string }{
		{"as it was", "", ""},
		{"another version", `"version":1`, `"version":2`},
		{"no address", `"127.0.0.1:1"`, `""`},
		{"an address without port", `"127.0.0.1:1"`, `"127.0.0.1"`},
		{"a build out of range", `"build":1,"startedAt"`, `"build":70000,"startedAt"`},
		{"two of an id", `"id":"b"`, `"id":"a"`},
		{"a cap over one", `"cap":1`, `"cap":40`},
		{"a phase not known", `"released"`, `"paused"`},
		{"a stage below zero", `"stage":0`, `"stage":-1`},
		{"a number as text", `"cap":1`, `"cap":"1"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			p := New(mustPlan(t, fmt.Sprintf("(state %q)", dir)), zap.NewNop())
			write(t, p.statePath(), strings.Replace(keptNow(), c.from, c.to, 1))
			list, news := p.restoreState()
			if sound := c.from == ""; (list != nil) != sound || (news != nil) != sound {
				t.Errorf("restored %v, %v", list, news)
			}
		})
	}
	t.Run("cut at every byte", func(t *testing.T) {
		dir := t.TempDir()
		text := keptNow()
		for n := 0; n < len(text); n++ {
			p := New(mustPlan(t, fmt.Sprintf("(state %q)", dir)), zap.NewNop())
			write(t, p.statePath(), text[:n])
			if list, _ := p.restoreState(); list != nil {
				t.Fatalf("%d of %d bytes were taken as whole", n, len(text))
			}
		}
	})
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Danger: a start told by the platform's clock, read by another, makes a worker that has just started look warm; and
// when the platform speaks again the same process must not pass for a new one.
func TestKeptListKeepsAges(t *testing.T) {
	dir := t.TempDir()
	write(t, filepath.Join(dir, "t.list.json"), strings.Replace(keptNow(), `"state":"up","build":1,"weight"`, `"state":"resting","build":1,"weight"`, 1))
	r := startEdge(t, fmt.Sprintf("(state %q)", dir))
	age := make(chan logic.Nanos)
	l := r.p.loops[0]
	look := func() logic.Nanos {
		l.post(func() { age <- l.now - l.workerStarts["b"].startedAt })
		return <-age
	}
	if got := look(); got < 4*logic.Second || got > 30*logic.Second {
		t.Errorf("restored as %v old, want 4 s", got)
	}
	if got := r.standings(); got["a"] != "not up" {
		t.Errorf("a standing not known here is %q", got["a"])
	}
	before := make(chan workerStart, 2)
	l.post(func() { before <- l.workerStarts["b"] })
	now := time.Now().Add(-time.Hour).UnixNano()
	b := r.p.workers["b"]
	r.p.Workers(api.WorkersEvent{Type: api.Whole, Revision: 1, Now: now, Workers: []api.Worker{b}})
	l.post(func() { before <- l.workerStarts["b"] })
	if x, y := <-before, <-before; x != y {
		t.Errorf("the same process is %+v, then %+v", x, y)
	}
}

// Danger: a line that was not heeded must not spoil the list that is kept.
func TestMalformedLineIsNotKept(t *testing.T) {
	dir := t.TempDir()
	p := New(mustPlan(t, fmt.Sprintf("(state %q)", dir)), zap.NewNop())
	for _, state := range []string{api.Up, "", "resting", api.Draining} {
		p.Workers(api.WorkersEvent{Type: api.Whole, Now: 1, Workers: []api.Worker{up("a", 1), up("b", 1)}})
		bad := up("a", 70000)
		bad.State = state
		p.Workers(api.WorkersEvent{Type: api.Change, Now: 1, Workers: []api.Worker{bad}})
		p.saveState(false)
		if list, _ := New(mustPlan(t, fmt.Sprintf("(state %q)", dir)), zap.NewNop()).restoreState(); list == nil || len(list.Workers) != 2 {
			t.Errorf("after a line of state %q: restored %v", state, list)
		}
	}
}

// Danger: two that write one file leave a mixture, and the next start refuses it or takes half.
func TestSavesAtOnceLeaveAWholeFile(t *testing.T) {
	dir := t.TempDir()
	p := New(mustPlan(t, fmt.Sprintf("(state %q)", dir)), zap.NewNop())
	var group sync.WaitGroup
	for i := 0; i < 8; i++ {
		group.Go(func() {
			for k := 0; k < 25; k++ {
				var list []api.Worker
				for n := 0; n < 1+(i*31+k*17)%200; n++ {
					list = append(list, up(fmt.Sprintf("w%d-%d-%d", i, k, n), 1))
				}
				p.Workers(api.WorkersEvent{Type: api.Whole, Now: 1, Workers: list})
				p.saveState(false)
				again := New(mustPlan(t, fmt.Sprintf("(state %q)", dir)), zap.NewNop())
				if got, _ := again.restoreState(); got == nil {
					t.Error("what was kept is refused")
				}
			}
		})
	}
	group.Wait()
	p.saveFinal()
	p.saveState(false) // as a timer that was late
	info, err := os.Stat(p.statePath() + ".new")
	if err == nil {
		t.Errorf("%s is left behind", info.Name())
	}
}

// A folder that takes nothing keeps the last whole list; what is served does not depend on it.
func TestStateThatTakesNothing(t *testing.T) {
	dir := t.TempDir()
	w := newStubWorker(t, echo)
	r := startEdge(t, fmt.Sprintf("(state %q)", dir), w)
	r.p.saveState(false)
	if err := os.Mkdir(r.p.statePath()+".new", 0o700); err != nil { // where it is written
		t.Fatal(err)
	}
	before, err := os.ReadFile(r.p.statePath())
	if err != nil {
		t.Fatal(err)
	}
	r.p.Workers(api.WorkersEvent{Type: api.Change, Now: 1, Workers: []api.Worker{up("later", 1)}})
	r.p.saveState(false)
	after, err := os.ReadFile(r.p.statePath())
	if err != nil || string(after) != string(before) {
		t.Errorf("the list kept before is gone: %v", err)
	}
	if answers, _ := r.roundTrip(get("/ask"), "GET"); answers[0].StatusCode != 200 {
		t.Errorf("got %d", answers[0].StatusCode)
	}
	os.Remove(r.p.statePath() + ".new")
}

// Danger: what changed while the folder took nothing stays unknown to the next start if nothing else changes, and a
// worker that drains is up for it.
func TestAListThatCouldNotBeKeptIsKeptLater(t *testing.T) {
	core, said := observer.New(zap.InfoLevel)
	p := New(mustPlan(t, fmt.Sprintf("(state %q)", t.TempDir())), zap.New(core))
	t.Cleanup(p.saveFinal)
	if err := os.Mkdir(p.statePath()+".new", 0o700); err != nil {
		t.Fatal(err)
	}
	p.Workers(api.WorkersEvent{Type: api.Whole, Now: 1, Workers: []api.Worker{up("a", 1)}})
	until(t, "it is said", func() bool { return said.FilterMessage("the last list could not be kept").Len() > 0 })
	if err := os.Remove(p.statePath() + ".new"); err != nil {
		t.Fatal(err)
	}
	until(t, "it is kept", func() bool { _, err := os.Stat(p.statePath()); return err == nil })
	until(t, "that is said", func() bool { return said.FilterMessage("the last list is kept again").Len() > 0 })
	if n := said.Len(); n != 2 {
		t.Errorf("%d lines, wanted one for each change", n)
	}
}

// Danger: a file system stamps changes coarsely, so the half that a read has met may bear the time of the whole.
func TestAChangeOfTheSameTimeIsRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list.sexp")
	stamp := time.Now()
	put := func(text string) {
		write(t, path, text)
		if err := os.Chtimes(path, stamp, stamp); err != nil {
			t.Fatal(err)
		}
	}
	put(`(worker a (address "127.0.0.1:1")) (release (build 1))`)
	s := newFileSource(path, zap.NewNop())
	e := runSource(t, s)
	await(t, e.lists)
	put(`(worker a (address "127.0.0.1:1")) (worker b (address "127.0.0.1:2")) (release (build 1))`)
	if got := await(t, e.lists); len(got.Workers) != 2 {
		t.Errorf("told %+v", got)
	}
}

// Danger: a list file that cannot be read for a moment may come back with the time it had, and change nothing but its text.
func TestAListFileThatCannotBeReadIsTriedAgain(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list.sexp")
	stamp := time.Now().Add(-time.Hour)
	dated := func() {
		if err := os.Chtimes(path, stamp, stamp); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.Mkdir(path, 0o700); err != nil { // is there, and cannot be read
		t.Fatal(err)
	}
	dated()
	core, said := observer.New(zap.InfoLevel)
	e := runSource(t, newFileSource(path, zap.New(core)))
	until(t, "it is said", func() bool { return said.FilterMessage("list file cannot be read").Len() > 0 })
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	write(t, path+".new", `(worker a (address "127.0.0.1:1")) (release (build 1))`)
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
	dated()
	if got := await(t, e.lists); len(got.Workers) != 1 {
		t.Errorf("told %+v", got)
	}
	until(t, "that is said", func() bool { return said.FilterMessage("list file is read again").Len() > 0 })
	if n := said.Len(); n != 2 {
		t.Errorf("%d lines, wanted one for each change", n)
	}
}

// Addresses of sentries that may not talk do no harm.
func TestPeersWithoutMessages(t *testing.T) {
	w := newStubWorker(t, echo)
	r := startEdge(t, fmt.Sprintf("(sentries 3) (index 2) (peers %s) (allow (messages false))", freeUDPAddress(t)), w)
	if answers, _ := r.roundTrip(get("/ask"), "GET"); answers[0].StatusCode != 200 {
		t.Errorf("got %d", answers[0].StatusCode)
	}
}

// An event that is neither whole nor a change may have altered the list: what is held is not built upon.
func TestEventOfAnUnknownType(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	asked := serveWatch(t, ln, `{"type":"whole","revision":5,"workers":[]}`, `{"type":"patch","revision":6}`, `{"type":"change","revision":7}`)
	s := newAPISource("http://"+ln.Addr().String(), "edge-0", zap.NewNop())
	e := runSource(t, s)
	if got := await(t, e.lists); got.Revision != 5 {
		t.Errorf("told %+v", got)
	}
	if a, b := await(t, asked), await(t, asked); a != "0" || b != "0" {
		t.Errorf("asked from %s, then %s", a, b)
	}
	if got := await(t, e.lists); got.Type != api.Whole {
		t.Errorf("told %+v after what was not known", got)
	}
}

// starved is a listener that has no descriptors left, as often as told; then it takes connections again.
type starved struct {
	net.Listener
	times int
}

func (s *starved) Accept() (net.Conn, error) {
	if s.times--; s.times >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return s.Listener.Accept()
}

// Danger: a process without descriptors fails to accept a hundred times a second, and would fill the disk with saying so.
func TestAcceptWithoutDescriptorsIsSaidOnce(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	core, said := observer.New(zap.InfoLevel)
	p := New(mustPlan(t, ""), zap.New(core))
	p.cfg.ClientLimits.MaxConnections = 0 // what is taken is closed at once
	p.listener = &starved{ln, 5}
	done := make(chan struct{})
	go func() { p.accept(); close(done) }()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("the connection was not taken and closed")
	}
	ln.Close()
	<-done
	var lines []string
	for _, l := range said.All() {
		lines = append(lines, fmt.Sprint(l.Message, l.ContextMap()["failed"]))
	}
	if got := strings.Join(lines, ", "); got != "accept failed<nil>, accepts again5" {
		t.Errorf("said %s", got)
	}
}

// Danger: a txn that the module has lost track of would never be answered. The host voids it at its expiry, and counts it.
func TestHostAnswersWhatTheModuleForgot(t *testing.T) {
	asked := make(chan struct{}, 1)
	r := startEdge(t, "", newStubWorker(t, func(c net.Conn, req *http.Request, b []byte) bool {
		asked <- struct{}{}
		return hang(c, req, b)
	}))
	go func() {
		<-asked
		l := r.p.loops[0]
		l.post(func() { l.sentry = logic.New(l.now, 1, l.p.cfg.Module, l) })
	}()
	began := time.Now()
	answers, _ := r.roundTrip(post("/pay"), "POST")
	if answers[0].StatusCode != 504 || time.Since(began) > 800*time.Millisecond {
		t.Errorf("got %d after %v", answers[0].StatusCode, time.Since(began))
	}
	if s := r.stats(); s.hostVoided != 1 {
		t.Errorf("%d counted as unanswered", s.hostVoided)
	}
}

// The module answers at a txn's expiry by itself: what the host has to void is a defect.
func TestModuleAnswersAtExpiry(t *testing.T) {
	for _, raw := range []string{get("/ask"), post("/book"), post("/pay")} {
		r := startEdge(t, "", newStubWorker(t, hang))
		if answers, _ := r.roundTrip(raw, raw[:4]); answers[0].StatusCode < 503 {
			t.Errorf("got %d", answers[0].StatusCode)
		}
		if s := r.stats(); s.hostVoided != 0 || s.voided+s.declined != 1 {
			t.Errorf("the host had to void %d; %d voided, %d declined", s.hostVoided, s.voided, s.declined)
		}
	}
}

// Danger: what each connection may hold, on very many of them, would still fill memory.
func TestHeldBytesHaveABoundInSum(t *testing.T) {
	const bound, clients = 512 << 10, 30
	r := startEdge(t, "", newStubWorker(t, hang))
	l := r.p.loops[0]
	done := make(chan struct{})
	l.post(func() { r.p.cfg.ClientLimits.MaxHeldBytes = bound; close(done) })
	<-done
	var conns []net.Conn
	behind := []byte(strings.Repeat(get("/ask"), 1+(60<<10)/len(get("/ask"))))
	for range clients {
		c := r.dial()
		io.WriteString(c, get("/ask"))
		if _, err := c.Write(behind); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	for until := time.Now().Add(5 * time.Second); r.stats().overHeldBytes == 0; {
		if time.Now().After(until) {
			t.Fatal("no connection gave up what it held")
		}
	}
	held := 0
	done = make(chan struct{})
	l.post(func() {
		for _, cc := range l.clientConns.items {
			if !cc.closed && cc.c != nil {
				held += cc.c.InboundBuffered() + len(cc.buffered)
			}
		}
		if held != l.heldBytes {
			t.Errorf("%d bytes are held, %d are counted", held, l.heldBytes)
		}
		close(done)
	})
	<-done
	if held > bound {
		t.Errorf("%d bytes are held of %d", held, bound)
	}
	for i, c := range conns { // each still gets the answer that it is owed
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			t.Errorf("client %d: %v", i, err)
		}
	}
}

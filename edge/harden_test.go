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

// unusableReasons returns the reason why each known worker cannot be used; the reason is empty for a usable worker.
func (r *testEdge) unusableReasons() map[logic.WorkerID]string {
	reasons, done := map[logic.WorkerID]string{}, make(chan struct{})
	l := r.p.loops[0]
	l.post(func() {
		for _, s := range l.sentry.Explain(0, 0, 0) {
			reasons[s.Worker] = s.Reason
		}
		close(done)
	})
	<-done
	return reasons
}

// waitFor polls until a condition holds, and fails the test after 10 s.
func waitFor(t *testing.T, event string, holds func() bool) {
	t.Helper()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for end := time.Now().Add(10 * time.Second); !holds(); <-ticker.C {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", event)
		}
	}
}

// upWorker returns a valid list entry of a worker in state up.
func upWorker(id string, build int) api.Worker {
	return api.Worker{ID: id, Address: "127.0.0.1:1", State: api.WorkerUp, Build: build, Weight: 1}
}

// A malformed entry of a worker list must not change its worker, and must not prevent valid entries, such as another worker's
// drain, from taking effect. Only a state other than up is applied from a malformed entry.
func TestMalformedWorkerEntriesAreIgnored(t *testing.T) {
	for _, c := range []struct {
		name       string
		corrupt    func(w *api.Worker)
		wantReason string // why the worker cannot be used afterwards; empty: it can
	}{
		{"no address", func(w *api.Worker) { w.Address = "" }, ""},
		{"no port", func(w *api.Worker) { w.Address = "127.0.0.1" }, ""},
		{"port out of range", func(w *api.Worker) { w.Address = "127.0.0.1:70000" }, ""},
		{"build out of range", func(w *api.Worker) { w.Build = 70000 }, ""},
		{"build below zero", func(w *api.Worker) { w.Build = -1 }, ""},
		{"weight below zero", func(w *api.Worker) { w.Weight = -1 }, ""},
		{"no state", func(w *api.Worker) { w.State = "" }, "not up"},
		{"an unknown state", func(w *api.Worker) { w.State = "resting" }, "not up"},
		{"malformed and draining", func(w *api.Worker) { w.Build, w.State = 70000, api.WorkerDraining }, "not up"},
	} {
		for _, mode := range []string{api.EventChange, api.EventSnapshot} {
			t.Run(c.name+" "+mode, func(t *testing.T) {
				r := startEdge(t, "")
				r.p.Workers(api.WorkersEvent{Type: api.EventSnapshot, Revision: 1, Now: 1, Workers: []api.Worker{upWorker("a", 1), upWorker("b", 1), upWorker("c", 1)}})
				r.p.Release(api.ReleaseEvent{Release: api.Release{Build: 1, Phase: api.PhaseReleased, Cap: 1}})
				bad, draining, unknown := upWorker("a", 1), upWorker("b", 1), upWorker("d", 70000)
				draining.State = api.WorkerDraining
				c.corrupt(&bad)
				r.p.Workers(api.WorkersEvent{Type: mode, Revision: 2, Now: 1, Workers: []api.Worker{bad, draining, unknown, upWorker("c", 1)}})
				got := r.unusableReasons()
				if got["a"] != c.wantReason || got["b"] != "not up" || got["c"] != "" {
					t.Errorf("got reasons %v; want %q for a, not up for b, none for c", got, c.wantReason)
				}
				if _, known := got["d"]; known {
					t.Error("a malformed entry added an unknown worker")
				}
			})
		}
	}
}

// A malformed release update must not take effect: a cap of 40, meant as a percentage, would allow everything, and a negative
// one nothing. An update that is older than the release in force must not raise its exposure.
func TestMalformedReleaseUpdatesAreIgnored(t *testing.T) {
	valid := api.Release{Build: 2, Stage: 1, Phase: api.PhaseOnTrial, Cap: 0.4, Since: 100}
	for _, c := range []struct {
		name string
		next func(r *api.Release)
		want bool // next is accepted
	}{
		{"repeated update", func(r *api.Release) {}, true},
		{"cap over one", func(r *api.Release) { r.Cap = 40 }, false},
		{"cap below zero", func(r *api.Release) { r.Cap = -0.1 }, false},
		{"stage below zero", func(r *api.Release) { r.Stage = -1 }, false},
		{"build out of range", func(r *api.Release) { r.Build = 1 << 20 }, false},
		{"unknown phase", func(r *api.Release) { r.Phase = "paused" }, false},
		{"the next stage", func(r *api.Release) { r.Stage, r.Cap, r.Since = 2, 1, 200 }, true},
		{"going back", func(r *api.Release) { r.Phase, r.Cap, r.Since = api.PhaseGoingBack, 0, 200 }, true},
		{"outdated: an earlier stage with a higher cap", func(r *api.Release) { r.Stage, r.Cap, r.Since = 0, 0.9, 50 }, false},
		{"outdated: an earlier stage with a lower cap", func(r *api.Release) { r.Stage, r.Cap, r.Since = 0, 0.1, 50 }, true},
		{"outdated: the previous build", func(r *api.Release) { *r = api.Release{Build: 1, Phase: api.PhaseReleased, Cap: 1, Since: 50} }, false},
		{"a build announced by mistake is taken back", func(r *api.Release) { *r = api.Release{Build: 1, Phase: api.PhaseReleased, Cap: 1, Since: 200} }, true},
		{"an update without a time, as from a file", func(r *api.Release) { r.Stage, r.Cap = 0, 0.9 }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := New(parseTestConfig(t, ""), zap.NewNop())
			if !p.acceptRelease(valid, func() {}) {
				t.Fatal("a valid release was not accepted")
			}
			next := valid
			c.next(&next)
			if got := p.acceptRelease(next, func() {}); got != c.want {
				t.Errorf("accepted: %t, want the opposite", got)
			}
			want := valid
			if c.want {
				want = next
			}
			if p.release != want {
				t.Errorf("release in force is %+v, want %+v", p.release, want)
			}
		})
	}
	t.Run("a vote reply after the build was withdrawn", func(t *testing.T) {
		p := New(parseTestConfig(t, ""), zap.NewNop())
		withdrawn := valid
		withdrawn.Phase, withdrawn.Cap, withdrawn.Since = api.PhaseWithdrawn, 0, 300
		p.acceptRelease(withdrawn, func() {})
		if p.acceptRelease(valid, func() {}) {
			t.Error("the withdrawn trial is in force again")
		}
	})
}

// Release updates must be forwarded to the loops under the lock under which they are checked. Otherwise an update could be
// checked before a newer one but reach a loop after it.
func TestReleaseUpdatesAreForwardedInOrder(t *testing.T) {
	p := New(parseTestConfig(t, ""), zap.NewNop())
	forwarded := false
	p.acceptRelease(api.Release{Build: 2, Phase: api.PhaseOnTrial, Cap: 0.4}, func() {
		if forwarded = true; p.mu.TryLock() {
			p.mu.Unlock()
			t.Error("another update could overtake it")
		}
	})
	if !forwarded {
		t.Error("the update was not forwarded")
	}
}

// parseTestConfig parses the test configuration with extra settings.
func parseTestConfig(t *testing.T, extra string) *config.Edge {
	t.Helper()
	e, err := config.ParseEdge("t.sexp", fmt.Sprintf(configTemplate, extra))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// A new process under a known worker id must count as new. Taken for the old process, it would count as warm and trusted, and
// be blamed for the failures of the old one.
func TestWorkerStartIdentifiesProcess(t *testing.T) {
	const sec = int64(time.Second)
	first := api.Worker{ID: "a", Address: "127.0.0.1:1", State: api.WorkerUp, Build: 1}
	withStart := first
	withStart.StartedAt = 90 * sec
	for _, c := range []struct {
		name       string
		previous   *api.Worker // in the first list; nil: the id appears later
		next       func(w *api.Worker)
		age        logic.Nanos // expected age at the second list; -1: started long ago
		newProcess bool        // the start differs from the start after the first list
	}{
		{"unchanged, without a start", &first, func(w *api.Worker) {}, -1, false},
		{"unchanged, with a start", &withStart, func(w *api.Worker) {}, 15 * logic.Second, false},
		{"another start", &withStart, func(w *api.Worker) { w.StartedAt = 104 * sec }, logic.Second, true},
		{"another address, without a start", &first, func(w *api.Worker) { w.Address = "127.0.0.1:2" }, 0, true},
		{"another address with the same start", &withStart, func(w *api.Worker) { w.Address = "127.0.0.1:2" }, 0, true},
		{"another build, without a start", &first, func(w *api.Worker) { w.Build = 2 }, 0, true},
		{"another build and start", &withStart, func(w *api.Worker) { w.Build, w.StartedAt = 2, 103*sec }, 2 * logic.Second, true},
		{"draining, without an address", &withStart, func(w *api.Worker) { w.Address, w.State = "", api.WorkerDraining }, 15 * logic.Second, false},
		{"an id that appears later, without a start", nil, func(w *api.Worker) {}, 0, false},
		{"an id that appears later, with a start", nil, func(w *api.Worker) { w.StartedAt = 100 * sec }, 5 * logic.Second, false},
		{"a start in the future", nil, func(w *api.Worker) { w.StartedAt = 200 * sec }, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := &loop{workerStarts: map[logic.WorkerID]workerStart{}, now: 1000 * logic.Second}
			w := first
			before := logic.Nanos(0)
			if c.previous != nil {
				w = *c.previous
				before = l.workerStartTime("a", w, 100*sec)
			}
			l.listSeen = true
			l.now += 5 * logic.Second
			c.next(&w)
			got := l.workerStartTime("a", w, 105*sec)
			if want := l.now - c.age; c.age >= 0 && got != want || c.age < 0 && got != 0 {
				t.Errorf("the process started %v ago, want %v", l.now-got, c.age)
			}
			if (got != before) != c.newProcess && c.previous != nil {
				t.Errorf("start differs: %t, want the opposite", got != before)
			}
			l.now += logic.Second
			if again := l.workerStartTime("a", w, 106*sec); again != got {
				t.Errorf("the start is %v after a repeated list, was %v", again, got)
			}
		})
	}
}

// Removed workers must not stay in the maps by id, which would grow for as long as workers with new ids come and go.
func TestRemovedWorkersAreForgotten(t *testing.T) {
	r := startEdge(t, "")
	for i := 0; i < 300; i++ {
		e := api.WorkersEvent{Type: api.EventSnapshot, Revision: uint64(i), Now: 1, Workers: []api.Worker{upWorker(fmt.Sprintf("w%d", i), 1)}}
		if i%2 == 0 { // every other worker is removed by a change event
			removed := upWorker(fmt.Sprintf("w%d", i-1), 1)
			removed.State = api.WorkerGone
			e.Type, e.Workers = api.EventChange, append(e.Workers, removed)
		}
		r.p.Workers(e)
	}
	done := make(chan [3]int)
	l := r.p.loops[0]
	l.post(func() { done <- [3]int{len(l.workerStarts), len(l.pools), len(r.p.workers)} })
	if got := <-done; got != [3]int{1, 1, 1} {
		t.Errorf("got %v starts, pools and workers, want one each", got)
	}
}

// Zones that the configuration doesn't list must get ids of their own. With a shared id they would all count as the first
// zone, and a retry that is restricted to workers of the same zone would leave it.
func TestUnknownZonesAreDistinct(t *testing.T) {
	names := indexNames([]string{"north", "south"}, 0)
	seen := map[int]string{}
	for _, n := range []string{"north", "south", "east", "west", ""} {
		id := lookupID(names, n)
		if seen[id] != "" || n == "south" && id != 1 {
			t.Errorf("zone %q got id %d; zone with this id so far: %q", n, id, seen[id])
		}
		seen[id] = n + "." // not empty even for the empty name
	}
	if lookupID(nil, "") != 0 {
		t.Error("without configured zones, the empty name is not the local zone")
	}
}

// savedStateFormat is a valid state file; its verbs stand for the times of saved, clock and startedAt.
const savedStateFormat = `{"version":1,"saved":%d,"clock":%d,"workers":[
 {"id":"a","address":"127.0.0.1:1","state":"up","build":1,"weight":1},
 {"id":"b","address":"127.0.0.1:2","state":"up","build":1,"startedAt":%d,"weight":1}],
 "release":{"name":"1","build":1,"stage":0,"phase":"released","cap":1,"since":1}}`

// savedStateJSON returns a saved state that is three seconds old, from a platform whose clock is an hour behind the local one.
func savedStateJSON() string {
	now := time.Now().Add(-3 * time.Second).UnixNano()
	clock := now - int64(time.Hour)
	return fmt.Sprintf(savedStateFormat, now, clock, clock-int64(time.Second))
}

// A saved state that is malformed or truncated must be rejected as a whole, not restored in part.
func TestSavedStateIsValidOrRejected(t *testing.T) {
	for _, c := range []struct{ name, original, replacement string }{
		{"unchanged, valid", "", ""},
		{"another version", `"version":1`, `"version":2`},
		{"no address", `"127.0.0.1:1"`, `""`},
		{"an address without port", `"127.0.0.1:1"`, `"127.0.0.1"`},
		{"a build out of range", `"build":1,"startedAt"`, `"build":70000,"startedAt"`},
		{"a duplicate id", `"id":"b"`, `"id":"a"`},
		{"a cap over one", `"cap":1`, `"cap":40`},
		{"an unknown phase", `"released"`, `"paused"`},
		{"a stage below zero", `"stage":0`, `"stage":-1`},
		{"a number as a string", `"cap":1`, `"cap":"1"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			p := New(parseTestConfig(t, fmt.Sprintf("(state %q)", dir)), zap.NewNop())
			writeFile(t, p.statePath(), strings.Replace(savedStateJSON(), c.original, c.replacement, 1))
			list, release := p.restoreState()
			if valid := c.original == ""; (list != nil) != valid || (release != nil) != valid {
				t.Errorf("restored list %v and release %v, want both if the file is valid, else none", list, release)
			}
		})
	}
	t.Run("truncated at every byte", func(t *testing.T) {
		dir := t.TempDir()
		text := savedStateJSON()
		for n := 0; n < len(text); n++ {
			p := New(parseTestConfig(t, fmt.Sprintf("(state %q)", dir)), zap.NewNop())
			writeFile(t, p.statePath(), text[:n])
			if list, _ := p.restoreState(); list != nil {
				t.Fatalf("a file truncated to %d of %d bytes was restored", n, len(text))
			}
		}
	})
}

// writeFile writes a file or fails the test.
func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Worker starts in the saved state are in the platform's time. Compared with the local clock, a worker that has just started
// would look warm. When the platform's list arrives after the restart, the same process must keep its start.
func TestRestoredListKeepsWorkerAges(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, filepath.Join(dir, "t.list.json"), strings.Replace(savedStateJSON(), `"state":"up","build":1,"weight"`, `"state":"resting","build":1,"weight"`, 1))
	r := startEdge(t, fmt.Sprintf("(state %q)", dir))
	age := make(chan logic.Nanos)
	l := r.p.loops[0]
	getAge := func() logic.Nanos {
		l.post(func() { age <- l.now - l.workerStarts["b"].startedAt })
		return <-age
	}
	if got := getAge(); got < 4*logic.Second || got > 30*logic.Second {
		t.Errorf("restored with an age of %v, want 4 s", got)
	}
	if got := r.unusableReasons(); got["a"] != "not up" {
		t.Errorf("the reason for an unknown state is %q, want not up", got["a"])
	}
	starts := make(chan workerStart, 2)
	l.post(func() { starts <- l.workerStarts["b"] })
	now := time.Now().Add(-time.Hour).UnixNano()
	b := r.p.workers["b"]
	r.p.Workers(api.WorkersEvent{Type: api.EventSnapshot, Revision: 1, Now: now, Workers: []api.Worker{b}})
	l.post(func() { starts <- l.workerStarts["b"] })
	if restored, listed := <-starts, <-starts; restored != listed {
		t.Errorf("the start of the same process is %+v, then %+v", restored, listed)
	}
}

// A malformed list entry must not get into the saved state, which would be rejected as a whole at the next start.
func TestMalformedWorkerEntryIsNotSaved(t *testing.T) {
	dir := t.TempDir()
	p := New(parseTestConfig(t, fmt.Sprintf("(state %q)", dir)), zap.NewNop())
	for _, state := range []string{api.WorkerUp, "", "resting", api.WorkerDraining} {
		p.Workers(api.WorkersEvent{Type: api.EventSnapshot, Now: 1, Workers: []api.Worker{upWorker("a", 1), upWorker("b", 1)}})
		bad := upWorker("a", 70000)
		bad.State = state
		p.Workers(api.WorkersEvent{Type: api.EventChange, Now: 1, Workers: []api.Worker{bad}})
		p.saveState(false)
		if list, _ := New(parseTestConfig(t, fmt.Sprintf("(state %q)", dir)), zap.NewNop()).restoreState(); list == nil || len(list.Workers) != 2 {
			t.Errorf("after a malformed entry with state %q: restored %v", state, list)
		}
	}
}

// Concurrent saves must not interleave in the file: the next start would reject the mixture, or restore half a list.
func TestConcurrentSavesLeaveCompleteFile(t *testing.T) {
	dir := t.TempDir()
	p := New(parseTestConfig(t, fmt.Sprintf("(state %q)", dir)), zap.NewNop())
	var group sync.WaitGroup
	for i := 0; i < 8; i++ {
		group.Go(func() {
			for k := 0; k < 25; k++ {
				var list []api.Worker
				for n := 0; n < 1+(i*31+k*17)%200; n++ {
					list = append(list, upWorker(fmt.Sprintf("w%d-%d-%d", i, k, n), 1))
				}
				p.Workers(api.WorkersEvent{Type: api.EventSnapshot, Now: 1, Workers: list})
				p.saveState(false)
				restarted := New(parseTestConfig(t, fmt.Sprintf("(state %q)", dir)), zap.NewNop())
				if got, _ := restarted.restoreState(); got == nil {
					t.Error("the saved state was rejected")
				}
			}
		})
	}
	group.Wait()
	p.saveFinal()
	p.saveState(false) // as a delayed timer would
	info, err := os.Stat(p.statePath() + ".new")
	if err == nil {
		t.Errorf("temporary file %s was not removed", info.Name())
	}
}

// A failure to write the state must keep the last complete file, and must not affect serving.
func TestUnwritableStateDir(t *testing.T) {
	dir := t.TempDir()
	w := newStubWorker(t, echo)
	r := startEdge(t, fmt.Sprintf("(state %q)", dir), w)
	r.p.saveState(false)
	if err := os.Mkdir(r.p.statePath()+".new", 0o700); err != nil { // blocks the temporary file
		t.Fatal(err)
	}
	before, err := os.ReadFile(r.p.statePath())
	if err != nil {
		t.Fatal(err)
	}
	r.p.Workers(api.WorkersEvent{Type: api.EventChange, Now: 1, Workers: []api.Worker{upWorker("later", 1)}})
	r.p.saveState(false)
	after, err := os.ReadFile(r.p.statePath())
	if err != nil || string(after) != string(before) {
		t.Errorf("the previously saved state has changed; read error: %v", err)
	}
	if answers, _ := r.roundTrip(get("/ask"), "GET"); answers[0].StatusCode != 200 {
		t.Errorf("got status %d, want 200", answers[0].StatusCode)
	}
	os.Remove(r.p.statePath() + ".new")
}

// A failed save must be retried even if nothing else changes. Otherwise the next start would restore an outdated list, in
// which a draining worker is still up.
func TestFailedSaveIsRetried(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	p := New(parseTestConfig(t, fmt.Sprintf("(state %q)", t.TempDir())), zap.New(core))
	t.Cleanup(p.saveFinal)
	if err := os.Mkdir(p.statePath()+".new", 0o700); err != nil {
		t.Fatal(err)
	}
	p.Workers(api.WorkersEvent{Type: api.EventSnapshot, Now: 1, Workers: []api.Worker{upWorker("a", 1)}})
	waitFor(t, "the failure in the log", func() bool { return logs.FilterMessage("the last list could not be kept").Len() > 0 })
	if err := os.Remove(p.statePath() + ".new"); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the saved file", func() bool { _, err := os.Stat(p.statePath()); return err == nil })
	waitFor(t, "the recovery in the log", func() bool { return logs.FilterMessage("the last list is kept again").Len() > 0 })
	if n := logs.Len(); n != 2 {
		t.Errorf("got %d log lines, want one for the failure and one for the recovery", n)
	}
}

// A change of the list file must be read even if its timestamp stays the same. File systems have coarse timestamps, so a file
// that was read half-written may have the same timestamp once it is complete.
func TestListFileChangeWithSameTimestampIsRead(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list.sexp")
	stamp := time.Now()
	write := func(text string) {
		writeFile(t, path, text)
		if err := os.Chtimes(path, stamp, stamp); err != nil {
			t.Fatal(err)
		}
	}
	write(`(worker a (address "127.0.0.1:1")) (release (build 1))`)
	s := newFileSource(path, zap.NewNop())
	h := runSource(t, s)
	await(t, h.lists)
	write(`(worker a (address "127.0.0.1:1")) (worker b (address "127.0.0.1:2")) (release (build 1))`)
	if got := await(t, h.lists); len(got.Workers) != 2 {
		t.Errorf("got list %+v, want 2 workers", got)
	}
}

// A list file that was unreadable for a moment must be read again even if it comes back with the timestamp it had.
func TestUnreadableListFileIsRetried(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list.sexp")
	stamp := time.Now().Add(-time.Hour)
	setTimestamp := func() {
		if err := os.Chtimes(path, stamp, stamp); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.Mkdir(path, 0o700); err != nil { // exists but can't be read
		t.Fatal(err)
	}
	setTimestamp()
	core, logs := observer.New(zap.InfoLevel)
	h := runSource(t, newFileSource(path, zap.New(core)))
	waitFor(t, "the failure in the log", func() bool { return logs.FilterMessage("list file cannot be read").Len() > 0 })
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	writeFile(t, path+".new", `(worker a (address "127.0.0.1:1")) (release (build 1))`)
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
	setTimestamp()
	if got := await(t, h.lists); len(got.Workers) != 1 {
		t.Errorf("got list %+v, want 1 worker", got)
	}
	waitFor(t, "the recovery in the log", func() bool { return logs.FilterMessage("list file is read again").Len() > 0 })
	if n := logs.Len(); n != 2 {
		t.Errorf("got %d log lines, want one for the failure and one for the recovery", n)
	}
}

// Peer addresses must be ignored if the configuration forbids messages between sentries.
func TestPeersWithoutMessages(t *testing.T) {
	w := newStubWorker(t, echo)
	r := startEdge(t, fmt.Sprintf("(sentries 3) (index 2) (peers %s) (allow (messages false))", freeUDPAddress(t)), w)
	if answers, _ := r.roundTrip(get("/ask"), "GET"); answers[0].StatusCode != 200 {
		t.Errorf("got status %d, want 200", answers[0].StatusCode)
	}
}

// An event of unknown type may have changed the list, so the source must request the whole list again instead of applying
// later changes to the one it has.
func TestUnknownWatchEventType(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	requested := serveWatch(t, ln, `{"type":"whole","revision":5,"workers":[]}`, `{"type":"patch","revision":6}`, `{"type":"change","revision":7}`)
	s := newAPISource("http://"+ln.Addr().String(), "edge-0", zap.NewNop())
	h := runSource(t, s)
	if got := await(t, h.lists); got.Revision != 5 {
		t.Errorf("got %+v, want revision 5", got)
	}
	if a, b := await(t, requested), await(t, requested); a != "0" || b != "0" {
		t.Errorf("watches start at revisions %s and %s, want 0 and 0", a, b)
	}
	if got := await(t, h.lists); got.Type != api.EventSnapshot {
		t.Errorf("got %+v after an event of unknown type, want a whole list", got)
	}
}

// failingListener fails to accept with EMFILE the given number of times, then accepts connections.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures--; l.failures >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// A process without free descriptors fails to accept a hundred times a second. It must log only the first failure and the
// recovery; a line for each failure would fill the disk.
func TestAcceptFailureIsLoggedOnce(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	core, logs := observer.New(zap.InfoLevel)
	p := New(parseTestConfig(t, ""), zap.New(core))
	p.cfg.ClientLimits.MaxConnections = 0 // accepted connections are closed at once
	p.listener = &failingListener{ln, 5}
	done := make(chan struct{})
	go func() { p.accept(); close(done) }()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Error("the connection was not accepted and closed")
	}
	ln.Close()
	<-done
	var lines []string
	for _, l := range logs.All() {
		lines = append(lines, fmt.Sprint(l.Message, l.ContextMap()["failed"]))
	}
	if got := strings.Join(lines, ", "); got != "accept failed<nil>, accepts again5" {
		t.Errorf("got log %s, want one failure and one recovery after 5", got)
	}
}

// The loop must void a txn at its expiry if the module has lost track of it, and count it. It would never be answered otherwise.
func TestHostVoidsForgottenTxn(t *testing.T) {
	requested := make(chan struct{}, 1)
	r := startEdge(t, "", newStubWorker(t, func(c net.Conn, req *http.Request, b []byte) bool {
		requested <- struct{}{}
		return hang(c, req, b)
	}))
	go func() {
		<-requested
		l := r.p.loops[0]
		l.post(func() { l.sentry = logic.New(l.now, 1, l.p.cfg.ModuleSettings, l) })
	}()
	began := time.Now()
	answers, _ := r.roundTrip(post("/pay"), "POST")
	if answers[0].StatusCode != 504 || time.Since(began) > 800*time.Millisecond {
		t.Errorf("got status %d after %v, want 504 within 800 ms", answers[0].StatusCode, time.Since(began))
	}
	if s := r.stats(); s.hostVoided != 1 {
		t.Errorf("%d txns counted as voided by the host, want 1", s.hostVoided)
	}
}

// The module must answer a txn by its expiry itself; a txn that the loop has to void is a defect.
func TestModuleAnswersAtExpiry(t *testing.T) {
	for _, raw := range []string{get("/ask"), post("/book"), post("/pay")} {
		r := startEdge(t, "", newStubWorker(t, hang))
		if answers, _ := r.roundTrip(raw, raw[:4]); answers[0].StatusCode < 503 {
			t.Errorf("got status %d, want 503 or 504", answers[0].StatusCode)
		}
		if s := r.stats(); s.hostVoided != 0 || s.voided+s.declined != 1 {
			t.Errorf("%d voided by the host, %d voided, %d declined; want 0 by the host and 1 in all", s.hostVoided, s.voided, s.declined)
		}
	}
}

// The input held for all connections together must stay within its limit, as many connections within their own limits could
// still exhaust memory. A connection that loses its input must still get the answer to its first request.
func TestTotalHeldBytesAreBounded(t *testing.T) {
	const limit, clients = 512 << 10, 30
	r := startEdge(t, "", newStubWorker(t, hang))
	l := r.p.loops[0]
	done := make(chan struct{})
	l.post(func() { r.p.cfg.ClientLimits.MaxHeldBytes = limit; close(done) })
	<-done
	var conns []net.Conn
	pipelined := []byte(strings.Repeat(get("/ask"), 1+(60<<10)/len(get("/ask"))))
	for range clients {
		c := r.dial()
		io.WriteString(c, get("/ask"))
		if _, err := c.Write(pipelined); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	for until := time.Now().Add(5 * time.Second); r.stats().overHeldBytes == 0; {
		if time.Now().After(until) {
			t.Fatal("no connection lost its held input")
		}
	}
	held := 0
	done = make(chan struct{})
	l.post(func() {
		for _, cc := range l.clientConns.items {
			if !cc.closed && cc.c != nil {
				held += cc.c.InboundBuffered() + cap(cc.input.storage)
			}
		}
		if held != l.held.input {
			t.Errorf("%d bytes of input are held, but %d are counted", held, l.held.input)
		}
		close(done)
	})
	<-done
	if held > limit {
		t.Errorf("%d bytes are held, the limit is %d", held, limit)
	}
	for i, c := range conns { // each still gets the answer to its first request
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			t.Errorf("client %d: %v", i, err)
		}
	}
}

// The requests held for all connections together must stay within the limit, as many requests of a size that is allowed
// could exhaust memory. Each client must get an answer, and a client with a small request must be served.
func TestTotalRequestBytesAreBounded(t *testing.T) {
	const limit, clients, bodyBytes = 1 << 20, 60, 60 << 10
	var workers []*stubWorker
	for range 10 { // enough that the module declines no request
		workers = append(workers, newStubWorker(t, func(c net.Conn, req *http.Request, b []byte) bool {
			if req.ContentLength > 0 {
				return hang(c, req, b)
			}
			return echo(c, req, b)
		}))
	}
	r := startEdge(t, "", workers...)
	l := r.p.loops[0]
	r.onLoop(func(*loop) { r.p.cfg.ClientLimits.MaxHeldBytes = limit })
	request := fmt.Sprintf("POST /pay HTTP/1.1\r\nHost: t\r\nContent-Length: %d\r\n\r\n%s", bodyBytes, strings.Repeat("x", bodyBytes))
	most, refused := 0, 0
	var conns []net.Conn
	for range clients {
		c := r.dial()
		if _, err := io.WriteString(c, request); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
		r.onLoop(func(*loop) { most = max(most, l.held.total()) })
	}
	if answers, _ := r.roundTrip(get("/ask"), "GET"); answers[0].StatusCode != 200 {
		t.Errorf("a small request beside the large ones got status %d, want 200", answers[0].StatusCode)
	}
	for i, c := range conns {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("client %d: %v", i, err)
		}
		if resp.StatusCode == 503 {
			refused++
		}
	}
	r.onLoop(func(*loop) { most = max(most, l.held.total()) })
	if most > limit || refused == 0 || refused == clients {
		t.Errorf("at most %d bytes were held, %d of %d requests refused; want at most %d, and some refused", most, refused, clients, limit)
	}
	for _, c := range conns {
		c.Close()
	}
	waitFor(t, "all memory to be released", func() bool {
		total := 0
		r.onLoop(func(l *loop) { total = l.held.total() })
		return total == 0
	})
}

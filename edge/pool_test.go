package edge

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dunegrade/api"
	"dunegrade/logic"
)

// onLoop runs a function on the edge's first loop, within one callback.
func (r *testEdge) onLoop(do func(l *loop)) {
	done := make(chan struct{})
	l := r.p.loops[0]
	l.post(func() { defer close(done); do(l) })
	<-done
}

// submitTo starts a submission at a worker, for a client that takes no answer. The module doesn't know its txn and so doesn't
// allow it to be sent later, so it ends once its worker has a connection for it, which becomes idle.
func submitTo(l *loop, worker logic.WorkerID) {
	c := l.newCall()
	c.client = &clientConn{l: l, closed: true}
	c.txn.Expiry = l.now + 10*logic.Second
	c.request = append(c.request, get("/ask")...)
	l.startSubmission(c, worker, 0)
}

// numWaiting returns how many submissions wait for a connection to any worker.
func numWaiting(l *loop) (n int) {
	for _, p := range l.pools {
		for _, w := range p.waiting {
			if w.valid() {
				n++
			}
		}
	}
	return n
}

// awaitNoWaiters waits until no submission waits for a connection. It returns long before connectTimeout, after which a
// submission stops waiting.
func (r *testEdge) awaitNoWaiters() {
	r.t.Helper()
	waitFor(r.t, "connections for all submissions", func() (none bool) {
		r.onLoop(func(l *loop) { none = numWaiting(l) == 0 })
		return none
	})
}

// checkPools returns an error if the loop's books on worker connections contradict each other or pass a limit.
func checkPools(l *loop) error {
	limits := &l.p.cfg.WorkerLimits
	if l.numConns > limits.MaxTotalConnections {
		return fmt.Errorf("%d connections to all workers, the limit is %d", l.numConns, limits.MaxTotalConnections)
	}
	if l.numDialing > limits.MaxDialing {
		return fmt.Errorf("%d connections being opened, the limit is %d", l.numDialing, limits.MaxDialing)
	}
	numConns, numDialing := 0, 0
	for id, p := range l.pools {
		numConns += p.numConns
		numDialing += p.numDialing
		if p.numConns > limits.MaxConnections {
			return fmt.Errorf("%d connections to worker %s, the limit is %d", p.numConns, id, limits.MaxConnections)
		}
		listed := map[*workerConn]bool{}
		for _, wc := range p.idle {
			if wc.closed || wc.call != nil || wc.handshaking || wc.pool != p || listed[wc] {
				return fmt.Errorf("worker %s lists a connection as idle that is not, or twice: %+v", id, wc)
			}
			listed[wc] = true
		}
	}
	if numConns != l.numConns || numDialing != l.numDialing {
		return fmt.Errorf("the pools count %d connections and %d dials, the loop %d and %d", numConns, numDialing, l.numConns, l.numDialing)
	}
	return nil
}

// answerOrReset returns a handler that answers after a short time, but resets the connection of every third request.
func answerOrReset() handler {
	const answerAfter = 3 * time.Millisecond
	var requests atomic.Int64
	return func(c net.Conn, r *http.Request, body []byte) bool {
		time.Sleep(answerAfter)
		if requests.Add(1)%3 == 0 {
			return resetConn(c, r, body)
		}
		return echo(c, r, body)
	}
}

// startLimitedEdge starts workers and an edge with the given limit on connections to all of them.
func startLimitedEdge(t *testing.T, workers, total int, extra string) *testEdge {
	var list []*stubWorker
	for range workers {
		list = append(list, newStubWorker(t, answerOrReset()))
	}
	r := startEdge(t, extra, list...)
	r.onLoop(func(l *loop) {
		l.p.cfg.WorkerLimits.MaxTotalConnections = total
		l.connectTimeout = logic.Nanos(time.Minute)
	})
	return r
}

// Guards against a crash: closing an idle connection under the limit on worker connections closed others of the list walked.
func TestIdleConnectionsCloseWhileOtherWorkersWaitForRoom(t *testing.T) {
	r := startLimitedEdge(t, 3, 3, "")
	r.onLoop(func(l *loop) {
		for _, worker := range []logic.WorkerID{"w0", "w0", "w1", "w2", "w2", "w2"} { // no room is left for w2
			submitTo(l, worker)
		}
	})
	waitFor(t, "idle connections", func() (idle bool) {
		r.onLoop(func(l *loop) { idle = l.numDialing == 0 })
		return idle
	})
	r.onLoop(func(l *loop) {
		l.reuseLimit.idleLimit = -1 // every idle connection has been idle for too long
		submitTo(l, "w0")
	})
	r.awaitNoWaiters()
	r.onLoop(func(l *loop) {
		if err := checkPools(l); err != nil {
			t.Error(err)
		}
	})
}

// Guards against more connections to workers than their limit: the room of one closed connection was taken twice.
func TestRoomOfAClosedConnectionIsTakenOnce(t *testing.T) {
	r := startLimitedEdge(t, 4, 2, "")
	r.onLoop(func(l *loop) {
		for _, worker := range []logic.WorkerID{"w0", "w1", "w2"} { // no room is left for w2
			submitTo(l, worker)
		}
	})
	waitFor(t, "idle connections", func() (idle bool) {
		r.onLoop(func(l *loop) { idle = l.numDialing == 0 })
		return idle
	})
	r.onLoop(func(l *loop) { submitTo(l, "w3") })
	r.onLoop(func(l *loop) {
		if err := checkPools(l); err != nil {
			t.Error(err)
		}
	})
	r.awaitNoWaiters()
}

// Guards against submissions that time out beside free room: a failed dial did not pass its room on to other workers.
func TestFailedDialGivesItsRoomToOtherWorkers(t *testing.T) {
	r := startLimitedEdge(t, 1, 2, "")
	refusing, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing.Close()
	var known api.Worker
	r.p.mu.Lock()
	known = r.p.workers["w0"]
	r.p.mu.Unlock()
	r.p.Workers(api.WorkersEvent{Type: api.EventSnapshot, Revision: 2, Now: 1, Workers: []api.Worker{known,
		{ID: "refusing", Address: refusing.Addr().String(), State: api.WorkerUp, Build: 1}}})
	r.waitForLoops()
	r.onLoop(func(l *loop) {
		for _, worker := range []logic.WorkerID{"refusing", "refusing", "w0"} { // no room is left for w0
			submitTo(l, worker)
		}
	})
	r.awaitNoWaiters()
}

// Guards against submissions that time out beside free room: nobody opened what the limit on concurrent dials had held back.
func TestDialsHeldBackByOtherWorkersDialsAreMadeUp(t *testing.T) {
	r := startLimitedEdge(t, 3, 100, "(workers (dialing 1))")
	r.onLoop(func(l *loop) {
		for _, worker := range []logic.WorkerID{"w0", "w1", "w2"} { // one can be dialed at once
			submitTo(l, worker)
		}
	})
	r.awaitNoWaiters()
}

// Guards against more connections to a worker than its limit: a connection back from a relayed answer was kept above it.
func TestConnectionBackFromARelayKeepsTheLimit(t *testing.T) {
	const half = 4 << 10
	relayed := make(chan struct{})
	r := startEdge(t, "(workers (connections 1)) (door (answer-buffer 1KiB))", newStubWorker(t, func(c net.Conn, req *http.Request, b []byte) bool {
		if req.URL.Path != "/ask/big" {
			return echo(c, req, b)
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*half, strings.Repeat("x", half))
		<-relayed
		io.WriteString(c, strings.Repeat("x", half))
		return true
	}))
	r.onLoop(func(l *loop) { l.p.cfg.WorkerLimits.MaxTotalConnections = 100 })
	c := r.dial()
	io.WriteString(c, get("/ask/big"))
	waitFor(t, "a relayed answer", func() bool { return r.stats().streaming == 1 })
	if answers, _ := r.roundTrip(get("/ask"), "GET"); answers[0].StatusCode != 200 {
		t.Errorf("got status %d beside a relayed answer, want 200", answers[0].StatusCode)
	}
	close(relayed)
	if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the end of the relay", func() bool { return r.stats().streaming == 0 })
	r.onLoop(func(l *loop) {
		if err := checkPools(l); err != nil {
			t.Error(err)
		}
	})
}

// Guards against contradictory books and passed limits, whatever the order in which connections open, idle, end and wait.
func TestWorkerPoolsUnderRandomOrders(t *testing.T) {
	const workers, steps = 6, 400
	for seed := range int64(8) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewSource(seed))
			r := startLimitedEdge(t, workers, 3+rng.Intn(8), fmt.Sprintf("(workers (connections %d) (dialing %d))", 2+rng.Intn(4), 1+rng.Intn(8)))
			failed := false
			for step := 0; step < steps && !failed; step++ {
				r.onLoop(func(l *loop) { randomPoolStep(l, rng, workers) })
				r.onLoop(func(l *loop) {
					if err := checkPools(l); err != nil {
						t.Errorf("after step %d: %v", step, err)
						failed = true
					}
				})
			}
			r.awaitNoWaiters()
		})
	}
}

// randomPoolStep starts submissions, ends idle connections or changes for how long they may be idle.
func randomPoolStep(l *loop, rng *rand.Rand, workers int) {
	switch rng.Intn(4) {
	case 0, 1:
		for range 1 + rng.Intn(6) {
			submitTo(l, logic.WorkerID(fmt.Sprint("w", rng.Intn(workers))))
		}
	case 2:
		if p := l.pools[logic.WorkerID(fmt.Sprint("w", rng.Intn(workers)))]; len(p.idle) > 0 {
			l.closeWorkerConn(p.idle[rng.Intn(len(p.idle))], rng.Intn(2) == 0)
		}
	case 3:
		l.reuseLimit.idleLimit = logic.Nanos(rng.Intn(3)-1) * logic.Millisecond
	}
}

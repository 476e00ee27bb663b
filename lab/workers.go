package lab

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"dunegrade/fleet"
)

// submissionDecay multiplies the counts of recent submissions at each call of updateSlowdown. At 10 calls a second, a
// submission counts for about a second.
const submissionDecay = 0.9

// workerFleet holds all workers of a run, which serve HTTP on loopback sockets. One lock guards all their machines; they
// are simulated and never block.
type workerFleet struct {
	day               *Day
	rec               *Record
	now               func() runTime
	host              string // loopback address that the workers listen on
	mu                sync.Mutex
	sharedState       *fleet.SharedState
	goroutines        sync.WaitGroup
	lastJobID         int
	lastWorkerID      int
	workers           map[string]*worker
	recentSubmissions map[int]float64 // submissions by build, decaying exponentially
	tallies           map[tallyKey]*tally
	closed            bool
}

// tallyKey identifies a tally.
type tallyKey struct{ build, product int }

// tally counts a sample of the answers of one build to one product since the platform last sent its tallies.
type tally struct {
	answers, failures int
	totalTime         time.Duration // of the answers that did not fail
}

// worker is one worker process of the fleet.
type worker struct {
	fleet           *workerFleet
	id              string
	replica         int // index of the replica that the worker serves as
	address         string
	build           fleet.Build
	speed           float64
	fault           fleet.MachineFault
	listener        net.Listener
	machine         *fleet.Machine
	startedAt       runTime // 0: before the run, so the worker is warm
	running         bool
	silent          bool          // whether the worker accepts connections but neither processes nor answers requests
	garbageRate     float64       // share of the answers that are not HTTP
	connectDelay    time.Duration // until a new connection is served
	rng             *rand.Rand
	conns           map[*edgeConn]bool
	jobs            map[uint64]*job
	timer           *time.Timer // fires when the next job ends
	failureRecorded bool        // whether the worker's failure from overload has been recorded
}

// job is a submission that the machine has accepted.
type job struct {
	submission *SubmissionRecord
	conn       *edgeConn // nil: closed by the edge
	isHead     bool      // whether the request is a HEAD request, whose response has no body
}

// edgeConn is one connection from an edge.
type edgeConn struct {
	net.Conn
	worker     *worker
	currentJob uint64 // ID of the job to be answered; 0: none
}

func newWorkerFleet(day *Day, rec *Record, now func() runTime, host string) *workerFleet {
	return &workerFleet{day: day, rec: rec, now: now, host: host, sharedState: fleet.NewSharedState(), workers: map[string]*worker{},
		recentSubmissions: map[int]float64{}, tallies: map[tallyKey]*tally{}}
}

// newWorker creates a worker for a replica, without starting it.
func (f *workerFleet) newWorker(replica int, build fleet.Build, speed float64, fault fleet.MachineFault) *worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastWorkerID++
	w := &worker{fleet: f, id: fmt.Sprintf("w%03d", f.lastWorkerID), replica: replica, build: build, speed: speed, fault: fault,
		conns: map[*edgeConn]bool{}, jobs: map[uint64]*job{}, rng: rand.New(rand.NewSource(f.day.Seed*1000 + int64(f.lastWorkerID)))}
	f.workers[w.id] = w
	return w
}

// start makes the worker listen and serve. If cold is set, it starts at its cold capacity. A restarted worker keeps its
// address.
func (w *worker) start(cold bool) error {
	address := w.address
	if address == "" {
		address = net.JoinHostPort(w.fleet.host, "0")
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("worker %s: %w", w.id, err)
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.address, w.listener, w.running, w.silent, w.failureRecorded = ln.Addr().String(), ln, true, false, false
	w.startedAt = 0
	if cold {
		w.startedAt = max(1, w.fleet.now())
	}
	kind := w.fleet.day.MachineKind
	kind.Speed = w.speed
	w.machine = fleet.NewMachine(kind, w.build, fleet.Nanos(w.startedAt), w.fleet.sharedState, w.rng.Int63())
	w.machine.Fault = w.fault
	w.fleet.goroutines.Go(func() { w.accept(ln) })
	return nil
}

// stop ends the worker at once: its connections are reset and its jobs are lost.
func (w *worker) stop() {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.stopLocked()
}

// stopLocked is stop for callers that hold the fleet's lock.
func (w *worker) stopLocked() {
	if !w.running {
		return
	}
	w.running = false
	w.listener.Close()
	if w.timer != nil {
		w.timer.Stop()
	}
	for c := range w.conns {
		c.reset()
	}
	clear(w.conns)
	clear(w.jobs)
}

// reset closes the connection with a TCP reset.
func (c *edgeConn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Conn.Close()
}

// changeFault changes the fault of the worker's machine.
func (w *worker) changeFault(change func(*fleet.MachineFault)) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	change(&w.fault)
	if w.machine != nil {
		w.machine.Fault = w.fault
	}
}

// setSilent makes the worker unresponsive, or responsive again. When it becomes responsive, its connections are reset and
// its jobs are lost.
func (w *worker) setSilent(silent bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.silent = silent
	if !silent {
		for c := range w.conns {
			c.reset()
		}
		clear(w.conns)
		clear(w.jobs)
	}
}

// accept serves the connections of a listener until the listener is closed.
func (w *worker) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		conn := &edgeConn{Conn: c, worker: w}
		w.fleet.mu.Lock()
		if !w.running || w.listener != ln {
			w.fleet.mu.Unlock()
			conn.reset()
			continue
		}
		w.conns[conn] = true
		delay := w.connectDelay
		w.fleet.mu.Unlock()
		w.fleet.goroutines.Go(func() {
			if delay > 0 {
				t := time.NewTimer(delay)
				<-t.C
			}
			w.serve(conn)
			w.fleet.mu.Lock()
			delete(w.conns, conn)
			w.fleet.mu.Unlock()
			conn.Close()
		})
	}
}

// serve reads requests. The responses are written when the machine completes the jobs. While a job is pending, the next
// read detects that the edge has closed the connection.
func (w *worker) serve(c *edgeConn) {
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			w.handleDisconnect(c)
			return
		}
		req, err := http.ReadRequest(in)
		if err != nil {
			w.handleDisconnect(c)
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil || c.isReset() {
			w.handleDisconnect(c)
			return
		}
		w.handleRequest(c, req)
	}
}

// handleDisconnect cancels the job of a closed connection, if the machine stops on cancellation.
func (w *worker) handleDisconnect(c *edgeConn) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if c.currentJob == 0 || w.machine == nil {
		return
	}
	j := w.jobs[c.currentJob]
	if j == nil {
		return
	}
	started, found := w.machine.Cancel(fleet.Nanos(w.fleet.now()), c.currentJob)
	if found {
		j.submission.TookEffect, j.submission.Result, j.submission.FinishedAt = started, "cancelled", w.fleet.now()
		delete(w.jobs, c.currentJob)
		w.scheduleTimer()
	}
	j.conn = nil
	c.currentJob = 0
}

// isReset reports whether the edge has reset the connection. While the worker delays a new connection, its first request
// waits in the socket buffer. It can still be read after the edge has cancelled it, so the read alone does not detect the
// cancellation.
func (c *edgeConn) isReset() bool {
	t, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return true
	}
	socketError := 0
	raw.Control(func(fd uintptr) {
		socketError, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
	})
	return socketError != 0
}

// headerUint returns the number in a header, or 0 if there is none.
func headerUint(r *http.Request, name string) uint64 {
	n, _ := strconv.ParseUint(r.Header.Get(name), 10, 64)
	return n
}

// handleRequest submits a request to the machine. It answers at once if the machine does not accept the job.
func (w *worker) handleRequest(c *edgeConn, r *http.Request) {
	f := w.fleet
	now := f.now()
	record := &SubmissionRecord{Txn: headerUint(r, "Lab-Txn"), Worker: w.id, Replica: w.replica, Build: w.build.Number, ReceivedAt: now}
	work := time.Duration(headerUint(r, "Lab-Work-Ns"))
	product := int(headerUint(r, "Lab-Product"))
	malformed := r.Header.Get("Lab-Bad") != ""
	dedupKey := uint64(0)
	if r.Header.Get("Idempotency-Key") != "" {
		dedupKey = headerUint(r, "Idempotency-Key")
	}
	f.mu.Lock()
	if !w.running {
		f.mu.Unlock()
		c.reset()
		return
	}
	record.WorkerStartedAt = w.startedAt
	f.recentSubmissions[w.build.Number]++
	if w.silent {
		// The request only reaches the socket buffer; the process never reads it.
		f.mu.Unlock()
		record.Result = "silent"
		f.rec.addSubmission(record)
		return
	}
	if product >= len(f.day.Products) {
		product = 0
	}
	f.lastJobID++
	id := uint64(f.lastJobID)
	var reply []byte
	j := &job{submission: record, conn: c, isHead: r.Method == http.MethodHead}
	productSpec := &f.day.Products[product]
	responses := w.completeJobs()
	admission := fleet.Accepted
	switch {
	case malformed:
		record.Result, record.TookEffect = "bad", false
		reply = formatResponse(500, "", nil, record, w, false, j.isHead)
	default:
		admission = w.machine.Submit(fleet.Nanos(now), fleet.Job{ID: id, Product: product, DedupKey: dedupKey, DedupWindow: fleet.Nanos(productSpec.DedupMemory),
			Work: fleet.Nanos(work), Sentry: int(headerUint(r, "Lab-Edge"))})
	}
	switch admission {
	case fleet.Refused:
		record.Rejected, record.Result = true, "turned-away"
		reply = formatResponse(503, "Dunegrade-Unseen: 1\r\n", nil, record, w, false, j.isHead)
	case fleet.MachineDown:
		if !w.failureRecorded {
			w.failureRecorded = true
			workByEdge := map[int]time.Duration{}
			for edge, sum := range w.machine.RecentWork() {
				workByEdge[edge] = time.Duration(sum)
			}
			f.rec.mu.Lock()
			f.rec.OverloadFailures = append(f.rec.OverloadFailures, OverloadFailure{w.id, w.startedAt, now, workByEdge})
			f.rec.mu.Unlock()
		}
		record.Result = "down"
		w.stopLocked()
	}
	if reply == nil && admission == fleet.Accepted {
		w.jobs[id] = j
		c.currentJob = id
		w.scheduleTimer()
	}
	f.mu.Unlock()
	f.rec.addSubmission(record)
	if reply != nil {
		c.Write(reply)
	}
	for _, response := range responses {
		response.conn.Write(response.data)
	}
}

// pendingResponse is a response that is written after the fleet's lock has been released.
type pendingResponse struct {
	conn *edgeConn
	data []byte
}

// completeJobs completes the jobs that have ended by now, and returns the responses to send. The caller holds the fleet's
// lock.
func (w *worker) completeJobs() (responses []pendingResponse) {
	for _, done := range w.machine.Advance(fleet.Nanos(w.fleet.now())) {
		w.completeJob(done, func(c *edgeConn, data []byte) { responses = append(responses, pendingResponse{c, data}) })
	}
	return responses
}

// scheduleTimer sets the timer to the end of the next job. The caller holds the fleet's lock.
func (w *worker) scheduleTimer() {
	next := time.Duration(w.machine.NextCompletion())
	if w.timer != nil {
		w.timer.Stop()
	}
	if next > 1<<62 { // no job is running
		return
	}
	w.timer = time.AfterFunc(max(0, next-w.fleet.now()), w.handleTimer)
}

// handleTimer completes the jobs that have ended, and sends their responses.
func (w *worker) handleTimer() {
	f := w.fleet
	f.mu.Lock()
	var responses []pendingResponse
	if w.running && w.machine != nil {
		responses = w.completeJobs()
		w.scheduleTimer()
	}
	f.mu.Unlock()
	for _, response := range responses {
		response.conn.Write(response.data)
	}
}

// completeJob records the end of a job, and passes its response, if any, to send. The caller holds the fleet's lock.
func (w *worker) completeJob(done fleet.CompletedJob, send func(*edgeConn, []byte)) {
	j := w.jobs[done.ID]
	if j == nil {
		return
	}
	delete(w.jobs, done.ID)
	record := j.submission
	record.FinishedAt, record.TookEffect, record.Duplicate = w.fleet.now(), done.Executed(), done.Result == fleet.Deduplicated
	status, wrongAnswer := 200, false
	switch done.Result {
	case fleet.Failed:
		record.Result, status = "failed", 500
	case fleet.WrongAnswer:
		record.Result, wrongAnswer = "wrong", true
	case fleet.Deduplicated:
		record.Result = "dropped"
	default:
		record.Result = "ok"
	}
	if w.fleet.day.TallyInterval > 0 && w.rng.Float64() < w.fleet.day.TallySampleShare {
		key := tallyKey{w.build.Number, done.Product}
		if w.fleet.tallies[key] == nil {
			w.fleet.tallies[key] = &tally{}
		}
		w.fleet.tallies[key].answers++
		if status == 200 {
			w.fleet.tallies[key].totalTime += record.FinishedAt - record.ReceivedAt
		} else {
			w.fleet.tallies[key].failures++
		}
	}
	c := j.conn
	if c == nil || w.silent {
		return
	}
	c.currentJob = 0
	if w.garbageRate > 0 && w.rng.Float64() < w.garbageRate {
		record.Result = "garbage"
		send(c, []byte("\x00\x01 this is no answer\r\n\r\n"))
		return
	}
	load := w.machine.Load(fleet.Nanos(w.fleet.now()))
	send(c, formatResponse(status, "", &load, record, w, wrongAnswer, j.isHead))
}

// responseBody is the body of every response.
var responseBody = []byte("0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcde\n")

// formatResponse returns an HTTP response. extraHeaders holds complete header lines, and load may be nil.
func formatResponse(status int, extraHeaders string, load *fleet.LoadReport, record *SubmissionRecord, w *worker, wrongAnswer, isHead bool) []byte {
	response := make([]byte, 0, 512)
	response = fmt.Appendf(response, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\nLab-Txn: %d\r\nLab-Build: %d\r\nLab-Worker: %s\r\n%s", status,
		http.StatusText(status), len(responseBody), record.Txn, w.build.Number, w.id, extraHeaders)
	if wrongAnswer {
		response = append(response, "Lab-Wrong: 1\r\n"...)
	}
	if load != nil {
		response = fmt.Appendf(response, "endpoint-load-metrics: TEXT cpu_utilization=%.3f, named_metrics.queue=%.0f, named_metrics.busy=%.0f\r\n",
			load.Util, load.Queue, load.Busy)
	}
	response = append(response, "\r\n"...)
	if !isHead {
		response = append(response, responseBody...)
	}
	return response
}

// updateSlowdown sets the slowdown of all machines that a build with the flaw SlowsFleet causes, in proportion to the
// build's share of the recent submissions. It is called every 100 ms.
func (f *workerFleet) updateSlowdown() {
	f.mu.Lock()
	defer f.mu.Unlock()
	total, slowdown := 0.0, 1.0
	for _, n := range f.recentSubmissions {
		total += n
	}
	for _, w := range f.workers {
		if w.build.Flaw == fleet.SlowsFleet && total > 0 {
			slowdown = max(slowdown, 1+(w.build.Strength-1)*f.recentSubmissions[w.build.Number]/total)
		}
	}
	f.sharedState.SlowdownFactor = slowdown
	for build := range f.recentSubmissions {
		f.recentSubmissions[build] *= submissionDecay
	}
}

// close stops all workers and waits for their goroutines.
func (f *workerFleet) close() {
	f.mu.Lock()
	f.closed = true
	for _, w := range f.workers {
		w.stopLocked()
	}
	f.mu.Unlock()
	f.goroutines.Wait()
}

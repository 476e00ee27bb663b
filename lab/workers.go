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

// workerFleet is all workers of a run, on sockets. One lock guards the machines: they are models, and quick.
type workerFleet struct {
	day    *Day
	rec    *Record
	now    func() runTime
	host   string // the loopback address they listen on
	mu     sync.Mutex
	shared *fleet.SharedState
	group  sync.WaitGroup
	next   int // id of a job
	ids    int // of a worker
	byID   map[string]*worker
	recent map[int]float64 // submissions by build, fading
	counts map[countOf]*count
	closed bool
}

// countOf says what is counted together; count is a sample of how it went since it was last told.
type countOf struct{ build, product int }

type count struct {
	many, bad int
	sum       time.Duration
}

// worker is one process of the fleet.
type worker struct {
	p            *workerFleet
	id           string
	replica      int
	address      string
	build        fleet.Build
	speed        float64
	ail          fleet.MachineFault
	ln           net.Listener
	m            *fleet.Machine
	started      runTime
	up           bool
	silent       bool // vanished: nothing goes out, nothing is taken in
	garbageRate  float64
	connectDelay time.Duration // what a new connection costs
	rng          *rand.Rand
	conns        map[*workConn]bool
	jobs         map[uint64]*job
	timer        *time.Timer
	fell         bool
}

type job struct {
	arrival *SubmissionRecord
	conn    *workConn
	head    bool
}

// workConn is one connection from an edge.
type workConn struct {
	net.Conn
	w   *worker
	cur uint64 // arrival whose answer is due, 0: none
}

func newWorkerFleet(day *Day, rec *Record, now func() runTime, host string) *workerFleet {
	return &workerFleet{day: day, rec: rec, now: now, host: host, shared: fleet.NewSharedState(), byID: map[string]*worker{},
		recent: map[int]float64{}, counts: map[countOf]*count{}}
}

// add makes a worker for a place. It does not run yet.
func (p *workerFleet) add(place int, build fleet.Build, speed float64, ail fleet.MachineFault) *worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ids++
	w := &worker{p: p, id: fmt.Sprintf("w%03d", p.ids), replica: place, build: build, speed: speed, ail: ail,
		conns: map[*workConn]bool{}, jobs: map[uint64]*job{}, rng: rand.New(rand.NewSource(p.day.Seed*1000 + int64(p.ids)))}
	p.byID[w.id] = w
	return w
}

// start has a worker listen and run; cold unless it is of the first ones.
func (w *worker) start(cold bool) error {
	address := w.address
	if address == "" {
		address = net.JoinHostPort(w.p.host, "0")
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("worker %s: %w", w.id, err)
	}
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	w.address, w.ln, w.up, w.silent, w.fell = ln.Addr().String(), ln, true, false, false
	w.started = 0
	if cold {
		w.started = max(1, w.p.now())
	}
	kind := w.p.day.MachineKind
	kind.Speed = w.speed
	w.m = fleet.NewMachine(kind, w.build, fleet.Nanos(w.started), w.p.shared, w.rng.Int63())
	w.m.Fault = w.ail
	w.p.group.Go(func() { w.accept(ln) })
	return nil
}

// stop ends a worker at once: its connections break, its work is lost.
func (w *worker) stop() {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	w.end()
}

// end is stop with the lock held.
func (w *worker) end() {
	if !w.up {
		return
	}
	w.up = false
	w.ln.Close()
	if w.timer != nil {
		w.timer.Stop()
	}
	for c := range w.conns {
		c.reset()
	}
	clear(w.conns)
	clear(w.jobs)
}

func (c *workConn) reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Conn.Close()
}

// changeFault changes what is wrong with a worker.
func (w *worker) changeFault(change func(*fleet.MachineFault)) {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	change(&w.ail)
	if w.m != nil {
		w.m.Fault = w.ail
	}
}

// setSilent silences a worker, or lets it speak again; what it held meanwhile is lost.
func (w *worker) setSilent(silent bool) {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	w.silent = silent
	if !silent {
		for c := range w.conns {
			c.reset()
		}
		clear(w.conns)
		clear(w.jobs)
	}
}

func (w *worker) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		wc := &workConn{Conn: c, w: w}
		w.p.mu.Lock()
		if !w.up || w.ln != ln {
			w.p.mu.Unlock()
			wc.reset()
			continue
		}
		w.conns[wc] = true
		cost := w.connectDelay
		w.p.mu.Unlock()
		w.p.group.Go(func() {
			if cost > 0 {
				t := time.NewTimer(cost)
				<-t.C
			}
			w.serve(wc)
			w.p.mu.Lock()
			delete(w.conns, wc)
			w.p.mu.Unlock()
			wc.Close()
		})
	}
}

// serve reads requests; answers are written when the machine is through with them. While one is out, a further
// read tells when the edge hangs up.
func (w *worker) serve(c *workConn) {
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			w.hungUp(c)
			return
		}
		req, err := http.ReadRequest(in)
		if err != nil {
			w.hungUp(c)
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil || c.withdrawn() {
			w.hungUp(c)
			return
		}
		w.take(c, req)
	}
}

// hungUp ends the work of a connection that has gone, where the machines do so.
func (w *worker) hungUp(c *workConn) {
	w.p.mu.Lock()
	defer w.p.mu.Unlock()
	if c.cur == 0 || w.m == nil {
		return
	}
	j := w.jobs[c.cur]
	if j == nil {
		return
	}
	began, found := w.m.Cancel(fleet.Nanos(w.p.now()), c.cur)
	if found {
		j.arrival.TookEffect, j.arrival.Result, j.arrival.FinishedAt = began, "cancelled", w.p.now()
		delete(w.jobs, c.cur)
		w.arm()
	}
	j.conn = nil
	c.cur = 0
}

// withdrawn tells whether the edge has reset the connection already. Danger: what lay in the host's buffers while a
// process was busy with a costly connection reads like any request, long after it was called off.
func (c *workConn) withdrawn() bool {
	t, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return true
	}
	fault := 0
	raw.Control(func(fd uintptr) { fault, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) })
	return fault != 0
}

func headerInt(r *http.Request, name string) uint64 {
	n, _ := strconv.ParseUint(r.Header.Get(name), 10, 64)
	return n
}

// take gives a submission to the machine.
func (w *worker) take(c *workConn, r *http.Request) {
	p := w.p
	now := p.now()
	a := &SubmissionRecord{Txn: headerInt(r, "Lab-Txn"), Worker: w.id, Replica: w.replica, Build: w.build.Number, ReceivedAt: now}
	work := time.Duration(headerInt(r, "Lab-Work-Ns"))
	product := int(headerInt(r, "Lab-Product"))
	bad := r.Header.Get("Lab-Bad") != ""
	mark := uint64(0)
	if r.Header.Get("Idempotency-Key") != "" {
		mark = headerInt(r, "Idempotency-Key")
	}
	p.mu.Lock()
	if !w.up {
		p.mu.Unlock()
		c.reset()
		return
	}
	a.WorkerStartedAt = w.started
	p.recent[w.build.Number]++
	if w.silent {
		// Taken in by the host's buffers; the process never sees it.
		p.mu.Unlock()
		a.Result = "silent"
		p.rec.addSubmission(a)
		return
	}
	if product >= len(p.day.Products) {
		product = 0
	}
	p.next++
	id := uint64(p.next)
	var out []byte
	j := &job{arrival: a, conn: c, head: r.Method == http.MethodHead}
	spec := &p.day.Products[product]
	sends := w.collect()
	verdict := fleet.Accepted
	switch {
	case bad:
		a.Result, a.TookEffect = "bad", false
		out = answer(500, "", nil, a, w, false, j.head)
	default:
		verdict = w.m.Submit(fleet.Nanos(now), fleet.Job{ID: id, Product: product, DedupKey: mark, Memory: fleet.Nanos(spec.DedupMemory),
			Work: fleet.Nanos(work), From: int(headerInt(r, "Lab-Edge"))})
	}
	switch verdict {
	case fleet.Refused:
		a.Rejected, a.Result = true, "turned-away"
		out = answer(503, "Dunegrade-Unseen: 1\r\n", nil, a, w, false, j.head)
	case fleet.MachineDown:
		if !w.fell {
			w.fell = true
			from := map[int]time.Duration{}
			for e, sum := range w.m.RecentWork() {
				from[e] = time.Duration(sum)
			}
			p.rec.mu.Lock()
			p.rec.OverloadFailures = append(p.rec.OverloadFailures, OverloadFailure{w.id, w.started, now, from})
			p.rec.mu.Unlock()
		}
		a.Result = "down"
		w.end()
	}
	if out == nil && verdict == fleet.Accepted {
		w.jobs[id] = j
		c.cur = id
		w.arm()
	}
	p.mu.Unlock()
	p.rec.addSubmission(a)
	if out != nil {
		c.Write(out)
	}
	for _, s := range sends {
		s.c.Write(s.out)
	}
}

type sending struct {
	c   *workConn
	out []byte
}

// collect ends what is through by now, and gives the answers to send. The lock is held.
func (w *worker) collect() (sends []sending) {
	for _, d := range w.m.Advance(fleet.Nanos(w.p.now())) {
		w.finish(d, func(c *workConn, out []byte) { sends = append(sends, sending{c, out}) })
	}
	return sends
}

// arm sets the timer for the next job's end. The lock is held.
func (w *worker) arm() {
	next := time.Duration(w.m.NextCompletion())
	if w.timer != nil {
		w.timer.Stop()
	}
	if next > 1<<62 {
		return
	}
	w.timer = time.AfterFunc(max(0, next-w.p.now()), w.step)
}

// step ends what is through, and answers it.
func (w *worker) step() {
	p := w.p
	p.mu.Lock()
	var sends []sending
	if w.up && w.m != nil {
		sends = w.collect()
		w.arm()
	}
	p.mu.Unlock()
	for _, s := range sends {
		s.c.Write(s.out)
	}
}

// finish books a job's end, and has its answer sent. The lock is held.
func (w *worker) finish(d fleet.CompletedJob, send func(*workConn, []byte)) {
	j := w.jobs[d.ID]
	if j == nil {
		return
	}
	delete(w.jobs, d.ID)
	a := j.arrival
	a.FinishedAt, a.TookEffect, a.Duplicate = w.p.now(), d.TookEffect(), d.End == fleet.Dropped
	status, wrong := 200, false
	switch d.End {
	case fleet.Failed:
		a.Result, status = "failed", 500
	case fleet.WrongAnswer:
		a.Result, wrong = "wrong", true
	case fleet.Dropped:
		a.Result = "dropped"
	default:
		a.Result = "ok"
	}
	if w.p.day.TallyInterval > 0 && w.rng.Float64() < w.p.day.TallySampleShare {
		k := countOf{w.build.Number, d.Product}
		if w.p.counts[k] == nil {
			w.p.counts[k] = &count{}
		}
		w.p.counts[k].many++
		if status == 200 {
			w.p.counts[k].sum += a.FinishedAt - a.ReceivedAt
		} else {
			w.p.counts[k].bad++
		}
	}
	c := j.conn
	if c == nil || w.silent {
		return
	}
	c.cur = 0
	if w.garbageRate > 0 && w.rng.Float64() < w.garbageRate {
		a.Result = "garbage"
		send(c, []byte("\x00\x01 this is no answer\r\n\r\n"))
		return
	}
	load := w.m.Load(fleet.Nanos(w.p.now()))
	send(c, answer(status, "", &load, a, w, wrong, j.head))
}

var answerBody = []byte("0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcde\n")

func answer(status int, extra string, load *fleet.LoadReport, a *SubmissionRecord, w *worker, wrong, head bool) []byte {
	out := make([]byte, 0, 512)
	out = fmt.Appendf(out, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\nLab-Txn: %d\r\nLab-Build: %d\r\nLab-Worker: %s\r\n%s", status,
		http.StatusText(status), len(answerBody), a.Txn, w.build.Number, w.id, extra)
	if wrong {
		out = append(out, "Lab-Wrong: 1\r\n"...)
	}
	if load != nil {
		out = fmt.Appendf(out, "endpoint-load-metrics: TEXT cpu_utilization=%.3f, named_metrics.queue=%.0f, named_metrics.busy=%.0f\r\n",
			load.Util, load.Queue, load.Busy)
	}
	out = append(out, "\r\n"...)
	if !head {
		out = append(out, answerBody...)
	}
	return out
}

// drag sets how much a build that slows all does so, by its share of the traffic of the last second or so.
func (p *workerFleet) drag() {
	p.mu.Lock()
	defer p.mu.Unlock()
	all, most := 0.0, 1.0
	for _, n := range p.recent {
		all += n
	}
	for _, w := range p.byID {
		if w.build.Flaw == fleet.SlowsFleet && all > 0 {
			most = max(most, 1+(w.build.Strength-1)*p.recent[w.build.Number]/all)
		}
	}
	p.shared.SlowdownFactor = most
	for b := range p.recent {
		p.recent[b] *= 0.9
	}
}

// close ends all workers and waits for their goroutines.
func (p *workerFleet) close() {
	p.mu.Lock()
	p.closed = true
	for _, w := range p.byID {
		w.end()
	}
	p.mu.Unlock()
	p.group.Wait()
}

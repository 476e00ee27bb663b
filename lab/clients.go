package lab

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// clients send txns at times drawn ahead, whatever becomes of earlier ones, so that a slow edge meets the load that
// real clients would bring it (no coordinated omission).
type clients struct {
	day   *Day
	rec   *Record
	now   func() runTime
	rng   *rand.Rand
	zipf  *rand.Zipf
	edges []*edgeEndpoint
	group sync.WaitGroup
	next  atomic.Uint64
	flag  func(edge int, product, worker string, age time.Duration)
	mu    sync.Mutex // guards chance drawn after the start
	late  *rand.Rand

	rateFactor   atomic.Uint64 // times the traffic, as float bits
	giveUpShare  atomic.Uint64 // share that leaves early
	badKeyShare  atomic.Uint64
	maxSendDelay atomic.Int64 // the latest that an arrival was sent after its time, in nanoseconds
}

// edgeEndpoint is an edge as clients see it, with connections kept for reuse.
type edgeEndpoint struct {
	index       int
	address     string
	weight      float64
	incarnation atomic.Int64 // number of the process now running
	mu          sync.Mutex
	idle        []*clientSide
}

type clientSide struct {
	net.Conn
	in   *bufio.Reader
	used int
}

func floatOf(a *atomic.Uint64) float64       { return math.Float64frombits(a.Load()) }
func storeFloat(a *atomic.Uint64, v float64) { a.Store(math.Float64bits(v)) }

func newClients(day *Day, rec *Record, now func() runTime, flag func(int, string, string, time.Duration)) *clients {
	rng := rand.New(rand.NewSource(day.Seed + 99))
	c := &clients{day: day, rec: rec, now: now, rng: rng, zipf: rand.NewZipf(rng, 1.1, 10, uint64(max(1, day.Keys-1))),
		flag: flag, late: rand.New(rand.NewSource(day.Seed + 101))}
	storeFloat(&c.rateFactor, 1)
	return c
}

// run sends the day's traffic until its length is over, then waits for what is out.
func (c *clients) run(quit <-chan struct{}) {
	t := time.NewTimer(0)
	defer t.Stop()
	due := c.now()
	for due < c.day.Length {
		due += time.Duration(c.rng.ExpFloat64() / (c.day.Rate * floatOf(&c.rateFactor)) * float64(time.Second))
		if wait := due - c.now(); wait > 0 {
			t.Reset(wait)
			select {
			case <-quit:
				c.group.Wait()
				return
			case <-t.C:
			}
		} else if int64(-wait) > c.maxSendDelay.Load() {
			c.maxSendDelay.Store(int64(-wait))
		}
		txn := c.draw()
		c.group.Go(func() { c.play(txn) })
	}
	c.group.Wait()
}

// order is one txn as it is asked for.
type order struct {
	product int
	key     uint64
	work    time.Duration
	hint    time.Duration
	edge    *edgeEndpoint
	share   float64 // of the expiry that the client waits
	early   time.Duration
	bad     bool
}

func (c *clients) draw() order {
	o := order{key: 1 + c.zipf.Uint64()}
	x := c.rng.Float64()
	for i, p := range c.day.Products {
		if o.product = i; x < p.Share {
			break
		}
		x -= p.Share
	}
	p := &c.day.Products[o.product]
	cv := c.day.WorkCV
	sigma := math.Sqrt(math.Log(1 + cv*cv))
	o.work = time.Duration(float64(p.MeanWork) * math.Exp(sigma*c.rng.NormFloat64()-sigma*sigma/2))
	o.hint = time.Duration(float64(o.work) * math.Exp(0.3*c.rng.NormFloat64()))
	o.edge = c.pick(c.rng.Float64())
	o.share = c.day.MinPatience + (1-c.day.MinPatience)*c.rng.Float64()
	if c.rng.Float64() < floatOf(&c.giveUpShare) {
		o.early = time.Duration((0.1 + 0.8*c.rng.Float64()) * float64(p.SLA))
	}
	o.bad = float64(o.key*0x9e3779b97f4a7c15>>40)/(1<<24) < floatOf(&c.badKeyShare) // all of a key, as real ones are
	return o
}

// pick chooses an edge by a number from 0 to 1, and the edges' weights.
func (c *clients) pick(x float64) *edgeEndpoint {
	sum := 0.0
	for _, e := range c.edges {
		sum += e.weight
	}
	x *= sum
	for _, e := range c.edges {
		if x < e.weight {
			return e
		}
		x -= e.weight
	}
	return c.edges[len(c.edges)-1]
}

// play sends a txn and, where that does no harm, sends it again by itself, as clients do.
func (c *clients) play(o order) {
	p := &c.day.Products[o.product]
	first := c.now()
	patience := time.Duration(o.share * float64(p.Expiry))
	lineage := uint64(0)
	for try := 0; ; try++ {
		r := &TxnRecord{ID: c.next.Add(1), Edge: o.edge.index, Incarnation: int(o.edge.incarnation.Load()), Product: o.product, Key: o.key, SentAt: c.now(),
			Malformed: o.bad, IsRetry: try > 0}
		if lineage == 0 {
			lineage = r.ID
		}
		r.FirstTryID = lineage
		r.Deadline = r.SentAt + patience
		r.Revenue = p.Revenue
		after := c.send(o, r)
		c.rec.addTxn(r)
		// A once-only txn goes again only where the edge was not reached, or said that it does no harm.
		again := r.Failure == "refused" || r.Outcome == "declined" || p.Effect == "inquiry-like" && r.Status != 200 && r.LeftAt == 0 && !o.bad ||
			p.Effect == "referenced" && r.Status != 200 && r.LeftAt == 0 && !o.bad && c.now()-first < p.DedupMemory/2
		if !again || try >= c.day.Retries || c.now()+after+c.day.Backoff > first+2*patience {
			return
		}
		time.Sleep(after + c.day.Backoff)
		o.edge = c.pick(c.chance()) // what spreads clients over edges does so for each try
	}
}

// send plays one try, and gives how long the edge asked the client to stay away.
func (c *clients) send(o order, r *TxnRecord) (after time.Duration) {
	p := &c.day.Products[o.product]
	conn := o.edge.take()
	if conn == nil {
		d := net.Dialer{Timeout: r.Deadline - r.SentAt}
		raw, err := d.Dial("tcp", o.edge.address)
		if err != nil {
			r.Failure = "refused"
			return 0
		}
		conn = &clientSide{Conn: raw, in: bufio.NewReader(raw)}
	}
	r.ReusedConn = conn.used > 0
	conn.used++
	// The client waits a little past its patience, so that an answer that is late by a hair is seen as that.
	wait := r.Deadline - c.now() + checkSlack
	if o.early > 0 {
		wait = o.early
	}
	conn.SetDeadline(time.Now().Add(wait))
	method, length := "GET", ""
	if p.Effect != "inquiry-like" || p.BodyBytes > 0 {
		method, length = "POST", "Content-Length: "+strconv.Itoa(p.BodyBytes)+"\r\n"
	}
	mark := ""
	if p.Effect == "referenced" {
		mark = fmt.Sprintf("Idempotency-Key: %d\r\n", r.FirstTryID)
	}
	if p.Effect != "inquiry-like" { // as a shop traces its orders: a repeat has its first try's trace id
		mark += fmt.Sprintf("traceparent: 00-%016x%016x-%016x-01\r\n", uint64(c.day.Seed)+1, r.FirstTryID, r.ID)
	}
	bad := ""
	if o.bad {
		bad = "Lab-Bad: 1\r\n"
	}
	head := fmt.Sprintf("%s /%s/%d HTTP/1.1\r\nHost: lab\r\n%s%sLab-Txn: %d\r\nLab-Edge: %d\r\nLab-Key: %d\r\nLab-Product: %d\r\n"+
		"Lab-Work-Ns: %d\r\nLab-Cost-Ms: %.3f\r\n%sx-envoy-upstream-rq-timeout-ms: %d\r\n\r\n", method, p.Name, o.key, length, mark,
		r.ID, o.edge.index, o.key, o.product, int64(o.work), float64(o.hint)/1e6, bad, (r.Deadline-r.SentAt)/time.Millisecond)
	out := append(make([]byte, 0, len(head)+p.BodyBytes), head...)
	for i := 0; i < p.BodyBytes; i++ {
		out = append(out, 'x')
	}
	if _, err := conn.Write(out); err != nil {
		c.broke(conn, r, err, o)
		return 0
	}
	resp, err := http.ReadResponse(conn.in, nil)
	if err != nil {
		c.broke(conn, r, err, o)
		return 0
	}
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if err != nil {
		c.broke(conn, r, err, o)
		return 0
	}
	r.AnsweredAt, r.Status, r.Outcome = c.now(), resp.StatusCode, resp.Header.Get("Dunegrade-Outcome")
	if v := resp.Header.Get("Lab-Txn"); v != "" && v != strconv.FormatUint(r.ID, 10) {
		r.ForeignAnswer = true
	}
	r.Build, _ = strconv.Atoi(resp.Header.Get("Lab-Build"))
	r.WrongAnswer = resp.Header.Get("Lab-Wrong") != ""
	if r.WrongAnswer && c.chance() < c.day.WrongReportShare {
		edge, product, worker, sent := o.edge.index, p.Name, resp.Header.Get("Lab-Worker"), r.SentAt
		time.AfterFunc(c.day.WrongReportDelay, func() { c.flag(edge, product, worker, c.now()-sent) })
	}
	if ms, err := strconv.Atoi(resp.Header.Get("Dunegrade-Retry-After-Ms")); err == nil {
		after = time.Duration(ms) * time.Millisecond
	}
	if conn.in.Buffered() > 0 {
		r.ExtraBytes = true
	}
	if resp.Close || r.ExtraBytes || r.ForeignAnswer {
		conn.Close()
		return after
	}
	o.edge.give(conn)
	return after
}

func (c *clients) chance() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.late.Float64()
}

// broke books a txn whose connection ended, or whose client's patience did.
func (c *clients) broke(conn *clientSide, r *TxnRecord, err error, o order) {
	conn.Close()
	if e, ok := err.(net.Error); ok && e.Timeout() {
		r.LeftAt = c.now()
		return
	}
	r.Failure = "broken"
	r.AnsweredAt = 0
}

// take gives an idle connection that is still open and silent, or nil.
func (t *edgeEndpoint) take() *clientSide {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n := len(t.idle); n > 0; n = len(t.idle) {
		c := t.idle[n-1]
		t.idle = t.idle[:n-1]
		if quiet(c.Conn) {
			return c
		}
		c.Close()
	}
	return nil
}

// quiet tells whether a connection is open with nothing to read, without waiting.
func quiet(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	ok := false
	raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ok = err == syscall.EAGAIN
	})
	return ok
}

func (t *edgeEndpoint) give(c *clientSide) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idle = append(t.idle, c)
}

// closeIdle closes all idle connections, as when the edge has gone.
func (t *edgeEndpoint) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.idle {
		c.Close()
	}
	t.idle = nil
}

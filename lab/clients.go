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

// clients sends txns at random times that don't depend on the progress of earlier ones, so that a slow edge gets the load
// that real clients would send it (no coordinated omission).
type clients struct {
	day               *Day
	rec               *Record
	now               func() runTime
	rng               *rand.Rand
	keyDistribution   *rand.Zipf
	edges             []*edgeEndpoint
	goroutines        sync.WaitGroup
	lastTxnID         atomic.Uint64
	reportWrongAnswer func(edge int, product, worker string, age time.Duration)
	runtimeRNGMu      sync.Mutex
	runtimeRNG        *rand.Rand // for the goroutines of txns; rng is used only by run, so that a seed gives the same plans

	// Faults change the next three, which hold the bits of a float64.
	rateFactor  atomic.Uint64 // multiplies the rate of txns
	giveUpShare atomic.Uint64 // share of clients that leave before an answer or their deadline
	badKeyShare atomic.Uint64 // share of keys whose txns are malformed

	maxSendDelay atomic.Int64 // maximum delay between a txn's scheduled time and its sending, in nanoseconds
}

// edgeEndpoint is the address of an edge, with the clients' idle connections to it.
type edgeEndpoint struct {
	index       int
	address     string
	weight      float64
	incarnation atomic.Int64 // number of the running process
	mu          sync.Mutex
	idle        []*clientConn
}

// clientConn is a connection from a client to an edge.
type clientConn struct {
	net.Conn
	reader   *bufio.Reader
	requests int // sent so far
}

// loadFloat returns a float64 that is stored as its bits.
func loadFloat(a *atomic.Uint64) float64 { return math.Float64frombits(a.Load()) }

// storeFloat stores a float64 as its bits.
func storeFloat(a *atomic.Uint64, v float64) { a.Store(math.Float64bits(v)) }

func newClients(day *Day, rec *Record, now func() runTime, reportWrongAnswer func(int, string, string, time.Duration)) *clients {
	rng := rand.New(rand.NewSource(day.Seed + 99))
	c := &clients{day: day, rec: rec, now: now, rng: rng, keyDistribution: rand.NewZipf(rng, 1.1, 10, uint64(max(1, day.Keys-1))),
		reportWrongAnswer: reportWrongAnswer, runtimeRNG: rand.New(rand.NewSource(day.Seed + 101))}
	storeFloat(&c.rateFactor, 1)
	return c
}

// run sends the day's traffic until the day's end, then waits for the pending txns.
func (c *clients) run(quit <-chan struct{}) {
	t := time.NewTimer(0)
	defer t.Stop()
	sendAt := c.now()
	for sendAt < c.day.Length {
		sendAt += time.Duration(c.rng.ExpFloat64() / (c.day.Rate * loadFloat(&c.rateFactor)) * float64(time.Second))
		if wait := sendAt - c.now(); wait > 0 {
			t.Reset(wait)
			select {
			case <-quit:
				c.goroutines.Wait()
				return
			case <-t.C:
			}
		} else if int64(-wait) > c.maxSendDelay.Load() {
			c.maxSendDelay.Store(int64(-wait))
		}
		plan := c.drawTxn()
		c.goroutines.Go(func() { c.runTxn(plan) })
	}
	c.goroutines.Wait()
}

// txnPlan holds the random choices of one txn.
type txnPlan struct {
	product       int
	key           uint64
	work          time.Duration
	costHint      time.Duration // estimate of work that the request carries
	edge          *edgeEndpoint
	patienceShare float64       // of the expiry that the client waits
	leaveAfter    time.Duration // 0: the client waits for its deadline
	malformed     bool
}

// drawTxn makes the random choices of the next txn.
func (c *clients) drawTxn() txnPlan {
	plan := txnPlan{key: 1 + c.keyDistribution.Uint64()}
	x := c.rng.Float64()
	for i, p := range c.day.Products {
		if plan.product = i; x < p.Share {
			break
		}
		x -= p.Share
	}
	p := &c.day.Products[plan.product]
	workCV := c.day.WorkCV
	sigma := math.Sqrt(math.Log(1 + workCV*workCV))
	plan.work = time.Duration(float64(p.MeanWork) * math.Exp(sigma*c.rng.NormFloat64()-sigma*sigma/2))
	plan.costHint = time.Duration(float64(plan.work) * math.Exp(0.3*c.rng.NormFloat64()))
	plan.edge = c.pickEdge(c.rng.Float64())
	plan.patienceShare = c.day.MinPatience + (1-c.day.MinPatience)*c.rng.Float64()
	if c.rng.Float64() < loadFloat(&c.giveUpShare) {
		plan.leaveAfter = time.Duration((0.1 + 0.8*c.rng.Float64()) * float64(p.SLA))
	}
	// The key decides, as in practice: either all txns of a key are malformed or none.
	plan.malformed = float64(plan.key*0x9e3779b97f4a7c15>>40)/(1<<24) < loadFloat(&c.badKeyShare)
	return plan
}

// pickEdge chooses an edge by the edges' weights. x is a random number in [0, 1).
func (c *clients) pickEdge(x float64) *edgeEndpoint {
	totalWeight := 0.0
	for _, edge := range c.edges {
		totalWeight += edge.weight
	}
	x *= totalWeight
	for _, edge := range c.edges {
		if x < edge.weight {
			return edge
		}
		x -= edge.weight
	}
	return c.edges[len(c.edges)-1]
}

// runTxn sends a txn, and retries it where that is safe.
func (c *clients) runTxn(plan txnPlan) {
	product := &c.day.Products[plan.product]
	firstSentAt := c.now()
	patience := time.Duration(plan.patienceShare * float64(product.Expiry))
	firstTryID := uint64(0)
	for try := 0; ; try++ {
		record := &TxnRecord{ID: c.lastTxnID.Add(1), Edge: plan.edge.index, Incarnation: int(plan.edge.incarnation.Load()),
			Product: plan.product, Key: plan.key, SentAt: c.now(), Malformed: plan.malformed, IsRetry: try > 0}
		if firstTryID == 0 {
			firstTryID = record.ID
		}
		record.FirstTryID = firstTryID
		record.Deadline = record.SentAt + patience
		record.Revenue = product.Revenue
		retryAfter := c.sendTry(plan, record)
		c.rec.addTxn(record)
		// A once-only txn is retried only if the edge was not reached or has declined it. A referenced txn is retried only
		// while workers are sure to recognize it as a duplicate.
		mayRetry := record.Failure == "refused" || record.Outcome == "declined" ||
			product.Effect == "inquiry-like" && record.Status != 200 && record.LeftAt == 0 && !plan.malformed ||
			product.Effect == "referenced" && record.Status != 200 && record.LeftAt == 0 && !plan.malformed &&
				c.now()-firstSentAt < product.DedupMemory/2
		if !mayRetry || try >= c.day.Retries || c.now()+retryAfter+c.day.Backoff > firstSentAt+2*patience {
			return
		}
		time.Sleep(retryAfter + c.day.Backoff)
		plan.edge = c.pickEdge(c.randFloat()) // as a load balancer in front of the edges would do for each try
	}
}

// sendTry sends one try, and returns the time after which the edge allows a retry.
func (c *clients) sendTry(plan txnPlan, record *TxnRecord) (retryAfter time.Duration) {
	product := &c.day.Products[plan.product]
	conn := plan.edge.takeIdle()
	if conn == nil {
		d := net.Dialer{Timeout: record.Deadline - record.SentAt}
		raw, err := d.Dial("tcp", plan.edge.address)
		if err != nil {
			record.Failure = "refused"
			return 0
		}
		conn = &clientConn{Conn: raw, reader: bufio.NewReader(raw)}
	}
	record.ReusedConn = conn.requests > 0
	conn.requests++
	// Waiting slightly past the deadline distinguishes a late answer from none.
	wait := record.Deadline - c.now() + answerTolerance
	if plan.leaveAfter > 0 {
		wait = plan.leaveAfter
	}
	conn.SetDeadline(time.Now().Add(wait))
	method, lengthHeader := "GET", ""
	if product.Effect != "inquiry-like" || product.BodyBytes > 0 {
		method, lengthHeader = "POST", "Content-Length: "+strconv.Itoa(product.BodyBytes)+"\r\n"
	}
	extraHeaders := ""
	if product.Effect == "referenced" {
		extraHeaders = fmt.Sprintf("Idempotency-Key: %d\r\n", record.FirstTryID)
	}
	if product.Effect != "inquiry-like" { // as clients do that trace orders: retries carry the trace ID of the first try
		extraHeaders += fmt.Sprintf("traceparent: 00-%016x%016x-%016x-01\r\n", uint64(c.day.Seed)+1, record.FirstTryID, record.ID)
	}
	malformedHeader := ""
	if plan.malformed {
		malformedHeader = "Lab-Bad: 1\r\n"
	}
	head := fmt.Sprintf("%s /%s/%d HTTP/1.1\r\nHost: lab\r\n%s%sLab-Txn: %d\r\nLab-Edge: %d\r\nLab-Key: %d\r\nLab-Product: %d\r\n"+
		"Lab-Work-Ns: %d\r\nLab-Cost-Ms: %.3f\r\n%sx-envoy-upstream-rq-timeout-ms: %d\r\n\r\n", method, product.Name, plan.key, lengthHeader,
		extraHeaders, record.ID, plan.edge.index, plan.key, plan.product, int64(plan.work), float64(plan.costHint)/1e6, malformedHeader,
		(record.Deadline-record.SentAt)/time.Millisecond)
	request := append(make([]byte, 0, len(head)+product.BodyBytes), head...)
	for i := 0; i < product.BodyBytes; i++ {
		request = append(request, 'x')
	}
	if _, err := conn.Write(request); err != nil {
		c.recordFailure(conn, record, err, plan)
		return 0
	}
	resp, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		c.recordFailure(conn, record, err, plan)
		return 0
	}
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if err != nil {
		c.recordFailure(conn, record, err, plan)
		return 0
	}
	record.AnsweredAt, record.Status, record.Outcome = c.now(), resp.StatusCode, resp.Header.Get("Dunegrade-Outcome")
	if v := resp.Header.Get("Lab-Txn"); v != "" && v != strconv.FormatUint(record.ID, 10) {
		record.ForeignAnswer = true
	}
	record.Build, _ = strconv.Atoi(resp.Header.Get("Lab-Build"))
	record.WrongAnswer = resp.Header.Get("Lab-Wrong") != ""
	if record.WrongAnswer && c.randFloat() < c.day.WrongReportShare {
		edge, productName, worker, sent := plan.edge.index, product.Name, resp.Header.Get("Lab-Worker"), record.SentAt
		time.AfterFunc(c.day.WrongReportDelay, func() { c.reportWrongAnswer(edge, productName, worker, c.now()-sent) })
	}
	if ms, err := strconv.Atoi(resp.Header.Get("Dunegrade-Retry-After-Ms")); err == nil {
		retryAfter = time.Duration(ms) * time.Millisecond
	}
	if conn.reader.Buffered() > 0 {
		record.ExtraBytes = true
	}
	if resp.Close || record.ExtraBytes || record.ForeignAnswer {
		conn.Close()
		return retryAfter
	}
	plan.edge.putIdle(conn)
	return retryAfter
}

// randFloat returns a random number in [0, 1). It is safe for concurrent use.
func (c *clients) randFloat() float64 {
	c.runtimeRNGMu.Lock()
	defer c.runtimeRNGMu.Unlock()
	return c.runtimeRNG.Float64()
}

// recordFailure records that a txn's connection ended or that its client stopped waiting, and closes the connection.
func (c *clients) recordFailure(conn *clientConn, record *TxnRecord, err error, plan txnPlan) {
	conn.Close()
	if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
		record.LeftAt = c.now()
		return
	}
	record.Failure = "broken"
	record.AnsweredAt = 0
}

// takeIdle returns an idle connection that is still open and has nothing to read, or nil.
func (e *edgeEndpoint) takeIdle() *clientConn {
	e.mu.Lock()
	defer e.mu.Unlock()
	for n := len(e.idle); n > 0; n = len(e.idle) {
		c := e.idle[n-1]
		e.idle = e.idle[:n-1]
		if isIdle(c.Conn) {
			return c
		}
		c.Close()
	}
	return nil
}

// isIdle reports, without blocking, whether the connection is open and has nothing to read.
func isIdle(conn net.Conn) bool {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = err == syscall.EAGAIN
	})
	return idle
}

// putIdle keeps a connection for reuse.
func (e *edgeEndpoint) putIdle(c *clientConn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.idle = append(e.idle, c)
}

// closeIdle closes all idle connections. It is called after the edge has stopped.
func (e *edgeEndpoint) closeIdle() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.idle {
		c.Close()
	}
	e.idle = nil
}

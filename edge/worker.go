package edge

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"unsafe"

	"github.com/panjf2000/gnet/v2"

	"dunegrade/http1"
	"dunegrade/logic"
)

// backState is what a worker's connection waits for.
type backState uint8

const (
	idle backState = iota
	atHead
	inFixed
	inChunks
	inOpen // a body that ends with the connection
)

// workerConn is one connection to a worker. It carries one submission at a time.
type workerConn struct {
	l      *loop
	c      gnet.Conn
	pool   *pool
	at     int32
	gen2   uint32 // of this place
	closed bool
	state  backState
	call   *call // whose submission n is out here, or nil
	gen    uint32
	n      int
	used   int // submissions it has carried
	status int
	shut   bool   // the worker closes after this answer
	buf    []byte // the answer's head as the client gets it; with a known length, its body as well
	body   []byte // a body whose length is not known yet
	left   int64
	chunks http1.Dechunker
	load   logic.Load
	loaded bool
	since  logic.Nanos // when it became idle
	armed  logic.Nanos
}

func (l *loop) backOf(token uint64) *workerConn {
	at := int32(uint32(token))
	if int(at) >= len(l.backs.items) {
		return nil
	}
	if wc := l.backs.items[at]; wc.gen2 == uint32(token>>32) && !wc.closed {
		return wc
	}
	return nil
}

// dial opens a connection beside the loop; it comes back through OnOpen, or as a failure.
func (l *loop) dial(p *pool) {
	l.group.Add(1)
	address := p.address
	go func() {
		defer l.group.Done()
		d := net.Dialer{Timeout: l.p.plan.Workers.ConnectTimeout}
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go func() { // a loop that halts does not wait for dials
			select {
			case <-l.quit:
				stop()
			case <-ctx.Done():
			}
		}()
		c, err := d.DialContext(ctx, "tcp", address)
		if err == nil {
			_, err = l.client.EnrollContext(c, p)
		}
		if err != nil {
			l.post(func() { l.dialFailed(p) })
		}
	}()
}

func (l *loop) openWorker(c gnet.Conn, p *pool) {
	at, wc := l.backs.take()
	buf, body := wc.buf[:0], wc.body[:0]
	*wc = workerConn{l: l, c: c, pool: p, at: at, gen2: wc.gen2 + 1, buf: buf, body: body}
	c.SetContext(wc)
	l.offer(wc)
}

func (l *loop) armWorker(wc *workerConn, at logic.Nanos) {
	if wc.armed != 0 && wc.armed <= at {
		return
	}
	wc.armed = at
	l.heap.push(timer{at: at, token: tokenOf(wc.at, wc.gen2), kind: workerAt})
}

// lookAtWorker closes a connection that has been idle for too long.
func (l *loop) lookAtWorker(wc *workerConn) {
	if wc.state != idle {
		return // armed again when it is idle
	}
	if wc.since+l.workerIdle <= l.now {
		l.closeWorker(wc, false)
		return
	}
	l.armWorker(wc, wc.since+l.workerIdle)
}

func (l *loop) closeIdle(p *pool) {
	for len(p.idle) > 0 {
		wc := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		l.closeWorker(wc, false)
	}
}

// closeWorker ends a connection from our side; hard resets it, so that the worker sees at once that nobody
// waits. What was out on it is not told to anyone: the caller does that.
func (l *loop) closeWorker(wc *workerConn, hard bool) {
	if wc.closed {
		return
	}
	if hard {
		wc.c.SetLinger(0)
	}
	c := wc.c
	wc.release()
	l.el.Close(c)
}

// release gives up the connection's place.
func (wc *workerConn) release() {
	l, p := wc.l, wc.pool
	wc.closed, wc.call, wc.c = true, nil, nil
	wc.gen2++
	p.conns--
	for i, x := range p.idle {
		if x == wc {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			break
		}
	}
	if cap(wc.buf) > keptBuffer {
		wc.buf = nil
	}
	if cap(wc.body) > keptBuffer {
		wc.body = nil
	}
	l.backs.give(wc.at)
	l.open(p)
}

// gone takes a connection that the worker has closed, or that broke.
func (wc *workerConn) gone(err error) {
	l := wc.l
	c, n := wc.call, wc.n
	if c != nil && wc.state == inOpen && errors.Is(err, io.EOF) {
		l.complete(wc, true)
		if !wc.closed {
			wc.release()
		}
		return
	}
	wc.release()
	if c != nil {
		l.ended(c, n, logic.Broken, nil)
	}
}

// read takes what a worker sends.
func (wc *workerConn) read() {
	l := wc.l
	for !wc.closed {
		size := wc.c.InboundBuffered()
		if size == 0 && !(wc.state == inFixed && wc.left == 0) {
			return
		}
		in, _ := wc.c.Peek(size)
		switch wc.state {
		case idle:
			// Danger: bytes that nobody asked for would pass for the next txn's answer.
			l.stats.garbage++
			l.closeWorker(wc, true)
			return
		case atHead:
			if !wc.head(in) {
				return
			}
		case inFixed:
			n := int(min(wc.left, int64(len(in))))
			wc.buf = append(wc.buf, in[:n]...)
			if n > 0 {
				wc.c.Discard(n)
			}
			if wc.left -= int64(n); wc.left == 0 {
				l.complete(wc, wc.shut)
				return
			}
			if wc.overflows(len(wc.buf)) {
				return
			}
		case inChunks:
			took, data, done, err := wc.chunks.Next(in)
			if err != nil && err != http1.ErrMore {
				wc.fault()
				return
			}
			wc.body = append(wc.body, data...)
			if took > 0 {
				wc.c.Discard(took)
			}
			if done {
				l.complete(wc, wc.shut)
				return
			}
			if wc.overflows(len(wc.body)) || err != nil || took == 0 {
				return
			}
		case inOpen:
			wc.body = append(wc.body, in...)
			wc.c.Discard(len(in))
			if wc.overflows(len(wc.body)) {
				return
			}
		}
	}
}

// fault ends a submission whose answer makes no sense. It may have run.
func (wc *workerConn) fault() {
	l, c, n := wc.l, wc.call, wc.n
	l.stats.garbage++
	l.closeWorker(wc, true)
	l.ended(c, n, logic.Erred, nil)
}

// head reads an answer's head, and tells whether there may be more to do.
func (wc *workerConn) head(in []byte) bool {
	l, c := wc.l, wc.call
	r := &l.resp
	n, err := r.Parse(in, int(l.p.plan.Workers.Answer), c.toHead)
	if err == http1.ErrMore {
		return false
	}
	if err != nil || r.Status == 101 {
		wc.fault()
		return false
	}
	if r.Status < 200 { // nothing final yet
		wc.c.Discard(n)
		return true
	}
	wc.status, wc.shut = r.Status, r.Close
	wc.loaded = readLoad(r, &wc.load)
	wc.buf = append(wc.buf[:0], "HTTP/1.1 "...)
	wc.buf = strconv.AppendInt(wc.buf, int64(r.Status), 10)
	wc.buf = append(wc.buf, ' ')
	wc.buf = append(wc.buf, r.Reason...)
	wc.buf = append(wc.buf, "\r\n"...)
	unseen := r.Status == 503 && r.Get("dunegrade-unseen") != nil
	wc.buf = r.AppendFields(wc.buf)
	wc.buf = append(wc.buf, viaLine...)
	if unseen {
		wc.status = unseenStatus
	}
	length := r.Length
	if c.toHead {
		if v := r.Get("content-length"); v != nil {
			wc.buf = append(wc.buf, "Content-Length: "...)
			wc.buf = append(wc.buf, v...)
			wc.buf = append(wc.buf, "\r\n"...)
		}
	}
	wc.c.Discard(n)
	switch {
	case length == http1.Chunked:
		wc.state, wc.chunks = inChunks, http1.Dechunker{}
	case length == http1.UntilClose:
		wc.state = inOpen
	default:
		wc.state, wc.left = inFixed, length
		if !c.toHead && r.Status != 204 && r.Status != 304 {
			wc.buf = append(wc.buf, "Content-Length: "...)
			wc.buf = strconv.AppendInt(wc.buf, length, 10)
			wc.buf = append(wc.buf, "\r\n"...)
		}
		if c.client != nil && !c.answered && (!c.keep || l.draining) {
			wc.buf = append(wc.buf, "Connection: close\r\n"...)
		} else if c.minor == 0 && c.keep {
			wc.buf = append(wc.buf, "Connection: keep-alive\r\n"...)
		}
		wc.buf = append(wc.buf, "\r\n"...)
	}
	if c.product >= 0 && l.p.plan.Products[c.product].Stream && length != 0 && settles(wc.status) {
		return !wc.overflows(1 << 62)
	}
	return true
}

const unseenStatus = 1503 // a 503 that says that the txn was turned away unseen

func settles(status int) bool { return status < 500 }

// overflows hands an answer that is too large to be kept whole, or that streams, on to a carrier.
func (wc *workerConn) overflows(size int) bool {
	l, c := wc.l, wc.call
	if int64(size) <= l.p.plan.Door.Answer {
		return false
	}
	if c.answered || c.left || !settles(wc.status) {
		// Nobody waits for it: what is not wanted must not fill memory.
		n := wc.n
		e := logic.OK
		if !settles(wc.status) {
			e = logic.Erred
		}
		l.closeWorker(wc, true)
		l.ended(c, n, e, nil)
		return true
	}
	return l.carry(wc)
}

// complete takes a whole answer.
func (l *loop) complete(wc *workerConn, shut bool) {
	c, n := wc.call, wc.n
	e := logic.OK
	switch {
	case wc.status == unseenStatus:
		e = logic.Full
	case !settles(wc.status):
		e = logic.Erred
		c.lastBad = wc.status
	}
	if e == logic.OK && !c.answered && !c.left {
		l.stats.settled++
		c.status = wc.status
		cc := c.client
		out := wc.buf
		if wc.state != inFixed { // a body whose length is known only now
			if c.toHead {
				out = append(out, "\r\n"...)
			} else {
				out = append(out, "Content-Length: "...)
				out = strconv.AppendInt(out, int64(len(wc.body)), 10)
				out = append(out, "\r\n"...)
				if !c.keep || l.draining {
					out = append(out, "Connection: close\r\n"...)
				}
				out = append(out, "\r\n"...)
				out = append(out, wc.body...)
			}
			wc.buf = out
		}
		cc.put(out)
		if cc.call == c {
			cc.answered()
		} else {
			c.left = true
		}
	}
	// Danger: bytes after a whole answer are an answer to nothing; the connection is not used again.
	extra := !wc.closed && wc.c.InboundBuffered() > 0
	var load *logic.Load
	if wc.loaded {
		load = &wc.load
	}
	if !wc.closed {
		wc.call, wc.state = nil, idle
	}
	l.ended(c, n, e, load)
	if wc.closed {
		return
	}
	if extra {
		l.stats.garbage++
	}
	if shut || extra {
		l.closeWorker(wc, extra)
		return
	}
	l.offer(wc)
}

// readLoad maps a load report in the open ORCA form to the module's figures: the header endpoint-load-metrics,
// as TEXT or JSON. Queue and txns in hand are named metrics, queue and busy. What is malformed is no report.
func readLoad(r *http1.Response, to *logic.Load) bool {
	v := r.Get("endpoint-load-metrics")
	if v == nil {
		return false
	}
	*to = logic.Load{Util: -1, Queue: -1, Busy: -1}
	text := view(v)
	if after, found := strings.CutPrefix(text, "JSON "); found {
		var report struct {
			CPU   *float64           `json:"cpu_utilization"`
			App   *float64           `json:"application_utilization"`
			Named map[string]float64 `json:"named_metrics"`
		}
		if json.Unmarshal([]byte(after), &report) != nil {
			return false
		}
		if report.CPU != nil {
			to.Util = *report.CPU
		} else if report.App != nil {
			to.Util = *report.App
		}
		if q, ok := report.Named["queue"]; ok {
			to.Queue = q
		}
		if b, ok := report.Named["busy"]; ok {
			to.Busy = b
		}
		return plausible(to)
	}
	text = strings.TrimPrefix(text, "TEXT ")
	for len(text) > 0 {
		one := text
		if at := strings.IndexByte(text, ','); at >= 0 {
			one, text = text[:at], text[at+1:]
		} else {
			text = ""
		}
		name, value, ok := strings.Cut(strings.TrimSpace(one), "=")
		if !ok {
			return false
		}
		f, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return false
		}
		switch name {
		case "cpu_utilization":
			to.Util = f
		case "application_utilization":
			if to.Util < 0 {
				to.Util = f
			}
		case "named_metrics.queue":
			to.Queue = f
		case "named_metrics.busy":
			to.Busy = f
		}
	}
	return plausible(to)
}

// plausible refuses what no worker can mean. Danger: one NaN in a smoothed figure stays there for good.
func plausible(l *logic.Load) bool {
	for _, f := range [3]float64{l.Util, l.Queue, l.Busy} {
		if !(f >= -1 && f < 1e9) {
			return false
		}
	}
	return true
}

// view looks at bytes as a string for the length of a call.
func view(b []byte) string { return unsafe.String(unsafe.SliceData(b), len(b)) }

// equalFold compares a header's name without regard to ASCII case; an empty want fits nothing.
func equalFold(b []byte, want string) bool {
	if len(b) != len(want) || want == "" {
		return false
	}
	for i := range b {
		x, y := b[i], want[i]
		if x != y && (x|0x20 != y|0x20 || x|0x20 < 'a' || x|0x20 > 'z') {
			return false
		}
	}
	return true
}

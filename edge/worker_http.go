package edge

import (
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"strings"

	"dunegrade/http1"
	"dunegrade/logic"
)

// httpState is what of an answer is being read.
type httpState uint8

const (
	atHead httpState = iota
	inFixed
	inChunks
	inOpen // a body that ends with the connection
)

// httpBack is a worker's connection that speaks HTTP/1.1.
type httpBack struct {
	wc     *workerConn
	state  httpState
	status int
	shut   bool   // the worker closes after this answer
	closes bool   // the answer says that the client's connection ends with it
	buf    []byte // the answer's head as the client gets it; with a known length, its body as well
	body   []byte // a body whose length is not known yet
	left   int64
	chunks http1.Dechunker
}

func (k *httpBack) opened() { k.wc.l.ready(k.wc) }

func (k *httpBack) ask(c *call, n int) error {
	k.state, k.buf, k.body, k.closes = atHead, k.buf[:0], k.body[:0], false
	k.wc.l.stats.bytesOut += uint64(len(c.request))
	_, err := k.wc.c.Write(c.request)
	return err
}

func (k *httpBack) unsent() bool { return false }

func (k *httpBack) stale() bool { return false }

func (k *httpBack) began() bool     { return false }
func (k *httpBack) halfClose() bool { return false }

func (k *httpBack) forget() {
	if cap(k.buf) > keptBuffer {
		k.buf = nil
	}
	if cap(k.body) > keptBuffer {
		k.body = nil
	}
}

func (k *httpBack) ends(err error) bool {
	if k.state != inOpen || !errors.Is(err, io.EOF) {
		return false
	}
	k.complete(true)
	return true
}

func (k *httpBack) read(in []byte) bool {
	wc := k.wc
	if len(in) == 0 && !(k.state == inFixed && k.left == 0 && wc.call != nil) {
		return false
	}
	switch k.state {
	case atHead:
		return k.head(in)
	case inFixed:
		n := int(min(k.left, int64(len(in))))
		k.buf = append(k.buf, in[:n]...)
		if n > 0 {
			wc.c.Discard(n)
		}
		if k.left -= int64(n); k.left == 0 {
			k.complete(k.shut)
			return false
		}
		return !k.overflows(len(k.buf))
	case inChunks:
		took, data, done, err := k.chunks.Next(in)
		if err != nil && err != http1.ErrMore {
			wc.fault()
			return false
		}
		k.body = append(k.body, data...)
		if took > 0 {
			wc.c.Discard(took)
		}
		if done {
			k.complete(k.shut)
			return false
		}
		return !(k.overflows(len(k.body)) || err != nil || took == 0)
	}
	k.body = append(k.body, in...)
	wc.c.Discard(len(in))
	return !k.overflows(len(k.body))
}

// head reads an answer's head, and tells whether there may be more to do.
func (k *httpBack) head(in []byte) bool {
	wc := k.wc
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
	k.status, k.shut = r.Status, r.Close
	wc.loaded = readLoad(r, &wc.load)
	k.buf = append(k.buf[:0], "HTTP/1.1 "...)
	k.buf = strconv.AppendInt(k.buf, int64(r.Status), 10)
	k.buf = append(k.buf, ' ')
	k.buf = append(k.buf, r.Reason...)
	k.buf = append(k.buf, "\r\n"...)
	unseen := r.Status == 503 && r.Get("dunegrade-unseen") != nil
	k.buf = r.AppendFields(k.buf)
	k.buf = append(k.buf, viaLine...)
	if unseen {
		k.status = unseenStatus
	}
	length := r.Length
	if c.toHead {
		if v := r.Get("content-length"); v != nil {
			k.buf = append(k.buf, "Content-Length: "...)
			k.buf = append(k.buf, v...)
			k.buf = append(k.buf, "\r\n"...)
		}
	}
	wc.c.Discard(n)
	switch {
	case length == http1.Chunked:
		k.state, k.chunks = inChunks, http1.Dechunker{}
	case length == http1.UntilClose:
		k.state = inOpen
	default:
		k.state, k.left = inFixed, length
		if !c.toHead && r.Status != 204 && r.Status != 304 {
			k.buf = append(k.buf, "Content-Length: "...)
			k.buf = strconv.AppendInt(k.buf, length, 10)
			k.buf = append(k.buf, "\r\n"...)
		}
		if c.client != nil && !c.answered && (!c.keep || l.draining) {
			k.buf = append(k.buf, "Connection: close\r\n"...)
			k.closes = true
		} else if c.minor == 0 && c.keep {
			k.buf = append(k.buf, "Connection: keep-alive\r\n"...)
		}
		k.buf = append(k.buf, "\r\n"...)
	}
	if c.product >= 0 && l.p.plan.Products[c.product].Stream && length != 0 && settles(k.status) {
		return !k.overflows(1 << 62)
	}
	return true
}

const unseenStatus = 1503 // a 503 that says that the txn was turned away unseen

func settles(status int) bool { return status < 500 }

// overflows hands an answer that is too large to be kept whole, or that streams, on to a carrier.
func (k *httpBack) overflows(size int) bool {
	wc := k.wc
	l, c := wc.l, wc.call
	if int64(size) <= l.p.plan.Door.Answer {
		return false
	}
	if c.answered || c.left || !settles(k.status) {
		// Nobody waits for it: what is not wanted must not fill memory.
		n := wc.n
		e := logic.OK
		if !settles(k.status) {
			e = logic.Erred
		}
		l.closeWorker(wc, true)
		l.ended(c, n, e, nil)
		return true
	}
	return l.carry(k)
}

// complete takes a whole answer.
func (k *httpBack) complete(shut bool) {
	wc := k.wc
	l, c := wc.l, wc.call
	e := logic.OK
	switch {
	case k.status == unseenStatus:
		e = logic.Full
	case !settles(k.status):
		e = logic.Erred
	}
	out := k.buf
	if e == logic.OK && !c.answered && !c.left {
		c.status = k.status
		if k.state != inFixed { // a body whose length is known only now
			if c.toHead {
				out = append(out, "\r\n"...)
			} else {
				out = append(out, "Content-Length: "...)
				out = strconv.AppendInt(out, int64(len(k.body)), 10)
				out = append(out, "\r\n"...)
				if !c.keep || l.draining {
					out = append(out, "Connection: close\r\n"...)
					k.closes = true
				}
				out = append(out, "\r\n"...)
				out = append(out, k.body...)
			}
			k.buf = out
		}
		c.closes = k.closes // that of the attempt that answers: another's head may have been written earlier or later
	}
	l.complete(wc, e, out, shut)
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

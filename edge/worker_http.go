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

// answerState is the part of an answer that is being read.
type answerState uint8

const (
	answerHead       answerState = iota
	answerFixed                  // a body of known length
	answerChunked                // a chunked body
	answerUntilClose             // a body that ends with the connection
)

// httpWorker is the HTTP/1.1 side of a worker connection.
type httpWorker struct {
	wc           *workerConn
	state        answerState
	status       int             // the answer's status, or statusUnseen
	workerCloses bool            // the worker closes the connection after this answer
	closesConn   bool            // the answer announces the end of the client's connection
	answer       []byte          // the answer as sent to the client: its head, and a body of known length
	unsizedBody  []byte          // a body of unknown length, as far as received
	remaining    int64           // bytes of a body of known length still to come
	chunks       http1.Dechunker // decodes a chunked body
}

func (k *httpWorker) handleOpen() { k.wc.l.handleReady(k.wc) }

func (k *httpWorker) writeSubmission(c *call, n int) error {
	k.state, k.answer, k.unsizedBody, k.closesConn = answerHead, k.answer[:0], k.unsizedBody[:0], false
	k.wc.l.stats.bytesToWorkers += uint64(len(c.request))
	_, err := k.wc.c.Write(c.request)
	return err
}

func (k *httpWorker) hasUnsent() bool { return false }

func (k *httpWorker) stale() bool { return false }

func (k *httpWorker) answerStarted() bool { return false }
func (k *httpWorker) halfClose() bool     { return false }

func (k *httpWorker) releaseBuffers() {
	if cap(k.answer) > maxReusedBuffer {
		k.answer = nil
	}
	if cap(k.unsizedBody) > maxReusedBuffer {
		k.unsizedBody = nil
	}
}

func (k *httpWorker) completeOnClose(err error) bool {
	if k.state != answerUntilClose || !errors.Is(err, io.EOF) {
		return false
	}
	k.complete(true)
	return true
}

func (k *httpWorker) read(in []byte) bool {
	wc := k.wc
	if len(in) == 0 && !(k.state == answerFixed && k.remaining == 0 && wc.call != nil) {
		return false
	}
	switch k.state {
	case answerHead:
		return k.parseHead(in)
	case answerFixed:
		n := int(min(k.remaining, int64(len(in))))
		k.answer = append(k.answer, in[:n]...)
		if n > 0 {
			wc.c.Discard(n)
		}
		if k.remaining -= int64(n); k.remaining == 0 {
			k.complete(k.workerCloses)
			return false
		}
		return !k.maybeRelay(len(k.answer))
	case answerChunked:
		consumed, data, done, err := k.chunks.Next(in)
		if err != nil && err != http1.ErrIncomplete {
			wc.failMalformed()
			return false
		}
		k.unsizedBody = append(k.unsizedBody, data...)
		if consumed > 0 {
			wc.c.Discard(consumed)
		}
		if done {
			k.complete(k.workerCloses)
			return false
		}
		return !(k.maybeRelay(len(k.unsizedBody)) || err != nil || consumed == 0)
	}
	k.unsizedBody = append(k.unsizedBody, in...)
	wc.c.Discard(len(in))
	return !k.maybeRelay(len(k.unsizedBody))
}

// parseHead reads an answer's head. It reports whether there may be more to read.
func (k *httpWorker) parseHead(in []byte) bool {
	wc := k.wc
	l, c := wc.l, wc.call
	r := &l.resp
	n, err := r.Parse(in, int(l.p.cfg.WorkerLimits.MaxAnswerHeadBytes), c.isHead)
	if err == http1.ErrIncomplete {
		return false
	}
	if err != nil || r.Status == 101 {
		wc.failMalformed()
		return false
	}
	if r.Status < 200 { // an interim response
		wc.c.Discard(n)
		return true
	}
	k.status, k.workerCloses = r.Status, r.Close
	wc.hasLoad = parseLoadReport(r, &wc.load)
	k.answer = append(k.answer[:0], "HTTP/1.1 "...)
	k.answer = strconv.AppendInt(k.answer, int64(r.Status), 10)
	k.answer = append(k.answer, ' ')
	k.answer = append(k.answer, r.Reason...)
	k.answer = append(k.answer, "\r\n"...)
	unseen := r.Status == 503 && r.Get("dunegrade-unseen") != nil
	k.answer = r.AppendFields(k.answer)
	k.answer = append(k.answer, viaHeader...)
	if unseen {
		k.status = statusUnseen
	}
	length := r.Length
	if c.isHead {
		if v := r.Get("content-length"); v != nil {
			k.answer = append(k.answer, "Content-Length: "...)
			k.answer = append(k.answer, v...)
			k.answer = append(k.answer, "\r\n"...)
		}
	}
	wc.c.Discard(n)
	switch {
	case length == http1.Chunked:
		k.state, k.chunks = answerChunked, http1.Dechunker{}
	case length == http1.UntilClose:
		k.state = answerUntilClose
	default:
		k.state, k.remaining = answerFixed, length
		if !c.isHead && r.Status != 204 && r.Status != 304 {
			k.answer = append(k.answer, "Content-Length: "...)
			k.answer = strconv.AppendInt(k.answer, length, 10)
			k.answer = append(k.answer, "\r\n"...)
		}
		if c.client != nil && !c.answered && (!c.keepAlive || l.draining) {
			k.answer = append(k.answer, "Connection: close\r\n"...)
			k.closesConn = true
		} else if c.httpMinor == 0 && c.keepAlive {
			k.answer = append(k.answer, "Connection: keep-alive\r\n"...)
		}
		k.answer = append(k.answer, "\r\n"...)
	}
	if c.product >= 0 && l.p.cfg.Products[c.product].Stream && length != 0 && settlesTxn(k.status) {
		return !k.maybeRelay(1 << 62)
	}
	return true
}

// statusUnseen stands for a 503 whose header says that the worker rejected the txn before processing any of it.
const statusUnseen = 1503

// settlesTxn reports whether an answer of this status settles its txn.
func settlesTxn(status int) bool { return status < 500 }

// maybeRelay passes an answer that streams or is too large to be buffered to a streamRelay, or drops it if no client is to get
// it. It reports whether the loop is done with the answer.
func (k *httpWorker) maybeRelay(size int) bool {
	wc := k.wc
	l, c := wc.l, wc.call
	if int64(size) <= l.p.cfg.ClientLimits.AnswerBufferBytes {
		return false
	}
	if c.answered || c.clientLeft || !settlesTxn(k.status) {
		// No client waits for this answer, so it must not fill memory.
		n := wc.subIndex
		e := logic.OK
		if !settlesTxn(k.status) {
			e = logic.ErrorResponse
		}
		l.closeWorkerConn(wc, true)
		l.endSubmission(c, n, e, nil)
		return true
	}
	return l.startRelay(k)
}

// complete handles a complete answer.
func (k *httpWorker) complete(mustClose bool) {
	wc := k.wc
	l, c := wc.l, wc.call
	e := logic.OK
	switch {
	case k.status == statusUnseen:
		e = logic.Rejected
	case !settlesTxn(k.status):
		e = logic.ErrorResponse
	}
	out := k.answer
	if e == logic.OK && !c.answered && !c.clientLeft {
		c.status = k.status
		if k.state != answerFixed { // the body's length is known only now
			if c.isHead {
				out = append(out, "\r\n"...)
			} else {
				out = append(out, "Content-Length: "...)
				out = strconv.AppendInt(out, int64(len(k.unsizedBody)), 10)
				out = append(out, "\r\n"...)
				if !c.keepAlive || l.draining {
					out = append(out, "Connection: close\r\n"...)
					k.closesConn = true
				}
				out = append(out, "\r\n"...)
				out = append(out, k.unsizedBody...)
			}
			k.answer = out
		}
		c.closesConn = k.closesConn // of the submission that answers: heads of others may have been built before or after it
	}
	l.completeSubmission(wc, e, out, mustClose)
}

// parseLoadReport reads a load report in the ORCA format: the header endpoint-load-metrics as TEXT or JSON. The queue length
// and the number of txns being processed are the named metrics queue and busy. A malformed report counts as none.
func parseLoadReport(r *http1.Response, load *logic.Load) bool {
	v := r.Get("endpoint-load-metrics")
	if v == nil {
		return false
	}
	*load = logic.Load{Util: -1, Queue: -1, Busy: -1}
	text := unsafeString(v)
	if jsonText, found := strings.CutPrefix(text, "JSON "); found {
		var report struct {
			CPU   *float64           `json:"cpu_utilization"`
			App   *float64           `json:"application_utilization"`
			Named map[string]float64 `json:"named_metrics"`
		}
		if json.Unmarshal([]byte(jsonText), &report) != nil {
			return false
		}
		if report.CPU != nil {
			load.Util = *report.CPU
		} else if report.App != nil {
			load.Util = *report.App
		}
		if q, ok := report.Named["queue"]; ok {
			load.Queue = q
		}
		if b, ok := report.Named["busy"]; ok {
			load.Busy = b
		}
		return plausibleLoad(load)
	}
	text = strings.TrimPrefix(text, "TEXT ")
	for len(text) > 0 {
		metric := text
		if comma := strings.IndexByte(text, ','); comma >= 0 {
			metric, text = text[:comma], text[comma+1:]
		} else {
			text = ""
		}
		name, value, ok := strings.Cut(strings.TrimSpace(metric), "=")
		if !ok {
			return false
		}
		f, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return false
		}
		switch name {
		case "cpu_utilization":
			load.Util = f
		case "application_utilization":
			if load.Util < 0 {
				load.Util = f
			}
		case "named_metrics.queue":
			load.Queue = f
		case "named_metrics.busy":
			load.Busy = f
		}
	}
	return plausibleLoad(load)
}

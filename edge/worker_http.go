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

// httpWorker implements workerProtocol for one HTTP/1.1 connection.
type httpWorker struct {
	wc           *workerConn
	state        answerState
	status       int             // the answer's status, or statusUnseen
	workerCloses bool            // the worker closes the connection after this answer
	closesConn   bool            // the answer announces the close of the client connection
	answer       []byte          // the answer as sent to the client: its head, and a body of known length
	unsizedBody  []byte          // received part of a body of unknown length
	remaining    int64           // in answerFixed: bytes of the body still to be read
	chunks       http1.Dechunker // decodes a chunked body
}

func (hw *httpWorker) handleOpen() { hw.wc.l.handleReady(hw.wc) }

func (hw *httpWorker) writeSubmission(c *call, n int) error {
	hw.state, hw.answer, hw.unsizedBody, hw.closesConn = answerHead, hw.answer[:0], hw.unsizedBody[:0], false
	hw.wc.l.stats.bytesToWorkers += uint64(len(c.request))
	_, err := hw.wc.c.Write(c.request)
	return err
}

func (hw *httpWorker) hasUnsent() bool { return false }

func (hw *httpWorker) stale() bool { return false }

func (hw *httpWorker) answerStarted() bool { return false }
func (hw *httpWorker) halfClose() bool     { return false }

func (hw *httpWorker) releaseBuffers() {
	if cap(hw.answer) > maxReusedBuffer {
		hw.answer = nil
	}
	if cap(hw.unsizedBody) > maxReusedBuffer {
		hw.unsizedBody = nil
	}
}

func (hw *httpWorker) completeOnClose(err error) bool {
	if hw.state != answerUntilClose || !errors.Is(err, io.EOF) {
		return false
	}
	hw.complete(true)
	return true
}

func (hw *httpWorker) read(in []byte) bool {
	wc := hw.wc
	if len(in) == 0 && !(hw.state == answerFixed && hw.remaining == 0 && wc.call != nil) {
		return false
	}
	switch hw.state {
	case answerHead:
		return hw.parseHead(in)
	case answerFixed:
		n := int(min(hw.remaining, int64(len(in))))
		hw.answer = append(hw.answer, in[:n]...)
		if n > 0 {
			wc.c.Discard(n)
		}
		if hw.remaining -= int64(n); hw.remaining == 0 {
			hw.complete(hw.workerCloses)
			return false
		}
		return !hw.maybeRelay(len(hw.answer))
	case answerChunked:
		consumed, data, done, err := hw.chunks.Next(in)
		if err != nil && err != http1.ErrIncomplete {
			wc.failMalformed()
			return false
		}
		hw.unsizedBody = append(hw.unsizedBody, data...)
		if consumed > 0 {
			wc.c.Discard(consumed)
		}
		if done {
			hw.complete(hw.workerCloses)
			return false
		}
		return !(hw.maybeRelay(len(hw.unsizedBody)) || err != nil || consumed == 0)
	}
	hw.unsizedBody = append(hw.unsizedBody, in...)
	wc.c.Discard(len(in))
	return !hw.maybeRelay(len(hw.unsizedBody))
}

// parseHead reads an answer's head, and reports whether more input may be processed.
func (hw *httpWorker) parseHead(in []byte) bool {
	wc := hw.wc
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
	hw.status, hw.workerCloses = r.Status, r.Close
	wc.hasLoad = parseLoadReport(r, &wc.load)
	hw.answer = append(hw.answer[:0], "HTTP/1.1 "...)
	hw.answer = strconv.AppendInt(hw.answer, int64(r.Status), 10)
	hw.answer = append(hw.answer, ' ')
	hw.answer = append(hw.answer, r.Reason...)
	hw.answer = append(hw.answer, "\r\n"...)
	unseen := r.Status == 503 && r.Get("dunegrade-unseen") != nil
	hw.answer = r.AppendFields(hw.answer)
	hw.answer = append(hw.answer, viaHeader...)
	if unseen {
		hw.status = statusUnseen
	}
	length := r.Length
	if c.isHead {
		if v := r.Get("content-length"); v != nil {
			hw.answer = append(hw.answer, "Content-Length: "...)
			hw.answer = append(hw.answer, v...)
			hw.answer = append(hw.answer, "\r\n"...)
		}
	}
	wc.c.Discard(n)
	switch {
	case length == http1.Chunked:
		hw.state, hw.chunks = answerChunked, http1.Dechunker{}
	case length == http1.UntilClose:
		hw.state = answerUntilClose
	default:
		hw.state, hw.remaining = answerFixed, length
		if !c.isHead && r.Status != 204 && r.Status != 304 {
			hw.answer = append(hw.answer, "Content-Length: "...)
			hw.answer = strconv.AppendInt(hw.answer, length, 10)
			hw.answer = append(hw.answer, "\r\n"...)
		}
		if c.client != nil && !c.answered && (!c.keepAlive || l.draining) {
			hw.answer = append(hw.answer, "Connection: close\r\n"...)
			hw.closesConn = true
		} else if c.httpMinor == 0 && c.keepAlive {
			hw.answer = append(hw.answer, "Connection: keep-alive\r\n"...)
		}
		hw.answer = append(hw.answer, "\r\n"...)
	}
	if c.product >= 0 && l.p.cfg.Products[c.product].Stream && length != 0 && settlesTxn(hw.status) {
		return !hw.maybeRelay(1 << 62) // a streaming answer is relayed at once: this size exceeds any buffer limit
	}
	return true
}

// statusUnseen stands for a 503 whose header says that the worker rejected the txn before processing any of it.
const statusUnseen = 1503

// settlesTxn reports whether an answer of this status settles its txn.
func settlesTxn(status int) bool { return status < 500 }

// maybeRelay hands an answer that is too large to be buffered to a streamRelay, or drops it if it is not sent to a client. size
// is the number of bytes buffered so far. It reports whether the loop has no more to do with the answer.
func (hw *httpWorker) maybeRelay(size int) bool {
	wc := hw.wc
	l, c := wc.l, wc.call
	if int64(size) <= l.p.cfg.ClientLimits.AnswerBufferBytes {
		return false
	}
	if c.answered || c.clientLeft || !settlesTxn(hw.status) {
		// This answer is not sent to a client, so it must not take up memory.
		n := wc.subIndex
		e := logic.OK
		if !settlesTxn(hw.status) {
			e = logic.ErrorResponse
		}
		l.closeWorkerConn(wc, true)
		l.endSubmission(c, n, e, nil)
		return true
	}
	return l.startRelay(hw)
}

// complete finishes a complete answer and passes it to loop.completeSubmission.
func (hw *httpWorker) complete(mustClose bool) {
	wc := hw.wc
	l, c := wc.l, wc.call
	e := logic.OK
	switch {
	case hw.status == statusUnseen:
		e = logic.Rejected
	case !settlesTxn(hw.status):
		e = logic.ErrorResponse
	}
	answer := hw.answer
	if e == logic.OK && !c.answered && !c.clientLeft {
		c.status = hw.status
		if hw.state != answerFixed { // the body's length is known only now
			if c.isHead {
				answer = append(answer, "\r\n"...)
			} else {
				answer = append(answer, "Content-Length: "...)
				answer = strconv.AppendInt(answer, int64(len(hw.unsizedBody)), 10)
				answer = append(answer, "\r\n"...)
				if !c.keepAlive || l.draining {
					answer = append(answer, "Connection: close\r\n"...)
					hw.closesConn = true
				}
				answer = append(answer, "\r\n"...)
				answer = append(answer, hw.unsizedBody...)
			}
			hw.answer = answer
		}
		c.closesConn = hw.closesConn // only of the submission that answers: other submissions may have built heads that differ
	}
	l.completeSubmission(wc, e, answer, mustClose)
}

// parseLoadReport parses a load report in the ORCA format: the header endpoint-load-metrics as TEXT or JSON. The queue length
// and the number of txns being processed are the named metrics queue and busy. It returns false if the report is missing or
// malformed.
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

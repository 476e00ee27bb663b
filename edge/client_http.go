package edge

import (
	"bytes"
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"dunegrade/http1"
	"dunegrade/logic"
	"dunegrade/trace"
)

// httpProtocol implements protocol for HTTP/1.1.
type httpProtocol struct{}

func (httpProtocol) newClientProtocol(cc *clientConn, reused clientProtocol) clientProtocol {
	hc, ok := reused.(*httpClient)
	if !ok {
		hc = &httpClient{}
	}
	*hc = httpClient{cc: cc}
	return hc
}

func (httpProtocol) newWorkerProtocol(wc *workerConn, reused workerProtocol) workerProtocol {
	hw, ok := reused.(*httpWorker)
	if !ok {
		hw = &httpWorker{}
	}
	*hw = httpWorker{wc: wc, answer: hw.answer[:0], unsizedBody: hw.unsizedBody[:0]}
	return hw
}

// requestPart is the part of a request that is being read.
type requestPart uint8

const (
	partHead requestPart = iota
	partFixedBody
	partChunkedBody
)

// httpClient implements clientProtocol for one HTTP/1.1 connection.
type httpClient struct {
	cc           *clientConn
	part         requestPart
	remaining    int64 // in partFixedBody: bytes of the body still to be read
	chunks       http1.Dechunker
	scannedBytes int         // length of the input prefix that is known not to contain a complete head
	headStart    logic.Nanos // when the first byte of the head was seen; 0: none yet
}

func (hc *httpClient) supportsPipelining() bool { return false }
func (hc *httpClient) betweenRequests() bool    { return hc.part == partHead && hc.headStart == 0 }
func (hc *httpClient) startNextRequest()        { hc.part = partHead }

// checkTimeout enforces the timeouts for heads, bodies and idle connections.
func (hc *httpClient) checkTimeout() (until logic.Nanos) {
	cc := hc.cc
	l := cc.l
	limits := &l.p.cfg.ClientLimits
	switch hc.part {
	case partHead:
		if hc.headStart > 0 {
			until = hc.headStart + logic.Nanos(limits.HeadTimeout)
			if until <= l.now {
				l.refuse(cc, 408, "the head came too slowly")
				return 0
			}
		} else if until = cc.stateSince + logic.Nanos(limits.IdleTimeout); until <= l.now {
			return cc.endIdle()
		}
	case partFixedBody, partChunkedBody:
		if until = cc.stateSince + logic.Nanos(limits.BodyTimeout); until <= l.now {
			l.refuse(cc, 408, "the body came too slowly")
			return 0
		}
	}
	return until
}

func (hc *httpClient) terminate(why endReason) {
	text := "the process stops"
	if why == endOverfull {
		text = "too much was sent ahead of its answers"
	}
	hc.cc.l.refuse(hc.cc, 503, text)
}

func (hc *httpClient) read(in []byte) bool {
	cc := hc.cc
	switch hc.part {
	case partHead:
		return hc.parseHead(in)
	case partFixedBody:
		n := int(min(hc.remaining, int64(len(in))))
		cc.call.request = append(cc.call.request, in[:n]...)
		cc.discardInput(n)
		if hc.remaining -= int64(n); hc.remaining == 0 {
			cc.admitCall(cc.call)
		}
		return true
	}
	return hc.parseChunk(in)
}

// parseHead reads a request's head, and reports whether more input may be processed.
func (hc *httpClient) parseHead(in []byte) bool {
	cc := hc.cc
	l := cc.l
	if hc.headStart == 0 {
		hc.headStart = l.now
		l.scheduleClientCheck(cc, l.now+logic.Nanos(l.p.cfg.ClientLimits.HeadTimeout))
	}
	limit := int(l.p.cfg.ClientLimits.MaxHeadBytes)
	// Skip parsing until the end of the head has arrived: a head sent byte by byte would be parsed again for each byte.
	if hc.scannedBytes > 0 && len(in) <= limit && !bytes.Contains(in[max(0, hc.scannedBytes-3):], []byte("\r\n\r\n")) {
		hc.scannedBytes = len(in)
		return false
	}
	n, err := l.req.Parse(in, limit)
	if err == http1.ErrIncomplete {
		hc.scannedBytes = len(in)
		return false
	}
	if err != nil {
		f := err.(*http1.ParseError)
		l.refuse(cc, f.Status, f.Message)
		return false
	}
	hc.scannedBytes = 0
	r := &l.req
	if r.ExpectOther {
		l.refuse(cc, 417, "only 100-continue can be expected")
		return false
	}
	if r.Length > l.p.cfg.ClientLimits.MaxBodyBytes {
		l.refuse(cc, 413, "the body is larger than the limit")
		return false
	}
	if l.calls.inUse() >= l.p.cfg.ClientLimits.MaxOpenTxns || !l.admitsRequests() {
		l.stats.overLimit++
		cc.discardInput(n)
		l.reply(cc, 503, declinedBody, overloadRetryAfter, r.Length == 0 && !r.Close && !l.draining)
		hc.headStart = 0
		return !cc.closed && cc.state == stateReading
	}
	c := l.newCall()
	c.client, cc.call = cc, c
	if !l.classify(c, r) {
		cc.call, c.client = nil, nil
		l.releaseCall(c)
		l.stats.noRoute++
		cc.discardInput(n)
		l.reply(cc, 404, "no route fits this request\n", 0, r.Length == 0 && !r.Close && !l.draining)
		hc.headStart = 0
		return !cc.closed && cc.state == stateReading
	}
	c.keepAlive = !r.Close && !l.draining
	c.httpMinor = r.Minor
	expectContinue, length := r.ExpectContinue, r.Length
	cc.discardInput(n)
	hc.headStart, cc.stateSince = 0, l.now
	switch {
	case length == http1.Chunked:
		hc.part, hc.chunks = partChunkedBody, http1.Dechunker{}
	case length > 0:
		hc.part, hc.remaining = partFixedBody, length
		c.request = append(c.request, "Content-Length: "...)
		c.request = strconv.AppendInt(c.request, length, 10)
		c.request = append(c.request, "\r\n\r\n"...)
		c.bodyOffset = len(c.request)
	default:
		// Methods that expect a body (POST, PUT, PATCH) state that there is none (RFC 9110, section 8.6).
		if m := c.request[0]; m == 'P' {
			c.request = append(c.request, "Content-Length: 0\r\n"...)
		}
		c.request = append(c.request, "\r\n"...)
		c.bodyOffset = len(c.request)
		cc.admitCall(cc.call)
		return true
	}
	l.scheduleClientCheck(cc, l.now+logic.Nanos(l.p.cfg.ClientLimits.BodyTimeout))
	if expectContinue && len(cc.input()) == 0 {
		cc.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	return !cc.closed
}

// parseChunk reads part of a chunked body, and reports whether more input may be processed.
func (hc *httpClient) parseChunk(in []byte) bool {
	cc := hc.cc
	l, c := cc.l, cc.call
	consumed, data, done, err := hc.chunks.Next(in)
	if err != nil && err != http1.ErrIncomplete {
		l.refuse(cc, 400, err.Error())
		return false
	}
	if c.bodyOffset == 0 { // the length is known only at the end of the body; reserve digits for it
		c.request = append(c.request, "Content-Length: 0000000000\r\n\r\n"...)
		c.bodyOffset = len(c.request)
	}
	if int64(len(c.request)-c.bodyOffset+len(data)) > l.p.cfg.ClientLimits.MaxBodyBytes {
		l.refuse(cc, 413, "the body is larger than the limit")
		return false
	}
	c.request = append(c.request, data...)
	cc.discardInput(consumed)
	if done {
		size, at := len(c.request)-c.bodyOffset, c.bodyOffset-len("\r\n\r\n")
		for i := 1; i <= 10; i++ {
			c.request[at-i] = byte('0' + size%10)
			size /= 10
		}
		cc.admitCall(cc.call)
		return true
	}
	return err == nil && consumed > 0
}

var (
	viaHeader      = []byte("Via: 1.1 dunegrade\r\n")
	timeoutHeader  = "x-envoy-upstream-rq-timeout-ms"
	expectedHeader = "x-envoy-expected-rq-timeout-ms: "
)

// classify determines a request's product, key, customer, cost and timeout, and builds the head that workers are sent.
// It reports whether a route matches.
func (l *loop) classify(c *call, r *http1.Request) bool {
	path := r.Path()
	route := l.p.routes.match(r.Method, path)
	if route == nil {
		return false
	}
	c.product = route.Product
	c.isHead = string(r.Method) == "HEAD"
	txn := logic.Txn{Product: logic.ProductID(route.Product)}
	timeout := l.p.cfg.Products[route.Product].Expiry
	hasTraceparent := false
	out := append(c.request[:0], r.Method...)
	out = append(out, ' ')
	out = append(out, r.Target...)
	out = append(out, " HTTP/1.1\r\n"...)
	out = r.AppendFields(out)
	for i := range r.Headers {
		h := &r.Headers[i]
		switch {
		case equalFold(h.Name, route.KeyHeader):
			if len(h.Value) > 0 {
				txn.Key = logic.KeyID(xxhash.Sum64(h.Value) | 1)
			}
		case equalFold(h.Name, route.CustomerHeader):
			txn.Customer = logic.CustomerID(l.p.customerIDs[string(h.Value)])
		case equalFold(h.Name, route.CostHeader):
			if ms, err := strconv.ParseFloat(unsafeString(h.Value), 64); err == nil && ms > 0 && ms < 1e9 {
				txn.Cost = logic.Nanos(ms * 1e6)
			}
		case equalFold(h.Name, route.RepeatHeader):
			txn.Repeat = true
		case equalFold(h.Name, timeoutHeader):
			// A client's timeout can shorten the product's expiry but not extend it.
			if ms, err := strconv.ParseUint(unsafeString(h.Value), 10, 32); err == nil {
				timeout = min(timeout, max(time.Millisecond, time.Duration(ms)*time.Millisecond))
			}
		case equalFold(h.Name, "traceparent"):
			hasTraceparent = true
			c.traceID = traceID(h.Value)
		}
	}
	if !hasTraceparent {
		out = l.appendTraceparent(out, c.serial)
	}
	out = append(out, viaHeader...)
	slack := min(l.p.cfg.AnswerSlack, timeout/2)
	txn.Expiry = l.now + logic.Nanos(timeout-slack)
	out = append(out, expectedHeader...)
	out = strconv.AppendInt(out, int64((timeout-slack)/time.Millisecond), 10)
	out = append(out, "\r\n"...)
	c.request, c.txn = out, txn
	return true
}

// appendTraceparent appends a new W3C trace context for a request that came without one. Its trace id identifies the txn
// in the recorded traces.
func (l *loop) appendTraceparent(out []byte, serial uint64) []byte {
	out = append(out, "traceparent: 00-"...)
	out = appendHex(appendHex(out, l.runID), trace.MixSerial(serial))
	out = append(out, '-')
	out = appendHex(out, l.rng.Uint64()|1)
	return append(out, "-01\r\n"...)
}

func appendHex(out []byte, v uint64) []byte {
	for shift := 60; shift >= 0; shift -= 4 {
		out = append(out, "0123456789abcdef"[v>>shift&15])
	}
	return out
}

// traceID parses the trace id of a W3C trace context; it returns zeros if the context is malformed.
func traceID(v []byte) (id [2]uint64) {
	if len(v) < 36 || v[2] != '-' || v[35] != '-' {
		return id
	}
	for i, c := range v[3:35] {
		digit := uint64(0)
		switch {
		case '0' <= c && c <= '9':
			digit = uint64(c - '0')
		case 'a' <= c && c <= 'f':
			digit = uint64(c - 'a' + 10)
		default:
			return [2]uint64{}
		}
		id[i/16] = id[i/16]<<4 | digit
	}
	return id
}

// overloadRetryAfter is the retry delay sent with requests that are declined before they reach the module.
const overloadRetryAfter = 100 * logic.Millisecond

const declinedBody = "declined: trying again does no harm\n"

// reply sends a response that the edge itself generates. A positive retryAfter adds the retry headers.
func (l *loop) reply(cc *clientConn, status int, text string, retryAfter logic.Nanos, keepAlive bool) {
	out := append(l.scratch[:0], "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(status), 10)
	out = append(out, ' ')
	out = append(out, statusReasons[status]...)
	out = append(out, "\r\nContent-Type: text/plain\r\nContent-Length: "...)
	out = strconv.AppendInt(out, int64(len(text)), 10)
	if retryAfter > 0 {
		out = append(out, "\r\nRetry-After: "...)
		out = strconv.AppendInt(out, int64(math.Ceil(float64(retryAfter)/1e9)), 10)
		out = append(out, "\r\nDunegrade-Retry-After-Ms: "...)
		out = strconv.AppendInt(out, int64((retryAfter+logic.Millisecond-1)/logic.Millisecond), 10)
	}
	switch status {
	case 503:
		out = append(out, "\r\nDunegrade-Outcome: declined"...)
	case 502, 504:
		out = append(out, "\r\nDunegrade-Outcome: voided"...)
	}
	if !keepAlive {
		out = append(out, "\r\nConnection: close"...)
		if cc.call != nil {
			cc.call.closesConn = true
		}
	}
	out = append(out, "\r\n\r\n"...)
	if cc.call == nil || !cc.call.isHead {
		out = append(out, text...)
	}
	l.scratch = out
	l.stats.repliesByClass[status/100]++
	cc.write(out)
	if cc.closed || cc.call != nil {
		return
	}
	if !keepAlive {
		cc.close(endAnswered)
	}
}

var statusReasons = map[int]string{400: "Bad Request", 404: "Not Found", 408: "Request Timeout", 413: "Content Too Large",
	417: "Expectation Failed", 431: "Request Header Fields Too Large", 501: "Not Implemented",
	502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout", 505: "HTTP Version Not Supported"}

// refuse sends an error for a request that was not admitted and closes the connection, since the input that follows
// cannot be trusted to start with a request.
func (l *loop) refuse(cc *clientConn, status int, why string) {
	l.stats.refused++
	if c := cc.call; c != nil {
		cc.call, c.client = nil, nil
		l.releaseCall(c)
	}
	cc.discardInput(len(cc.input()))
	l.reply(cc, status, why+"\n", 0, false)
}

func (hc *httpClient) declined(c *call, retryAfter logic.Nanos) {
	l := hc.cc.l
	l.reply(hc.cc, 503, declinedBody, retryAfter, c.keepAlive && !l.draining)
}

func (hc *httpClient) voided(c *call) {
	l := hc.cc.l
	if c.lastEnding == logic.TimedOut || l.now >= c.txn.Expiry {
		l.reply(hc.cc, 504, "voided: no answer in time; it may have had its effect\n", 0, c.keepAlive && !l.draining)
	} else {
		l.reply(hc.cc, 502, "voided: it may have had its effect\n", 0, c.keepAlive && !l.draining)
	}
}

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
	scannedBytes int         // length of the input prefix in which no end of the head was found
	headStart    logic.Nanos // when the first byte of the head was seen; 0 before that
}

func (hc *httpClient) supportsPipelining() bool { return false }
func (hc *httpClient) betweenRequests() bool    { return hc.part == partHead && hc.headStart == 0 }
func (hc *httpClient) startNextRequest()        { hc.part = partHead }

// checkTimeout enforces the timeouts for heads, bodies and idle connections.
func (hc *httpClient) checkTimeout() (deadline logic.Nanos) {
	cc := hc.cc
	l := cc.l
	limits := &l.p.cfg.ClientLimits
	switch hc.part {
	case partHead:
		if hc.headStart > 0 {
			deadline = hc.headStart + logic.Nanos(limits.HeadTimeout)
			if deadline <= l.now {
				l.refuse(cc, 408, "the head came too slowly")
				return 0
			}
		} else if deadline = cc.stateSince + logic.Nanos(limits.IdleTimeout); deadline <= l.now {
			return cc.closeIdle()
		}
	case partFixedBody, partChunkedBody:
		if deadline = cc.stateSince + logic.Nanos(limits.BodyTimeout); deadline <= l.now {
			l.refuse(cc, 408, "the body came too slowly")
			return 0
		}
	}
	return deadline
}

func (hc *httpClient) terminate(reason endReason) {
	text := "the process stops"
	if reason == endOverfull {
		text = "declined: more was sent than can be held"
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
		if !hc.mayTakeBody(n) {
			return false
		}
		cc.call.request = append(cc.call.request, in[:n]...)
		cc.call.accountRequest()
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
		parseErr := err.(*http1.ParseError)
		l.refuse(cc, parseErr.Status, parseErr.Message)
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
		return hc.rejectHead(n, 503, declinedBody, overloadRetryAfter)
	}
	c := l.newCall()
	c.client, cc.call = cc, c
	if !l.classify(c, r) {
		l.releaseCall(c)
		l.stats.noRoute++
		return hc.rejectHead(n, 404, "no route fits this request\n", 0)
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
		// A request with a method that expects a body (POST, PUT, PATCH) must state that it has none (RFC 9110, section 8.6).
		if m := c.request[0]; m == 'P' {
			c.request = append(c.request, "Content-Length: 0\r\n"...)
		}
		c.request = append(c.request, "\r\n"...)
		c.bodyOffset = len(c.request)
		cc.admitCall(cc.call)
		return true
	}
	l.scheduleClientCheck(cc, l.now+logic.Nanos(l.p.cfg.ClientLimits.BodyTimeout))
	if expectContinue && len(cc.input.data) == 0 {
		cc.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	return !cc.closed
}

// rejectHead answers the request whose head of size bytes was just parsed, without admitting it. The connection stays open unless
// a body follows. It reports whether more input may be processed.
func (hc *httpClient) rejectHead(size, status int, text string, retryAfter logic.Nanos) bool {
	cc := hc.cc
	l := cc.l
	keepAlive := l.req.Length == 0 && !l.req.Close && !l.draining
	cc.discardInput(size)
	l.reply(cc, status, text, retryAfter, keepAlive)
	hc.headStart = 0
	return !cc.closed && cc.state == stateReading
}

// mayTakeBody reports whether the connection may hold size more bytes of the body. If not, the request is refused.
func (hc *httpClient) mayTakeBody(size int) bool {
	if hc.cc.mayHold(size) {
		return true
	}
	hc.cc.l.stats.overHeldBytes++
	hc.terminate(endOverfull)
	return false
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
	if c.bodyOffset == 0 { // the length is known only at the end of the body, so ten digits are reserved for it
		c.request = append(c.request, "Content-Length: 0000000000\r\n\r\n"...)
		c.bodyOffset = len(c.request)
	}
	if int64(len(c.request)-c.bodyOffset+len(data)) > l.p.cfg.ClientLimits.MaxBodyBytes {
		l.refuse(cc, 413, "the body is larger than the limit")
		return false
	}
	if !hc.mayTakeBody(len(data)) {
		return false
	}
	c.request = append(c.request, data...)
	c.accountRequest()
	cc.discardInput(consumed)
	if done {
		size, digitsEnd := len(c.request)-c.bodyOffset, c.bodyOffset-len("\r\n\r\n")
		for i := 1; i <= 10; i++ {
			c.request[digitsEnd-i] = byte('0' + size%10)
			size /= 10
		}
		cc.admitCall(cc.call)
		return true
	}
	return err == nil && consumed > 0
}

var (
	viaHeader             = []byte("Via: 1.1 dunegrade\r\n")   // added to requests and answers
	timeoutHeader         = "x-envoy-upstream-rq-timeout-ms"   // name of the header with a client's timeout
	expectedTimeoutHeader = "x-envoy-expected-rq-timeout-ms: " // start of the header that sends workers the remaining time
)

// classify determines a request's product, key, customer, cost and timeout, and builds the head that is sent to workers,
// except for its length. It reports whether a route matches.
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
	head := append(c.request[:0], r.Method...)
	head = append(head, ' ')
	head = append(head, r.Target...)
	head = append(head, " HTTP/1.1\r\n"...)
	head = r.AppendFields(head)
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
		head = l.appendTraceparent(head, c.serial)
	}
	head = append(head, viaHeader...)
	slack := min(l.p.cfg.AnswerSlack, timeout/2)
	txn.Expiry = l.now + logic.Nanos(timeout-slack)
	head = append(head, expectedTimeoutHeader...)
	head = strconv.AppendInt(head, int64((timeout-slack)/time.Millisecond), 10)
	head = append(head, "\r\n"...)
	c.request, c.txn = head, txn
	c.accountRequest()
	return true
}

// appendTraceparent appends a generated W3C trace context for a request that has none. Its trace id identifies the txn
// in the recorded traces.
func (l *loop) appendTraceparent(head []byte, serial uint64) []byte {
	head = append(head, "traceparent: 00-"...)
	head = appendHex(appendHex(head, l.runID), trace.MixSerial(serial))
	head = append(head, '-')
	head = appendHex(head, l.rng.Uint64()|1)
	return append(head, "-01\r\n"...)
}

// appendHex appends v as 16 hexadecimal digits.
func appendHex(dst []byte, v uint64) []byte {
	for shift := 60; shift >= 0; shift -= 4 {
		dst = append(dst, "0123456789abcdef"[v>>shift&15])
	}
	return dst
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

// declinedBody is the body of the answer to a declined request.
const declinedBody = "declined: trying again does no harm\n"

// reply sends a response that the edge itself generates. A positive retryAfter adds the retry headers. Without a call, a
// response with keepAlive false also closes the connection.
func (l *loop) reply(cc *clientConn, status int, text string, retryAfter logic.Nanos, keepAlive bool) {
	buf := append(l.scratch[:0], "HTTP/1.1 "...)
	buf = strconv.AppendInt(buf, int64(status), 10)
	buf = append(buf, ' ')
	buf = append(buf, statusReasons[status]...)
	buf = append(buf, "\r\nContent-Type: text/plain\r\nContent-Length: "...)
	buf = strconv.AppendInt(buf, int64(len(text)), 10)
	if retryAfter > 0 {
		buf = append(buf, "\r\nRetry-After: "...)
		buf = strconv.AppendInt(buf, int64(math.Ceil(float64(retryAfter)/1e9)), 10)
		buf = append(buf, "\r\nDunegrade-Retry-After-Ms: "...)
		buf = strconv.AppendInt(buf, int64((retryAfter+logic.Millisecond-1)/logic.Millisecond), 10)
	}
	switch status {
	case 503:
		buf = append(buf, "\r\nDunegrade-Outcome: declined"...)
	case 502, 504:
		buf = append(buf, "\r\nDunegrade-Outcome: voided"...)
	}
	if !keepAlive {
		buf = append(buf, "\r\nConnection: close"...)
		if cc.call != nil {
			cc.call.closesConn = true
		}
	}
	buf = append(buf, "\r\n\r\n"...)
	if cc.call == nil || !cc.call.isHead {
		buf = append(buf, text...)
	}
	l.scratch = buf
	l.stats.repliesByClass[status/100]++
	cc.write(buf)
	if cc.closed || cc.call != nil {
		return
	}
	if !keepAlive {
		cc.close(endAnswered)
	}
}

// statusReasons holds the reason phrases of the statuses that the edge itself sends.
var statusReasons = map[int]string{400: "Bad Request", 404: "Not Found", 408: "Request Timeout", 413: "Content Too Large",
	417: "Expectation Failed", 431: "Request Header Fields Too Large", 501: "Not Implemented",
	502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout", 505: "HTTP Version Not Supported"}

// refuse sends an error for a request that was not admitted and closes the connection, since the input that follows
// cannot be trusted to start with a request.
func (l *loop) refuse(cc *clientConn, status int, message string) {
	l.stats.refused++
	if c := cc.call; c != nil {
		l.releaseCall(c)
	}
	cc.discardAllInput()
	l.reply(cc, status, message+"\n", 0, false)
}

func (hc *httpClient) writeDeclined(c *call, retryAfter logic.Nanos) {
	l := hc.cc.l
	l.reply(hc.cc, 503, declinedBody, retryAfter, c.keepAlive && !l.draining)
}

func (hc *httpClient) writeVoided(c *call) {
	l := hc.cc.l
	if c.lastEnding == logic.TimedOut || l.now >= c.txn.Expiry {
		l.reply(hc.cc, 504, "voided: no answer in time; it may have had its effect\n", 0, c.keepAlive && !l.draining)
	} else {
		l.reply(hc.cc, 502, "voided: it may have had its effect\n", 0, c.keepAlive && !l.draining)
	}
}

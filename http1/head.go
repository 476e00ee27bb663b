// Package http1 is the codec of HTTP/1.1 heads and chunked bodies for both sides of the edge. It works on bytes
// in hand, allocates nothing on the ordinary path and refuses whatever two readers could understand
// differently (RFC 9112, sections 2.2, 5, 6 and 11.2).
package http1

import (
	"bytes"
	"errors"
	"unsafe"

	"golang.org/x/net/http/httpguts"
)

// ErrIncomplete says that the head or body in hand is not complete yet.
var ErrIncomplete = errors.New("http1: more bytes are needed")

// ParseError is why a message is refused; Status is what a client is answered.
type ParseError struct {
	Status  int
	Message string
}

func (f *ParseError) Error() string { return "http1: " + f.Message }

// What a message can be refused for.
var (
	ErrTooLarge   = &ParseError{431, "the head is larger than the limit"}
	ErrLine       = &ParseError{400, "the first line is malformed"}
	ErrVersion    = &ParseError{505, "the version is neither HTTP/1.0 nor HTTP/1.1"}
	ErrMethod     = &ParseError{501, "the method is not carried here"}
	ErrBare       = &ParseError{400, "a bare CR or LF"}
	ErrFold       = &ParseError{400, "an obsolete line folding"}
	ErrName       = &ParseError{400, "a malformed header name"}
	ErrValue      = &ParseError{400, "a malformed header value"}
	ErrLengths    = &ParseError{400, "more than one length, or both a length and a coding"}
	ErrLength     = &ParseError{400, "a malformed Content-Length"}
	ErrCoding     = &ParseError{501, "a Transfer-Encoding other than chunked"}
	ErrCodingOld  = &ParseError{400, "a Transfer-Encoding under HTTP/1.0"}
	ErrHost       = &ParseError{400, "no Host, or more than one"}
	ErrMany       = &ParseError{431, "more header lines than the limit"}
	ErrChunk      = &ParseError{400, "a malformed chunk"}
	ErrStatusLine = &ParseError{502, "the status line is malformed"}
)

const (
	maxHeaders = 128
	// Bodies of unknown length.
	Chunked    int64 = -1
	UntilClose int64 = -2
)

// Header is one header line; its parts point into the bytes that were parsed.
type Header struct{ Name, Value []byte }

// head is what requests and answers have in common.
type head struct {
	Headers []Header
	Minor   int   // of the version, 1.Minor
	Length  int64 // of the body, Chunked, or UntilClose (answers only)
	Close   bool  // the sender closes after this message
	named   [8][]byte
	lengths int
	codings int
	hosts   int
}

// Request is a parsed request head. It points into the bytes it was parsed from. The zero value is ready.
type Request struct {
	head
	Method, Target []byte
	ExpectContinue bool // the client waits for a 100
	ExpectOther    bool // it expects anything else
}

// Response is a parsed answer head.
type Response struct {
	head
	Status int
	Reason []byte
}

// text views bytes as a string for the length of a call, without copying.
func text(b []byte) string { return unsafe.String(unsafe.SliceData(b), len(b)) }

// line cuts the next line off buf: without its CRLF, or ErrMore, or a fault.
func line(buf []byte, limit int) (l, rest []byte, err error) {
	nl := bytes.IndexByte(buf, '\n')
	if nl < 0 {
		if len(buf) > limit {
			return nil, nil, ErrTooLarge
		}
		return nil, nil, ErrIncomplete
	}
	if nl >= limit {
		return nil, nil, ErrTooLarge
	}
	if nl == 0 || buf[nl-1] != '\r' {
		return nil, nil, ErrBare
	}
	l = buf[:nl-1]
	if bytes.IndexByte(l, '\r') >= 0 {
		return nil, nil, ErrBare
	}
	return l, buf[nl+1:], nil
}

func (h *head) reset() {
	*h = head{Headers: h.Headers[:0]}
}

// Parse reads a request head from the front of buf and gives how many bytes it took. It gives ErrMore while the
// head is not complete, and a *Fault for one that is refused. limit bounds the head's bytes.
func (r *Request) Parse(buf []byte, limit int) (int, error) {
	h := r.head
	h.reset()
	*r = Request{head: h}
	rest := buf
	// One empty line before a request is passed over (RFC 9112, 2.2).
	if len(rest) >= 2 && rest[0] == '\r' && rest[1] == '\n' {
		rest = rest[2:]
	}
	l, rest, err := line(rest, limit)
	if err != nil {
		return 0, err
	}
	a := bytes.IndexByte(l, ' ')
	if a <= 0 {
		return 0, ErrLine
	}
	b := bytes.IndexByte(l[a+1:], ' ')
	if b <= 0 {
		return 0, ErrLine
	}
	r.Method, r.Target = l[:a], l[a+1:a+1+b]
	if !httpguts.ValidHeaderFieldName(text(r.Method)) { // a method is a token as well
		return 0, ErrLine
	}
	for _, c := range r.Target {
		if c <= ' ' || c >= 0x7f {
			return 0, ErrLine
		}
	}
	if r.Minor, err = version(l[a+2+b:]); err != nil {
		return 0, err
	}
	if text(r.Method) == "CONNECT" {
		return 0, ErrMethod
	}
	if r.Target[0] != '/' && !(text(r.Target) == "*" && text(r.Method) == "OPTIONS") &&
		!bytes.HasPrefix(r.Target, []byte("http://")) {
		return 0, ErrLine
	}
	rest, err = r.fields(rest, limit-(len(buf)-len(rest)))
	if err != nil {
		return 0, err
	}
	r.Length = 0
	for i := range r.Headers {
		v := r.Headers[i].Value
		switch f := &r.Headers[i]; {
		case is(f.Name, "host"):
			r.hosts++
		case is(f.Name, "expect"):
			if is(v, "100-continue") {
				r.ExpectContinue = true
			} else {
				r.ExpectOther = true
			}
		}
	}
	if r.hosts > 1 || r.hosts == 0 && r.Minor == 1 {
		return 0, ErrHost
	}
	if err := r.body(); err != nil {
		return 0, err
	}
	if r.Length == UntilClose {
		r.Length = 0
	}
	return len(buf) - len(rest), nil
}

func version(v []byte) (int, error) {
	switch text(v) {
	case "HTTP/1.1":
		return 1, nil
	case "HTTP/1.0":
		return 0, nil
	}
	if len(v) == 8 && bytes.HasPrefix(v, []byte("HTTP/")) {
		return 0, ErrVersion
	}
	return 0, ErrLine
}

// Parse reads an answer head from the front of buf and gives how many bytes it took. toHead: the request was a
// HEAD, whose answer has no body.
func (r *Response) Parse(buf []byte, limit int, toHead bool) (int, error) {
	h := r.head
	h.reset()
	*r = Response{head: h}
	l, rest, err := line(buf, limit)
	if err != nil {
		return 0, err
	}
	if len(l) < 12 || l[8] != ' ' || len(l) > 12 && l[12] != ' ' {
		return 0, ErrStatusLine
	}
	if r.Minor, err = version(l[:8]); err != nil {
		return 0, ErrStatusLine
	}
	for _, c := range l[9:12] {
		if c < '0' || c > '9' {
			return 0, ErrStatusLine
		}
		r.Status = r.Status*10 + int(c-'0')
	}
	if r.Status < 100 || r.Status > 599 {
		return 0, ErrStatusLine
	}
	if len(l) > 13 {
		r.Reason = l[13:]
		if !httpguts.ValidHeaderFieldValue(text(r.Reason)) {
			return 0, ErrStatusLine
		}
	}
	rest, err = r.fields(rest, limit-(len(buf)-len(rest)))
	if err != nil {
		return 0, err
	}
	if err := r.body(); err != nil {
		return 0, err
	}
	if toHead || r.Status < 200 || r.Status == 204 || r.Status == 304 {
		r.Length = 0
	} else if r.Length == UntilClose {
		r.Close = true
	}
	return len(buf) - len(rest), nil
}

// fields reads header lines up to the empty one.
func (h *head) fields(rest []byte, limit int) ([]byte, error) {
	size := len(rest)
	for {
		l, after, err := line(rest, limit-(size-len(rest)))
		if err != nil {
			return nil, err
		}
		rest = after
		if len(l) == 0 {
			return rest, nil
		}
		if l[0] == ' ' || l[0] == '\t' {
			return nil, ErrFold
		}
		if len(h.Headers) >= maxHeaders {
			return nil, ErrMany
		}
		colon := bytes.IndexByte(l, ':')
		if colon <= 0 || !httpguts.ValidHeaderFieldName(text(l[:colon])) {
			return nil, ErrName
		}
		value := bytes.Trim(l[colon+1:], " \t")
		if !httpguts.ValidHeaderFieldValue(text(value)) {
			return nil, ErrValue
		}
		h.Headers = append(h.Headers, Header{l[:colon], value})
	}
}

// body works out the length of the body and whether the connection closes. Danger: two readers that see two
// lengths see two messages where there is one, so anything but one plain length or one plain coding is refused.
func (h *head) body() error {
	h.Length = UntilClose
	h.Close = h.Minor == 0
	named := 0
	for i := range h.Headers {
		f := &h.Headers[i]
		switch {
		case is(f.Name, "content-length"):
			if h.lengths++; h.lengths > 1 {
				return ErrLengths
			}
			n, ok := number(f.Value)
			if !ok {
				return ErrLength
			}
			h.Length = n
		case is(f.Name, "transfer-encoding"):
			if h.codings++; h.codings > 1 || !is(f.Value, "chunked") {
				return ErrCoding
			}
			if h.Minor == 0 {
				return ErrCodingOld
			}
			h.Length = Chunked
		case is(f.Name, "connection"):
			for rest := f.Value; len(rest) > 0; {
				var one []byte
				if at := bytes.IndexByte(rest, ','); at >= 0 {
					one, rest = rest[:at], rest[at+1:]
				} else {
					one, rest = rest, nil
				}
				one = bytes.Trim(one, " \t")
				switch {
				case is(one, "close"):
					h.Close = true
				case is(one, "keep-alive"):
					h.Close = false
				case len(one) > 0 && named < len(h.named):
					h.named[named] = one
					named++
				case len(one) > 0:
					return ErrMany
				}
			}
		}
	}
	if h.lengths > 0 && h.codings > 0 {
		return ErrLengths
	}
	return nil
}

// number reads digits only: no sign, no space, no more than 18 of them.
func number(b []byte) (n int64, ok bool) {
	if len(b) == 0 || len(b) > 18 {
		return 0, false
	}
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int64(c-'0')
	}
	return n, true
}

// is compares without regard to case; want is in lower case.
func is(b []byte, want string) bool {
	if len(b) != len(want) {
		return false
	}
	for i := range b {
		c := b[i]
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		if c != want[i] {
			return false
		}
	}
	return true
}

// Get gives the value of the first header of a name in lower case, or nil.
func (h *head) Get(name string) []byte {
	for i := range h.Headers {
		if is(h.Headers[i].Name, name) {
			return h.Headers[i].Value
		}
	}
	return nil
}

// hop tells whether a header is of this connection alone and must not be handed on (RFC 9110, 7.6.1).
func (h *head) hop(name []byte) bool {
	switch len(name) {
	case 2:
		if is(name, "te") {
			return true
		}
	case 6:
		if is(name, "expect") {
			return true
		}
	case 7:
		if is(name, "trailer") || is(name, "upgrade") {
			return true
		}
	case 10:
		if is(name, "connection") || is(name, "keep-alive") {
			return true
		}
	case 14:
		if is(name, "content-length") {
			return true
		}
	case 16:
		if is(name, "proxy-connection") {
			return true
		}
	case 17:
		if is(name, "transfer-encoding") {
			return true
		}
	}
	for _, n := range h.named {
		if n == nil {
			return false
		}
		if bytes.EqualFold(n, name) {
			return true
		}
	}
	return false
}

// AppendFields appends the headers that are handed on, without the empty line.
func (h *head) AppendFields(out []byte) []byte {
	for i := range h.Headers {
		f := &h.Headers[i]
		if h.hop(f.Name) {
			continue
		}
		out = append(out, f.Name...)
		out = append(out, ": "...)
		out = append(out, f.Value...)
		out = append(out, "\r\n"...)
	}
	return out
}

// Path is the target's path, without query and, in absolute form, without scheme and host.
func (r *Request) Path() []byte {
	t := r.Target
	if after, found := bytes.CutPrefix(t, []byte("http://")); found {
		at := bytes.IndexByte(after, '/')
		if at < 0 {
			return []byte("/")
		}
		t = after[at:]
	}
	if at := bytes.IndexByte(t, '?'); at >= 0 {
		t = t[:at]
	}
	return t
}

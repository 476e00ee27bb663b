// Package http1 implements HTTP/1.1 message heads and chunked bodies for both sides of an edge. It parses from memory
// without I/O, does not allocate on the usual path and rejects every message that two parsers could interpret
// differently (RFC 9112, sections 2.2, 5, 6 and 11.2).
package http1

import (
	"bytes"
	"errors"
	"unsafe"

	"golang.org/x/net/http/httpguts"
)

// ErrIncomplete reports that the head or body is not complete yet.
var ErrIncomplete = errors.New("http1: more bytes are needed")

// ParseError is the reason for rejecting a message. Status is the HTTP status of the response that a client gets.
type ParseError struct {
	Status  int
	Message string
}

func (e *ParseError) Error() string { return "http1: " + e.Message }

// Reasons for rejecting a message.
var (
	ErrHeadTooLarge            = &ParseError{431, "the head is larger than the limit"}
	ErrRequestLine             = &ParseError{400, "the first line is malformed"}
	ErrVersion                 = &ParseError{505, "the version is neither HTTP/1.0 nor HTTP/1.1"}
	ErrMethod                  = &ParseError{501, "the method is not carried here"}
	ErrBareNewline             = &ParseError{400, "a bare CR or LF"}
	ErrLineFolding             = &ParseError{400, "an obsolete line folding"}
	ErrHeaderName              = &ParseError{400, "a malformed header name"}
	ErrHeaderValue             = &ParseError{400, "a malformed header value"}
	ErrAmbiguousLength         = &ParseError{400, "more than one length, or both a length and a coding"}
	ErrContentLength           = &ParseError{400, "a malformed Content-Length"}
	ErrTransferEncoding        = &ParseError{501, "a Transfer-Encoding other than chunked"}
	ErrTransferEncodingVersion = &ParseError{400, "a Transfer-Encoding under HTTP/1.0"}
	ErrHost                    = &ParseError{400, "no Host, or more than one"}
	ErrTooManyHeaders          = &ParseError{431, "more header lines than the limit"}
	ErrChunk                   = &ParseError{400, "a malformed chunk"}
	ErrStatusLine              = &ParseError{502, "the status line is malformed"}
)

// maxHeaders is the maximum number of header lines in a message.
const maxHeaders = 128

// Special values of Length for bodies of unknown length.
const (
	Chunked    int64 = -1
	UntilClose int64 = -2
)

// Header is a header line. Name and Value are slices of the parsed buffer.
type Header struct{ Name, Value []byte }

// head is the part that requests and responses have in common.
type head struct {
	Headers           []Header
	Minor             int       // minor version of HTTP/1
	Length            int64     // size of the body in bytes, Chunked, or UntilClose (responses only)
	Close             bool      // the sender closes the connection after this message
	connectionOptions [8][]byte // header names listed in Connection, which are hop-by-hop
	contentLengths    int       // number of Content-Length headers
	transferEncodings int       // number of Transfer-Encoding headers
	hosts             int       // number of Host headers
}

// Request is a parsed request head. Its fields are slices of the parsed buffer. The zero value is ready for use.
type Request struct {
	head
	Method, Target []byte
	ExpectContinue bool // the client waits for a 100 response
	ExpectOther    bool // the Expect header has any other value
}

// Response is a parsed response head.
type Response struct {
	head
	Status int
	Reason []byte
}

// stringView returns b as a string without copying. The string must not outlive the call it is passed to.
func stringView(b []byte) string { return unsafe.String(unsafe.SliceData(b), len(b)) }

// cutLine returns the first line of buf without its CRLF, and the rest of buf. The error is ErrIncomplete or a
// *ParseError. limit is the maximum size of the line in bytes, with its CRLF.
func cutLine(buf []byte, limit int) (line, rest []byte, err error) {
	newline := bytes.IndexByte(buf, '\n')
	if newline < 0 {
		if len(buf) > limit {
			return nil, nil, ErrHeadTooLarge
		}
		return nil, nil, ErrIncomplete
	}
	if newline >= limit {
		return nil, nil, ErrHeadTooLarge
	}
	if newline == 0 || buf[newline-1] != '\r' {
		return nil, nil, ErrBareNewline
	}
	line = buf[:newline-1]
	if bytes.IndexByte(line, '\r') >= 0 {
		return nil, nil, ErrBareNewline
	}
	return line, buf[newline+1:], nil
}

// reset clears the head but keeps the memory of Headers.
func (h *head) reset() {
	*h = head{Headers: h.Headers[:0]}
}

// Parse parses a request head at the start of buf and returns its size in bytes. The error is ErrIncomplete while the head
// is incomplete, or a *ParseError for a head that is rejected. limit is the maximum size of the head in bytes.
func (r *Request) Parse(buf []byte, limit int) (int, error) {
	h := r.head
	h.reset()
	*r = Request{head: h}
	rest := buf
	// One empty line before a request is ignored (RFC 9112, section 2.2).
	if len(rest) >= 2 && rest[0] == '\r' && rest[1] == '\n' {
		rest = rest[2:]
	}
	line, rest, err := cutLine(rest, limit)
	if err != nil {
		return 0, err
	}
	methodEnd := bytes.IndexByte(line, ' ')
	if methodEnd <= 0 {
		return 0, ErrRequestLine
	}
	targetSize := bytes.IndexByte(line[methodEnd+1:], ' ')
	if targetSize <= 0 {
		return 0, ErrRequestLine
	}
	r.Method, r.Target = line[:methodEnd], line[methodEnd+1:methodEnd+1+targetSize]
	if !httpguts.ValidHeaderFieldName(stringView(r.Method)) { // a method is a token, like a header name
		return 0, ErrRequestLine
	}
	for _, c := range r.Target {
		if c <= ' ' || c >= 0x7f {
			return 0, ErrRequestLine
		}
	}
	if r.Minor, err = parseVersion(line[methodEnd+2+targetSize:]); err != nil {
		return 0, err
	}
	if stringView(r.Method) == "CONNECT" {
		return 0, ErrMethod
	}
	if r.Target[0] != '/' && !(stringView(r.Target) == "*" && stringView(r.Method) == "OPTIONS") &&
		!bytes.HasPrefix(r.Target, []byte("http://")) {
		return 0, ErrRequestLine
	}
	rest, err = r.parseFields(rest, limit-(len(buf)-len(rest)))
	if err != nil {
		return 0, err
	}
	r.Length = 0
	for i := range r.Headers {
		value := r.Headers[i].Value
		switch header := &r.Headers[i]; {
		case equalFold(header.Name, "host"):
			r.hosts++
		case equalFold(header.Name, "expect"):
			if equalFold(value, "100-continue") {
				r.ExpectContinue = true
			} else {
				r.ExpectOther = true
			}
		}
	}
	if r.hosts > 1 || r.hosts == 0 && r.Minor == 1 {
		return 0, ErrHost
	}
	if err := r.parseFraming(); err != nil {
		return 0, err
	}
	if r.Length == UntilClose {
		r.Length = 0
	}
	return len(buf) - len(rest), nil
}

// parseVersion returns the minor version of HTTP/1.0 or HTTP/1.1.
func parseVersion(v []byte) (int, error) {
	switch stringView(v) {
	case "HTTP/1.1":
		return 1, nil
	case "HTTP/1.0":
		return 0, nil
	}
	if len(v) == 8 && bytes.HasPrefix(v, []byte("HTTP/")) {
		return 0, ErrVersion
	}
	return 0, ErrRequestLine
}

// Parse parses a response head at the start of buf and returns its size in bytes. toHead marks a response to a HEAD request,
// which has no body. limit and the errors are those of Request.Parse.
func (r *Response) Parse(buf []byte, limit int, toHead bool) (int, error) {
	h := r.head
	h.reset()
	*r = Response{head: h}
	line, rest, err := cutLine(buf, limit)
	if err != nil {
		return 0, err
	}
	if len(line) < 12 || line[8] != ' ' || len(line) > 12 && line[12] != ' ' {
		return 0, ErrStatusLine
	}
	if r.Minor, err = parseVersion(line[:8]); err != nil {
		return 0, ErrStatusLine
	}
	for _, c := range line[9:12] {
		if c < '0' || c > '9' {
			return 0, ErrStatusLine
		}
		r.Status = r.Status*10 + int(c-'0')
	}
	if r.Status < 100 || r.Status > 599 {
		return 0, ErrStatusLine
	}
	if len(line) > 13 {
		r.Reason = line[13:]
		if !httpguts.ValidHeaderFieldValue(stringView(r.Reason)) {
			return 0, ErrStatusLine
		}
	}
	rest, err = r.parseFields(rest, limit-(len(buf)-len(rest)))
	if err != nil {
		return 0, err
	}
	if err := r.parseFraming(); err != nil {
		return 0, err
	}
	if toHead || r.Status < 200 || r.Status == 204 || r.Status == 304 {
		r.Length = 0
	} else if r.Length == UntilClose {
		r.Close = true
	}
	return len(buf) - len(rest), nil
}

// parseFields parses header lines up to and including the empty line and returns the rest of the buffer. limit is the maximum
// size of these lines in bytes.
func (h *head) parseFields(rest []byte, limit int) ([]byte, error) {
	size := len(rest)
	for {
		line, after, err := cutLine(rest, limit-(size-len(rest)))
		if err != nil {
			return nil, err
		}
		rest = after
		if len(line) == 0 {
			return rest, nil
		}
		if line[0] == ' ' || line[0] == '\t' {
			return nil, ErrLineFolding
		}
		if len(h.Headers) >= maxHeaders {
			return nil, ErrTooManyHeaders
		}
		colon := bytes.IndexByte(line, ':')
		if colon <= 0 || !httpguts.ValidHeaderFieldName(stringView(line[:colon])) {
			return nil, ErrHeaderName
		}
		value := bytes.Trim(line[colon+1:], " \t")
		if !httpguts.ValidHeaderFieldValue(stringView(value)) {
			return nil, ErrHeaderValue
		}
		h.Headers = append(h.Headers, Header{line[:colon], value})
	}
}

// parseFraming determines the length of the body and whether the connection closes after the message. Two parsers that
// disagree about the length would find different messages in the same bytes (request smuggling), so a message with anything
// but one plain Content-Length or one plain chunked coding is rejected.
func (h *head) parseFraming() error {
	h.Length = UntilClose
	h.Close = h.Minor == 0
	optionCount := 0
	for i := range h.Headers {
		header := &h.Headers[i]
		switch {
		case equalFold(header.Name, "content-length"):
			if h.contentLengths++; h.contentLengths > 1 {
				return ErrAmbiguousLength
			}
			n, ok := parseLength(header.Value)
			if !ok {
				return ErrContentLength
			}
			h.Length = n
		case equalFold(header.Name, "transfer-encoding"):
			if h.transferEncodings++; h.transferEncodings > 1 || !equalFold(header.Value, "chunked") {
				return ErrTransferEncoding
			}
			if h.Minor == 0 {
				return ErrTransferEncodingVersion
			}
			h.Length = Chunked
		case equalFold(header.Name, "connection"):
			for rest := header.Value; len(rest) > 0; {
				var option []byte
				if comma := bytes.IndexByte(rest, ','); comma >= 0 {
					option, rest = rest[:comma], rest[comma+1:]
				} else {
					option, rest = rest, nil
				}
				option = bytes.Trim(option, " \t")
				switch {
				case equalFold(option, "close"):
					h.Close = true
				case equalFold(option, "keep-alive"):
					h.Close = false
				case len(option) > 0 && optionCount < len(h.connectionOptions):
					h.connectionOptions[optionCount] = option
					optionCount++
				case len(option) > 0:
					return ErrTooManyHeaders
				}
			}
		}
	}
	if h.contentLengths > 0 && h.transferEncodings > 0 {
		return ErrAmbiguousLength
	}
	return nil
}

// parseLength parses up to 18 decimal digits, without sign or spaces.
func parseLength(b []byte) (n int64, ok bool) {
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

// equalFold reports whether b equals want, ignoring the case of ASCII letters in b. want must be in lower case.
func equalFold(b []byte, want string) bool {
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

// Get returns the value of the first header with the given name, which must be in lower case, or nil.
func (h *head) Get(name string) []byte {
	for i := range h.Headers {
		if equalFold(h.Headers[i].Name, name) {
			return h.Headers[i].Value
		}
	}
	return nil
}

// isHopByHop reports whether a header applies to this connection only and must not be forwarded (RFC 9110, section 7.6.1).
func (h *head) isHopByHop(name []byte) bool {
	switch len(name) {
	case 2:
		if equalFold(name, "te") {
			return true
		}
	case 6:
		if equalFold(name, "expect") {
			return true
		}
	case 7:
		if equalFold(name, "trailer") || equalFold(name, "upgrade") {
			return true
		}
	case 10:
		if equalFold(name, "connection") || equalFold(name, "keep-alive") {
			return true
		}
	case 14:
		if equalFold(name, "content-length") {
			return true
		}
	case 16:
		if equalFold(name, "proxy-connection") {
			return true
		}
	case 17:
		if equalFold(name, "transfer-encoding") {
			return true
		}
	}
	for _, n := range h.connectionOptions {
		if n == nil {
			return false
		}
		if bytes.EqualFold(n, name) {
			return true
		}
	}
	return false
}

// AppendFields appends the headers that are forwarded to out, without the final empty line.
func (h *head) AppendFields(out []byte) []byte {
	for i := range h.Headers {
		header := &h.Headers[i]
		if h.isHopByHop(header.Name) {
			continue
		}
		out = append(out, header.Name...)
		out = append(out, ": "...)
		out = append(out, header.Value...)
		out = append(out, "\r\n"...)
	}
	return out
}

// Path returns the path of the request target, without the query and, in absolute form, without scheme and host.
func (r *Request) Path() []byte {
	target := r.Target
	if after, found := bytes.CutPrefix(target, []byte("http://")); found {
		slash := bytes.IndexByte(after, '/')
		if slash < 0 {
			return []byte("/")
		}
		target = after[slash:]
	}
	if question := bytes.IndexByte(target, '?'); question >= 0 {
		target = target[:question]
	}
	return target
}

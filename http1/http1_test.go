package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// limit is the maximum size of a head in bytes.
const limit = 1024

func TestParseRequestErrors(t *testing.T) {
	long := strings.Repeat("a", limit)
	cases := []struct {
		name, in string
		want     error
	}{
		{"Content-Length and Transfer-Encoding", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", ErrAmbiguousLength},
		{"Transfer-Encoding before Content-Length", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n", ErrAmbiguousLength},
		{"two lengths", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", ErrAmbiguousLength},
		{"two equal Content-Lengths", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n", ErrAmbiguousLength},
		{"list of lengths", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3, 3\r\n\r\n", ErrContentLength},
		{"length with a plus sign", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: +3\r\n\r\n", ErrContentLength},
		{"length with a minus sign", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -3\r\n\r\n", ErrContentLength},
		{"length in hex", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0x3\r\n\r\n", ErrContentLength},
		{"empty length", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length:\r\n\r\n", ErrContentLength},
		{"length that overflows", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999999999999\r\n\r\n", ErrContentLength},
		{"two codings in one header", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", ErrTransferEncoding},
		{"two Transfer-Encoding headers", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", ErrTransferEncoding},
		{"unknown coding", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n", ErrTransferEncoding},
		{"coding under HTTP/1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", ErrTransferEncodingVersion},
		{"bare LF in a header", "GET / HTTP/1.1\r\nHost: x\nA: b\r\n\r\n", ErrBareNewline},
		{"bare LF after the request line", "GET / HTTP/1.1\nHost: x\r\n\r\n", ErrBareNewline},
		{"bare CR in a value", "GET / HTTP/1.1\r\nHost: x\r\nA: b\rc\r\n\r\n", ErrBareNewline},
		{"line folding with a space", "GET / HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n", ErrLineFolding},
		{"line folding with a tab", "GET / HTTP/1.1\r\nHost: x\r\nA: b\r\n\tc\r\n\r\n", ErrLineFolding},
		{"space before the colon", "GET / HTTP/1.1\r\nHost : x\r\n\r\n", ErrHeaderName},
		{"no header name", "GET / HTTP/1.1\r\n: x\r\n\r\n", ErrHeaderName},
		{"no colon", "GET / HTTP/1.1\r\nHost\r\n\r\n", ErrHeaderName},
		{"NUL in a value", "GET / HTTP/1.1\r\nHost: x\r\nA: \x00\r\n\r\n", ErrHeaderValue},
		{"no Host", "GET / HTTP/1.1\r\n\r\n", ErrHost},
		{"two Host headers", "GET / HTTP/1.1\r\nHost: x\r\nHost: x\r\n\r\n", ErrHost},
		{"space in the target", "GET /a b HTTP/1.1\r\nHost: x\r\n\r\n", ErrRequestLine},
		{"target without a slash", "GET a HTTP/1.1\r\nHost: x\r\n\r\n", ErrRequestLine},
		{"HTTP/2", "GET / HTTP/2.0\r\nHost: x\r\n\r\n", ErrVersion},
		{"CONNECT", "CONNECT a:1 HTTP/1.1\r\nHost: x\r\n\r\n", ErrMethod},
		{"head above the limit", "GET / HTTP/1.1\r\nHost: x\r\nA: " + long + "\r\n\r\n", ErrHeadTooLarge},
		{"unterminated line above the limit", "GET /" + long + long, ErrHeadTooLarge},
		{"too many headers", "GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:b\r\n", 130) + "\r\n", ErrTooManyHeaders},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var r Request
			if _, err := r.Parse([]byte(c.in), limit); err != c.want {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
}

func TestParseRequest(t *testing.T) {
	cases := []struct {
		name, in, fields string
		length           int64
		close, cont      bool
	}{
		{"plain", "GET /a?b HTTP/1.1\r\nHost: x\r\nA:  b \r\n\r\nrest", "Host: x\r\nA: b\r\n", 0, false, false},
		{"leading empty line", "\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n", "Host: x\r\n", 0, false, false},
		{"a body", "POST / HTTP/1.1\r\nHost: x\r\ncontent-LENGTH: 12\r\n\r\n", "Host: x\r\n", 12, false, false},
		{"chunks", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: Chunked\r\nTrailer: a\r\n\r\n", "Host: x\r\n", Chunked, false, false},
		{"hop-by-hop headers", "GET / HTTP/1.1\r\nHost: x\r\nConnection: close, Foo\r\nFoo: 1\r\nTE: trailers\r\nBar: 2\r\n\r\n", "Host: x\r\nBar: 2\r\n", 0, true,
			false},
		{"HTTP/1.0 closes", "GET / HTTP/1.0\r\n\r\n", "", 0, true, false},
		{"HTTP/1.0 keep-alive", "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", "", 0, false, false},
		{"Expect: 100-continue", "POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-Continue\r\nContent-Length: 1\r\n\r\n", "Host: x\r\n", 1, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var r Request
			n, err := r.Parse([]byte(c.in), limit)
			if err != nil {
				t.Fatal(err)
			}
			if rest := c.in[n:]; rest != "" && rest != "rest" {
				t.Errorf("unparsed %q", rest)
			}
			if got := string(r.AppendFields(nil)); got != c.fields {
				t.Errorf("fields %q, want %q", got, c.fields)
			}
			if r.Length != c.length || r.Close != c.close || r.ExpectContinue != c.cont {
				t.Errorf("length %d close %t continue %t", r.Length, r.Close, r.ExpectContinue)
			}
			for cut := 0; cut < n; cut++ { // every prefix is incomplete, not invalid
				if _, err := r.Parse([]byte(c.in[:cut]), limit); err != ErrIncomplete {
					t.Fatalf("cut at %d: %v", cut, err)
				}
			}
		})
	}
}

func TestParseResponse(t *testing.T) {
	cases := []struct {
		name, in string
		head     bool
		length   int64
		status   int
		want     error
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", false, 5, 200, nil},
		{"no reason phrase", "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\n", false, 5, 200, nil},
		{"until close", "HTTP/1.1 200 OK\r\n\r\n", false, UntilClose, 200, nil},
		{"chunks", "HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n", false, Chunked, 500, nil},
		{"no body for the status", "HTTP/1.1 204 No\r\n\r\n", false, 0, 204, nil},
		{"no body after HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", true, 0, 200, nil},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", false, 0, 0, ErrAmbiguousLength},
		{"garbage", "\x00\x01 what is this\r\n\r\n", false, 0, 0, ErrStatusLine},
		{"status with letters", "HTTP/1.1 2x0 OK\r\n\r\n", false, 0, 0, ErrStatusLine},
		{"status out of range", "HTTP/1.1 999 OK\r\n\r\n", false, 0, 0, ErrStatusLine},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var r Response
			_, err := r.Parse([]byte(c.in), limit, c.head)
			if err != c.want || err == nil && (r.Length != c.length || r.Status != c.status) {
				t.Errorf("got %v, length %d, status %d", err, r.Length, r.Status)
			}
		})
	}
}

// dechunk decodes a body that arrives in pieces of the given size. rest is the number of bytes in in after the body.
func dechunk(in []byte, size int) (body []byte, rest int, err error) {
	var d Dechunker
	buf, pos := []byte{}, 0
	for {
		consumed, data, done, err := d.Next(buf)
		body = append(body, data...)
		buf = buf[consumed:]
		if done {
			return body, len(buf) + len(in) - pos, nil
		}
		if err != nil && err != ErrIncomplete {
			return body, 0, err
		}
		if err == ErrIncomplete {
			if pos == len(in) {
				return body, 0, ErrIncomplete
			}
			n := min(size, len(in)-pos)
			buf = append(append([]byte{}, buf...), in[pos:pos+n]...)
			pos += n
		}
	}
}

func TestDechunker(t *testing.T) {
	cases := []struct {
		name, in, body string
		rest           int
		want           error
	}{
		{"plain", "3\r\nabc\r\n0\r\n\r\n", "abc", 0, nil},
		{"two chunks and following bytes", "3\r\nabc\r\nA\r\n0123456789\r\n0\r\n\r\nGET", "abc0123456789", 3, nil},
		{"extension", "3;a=b\r\nabc\r\n0\r\n\r\n", "abc", 0, nil},
		{"trailer", "1\r\na\r\n0\r\nX: y\r\n\r\n", "a", 0, nil},
		{"bare LF", "3\nabc\r\n0\r\n\r\n", "", 0, ErrChunk},
		{"no chunk size", "\r\nabc", "", 0, ErrChunk},
		{"size with a sign", "+3\r\nabc\r\n0\r\n\r\n", "", 0, ErrChunk},
		{"size with a prefix", "0x3\r\nabc\r\n0\r\n\r\n", "", 0, ErrChunk},
		{"overflow", "fffffffffffffffff\r\n", "", 0, ErrChunk},
		{"data longer than the chunk size", "3\r\nabcd\r\n0\r\n\r\n", "abc", 0, ErrChunk},
		{"folded trailer", "0\r\nX: y\r\n z\r\n\r\n", "", 0, ErrChunk},
		{"truncated chunk", "3\r\nab", "ab", 0, ErrIncomplete},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for size := 1; size <= len(c.in); size++ {
				body, rest, err := dechunk([]byte(c.in), size)
				if err != c.want || err == nil && (string(body) != c.body || rest != c.rest) {
					t.Fatalf("pieces of %d: body %q, rest %d, error %v", size, body, rest, err)
				}
			}
		})
	}
}

// The parsers run for every request and response, so they must not allocate.
func TestParseDoesNotAllocate(t *testing.T) {
	request := []byte("POST /a HTTP/1.1\r\nHost: x\r\nA: b\r\nConnection: keep-alive\r\nContent-Length: 3\r\n\r\n")
	response := []byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nA: b\r\n\r\n")
	var req Request
	var resp Response
	buf := make([]byte, 0, 512)
	n := testing.AllocsPerRun(100, func() {
		req.Parse(request, limit)
		buf = req.AppendFields(buf[:0])
		resp.Parse(response, limit, false)
		buf = AppendChunk(resp.AppendFields(buf[:0]), request)
	})
	if n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// FuzzRequest compares the parser with net/http: both must parse a request that they accept in the same way.
func FuzzRequest(f *testing.F) {
	for _, s := range []string{"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc",
		"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "GET http://h/p HTTP/1.0\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		var r Request
		n, err := r.Parse(in, 4096)
		var parseErr *ParseError
		if err != nil {
			if err != ErrIncomplete && !errors.As(err, &parseErr) {
				t.Fatalf("unexpected error %v", err)
			}
			return
		}
		if n <= 0 || n > len(in) {
			t.Fatalf("consumed %d of %d", n, len(in))
		}
		stdRequest, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(in)))
		if err != nil {
			return // net/http is stricter about URLs and hosts; rejecting less is harmless here
		}
		if stdRequest.Method != string(r.Method) || stdRequest.RequestURI != string(r.Target) {
			t.Fatalf("parsed as %s %s, by net/http as %s %s", r.Method, r.Target, stdRequest.Method, stdRequest.RequestURI)
		}
		if stdRequest.ContentLength != r.Length && !(r.Length == Chunked && len(stdRequest.TransferEncoding) == 1) {
			t.Fatalf("length %d, by net/http %d", r.Length, stdRequest.ContentLength)
		}
		if r.Length == Chunked {
			stdBody, stdErr := io.ReadAll(stdRequest.Body)
			body, _, ownErr := dechunk(in[n:], 7)
			if ownErr == nil && stdErr == nil && !bytes.Equal(body, stdBody) {
				t.Fatalf("body %q, by net/http %q", body, stdBody)
			}
			if ownErr == nil && stdErr != nil && !strings.Contains(stdErr.Error(), "trailer") {
				t.Logf("net/http is stricter: %v", stdErr)
			}
		}
	})
}

// FuzzResponse checks that the values of a parsed response are within their ranges.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"), false)
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n"), true)
	f.Fuzz(func(t *testing.T, in []byte, head bool) {
		var r Response
		if n, err := r.Parse(in, 4096, head); err == nil && (n <= 0 || n > len(in) || r.Status < 100 || r.Status > 599 || r.Length < UntilClose) {
			t.Fatalf("consumed %d of %d: %+v", n, len(in), r)
		}
	})
}

// BenchmarkRequest measures the parsing of a request head and its encoding for a worker.
func BenchmarkRequest(b *testing.B) {
	in := []byte("GET /calendar/17 HTTP/1.1\r\nHost: booking\r\nUser-Agent: bench\r\nAccept: */*\r\nX-Key: 17\r\n\r\n")
	var r Request
	buf := make([]byte, 0, 512)
	b.ReportAllocs()
	for b.Loop() {
		r.Parse(in, limit)
		buf = r.AppendFields(buf[:0])
	}
}

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

const limit = 1024

func TestRequestRefused(t *testing.T) {
	long := strings.Repeat("a", limit)
	cases := []struct {
		name, in string
		want     error
	}{
		{"both lengths", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", ErrLengths},
		{"coding before length", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n", ErrLengths},
		{"two lengths", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n", ErrLengths},
		{"two equal lengths", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n", ErrLengths},
		{"a list of lengths", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3, 3\r\n\r\n", ErrLength},
		{"a plus sign", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: +3\r\n\r\n", ErrLength},
		{"a minus sign", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -3\r\n\r\n", ErrLength},
		{"a hex length", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0x3\r\n\r\n", ErrLength},
		{"an empty length", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length:\r\n\r\n", ErrLength},
		{"a length that overflows", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999999999999\r\n\r\n", ErrLength},
		{"two codings", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", ErrCoding},
		{"coding twice", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", ErrCoding},
		{"an odd coding", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n", ErrCoding},
		{"coding under 1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", ErrCodingOld},
		{"a bare LF in a header", "GET / HTTP/1.1\r\nHost: x\nA: b\r\n\r\n", ErrBare},
		{"a bare LF after the first line", "GET / HTTP/1.1\nHost: x\r\n\r\n", ErrBare},
		{"a bare CR in a value", "GET / HTTP/1.1\r\nHost: x\r\nA: b\rc\r\n\r\n", ErrBare},
		{"folding by space", "GET / HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n", ErrFold},
		{"folding by tab", "GET / HTTP/1.1\r\nHost: x\r\nA: b\r\n\tc\r\n\r\n", ErrFold},
		{"a space before the colon", "GET / HTTP/1.1\r\nHost : x\r\n\r\n", ErrName},
		{"no name", "GET / HTTP/1.1\r\n: x\r\n\r\n", ErrName},
		{"no colon", "GET / HTTP/1.1\r\nHost\r\n\r\n", ErrName},
		{"a NUL in a value", "GET / HTTP/1.1\r\nHost: x\r\nA: \x00\r\n\r\n", ErrValue},
		{"no host", "GET / HTTP/1.1\r\n\r\n", ErrHost},
		{"two hosts", "GET / HTTP/1.1\r\nHost: x\r\nHost: x\r\n\r\n", ErrHost},
		{"a space in the target", "GET /a b HTTP/1.1\r\nHost: x\r\n\r\n", ErrLine},
		{"a target without slash", "GET a HTTP/1.1\r\nHost: x\r\n\r\n", ErrLine},
		{"HTTP/2", "GET / HTTP/2.0\r\nHost: x\r\n\r\n", ErrVersion},
		{"CONNECT", "CONNECT a:1 HTTP/1.1\r\nHost: x\r\n\r\n", ErrMethod},
		{"a head that is too large", "GET / HTTP/1.1\r\nHost: x\r\nA: " + long + "\r\n\r\n", ErrTooLarge},
		{"a line without end", "GET /" + long + long, ErrTooLarge},
		{"too many headers", "GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:b\r\n", 130) + "\r\n", ErrMany},
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

func TestRequestRead(t *testing.T) {
	cases := []struct {
		name, in, fields string
		length           int64
		close, cont      bool
	}{
		{"plain", "GET /a?b HTTP/1.1\r\nHost: x\r\nA:  b \r\n\r\nrest", "Host: x\r\nA: b\r\n", 0, false, false},
		{"an empty line first", "\r\nGET / HTTP/1.1\r\nHost: x\r\n\r\n", "Host: x\r\n", 0, false, false},
		{"a body", "POST / HTTP/1.1\r\nHost: x\r\ncontent-LENGTH: 12\r\n\r\n", "Host: x\r\n", 12, false, false},
		{"chunks", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: Chunked\r\nTrailer: a\r\n\r\n", "Host: x\r\n", Chunked, false, false},
		{"hop by hop", "GET / HTTP/1.1\r\nHost: x\r\nConnection: close, Foo\r\nFoo: 1\r\nTE: trailers\r\nBar: 2\r\n\r\n", "Host: x\r\nBar: 2\r\n", 0, true,
			false},
		{"1.0", "GET / HTTP/1.0\r\n\r\n", "", 0, true, false},
		{"1.0 kept alive", "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", "", 0, false, false},
		{"expects", "POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-Continue\r\nContent-Length: 1\r\n\r\n", "Host: x\r\n", 1, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var r Request
			n, err := r.Parse([]byte(c.in), limit)
			if err != nil {
				t.Fatal(err)
			}
			if rest := c.in[n:]; rest != "" && rest != "rest" {
				t.Errorf("left %q", rest)
			}
			if got := string(r.AppendFields(nil)); got != c.fields {
				t.Errorf("fields %q, want %q", got, c.fields)
			}
			if r.Length != c.length || r.Close != c.close || r.ExpectContinue != c.cont {
				t.Errorf("length %d close %t continue %t", r.Length, r.Close, r.ExpectContinue)
			}
			for cut := 0; cut < n; cut++ { // any part of it is incomplete, never refused
				if _, err := r.Parse([]byte(c.in[:cut]), limit); err != ErrIncomplete {
					t.Fatalf("cut at %d: %v", cut, err)
				}
			}
		})
	}
}

func TestResponseRead(t *testing.T) {
	cases := []struct {
		name, in string
		head     bool
		length   int64
		status   int
		want     error
	}{
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", false, 5, 200, nil},
		{"no reason", "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\n", false, 5, 200, nil},
		{"until close", "HTTP/1.1 200 OK\r\n\r\n", false, UntilClose, 200, nil},
		{"chunks", "HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n", false, Chunked, 500, nil},
		{"no body by status", "HTTP/1.1 204 No\r\n\r\n", false, 0, 204, nil},
		{"no body after HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", true, 0, 200, nil},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n", false, 0, 0, ErrLengths},
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

// dechunk feeds a body in pieces of a size, as reads would bring it.
func dechunk(in []byte, size int) (body []byte, rest int, err error) {
	var d Dechunker
	have, at := []byte{}, 0
	for {
		took, data, done, err := d.Next(have)
		body = append(body, data...)
		have = have[took:]
		if done {
			return body, len(have) + len(in) - at, nil
		}
		if err != nil && err != ErrIncomplete {
			return body, 0, err
		}
		if err == ErrIncomplete {
			if at == len(in) {
				return body, 0, ErrIncomplete
			}
			n := min(size, len(in)-at)
			have = append(append([]byte{}, have...), in[at:at+n]...)
			at += n
		}
	}
}

func TestChunks(t *testing.T) {
	cases := []struct {
		name, in, body string
		rest           int
		want           error
	}{
		{"plain", "3\r\nabc\r\n0\r\n\r\n", "abc", 0, nil},
		{"two and a rest", "3\r\nabc\r\nA\r\n0123456789\r\n0\r\n\r\nGET", "abc0123456789", 3, nil},
		{"extension", "3;a=b\r\nabc\r\n0\r\n\r\n", "abc", 0, nil},
		{"trailer", "1\r\na\r\n0\r\nX: y\r\n\r\n", "a", 0, nil},
		{"bare LF", "3\nabc\r\n0\r\n\r\n", "", 0, ErrChunk},
		{"no digits", "\r\nabc", "", 0, ErrChunk},
		{"a sign", "+3\r\nabc\r\n0\r\n\r\n", "", 0, ErrChunk},
		{"a prefix", "0x3\r\nabc\r\n0\r\n\r\n", "", 0, ErrChunk},
		{"overflow", "fffffffffffffffff\r\n", "", 0, ErrChunk},
		{"data longer than told", "3\r\nabcd\r\n0\r\n\r\n", "abc", 0, ErrChunk},
		{"a folded trailer", "0\r\nX: y\r\n z\r\n\r\n", "", 0, ErrChunk},
		{"cut off", "3\r\nab", "ab", 0, ErrIncomplete},
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

func TestAllocatesNothing(t *testing.T) {
	in := []byte("POST /a HTTP/1.1\r\nHost: x\r\nA: b\r\nConnection: keep-alive\r\nContent-Length: 3\r\n\r\n")
	out := []byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nA: b\r\n\r\n")
	var r Request
	var a Response
	buf := make([]byte, 0, 512)
	n := testing.AllocsPerRun(100, func() {
		r.Parse(in, limit)
		buf = r.AppendFields(buf[:0])
		a.Parse(out, limit, false)
		buf = AppendChunk(a.AppendFields(buf[:0]), in)
	})
	if n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// FuzzRequest holds the parser against net/http: what it takes, the other reader must understand the same way.
func FuzzRequest(f *testing.F) {
	for _, s := range []string{"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc",
		"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "GET http://h/p HTTP/1.0\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		var r Request
		n, err := r.Parse(in, 4096)
		var fault *ParseError
		if err != nil {
			if err != ErrIncomplete && !errors.As(err, &fault) {
				t.Fatalf("odd error %v", err)
			}
			return
		}
		if n <= 0 || n > len(in) {
			t.Fatalf("took %d of %d", n, len(in))
		}
		other, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(in)))
		if err != nil {
			return // the other is stricter about what a URL or a host may hold; that does no harm
		}
		if other.Method != string(r.Method) || other.RequestURI != string(r.Target) {
			t.Fatalf("read as %s %s, by net/http as %s %s", r.Method, r.Target, other.Method, other.RequestURI)
		}
		if other.ContentLength != r.Length && !(r.Length == Chunked && len(other.TransferEncoding) == 1) {
			t.Fatalf("length %d, by net/http %d", r.Length, other.ContentLength)
		}
		if r.Length == Chunked {
			want, errOther := io.ReadAll(other.Body)
			got, _, errOurs := dechunk(in[n:], 7)
			if errOurs == nil && errOther == nil && !bytes.Equal(got, want) {
				t.Fatalf("body %q, by net/http %q", got, want)
			}
			if errOurs == nil && errOther != nil && !strings.Contains(errOther.Error(), "trailer") {
				t.Logf("net/http is stricter: %v", errOther)
			}
		}
	})
}

func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"), false)
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n"), true)
	f.Fuzz(func(t *testing.T, in []byte, head bool) {
		var r Response
		if n, err := r.Parse(in, 4096, head); err == nil && (n <= 0 || n > len(in) || r.Status < 100 || r.Status > 599 || r.Length < UntilClose) {
			t.Fatalf("took %d of %d: %+v", n, len(in), r)
		}
	})
}

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

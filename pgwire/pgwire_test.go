package pgwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"math/rand"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5/pgproto3"
)

func startupMessage(pairs ...string) []byte {
	m := pgproto3.StartupMessage{ProtocolVersion: 3 << 16, Parameters: map[string]string{}}
	for i := 0; i+1 < len(pairs); i += 2 {
		m.Parameters[pairs[i]] = pairs[i+1]
	}
	out, err := m.Encode(nil)
	if err != nil {
		panic(err)
	}
	return out
}

func query(text string) []byte { return AppendQuery(nil, []byte(text), nil, nil) }

func uint32s(values ...uint32) (out []byte) {
	for _, v := range values {
		out = binary.BigEndian.AppendUint32(out, v)
	}
	return out
}

func join(parts ...[]byte) []byte { return bytes.Join(parts, nil) }

// parseFrontend passes in to a FrontendParser in pieces of the sizes that nextSize returns, and returns a description of each
// result.
func parseFrontend(in []byte, nextSize func(remaining int) int) (got []string) {
	var f FrontendParser
	var buf []byte
	for len(in) > 0 {
		n := nextSize(len(in))
		buf, in = append(buf, in[:n]...), in[n:]
		for len(buf) > 0 {
			size, request, text, err := f.Next(buf)
			if err == ErrIncomplete {
				break
			}
			if err != nil {
				var protocolErr *ProtocolError
				if !errors.As(err, &protocolErr) {
					return append(got, "another error: "+err.Error())
				}
				return append(got, "protocol error "+protocolErr.Code)
			}
			got = append(got, [...]string{"encryption", "startup", "empty", "query " + string(text), "terminate"}[request])
			buf = buf[size:]
		}
	}
	if len(buf) > 0 {
		got = append(got, "incomplete")
	}
	return got
}

func TestFrontendParser(t *testing.T) {
	startup := startupMessage("user", "backend", "database", "store")
	for _, c := range []struct {
		name string
		in   []byte
		want string
	}{
		{"startup and query together", join(startup, query("SELECT 1")), "startup, query SELECT 1"},
		{"empty query", join(startup, query(""), query(" ; ")), "startup, empty, empty"},
		{"SSL and GSS encryption requests", join(uint32s(8, sslRequestCode), uint32s(8, gssEncRequestCode), startup), "encryption, encryption, startup"},
		{"too many encryption requests", join(uint32s(8, sslRequestCode), uint32s(8, sslRequestCode), uint32s(8, sslRequestCode)), "encryption, encryption, protocol error 08P01"},
		{"cancel request", uint32s(16, cancelRequestCode, 1, 2), "terminate"},
		{"terminate", join(startup, []byte{'X', 0, 0, 0, 4}), "startup, terminate"},
		{"pipelined queries", join(startup, query("a"), query("b"), query("c")), "startup, query a, query b, query c"},
		{"another protocol", []byte("GET / HTTP/1.1\r\n\r\n"), "protocol error 08P01"},
		{"version 2", uint32s(8, 2<<16), "protocol error 08P01"},
		{"startup too short", uint32s(4), "protocol error 08P01"},
		{"startup too long", uint32s(20_000, 3<<16), "protocol error 08P01"},
		{"unterminated startup parameters", join(uint32s(12, 3<<16), []byte("user")), "protocol error 08P01"},
		{"partial startup", startup[:9], "incomplete"},
		{"negative length", join(startup, []byte{'Q', 0xff, 0xff, 0xff, 0xff}), "startup, protocol error 54000"},
		{"length below the minimum", join(startup, []byte{'Q', 0, 0, 0, 3}), "startup, protocol error 54000"},
		{"length of 60 MB", join(startup, []byte{'Q'}, uint32s(60<<20)), "startup, protocol error 54000"},
		{"unknown message type", join(startup, []byte{'P', 0, 0, 0, 4}), "startup, protocol error 08P01"},
		{"unknown message type, first byte only", join(startup, []byte{0xfe}), "startup, protocol error 08P01"},
		{"unterminated query text", join(startup, []byte{'Q', 0, 0, 0, 5, 'a'}), "startup, protocol error 08P01"},
		{"NUL inside the query text", join(startup, []byte{'Q', 0, 0, 0, 8, 'a', 0, 'b', 0}), "startup, protocol error 08P01"},
		{"partial query", join(startup, query("SELECT")[:7]), "startup, incomplete"},
	} {
		t.Run(c.name, func(t *testing.T) {
			rng := rand.New(rand.NewSource(1))
			for name, nextSize := range map[string]func(int) int{"whole": func(n int) int { return n }, "bytes": func(int) int { return 1 },
				"any": func(n int) int { return 1 + rng.Intn(n) }} {
				if got := strings.Join(parseFrontend(c.in, nextSize), ", "); got != c.want {
					t.Errorf("%s: got %q, want %q", name, got, c.want)
				}
			}
		})
	}
}

func encoded(m pgproto3.BackendMessage) []byte { return encode(m) }

func rowDescription(fields int) []byte {
	m := &pgproto3.RowDescription{}
	for i := 0; i < fields; i++ {
		m.Fields = append(m.Fields, pgproto3.FieldDescription{Name: []byte("content"), DataTypeOID: 17, DataTypeSize: -1, TypeModifier: -1, Format: 1})
	}
	return encoded(m)
}

func dataRow(values ...[]byte) []byte { return encoded(&pgproto3.DataRow{Values: values}) }
func commandComplete(tag string) []byte {
	return encoded(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
}
func parameterStatus(name, v string) []byte {
	return encoded(&pgproto3.ParameterStatus{Name: name, Value: v})
}
func errorResponse(severity, code string) []byte {
	return encoded(&pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: code, Message: "m"})
}

var sessionStart = join(encoded(&pgproto3.AuthenticationOk{}), parameterStatus("server_version", "16"),
	encoded(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{0, 0, 0, 1}}), ReadyForQuery)

// parseBackend passes in to a BackendParser in pieces of the sizes that nextSize returns, and begins a query once the session
// is ready. It returns a description of each event.
func parseBackend(in []byte, nextSize func(int) int) (got []string, b *BackendParser) {
	b = &BackendParser{}
	b.Reset("gauges", 300<<10)
	var buf []byte
	for len(in) > 0 {
		n := nextSize(len(in))
		buf, in = append(buf, in[:n]...), in[n:]
		for len(buf) > 0 {
			size, event, err := b.Next(buf)
			if err == ErrIncomplete {
				break
			}
			if err != nil {
				return append(got, "protocol error"), b
			}
			buf = buf[size:]
			switch event {
			case SessionReady:
				got = append(got, "ready")
				if !b.BeginQuery() {
					got = append(got, "query refused")
				}
			case ValueReceived:
				got = append(got, "value")
			case ErrorReceived:
				got = append(got, "error "+b.Code)
			}
		}
	}
	return got, b
}

func TestBackendParser(t *testing.T) {
	long := bytes.Repeat([]byte("v"), 200<<10)
	good := join(rowDescription(1), dataRow([]byte("abc")), commandComplete("SELECT 1"), ReadyForQuery)
	for _, c := range []struct {
		name string
		in   []byte
		want string
		load string
	}{
		{"a value", good, "ready, value", ""},
		{"value of an INSERT", join(rowDescription(1), dataRow([]byte("")), commandComplete("INSERT 0 1"), ReadyForQuery), "ready, value", ""},
		{"load report before the answer", join(parameterStatus("gauges", "util=0.5"), good), "ready, value", "util=0.5"},
		{"load report after the row", join(rowDescription(1), dataRow([]byte("a")), parameterStatus("gauges", "x"), commandComplete("SELECT 1"), ReadyForQuery), "ready, value", "x"},
		{"other parameter and notice", join(parameterStatus("zone", "b"), encoded(&pgproto3.NoticeResponse{Severity: "NOTICE", Message: "m"}), good), "ready, value", ""},
		{"load report with a NUL inside", join([]byte{'S', 0, 0, 0, 16}, []byte("gauges\x00a\x00bc\x00"), good), "ready, value", ""},
		{"long value", join(rowDescription(1), dataRow(long), commandComplete("SELECT 1"), ReadyForQuery), "ready, value", ""},
		{"value above the limit", join(rowDescription(1), dataRow(bytes.Repeat([]byte("v"), 301<<10))), "ready, protocol error", ""},
		{"row length of 3 GB", join(rowDescription(1), []byte{'D'}, uint32s(3_000_000_000)), "ready, protocol error", ""},
		{"an error", join(errorResponse("ERROR", "XX000"), ReadyForQuery), "ready, error XX000", ""},
		{"fatal error", errorResponse("FATAL", "53300"), "ready, error 53300", ""},
		{"error after the row", join(rowDescription(1), dataRow([]byte("a")), errorResponse("ERROR", "XX000"), ReadyForQuery), "ready, error XX000", ""},
		{"unsolicited answer", join(good, good), "ready, value, protocol error", ""},
		{"garbage after the answer", join(good, []byte("HTTP/1.1 200 OK")), "ready, value, protocol error", ""},
		{"no row description", join(dataRow([]byte("a")), commandComplete("SELECT 1"), ReadyForQuery), "ready, protocol error", ""},
		{"two columns", join(rowDescription(2), dataRow([]byte("a"), []byte("b"))), "ready, protocol error", ""},
		{"two rows", join(rowDescription(1), dataRow([]byte("a")), dataRow([]byte("b")), commandComplete("SELECT 2"), ReadyForQuery), "ready, protocol error", ""},
		{"no row", join(rowDescription(1), commandComplete("SELECT 0"), ReadyForQuery), "ready, protocol error", ""},
		{"NULL value", join(rowDescription(1), dataRow(nil)), "ready, protocol error", ""},
		{"command tag of two rows", join(rowDescription(1), dataRow([]byte("a")), commandComplete("SELECT 2")), "ready, protocol error", ""},
		{"value shorter than its row", join(rowDescription(1), []byte{'D', 0, 0, 0, 13, 0, 1, 0, 0, 0, 2, 'a', 'b', 'c'}), "ready, protocol error", ""},
		{"value longer than its row", join(rowDescription(1), []byte{'D', 0, 0, 0, 12, 0, 1, 0, 0, 0, 9, 'a', 'b'}), "ready, protocol error", ""},
		{"long value with contradictory lengths", join(rowDescription(1), []byte{'D'}, uint32s(100_000), []byte{0, 1}, uint32s(99_000)), "ready, protocol error", ""},
		{"row description with trailing bytes", join([]byte{'T', 0, 0, 0, 28}, []byte{0, 1, 'c', 0}, make([]byte, 20)), "ready, protocol error", ""},
		{"transaction still open", join(rowDescription(1), dataRow([]byte("a")), commandComplete("SELECT 1"), encoded(&pgproto3.ReadyForQuery{TxStatus: 'T'})), "ready, protocol error", ""},
		{"noise", []byte("\x00\x01\x02\x03"), "ready, protocol error", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			rng := rand.New(rand.NewSource(1))
			for name, nextSize := range map[string]func(int) int{"whole": func(n int) int { return n }, "bytes": func(int) int { return 1 },
				"any": func(n int) int { return 1 + rng.Intn(n) }} {
				got, b := parseBackend(join(sessionStart, c.in), nextSize)
				if s := strings.Join(got, ", "); s != c.want {
					t.Errorf("%s: got %q, want %q", name, s, c.want)
				}
				if string(b.Load) != c.load {
					t.Errorf("%s: load %q, want %q", name, b.Load, c.load)
				}
				if c.want == "ready, value" && !bytes.HasSuffix(join(c.in, nil), join(b.Answer[len(b.Answer)-8:], ReadyForQuery)) {
					t.Errorf("%s: Answer does not end with the last message before ReadyForQuery", name)
				}
			}
		})
	}
	t.Run("session start", func(t *testing.T) {
		for _, c := range []struct {
			name string
			in   []byte
			want string
		}{
			{"too many connections", errorResponse("FATAL", "53300"), "error 53300"},
			{"password requested", []byte{'R', 0, 0, 0, 8, 0, 0, 0, 3}, "protocol error"},
			{"another protocol", []byte("HTTP/1.1 400 Bad Request\r\n"), "protocol error"},
		} {
			if got, _ := parseBackend(c.in, func(n int) int { return n }); strings.Join(got, ", ") != c.want {
				t.Errorf("%s: got %v, want %s", c.name, got, c.want)
			}
		}
	})
}

// The answer has started as soon as its first message is parsed, not only when it is complete.
func TestAnswerStarted(t *testing.T) {
	b := &BackendParser{}
	b.Reset("", 1<<10)
	feed := func(in []byte) {
		for len(in) > 0 {
			size, _, err := b.Next(in)
			if err != nil {
				t.Fatal(err)
			}
			in = in[size:]
		}
	}
	feed(sessionStart)
	b.BeginQuery()
	if b.AnswerStarted() {
		t.Error("AnswerStarted reports true before the first byte")
	}
	feed(rowDescription(1))
	if !b.AnswerStarted() {
		t.Error("AnswerStarted reports false after the row description")
	}
}

// FuzzFrontendParser checks that the result does not depend on how the input is split.
func FuzzFrontendParser(f *testing.F) {
	f.Add(join(startupMessage("user", "u"), query("SELECT 1")))
	f.Add(uint32s(8, sslRequestCode))
	f.Fuzz(func(t *testing.T, in []byte) {
		whole := strings.Join(parseFrontend(in, func(n int) int { return n }), ",")
		if bytewise := strings.Join(parseFrontend(in, func(int) int { return 1 }), ","); bytewise != whole {
			t.Errorf("parsed in one piece: %q, byte by byte: %q", whole, bytewise)
		}
	})
}

// FuzzBackendParser checks that the result does not depend on how the input is split.
func FuzzBackendParser(f *testing.F) {
	f.Add(join(sessionStart, rowDescription(1), dataRow([]byte("abc")), commandComplete("SELECT 1"), ReadyForQuery))
	f.Add(join(sessionStart, errorResponse("ERROR", "XX000"), ReadyForQuery))
	f.Fuzz(func(t *testing.T, in []byte) {
		whole, _ := parseBackend(in, func(n int) int { return n })
		bytewise, _ := parseBackend(in, func(int) int { return 1 })
		if strings.Join(whole, ",") != strings.Join(bytewise, ",") {
			t.Errorf("parsed in one piece: %q, byte by byte: %q", whole, bytewise)
		}
	})
}

// BenchmarkAnswer measures the parsing of one answer.
func BenchmarkAnswer(b *testing.B) {
	var parser BackendParser
	parser.Reset("gauges", 1<<20)
	for in := sessionStart; len(in) > 0; {
		size, _, _ := parser.Next(in)
		in = in[size:]
	}
	answer := join(rowDescription(1), dataRow([]byte("0123456789abcdef")), parameterStatus("gauges", "util=0.5"), commandComplete("SELECT 1"), ReadyForQuery)
	b.ReportAllocs()
	for b.Loop() {
		parser.BeginQuery()
		for in := answer; len(in) > 0; {
			size, _, err := parser.Next(in)
			if err != nil {
				b.Fatal(err)
			}
			in = in[size:]
		}
	}
}

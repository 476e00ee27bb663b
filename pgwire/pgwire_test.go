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

func start(pairs ...string) []byte {
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

func words(n ...uint32) (out []byte) {
	for _, w := range n {
		out = binary.BigEndian.AppendUint32(out, w)
	}
	return out
}

func join(parts ...[]byte) []byte { return bytes.Join(parts, nil) }

// play feeds a Front in pieces and tells what it gave, one word each.
func play(in []byte, cut func(left int) int) (got []string) {
	var f FrontendParser
	var held []byte
	for len(in) > 0 {
		n := cut(len(in))
		held, in = append(held, in[:n]...), in[n:]
		for len(held) > 0 {
			size, want, text, err := f.Next(held)
			if err == ErrIncomplete {
				break
			}
			if err != nil {
				var fault *ProtocolError
				if !errors.As(err, &fault) {
					return append(got, "no fault: "+err.Error())
				}
				return append(got, "fault "+fault.Code)
			}
			got = append(got, [...]string{"encryption", "start", "empty", "query " + string(text), "leave"}[want])
			held = held[size:]
		}
	}
	if len(held) > 0 {
		got = append(got, "more")
	}
	return got
}

func TestFront(t *testing.T) {
	hello := start("user", "backend", "database", "store")
	for _, c := range []struct {
		name string
		in   []byte
		want string
	}{
		{"start and query in one", join(hello, query("SELECT 1")), "start, query SELECT 1"},
		{"empty query", join(hello, query(""), query(" ; ")), "start, empty, empty"},
		{"encryption asked, both ways", join(words(8, codeSSL), words(8, codeGSS), hello), "encryption, encryption, start"},
		{"encryption asked for ever", join(words(8, codeSSL), words(8, codeSSL), words(8, codeSSL)), "encryption, encryption, fault 08P01"},
		{"cancel", words(16, codeCancel, 1, 2), "leave"},
		{"terminate", join(hello, []byte{'X', 0, 0, 0, 4}), "start, leave"},
		{"many queries", join(hello, query("a"), query("b"), query("c")), "start, query a, query b, query c"},
		{"another protocol", []byte("GET / HTTP/1.1\r\n\r\n"), "fault 08P01"},
		{"version 2", words(8, 2<<16), "fault 08P01"},
		{"start too short", words(4), "fault 08P01"},
		{"start too long", words(20_000, 3<<16), "fault 08P01"},
		{"start without an end", join(words(12, 3<<16), []byte("user")), "fault 08P01"},
		{"half a start", hello[:9], "more"},
		{"negative length", join(hello, []byte{'Q', 0xff, 0xff, 0xff, 0xff}), "start, fault 54000"},
		{"length of nothing", join(hello, []byte{'Q', 0, 0, 0, 3}), "start, fault 54000"},
		{"60 MB", join(hello, []byte{'Q'}, words(60<<20)), "start, fault 54000"},
		{"unknown kind", join(hello, []byte{'P', 0, 0, 0, 4}), "start, fault 08P01"},
		{"kind unknown from its first byte", join(hello, []byte{0xfe}), "start, fault 08P01"},
		{"text without an end", join(hello, []byte{'Q', 0, 0, 0, 5, 'a'}), "start, fault 08P01"},
		{"text that hides another", join(hello, []byte{'Q', 0, 0, 0, 8, 'a', 0, 'b', 0}), "start, fault 08P01"},
		{"half a query", join(hello, query("SELECT")[:7]), "start, more"},
	} {
		t.Run(c.name, func(t *testing.T) {
			rng := rand.New(rand.NewSource(1))
			for name, cut := range map[string]func(int) int{"whole": func(n int) int { return n }, "bytes": func(int) int { return 1 },
				"any": func(n int) int { return 1 + rng.Intn(n) }} {
				if got := strings.Join(play(c.in, cut), ", "); got != c.want {
					t.Errorf("%s: got %q, want %q", name, got, c.want)
				}
			}
		})
	}
}

func encoded(m pgproto3.BackendMessage) []byte { return encode(m) }

func description(fields int) []byte {
	m := &pgproto3.RowDescription{}
	for i := 0; i < fields; i++ {
		m.Fields = append(m.Fields, pgproto3.FieldDescription{Name: []byte("content"), DataTypeOID: 17, DataTypeSize: -1, TypeModifier: -1, Format: 1})
	}
	return encoded(m)
}

func row(values ...[]byte) []byte { return encoded(&pgproto3.DataRow{Values: values}) }
func done(tag string) []byte      { return encoded(&pgproto3.CommandComplete{CommandTag: []byte(tag)}) }
func param(n, v string) []byte    { return encoded(&pgproto3.ParameterStatus{Name: n, Value: v}) }
func fault(severity, code string) []byte {
	return encoded(&pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: code, Message: "m"})
}

var greet = join(encoded(&pgproto3.AuthenticationOk{}), param("server_version", "16"),
	encoded(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{0, 0, 0, 1}}), ReadyForQuery)

// hear feeds a Back that was asked once it was open, and tells what it told.
func hear(in []byte, cut func(int) int) (got []string, b *BackendParser) {
	b = &BackendParser{}
	b.Reset("gauges", 300<<10)
	var held []byte
	for len(in) > 0 {
		n := cut(len(in))
		held, in = append(held, in[:n]...), in[n:]
		for len(held) > 0 {
			size, told, err := b.Next(held)
			if err == ErrIncomplete {
				break
			}
			if err != nil {
				return append(got, "fault"), b
			}
			held = held[size:]
			switch told {
			case SessionReady:
				got = append(got, "open")
				if !b.BeginQuery() {
					got = append(got, "cannot be asked")
				}
			case ValueReceived:
				got = append(got, "value")
			case ErrorReceived:
				got = append(got, "refusal "+b.Code)
			}
		}
	}
	return got, b
}

func TestBack(t *testing.T) {
	long := bytes.Repeat([]byte("v"), 200<<10)
	good := join(description(1), row([]byte("abc")), done("SELECT 1"), ReadyForQuery)
	for _, c := range []struct {
		name string
		in   []byte
		want string
		load string
	}{
		{"a value", good, "open, value", ""},
		{"an insert's value", join(description(1), row([]byte("")), done("INSERT 0 1"), ReadyForQuery), "open, value", ""},
		{"with a load report", join(param("gauges", "util=0.5"), good), "open, value", "util=0.5"},
		{"report behind the row", join(description(1), row([]byte("a")), param("gauges", "x"), done("SELECT 1"), ReadyForQuery), "open, value", "x"},
		{"another parameter and a notice", join(param("zone", "b"), encoded(&pgproto3.NoticeResponse{Severity: "NOTICE", Message: "m"}), good), "open, value", ""},
		{"a report with a zero inside", join([]byte{'S', 0, 0, 0, 16}, []byte("gauges\x00a\x00bc\x00"), good), "open, value", ""},
		{"a long value", join(description(1), row(long), done("SELECT 1"), ReadyForQuery), "open, value", ""},
		{"too long a value", join(description(1), row(bytes.Repeat([]byte("v"), 301<<10))), "open, fault", ""},
		{"3 GB", join(description(1), []byte{'D'}, words(3_000_000_000)), "open, fault", ""},
		{"an error", join(fault("ERROR", "XX000"), ReadyForQuery), "open, refusal XX000", ""},
		{"a fatal error", fault("FATAL", "53300"), "open, refusal 53300", ""},
		{"an error after the row", join(description(1), row([]byte("a")), fault("ERROR", "XX000"), ReadyForQuery), "open, refusal XX000", ""},
		{"an answer to nothing", join(good, good), "open, value, fault", ""},
		{"noise behind", join(good, []byte("HTTP/1.1 200 OK")), "open, value, fault", ""},
		{"no description", join(row([]byte("a")), done("SELECT 1"), ReadyForQuery), "open, fault", ""},
		{"two columns", join(description(2), row([]byte("a"), []byte("b"))), "open, fault", ""},
		{"two rows", join(description(1), row([]byte("a")), row([]byte("b")), done("SELECT 2"), ReadyForQuery), "open, fault", ""},
		{"no row", join(description(1), done("SELECT 0"), ReadyForQuery), "open, fault", ""},
		{"a row of nothing", join(description(1), row(nil)), "open, fault", ""},
		{"a tag of two", join(description(1), row([]byte("a")), done("SELECT 2")), "open, fault", ""},
		{"a value shorter than its row", join(description(1), []byte{'D', 0, 0, 0, 13, 0, 1, 0, 0, 0, 2, 'a', 'b', 'c'}), "open, fault", ""},
		{"a value longer than its row", join(description(1), []byte{'D', 0, 0, 0, 12, 0, 1, 0, 0, 0, 9, 'a', 'b'}), "open, fault", ""},
		{"a long value that its row contradicts", join(description(1), []byte{'D'}, words(100_000), []byte{0, 1}, words(99_000)), "open, fault", ""},
		{"a description with more behind", join([]byte{'T', 0, 0, 0, 28}, []byte{0, 1, 'c', 0}, make([]byte, 20)), "open, fault", ""},
		{"not idle", join(description(1), row([]byte("a")), done("SELECT 1"), encoded(&pgproto3.ReadyForQuery{TxStatus: 'T'})), "open, fault", ""},
		{"noise", []byte("\x00\x01\x02\x03"), "open, fault", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			rng := rand.New(rand.NewSource(1))
			for name, cut := range map[string]func(int) int{"whole": func(n int) int { return n }, "bytes": func(int) int { return 1 },
				"any": func(n int) int { return 1 + rng.Intn(n) }} {
				got, b := hear(join(greet, c.in), cut)
				if s := strings.Join(got, ", "); s != c.want {
					t.Errorf("%s: got %q, want %q", name, s, c.want)
				}
				if string(b.Load) != c.load {
					t.Errorf("%s: load %q, want %q", name, b.Load, c.load)
				}
				if c.want == "open, value" && !bytes.HasSuffix(join(c.in, nil), join(b.Answer[len(b.Answer)-8:], ReadyForQuery)) {
					t.Errorf("%s: what is passed on does not end as the answer does", name)
				}
			}
		})
	}
	t.Run("greetings", func(t *testing.T) {
		for _, c := range []struct {
			name string
			in   []byte
			want string
		}{
			{"too many connections", fault("FATAL", "53300"), "refusal 53300"},
			{"a password wanted", []byte{'R', 0, 0, 0, 8, 0, 0, 0, 3}, "fault"},
			{"another protocol", []byte("HTTP/1.1 400 Bad Request\r\n"), "fault"},
		} {
			if got, _ := hear(c.in, func(n int) int { return n }); strings.Join(got, ", ") != c.want {
				t.Errorf("%s: got %v, want %s", c.name, got, c.want)
			}
		}
	})
}

func TestBackTellsWhetherAnAnswerBegan(t *testing.T) {
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
	feed(greet)
	b.BeginQuery()
	if b.AnswerStarted() {
		t.Error("begun before a byte came")
	}
	feed(description(1))
	if !b.AnswerStarted() {
		t.Error("not begun with its description")
	}
}

func FuzzFront(f *testing.F) {
	f.Add(join(start("user", "u"), query("SELECT 1")))
	f.Add(words(8, codeSSL))
	f.Fuzz(func(t *testing.T, in []byte) {
		whole := strings.Join(play(in, func(n int) int { return n }), ",")
		if bytes := strings.Join(play(in, func(int) int { return 1 }), ","); bytes != whole {
			t.Errorf("in one piece %q, byte by byte %q", whole, bytes)
		}
	})
}

func FuzzBack(f *testing.F) {
	f.Add(join(greet, description(1), row([]byte("abc")), done("SELECT 1"), ReadyForQuery))
	f.Add(join(greet, fault("ERROR", "XX000"), ReadyForQuery))
	f.Fuzz(func(t *testing.T, in []byte) {
		whole, _ := hear(in, func(n int) int { return n })
		bytes, _ := hear(in, func(int) int { return 1 })
		if strings.Join(whole, ",") != strings.Join(bytes, ",") {
			t.Errorf("in one piece %q, byte by byte %q", whole, bytes)
		}
	})
}

func BenchmarkAnswer(b *testing.B) {
	var back BackendParser
	back.Reset("gauges", 1<<20)
	for in := greet; len(in) > 0; {
		size, _, _ := back.Next(in)
		in = in[size:]
	}
	answer := join(description(1), row([]byte("0123456789abcdef")), param("gauges", "util=0.5"), done("SELECT 1"), ReadyForQuery)
	b.ReportAllocs()
	for b.Loop() {
		back.BeginQuery()
		for in := answer; len(in) > 0; {
			size, _, err := back.Next(in)
			if err != nil {
				b.Fatal(err)
			}
			in = in[size:]
		}
	}
}

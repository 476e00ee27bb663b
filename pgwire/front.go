package pgwire

import (
	"bytes"
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Want says what a client asks for.
type Want uint8

// Wants.
const (
	EncryptionRequest Want = iota // answer with NoEncryption
	Startup                       // answer with Welcome
	EmptyQuery                    // a query without a statement: answer with EmptyAnswer
	Query                         // a query; its text is given
	Terminate                     // it ends the connection, or asks for a cancel, which is not heeded
)

// FrontendParser follows what one client sends. The zero value waits for the start-up message.
type FrontendParser struct {
	started bool
	asked   int // for encryption
}

// Started tells whether the client has sent its start-up message.
func (f *FrontendParser) Started() bool { return f.started }

// Next takes the message that in begins with: how many bytes it has, what it wants, and the text of a statement, which
// is a part of in. The error is ErrMore, or a *Fault after which the connection is to be ended.
func (f *FrontendParser) Next(in []byte) (size int, want Want, text []byte, err error) {
	if !f.started {
		return f.start(in)
	}
	kind, body, size, err := frame(in, frontBounds)
	if err != nil {
		return 0, 0, nil, err
	}
	if kind == 'X' {
		return size, Terminate, nil, nil
	}
	// Danger: a text that ends before its message does hides something behind it.
	if len(body) == 0 || bytes.IndexByte(body, 0) != len(body)-1 {
		return 0, 0, nil, violation("the text of a query does not end with its message")
	}
	text = body[:len(body)-1]
	if len(bytes.Trim(text, " \t\r\n;")) == 0 {
		return size, EmptyQuery, nil, nil
	}
	return size, Query, text, nil
}

func frontBounds(kind byte) int {
	switch kind {
	case 'Q':
		return longestQuery
	case 'X':
		return 16
	}
	return 0
}

const (
	version3   = 3 << 16
	codeCancel = 80877102
	codeSSL    = 80877103
	codeGSS    = 80877104
)

func (f *FrontendParser) start(in []byte) (size int, want Want, text []byte, err error) {
	if len(in) > 0 && in[0] != 0 { // a length of 16 MB and more: another protocol
		return 0, 0, nil, violation("this is no start-up message")
	}
	if len(in) < 4 {
		return 0, 0, nil, ErrIncomplete
	}
	n := binary.BigEndian.Uint32(in)
	if n < 8 || n > longestStart {
		return 0, 0, nil, violation("a start-up message says that it has %d bytes", n)
	}
	if len(in) < 8 {
		return 0, 0, nil, ErrIncomplete
	}
	code := binary.BigEndian.Uint32(in[4:])
	if code>>16 != 3 && code != codeCancel && code != codeSSL && code != codeGSS {
		return 0, 0, nil, violation("protocol %d.%d is not spoken here", code>>16, code&0xffff)
	}
	if size = int(n); len(in) < size {
		return 0, 0, nil, ErrIncomplete
	}
	switch code {
	case codeCancel:
		return size, Terminate, nil, nil
	case codeSSL, codeGSS:
		if f.asked++; n != 8 || f.asked > 2 {
			return 0, 0, nil, violation("a request for encryption has no place here")
		}
		return size, EncryptionRequest, nil, nil
	}
	if code == version3 {
		var m pgproto3.StartupMessage
		if m.Decode(in[4:size]) != nil {
			return 0, 0, nil, violation("the start-up message cannot be read")
		}
	}
	f.started = true
	return size, Startup, nil, nil
}

// What clients are sent, whole.
var (
	NoEncryption    = []byte{'N'}
	StartupResponse = encode(&pgproto3.AuthenticationOk{},
		&pgproto3.ParameterStatus{Name: "server_version", Value: "16.0"},
		&pgproto3.ParameterStatus{Name: "server_encoding", Value: "UTF8"},
		&pgproto3.ParameterStatus{Name: "client_encoding", Value: "UTF8"},
		&pgproto3.ParameterStatus{Name: "standard_conforming_strings", Value: "on"},
		&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{0, 0, 0, 1}},
		&pgproto3.ReadyForQuery{TxStatus: 'I'})
	EmptyQueryAnswer = encode(&pgproto3.EmptyQueryResponse{}, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	ReadyForQuery    = encode(&pgproto3.ReadyForQuery{TxStatus: 'I'})
)

func encode(messages ...pgproto3.BackendMessage) (out []byte) {
	for _, m := range messages {
		var err error
		if out, err = m.Encode(out); err != nil {
			panic(err) // of constants
		}
	}
	return out
}

// AppendError adds an ErrorResponse; detail may be empty. A fatal one ends the connection, any other is followed by
// ReadyForQuery.
func AppendError(out []byte, fatal bool, code, text, detail string) []byte {
	severity := "ERROR"
	if fatal {
		severity = "FATAL"
	}
	m := pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: code, Message: text, Detail: detail}
	more, err := m.Encode(out)
	if err != nil { // only a text without bound could be
		return out
	}
	if !fatal {
		more = append(more, ReadyForQuery...)
	}
	return more
}

package pgwire

import (
	"bytes"
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Request is a kind of client message.
type Request uint8

// Kinds of client requests.
const (
	EncryptionRequest Request = iota // answered with NoEncryption
	Startup                          // answered with StartupResponse
	EmptyQuery                       // a query without a statement, answered with EmptyQueryAnswer
	Query                            // a query; its text is returned with it
	Terminate                        // ends the connection; also a cancel request, which is ignored
)

// FrontendParser parses the messages of one client. The zero value expects the start-up message.
type FrontendParser struct {
	started            bool
	encryptionRequests int
}

// Started reports whether the client has sent its start-up message.
func (f *FrontendParser) Started() bool { return f.started }

// Next parses the message at the start of in. It returns the size of the message, the kind of request and, for a Query,
// the statement's text as a slice of in. The error is ErrIncomplete or a *ProtocolError; after a *ProtocolError the
// connection must be closed.
func (f *FrontendParser) Next(in []byte) (size int, request Request, text []byte, err error) {
	if !f.started {
		return f.parseStartup(in)
	}
	kind, body, size, err := splitMessage(in, frontendBodyLimit)
	if err != nil {
		return 0, 0, nil, err
	}
	if kind == 'X' {
		return size, Terminate, nil, nil
	}
	// A NUL before the end of the body is rejected: a reader that treats the text as a C string would ignore the rest.
	if len(body) == 0 || bytes.IndexByte(body, 0) != len(body)-1 {
		return 0, 0, nil, violation("the text of a query does not end with its message")
	}
	text = body[:len(body)-1]
	if len(bytes.Trim(text, " \t\r\n;")) == 0 {
		return size, EmptyQuery, nil, nil
	}
	return size, Query, text, nil
}

// frontendBodyLimit is the bodyLimits of a client that has sent its start-up message.
func frontendBodyLimit(kind byte) int {
	switch kind {
	case 'Q':
		return maxQueryBytes
	case 'X':
		return maxTerminateBytes
	}
	return 0
}

// maxEncryptionRequests is the number of encryption requests allowed before the start-up message: one for SSL, one for GSS.
const maxEncryptionRequests = 2

// Protocol version and request codes in a start-up message.
const (
	protocolVersion3  = 3 << 16
	cancelRequestCode = 80877102
	sslRequestCode    = 80877103
	gssEncRequestCode = 80877104
)

// parseStartup parses a message that may precede the first query: a start-up message, an encryption request or a cancel
// request.
func (f *FrontendParser) parseStartup(in []byte) (size int, request Request, text []byte, err error) {
	if len(in) > 0 && in[0] != 0 { // a length of 16 MB or more: the client speaks another protocol
		return 0, 0, nil, violation("this is no start-up message")
	}
	if len(in) < 4 {
		return 0, 0, nil, ErrIncomplete
	}
	n := binary.BigEndian.Uint32(in)
	if n < 8 || n > maxStartupBytes {
		return 0, 0, nil, violation("a start-up message says that it has %d bytes", n)
	}
	if len(in) < 8 {
		return 0, 0, nil, ErrIncomplete
	}
	code := binary.BigEndian.Uint32(in[4:])
	if code>>16 != 3 && code != cancelRequestCode && code != sslRequestCode && code != gssEncRequestCode {
		return 0, 0, nil, violation("protocol %d.%d is not spoken here", code>>16, code&0xffff)
	}
	if size = int(n); len(in) < size {
		return 0, 0, nil, ErrIncomplete
	}
	switch code {
	case cancelRequestCode:
		return size, Terminate, nil, nil
	case sslRequestCode, gssEncRequestCode:
		if f.encryptionRequests++; n != 8 || f.encryptionRequests > maxEncryptionRequests {
			return 0, 0, nil, violation("a request for encryption has no place here")
		}
		return size, EncryptionRequest, nil, nil
	}
	if code == protocolVersion3 {
		var m pgproto3.StartupMessage
		if m.Decode(in[4:size]) != nil {
			return 0, 0, nil, violation("the start-up message cannot be read")
		}
	}
	f.started = true
	return size, Startup, nil, nil
}

// Encoded responses to clients.
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

// encode returns the encoded messages.
func encode(messages ...pgproto3.BackendMessage) (out []byte) {
	for _, m := range messages {
		var err error
		if out, err = m.Encode(out); err != nil {
			panic(err) // impossible: the messages are constant
		}
	}
	return out
}

// AppendError appends an ErrorResponse; detail may be empty. A fatal error ends the connection; any other error is
// followed by ReadyForQuery.
func AppendError(out []byte, fatal bool, code, text, detail string) []byte {
	severity := "ERROR"
	if fatal {
		severity = "FATAL"
	}
	m := pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity, Code: code, Message: text, Detail: detail}
	appended, err := m.Encode(out)
	if err != nil { // the message exceeds pgproto3's size limit, which our texts never do
		return out
	}
	if !fatal {
		appended = append(appended, ReadyForQuery...)
	}
	return appended
}

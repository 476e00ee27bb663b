package pgwire

import (
	"bytes"
	"encoding/binary"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
)

// EncodeStartup returns the start-up message for a connection to a worker.
func EncodeStartup(user, database string) []byte {
	m := pgproto3.StartupMessage{ProtocolVersion: protocolVersion3, Parameters: map[string]string{"user": user, "database": database}}
	out, err := m.Encode(nil)
	if err != nil {
		panic(err) // impossible: both arguments are short constants
	}
	return out
}

// AppendQuery appends a query whose text is the concatenation of head, middle and tail.
func AppendQuery(out, head, middle, tail []byte) []byte {
	out = append(out, 'Q')
	out = binary.BigEndian.AppendUint32(out, uint32(4+len(head)+len(middle)+len(tail)+1))
	out = append(append(append(out, head...), middle...), tail...)
	return append(out, 0)
}

// BackendEvent is the result of parsing a worker's message.
type BackendEvent uint8

// Events that BackendParser.Next returns.
const (
	NoEvent       BackendEvent = iota // the message completes nothing
	SessionReady                      // the start-up is complete: queries may be sent
	ValueReceived                     // a complete answer with one value, held in Answer
	ErrorReceived                     // an error, with its SQLSTATE in Code
)

// backendState is the message that a BackendParser expects next.
type backendState uint8

const (
	expectAuthentication backendState = iota // AuthenticationOk
	expectSessionReady                       // parameters up to ReadyForQuery
	idle                                     // no query is outstanding
	expectDescription
	expectRow
	expectRowRest // the remaining bytes of a long row
	expectComplete
	expectReady
	expectReadyAfterError // ReadyForQuery after an error
)

// BackendParser parses the messages of one worker. Reset prepares it for a new connection.
type BackendParser struct {
	state        backendState
	Answer       []byte // the answer as sent to the client, without ReadyForQuery
	Code         string // SQLSTATE of the last error
	Load         []byte // value of the load parameter in this answer; nil: not reported
	loadParam    string
	maxValue     int // bytes
	rowRemaining int // bytes of a long row that are still to come
	fatal        bool
	loadBuf      []byte // backing array of Load, reused between answers
	row          pgproto3.RowDescription
	data         pgproto3.DataRow
	complete     pgproto3.CommandComplete
	ready        pgproto3.ReadyForQuery
	failure      pgproto3.ErrorResponse
}

// Reset prepares the parser for a new connection. loadParam is the name of the parameter that carries load reports, or
// empty if there is none. Values longer than maxValue bytes are rejected.
func (b *BackendParser) Reset(loadParam string, maxValue int) {
	b.state, b.Answer, b.Code, b.Load, b.loadParam, b.fatal = expectAuthentication, b.Answer[:0], "", nil, loadParam, false
	b.maxValue, b.rowRemaining = maxValue, 0
	if cap(b.Answer) > 8<<10 { // releases the memory of a long value
		b.Answer = nil
	}
}

// BeginQuery prepares for the answer to a query that is about to be written. It reports whether the connection is idle; if
// not, the query must not be written.
func (b *BackendParser) BeginQuery() bool {
	if b.state != idle {
		return false
	}
	b.state, b.Answer, b.Load, b.Code = expectDescription, b.Answer[:0], nil, ""
	return true
}

// AnswerStarted reports whether a part of an answer has been parsed; more may be waiting to be read from the connection.
func (b *BackendParser) AnswerStarted() bool {
	return b.state > expectDescription && b.state != expectReadyAfterError
}

// Idle reports whether no query is outstanding on the connection.
func (b *BackendParser) Idle() bool { return b.state == idle }

// ErrorPending reports whether an error has been received but not its ReadyForQuery. If the connection ends in this state,
// the error still is the complete answer.
func (b *BackendParser) ErrorPending() bool { return b.state == expectReadyAfterError }

// Next parses the message at the start of in and returns its size and the resulting event. The error is ErrIncomplete or a
// *ProtocolError; after a *ProtocolError the connection must be closed, and the outstanding query may have been executed.
func (b *BackendParser) Next(in []byte) (size int, event BackendEvent, err error) {
	switch {
	case b.state == expectRowRest:
		return b.continueLongRow(in)
	case b.state == expectRow && len(in) >= rowHeaderBytes && in[0] == 'D' && binary.BigEndian.Uint32(in[1:]) >= longRowBytes:
		return b.startLongRow(in)
	}
	kind, body, size, err := splitMessage(in, b.bodyLimit)
	if err != nil {
		return 0, NoEvent, err
	}
	switch kind {
	case 'N':
		return size, NoEvent, nil
	case 'S':
		b.parameter(body)
		return size, NoEvent, nil
	case 'K':
		return size, NoEvent, nil
	case 'E':
		if b.failure.Decode(body) != nil || b.failure.Code == "" {
			return 0, NoEvent, violation("an error cannot be read")
		}
		b.Code, b.fatal = b.failure.Code, b.failure.Severity == "FATAL" || b.failure.Severity == "PANIC"
		if b.state <= expectSessionReady || b.fatal { // no ReadyForQuery follows
			b.state = expectReadyAfterError
			return size, ErrorReceived, nil
		}
		b.state = expectReadyAfterError
		return size, NoEvent, nil
	}
	switch b.state {
	case expectAuthentication: // 'R'
		if len(body) != 4 || binary.BigEndian.Uint32(body) != 0 {
			return 0, NoEvent, violation("a worker wants a password")
		}
		b.state = expectSessionReady
	case expectSessionReady, expectReady, expectReadyAfterError: // 'Z'
		if b.ready.Decode(body) != nil || b.ready.TxStatus != 'I' {
			return 0, NoEvent, violation("ReadyForQuery cannot be read")
		}
		previous := b.state
		b.state = idle
		switch previous {
		case expectSessionReady:
			return size, SessionReady, nil
		case expectReady:
			return size, ValueReceived, nil
		}
		return size, ErrorReceived, nil
	case expectDescription: // 'T'
		if !isSingleColumn(body) || b.row.Decode(body) != nil || len(b.row.Fields) != 1 {
			return 0, NoEvent, violation("a description is not of one column")
		}
		b.Answer, b.state = append(b.Answer, in[:size]...), expectRow
	case expectRow: // 'D'
		if b.data.Decode(body) != nil || len(b.data.Values) != 1 || b.data.Values[0] == nil ||
			len(b.data.Values[0]) != len(body)-6 {
			return 0, NoEvent, violation("a row is not of one value")
		}
		b.data.Values[0] = nil
		b.Answer, b.state = append(b.Answer, in[:size]...), expectComplete
	case expectComplete: // 'C'
		if bytes.IndexByte(body, 0) != len(body)-1 || b.complete.Decode(body) != nil || !isOneRowTag(b.complete.CommandTag) {
			return 0, NoEvent, violation("an answer's end is not that of one row")
		}
		b.Answer, b.state = append(b.Answer, in[:size]...), expectReady
	}
	return size, NoEvent, nil
}

// rowHeaderBytes is the size of everything before the value in a row of one column: type and length of the message, number
// of columns, length of the value.
const rowHeaderBytes = 5 + 2 + 4

// startLongRow begins a row that is copied into Answer as it arrives, since its header is all that needs checking. If it
// stayed in the input buffer until complete, a long value would be in memory twice.
func (b *BackendParser) startLongRow(in []byte) (size int, event BackendEvent, err error) {
	n, value := binary.BigEndian.Uint32(in[1:]), binary.BigEndian.Uint32(in[7:])
	if int64(value) > int64(b.maxValue) || n != value+rowHeaderBytes-1 || binary.BigEndian.Uint16(in[5:]) != 1 {
		return 0, NoEvent, violation("a row is not of one value that may be so long: %d bytes", value)
	}
	b.rowRemaining, b.state = int(value)+rowHeaderBytes, expectRowRest
	return b.continueLongRow(in)
}

func (b *BackendParser) continueLongRow(in []byte) (size int, event BackendEvent, err error) {
	if len(in) == 0 {
		return 0, NoEvent, ErrIncomplete
	}
	size = min(b.rowRemaining, len(in))
	b.Answer = append(b.Answer, in[:size]...)
	if b.rowRemaining -= size; b.rowRemaining == 0 {
		b.state = expectComplete
	}
	return size, NoEvent, nil
}

// isSingleColumn reports whether a row description has exactly one column and nothing after it; pgproto3 ignores trailing
// bytes.
func isSingleColumn(body []byte) bool {
	if len(body) < 2 || binary.BigEndian.Uint16(body) != 1 {
		return false
	}
	end := bytes.IndexByte(body[2:], 0)
	return end >= 0 && len(body) == 2+end+1+18
}

var commandTags = [][]byte{[]byte("SELECT 1"), []byte("INSERT 0 1")}

func isOneRowTag(tag []byte) bool {
	return slices.ContainsFunc(commandTags, func(t []byte) bool { return bytes.Equal(t, tag) })
}

// bodyLimit returns the maximum body size of a message type in the current state, or 0 if the type is not allowed.
func (b *BackendParser) bodyLimit(kind byte) int {
	if b.state == idle { // an unsolicited message would be taken for the answer to the next query
		return 0
	}
	switch kind {
	case 'S', 'N', 'E':
		if kind == 'E' && b.state == expectReadyAfterError {
			return 0
		}
		return maxControlBytes
	case 'K':
		if b.state == expectSessionReady {
			return 64
		}
		return 0
	}
	expected, limit := byte(0), maxControlBytes
	switch b.state {
	case expectAuthentication:
		expected, limit = 'R', 64
	case expectSessionReady, expectReady, expectReadyAfterError:
		expected, limit = 'Z', 1
	case expectDescription:
		expected = 'T'
	case expectRow:
		expected, limit = 'D', b.maxValue+rowHeaderBytes
	case expectComplete:
		expected, limit = 'C', 64
	}
	if kind != expected {
		return 0
	}
	return limit
}

// parameter stores the value of the load parameter. A malformed value is ignored; the answer remains valid.
func (b *BackendParser) parameter(body []byte) {
	name, value, ok := bytes.Cut(body, []byte{0})
	if !ok || b.loadParam == "" || string(name) != b.loadParam {
		return
	}
	value, ok = bytes.CutSuffix(value, []byte{0})
	if ok && bytes.IndexByte(value, 0) < 0 {
		b.loadBuf = append(b.loadBuf[:0], value...)
		b.Load = b.loadBuf
	}
}

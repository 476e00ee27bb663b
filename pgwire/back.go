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
	ValueReceived                     // Answer holds a complete answer with one value
	ErrorReceived                     // the answer is an error with the SQLSTATE in Code
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
	loadParam    string // name of the parameter that carries load reports
	maxValue     int    // bytes
	rowRemaining int    // bytes of a long row that have not arrived yet
	fatal        bool   // the last error ends the connection
	loadBuf      []byte // backing array of Load, reused between answers

	// Decoded messages, reused to avoid allocations.
	row      pgproto3.RowDescription
	data     pgproto3.DataRow
	complete pgproto3.CommandComplete
	ready    pgproto3.ReadyForQuery
	failure  pgproto3.ErrorResponse
}

// Reset prepares the parser for a new connection. loadParam is the name of the parameter that carries load reports, or
// empty if there is none. Values longer than maxValue bytes are rejected.
func (b *BackendParser) Reset(loadParam string, maxValue int) {
	b.state, b.Answer, b.Code, b.Load, b.loadParam, b.fatal = expectAuthentication, b.Answer[:0], "", nil, loadParam, false
	b.maxValue, b.rowRemaining = maxValue, 0
	if cap(b.Answer) > maxKeptAnswerBytes {
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

// AnswerStarted reports whether the current answer has been parsed in part. More of it may be waiting to be read from the
// connection.
func (b *BackendParser) AnswerStarted() bool {
	return b.state > expectDescription && b.state != expectReadyAfterError
}

// Idle reports whether no query is outstanding on the connection.
func (b *BackendParser) Idle() bool { return b.state == idle }

// ErrorPending reports whether an error has been received but not the ReadyForQuery after it. If the connection ends in this
// state, the error still is the complete answer.
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
		b.handleParameter(body)
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

// startLongRow begins a row that is copied into Answer as it arrives, as only its header needs checking. If the row stayed in
// the input buffer until it is complete, a long value would be in memory twice.
func (b *BackendParser) startLongRow(in []byte) (size int, event BackendEvent, err error) {
	n, value := binary.BigEndian.Uint32(in[1:]), binary.BigEndian.Uint32(in[7:])
	if int64(value) > int64(b.maxValue) || n != value+rowHeaderBytes-1 || binary.BigEndian.Uint16(in[5:]) != 1 {
		return 0, NoEvent, violation("a row is not of one value that may be so long: %d bytes", value)
	}
	b.rowRemaining, b.state = int(value)+rowHeaderBytes, expectRowRest
	return b.continueLongRow(in)
}

// continueLongRow copies the next part of a long row into Answer.
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

// columnFixedBytes is the size of a column in a row description after its name.
const columnFixedBytes = 18

// isSingleColumn reports whether a row description consists of exactly one column. pgproto3 does not reject trailing bytes.
func isSingleColumn(body []byte) bool {
	if len(body) < 2 || binary.BigEndian.Uint16(body) != 1 {
		return false
	}
	end := bytes.IndexByte(body[2:], 0)
	return end >= 0 && len(body) == 2+end+1+columnFixedBytes
}

var oneRowTags = [][]byte{[]byte("SELECT 1"), []byte("INSERT 0 1")}

// isOneRowTag reports whether a command tag is that of a statement with one row.
func isOneRowTag(tag []byte) bool {
	return slices.ContainsFunc(oneRowTags, func(t []byte) bool { return bytes.Equal(t, tag) })
}

// bodyLimit returns the maximum body size of a message type in the current state, or 0 if the type is not allowed.
func (b *BackendParser) bodyLimit(kind byte) int {
	if b.state == idle { // an unsolicited message would be mistaken for the answer to the next query
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
			return maxShortBytes
		}
		return 0
	}
	expected, limit := byte(0), maxControlBytes
	switch b.state {
	case expectAuthentication:
		expected, limit = 'R', maxShortBytes
	case expectSessionReady, expectReady, expectReadyAfterError:
		expected, limit = 'Z', 1
	case expectDescription:
		expected = 'T'
	case expectRow:
		expected, limit = 'D', b.maxValue+rowHeaderBytes
	case expectComplete:
		expected, limit = 'C', maxShortBytes
	}
	if kind != expected {
		return 0
	}
	return limit
}

// handleParameter stores the value of the load handleParameter. A malformed value is ignored, and the answer remains valid.
func (b *BackendParser) handleParameter(body []byte) {
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

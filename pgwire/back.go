package pgwire

import (
	"bytes"
	"encoding/binary"
	"slices"

	"github.com/jackc/pgx/v5/pgproto3"
)

// EncodeStartup is the start-up message to a worker.
func EncodeStartup(user, database string) []byte {
	m := pgproto3.StartupMessage{ProtocolVersion: version3, Parameters: map[string]string{"user": user, "database": database}}
	out, err := m.Encode(nil)
	if err != nil {
		panic(err) // of constants
	}
	return out
}

// AppendQuery adds a query of three parts that follow one another.
func AppendQuery(out, head, middle, tail []byte) []byte {
	out = append(out, 'Q')
	out = binary.BigEndian.AppendUint32(out, uint32(4+len(head)+len(middle)+len(tail)+1))
	out = append(append(append(out, head...), middle...), tail...)
	return append(out, 0)
}

// Told says what a worker's bytes came to.
type Told uint8

// What can be told.
const (
	Nothing       Told = iota // yet
	SessionReady              // the start-up is through: it may be asked
	ValueReceived             // a whole answer with one value: Pass holds it
	ErrorReceived             // an error; Code holds its SQLSTATE
)

type backStage uint8

const (
	greeting backStage = iota // AuthenticationOk
	settling                  // parameters, till ReadyForQuery
	quiet                     // nothing was asked
	wantDescription
	wantRow
	wantRest // of a long row
	wantComplete
	wantReady
	afterError // the error's ReadyForQuery
)

// BackendParser follows what one worker sends. Reset makes it fit for a new connection.
type BackendParser struct {
	stage  backStage
	Answer []byte // the answer as the client gets it, but for ReadyForQuery
	Code   string // of the last error
	Load   []byte // what the parameter of that name said in this answer; nil: nothing
	gauge  string
	most   int // bytes of a value
	left   int // of a long row
	fatal  bool
	load   []byte
	row    pgproto3.RowDescription
	data   pgproto3.DataRow
	end    pgproto3.CommandComplete
	status pgproto3.ReadyForQuery
	fault  pgproto3.ErrorResponse
}

// Reset begins a new connection; gauge names the parameter that holds load reports, empty: none does; no value may be
// longer than most bytes.
func (b *BackendParser) Reset(gauge string, most int) {
	b.stage, b.Answer, b.Code, b.Load, b.gauge, b.fatal = greeting, b.Answer[:0], "", nil, gauge, false
	b.most, b.left = most, 0
	if cap(b.Answer) > 8<<10 { // one long value must not pin its memory for good
		b.Answer = nil
	}
}

// BeginQuery notes that a query is being written. It tells whether one may be.
func (b *BackendParser) BeginQuery() bool {
	if b.stage != quiet {
		return false
	}
	b.stage, b.Answer, b.Load, b.Code = wantDescription, b.Answer[:0], nil, ""
	return true
}

// AnswerStarted tells whether a part of an answer has come, but for what may still be unread.
func (b *BackendParser) AnswerStarted() bool {
	return b.stage > wantDescription && b.stage != afterError
}

// Idle tells whether nothing is owed on the connection.
func (b *BackendParser) Idle() bool { return b.stage == quiet }

// ErrorPending tells whether an error has come whose end has not, so that the connection's end is its end as well.
func (b *BackendParser) ErrorPending() bool { return b.stage == afterError }

// Next takes the message that in begins with: how many bytes it has, and what it told. The error is ErrMore or a *Fault;
// after a fault the connection cannot be used any further, and what was asked may have run.
func (b *BackendParser) Next(in []byte) (size int, told Told, err error) {
	switch {
	case b.stage == wantRest:
		return b.rest(in)
	case b.stage == wantRow && len(in) >= rowHead && in[0] == 'D' && binary.BigEndian.Uint32(in[1:]) >= longRow:
		return b.long(in)
	}
	kind, body, size, err := frame(in, b.bounds)
	if err != nil {
		return 0, Nothing, err
	}
	switch kind {
	case 'N':
		return size, Nothing, nil
	case 'S':
		b.parameter(body)
		return size, Nothing, nil
	case 'K':
		return size, Nothing, nil
	case 'E':
		if b.fault.Decode(body) != nil || b.fault.Code == "" {
			return 0, Nothing, violation("an error cannot be read")
		}
		b.Code, b.fatal = b.fault.Code, b.fault.Severity == "FATAL" || b.fault.Severity == "PANIC"
		if b.stage <= settling || b.fatal { // no ReadyForQuery follows
			b.stage = afterError
			return size, ErrorReceived, nil
		}
		b.stage = afterError
		return size, Nothing, nil
	}
	switch b.stage {
	case greeting: // 'R'
		if len(body) != 4 || binary.BigEndian.Uint32(body) != 0 {
			return 0, Nothing, violation("a worker wants a password")
		}
		b.stage = settling
	case settling, wantReady, afterError: // 'Z'
		if b.status.Decode(body) != nil || b.status.TxStatus != 'I' {
			return 0, Nothing, violation("ReadyForQuery cannot be read")
		}
		was := b.stage
		b.stage = quiet
		switch was {
		case settling:
			return size, SessionReady, nil
		case wantReady:
			return size, ValueReceived, nil
		}
		return size, ErrorReceived, nil
	case wantDescription: // 'T'
		if !soleField(body) || b.row.Decode(body) != nil || len(b.row.Fields) != 1 {
			return 0, Nothing, violation("a description is not of one column")
		}
		b.Answer, b.stage = append(b.Answer, in[:size]...), wantRow
	case wantRow: // 'D'
		if b.data.Decode(body) != nil || len(b.data.Values) != 1 || b.data.Values[0] == nil ||
			len(b.data.Values[0]) != len(body)-6 {
			return 0, Nothing, violation("a row is not of one value")
		}
		b.data.Values[0] = nil
		b.Answer, b.stage = append(b.Answer, in[:size]...), wantComplete
	case wantComplete: // 'C'
		if bytes.IndexByte(body, 0) != len(body)-1 || b.end.Decode(body) != nil || !oneRow(b.end.CommandTag) {
			return 0, Nothing, violation("an answer's end is not that of one row")
		}
		b.Answer, b.stage = append(b.Answer, in[:size]...), wantReady
	}
	return size, Nothing, nil
}

// rowHead is what a row of one value has before the value.
const rowHead = 5 + 2 + 4

// long begins a row that is taken in parts: all that can be wrong with it stands in its head.
// Danger: kept whole till its end has come, a long answer would lie in memory twice.
func (b *BackendParser) long(in []byte) (size int, told Told, err error) {
	n, value := binary.BigEndian.Uint32(in[1:]), binary.BigEndian.Uint32(in[7:])
	if int64(value) > int64(b.most) || n != value+rowHead-1 || binary.BigEndian.Uint16(in[5:]) != 1 {
		return 0, Nothing, violation("a row is not of one value that may be so long: %d bytes", value)
	}
	b.left, b.stage = int(value)+rowHead, wantRest
	return b.rest(in)
}

func (b *BackendParser) rest(in []byte) (size int, told Told, err error) {
	if len(in) == 0 {
		return 0, Nothing, ErrIncomplete
	}
	size = min(b.left, len(in))
	b.Answer = append(b.Answer, in[:size]...)
	if b.left -= size; b.left == 0 {
		b.stage = wantComplete
	}
	return size, Nothing, nil
}

// soleField tells whether a description says one column and holds just that; pgproto3 lets bytes after it pass.
func soleField(body []byte) bool {
	if len(body) < 2 || binary.BigEndian.Uint16(body) != 1 {
		return false
	}
	end := bytes.IndexByte(body[2:], 0)
	return end >= 0 && len(body) == 2+end+1+18
}

var tags = [][]byte{[]byte("SELECT 1"), []byte("INSERT 0 1")}

func oneRow(tag []byte) bool {
	return slices.ContainsFunc(tags, func(t []byte) bool { return bytes.Equal(t, tag) })
}

// bounds gives what may come at this stage.
func (b *BackendParser) bounds(kind byte) int {
	if b.stage == quiet { // Danger: what nobody asked for would pass for the next answer
		return 0
	}
	switch kind {
	case 'S', 'N', 'E':
		if kind == 'E' && b.stage == afterError {
			return 0
		}
		return longestControl
	case 'K':
		if b.stage == settling {
			return 64
		}
		return 0
	}
	want, bound := byte(0), longestControl
	switch b.stage {
	case greeting:
		want, bound = 'R', 64
	case settling, wantReady, afterError:
		want, bound = 'Z', 1
	case wantDescription:
		want = 'T'
	case wantRow:
		want, bound = 'D', b.most+rowHead
	case wantComplete:
		want, bound = 'C', 64
	}
	if kind != want {
		return 0
	}
	return bound
}

// parameter keeps what the load parameter says. One that cannot be read is no report, and the answer stands.
func (b *BackendParser) parameter(body []byte) {
	name, value, ok := bytes.Cut(body, []byte{0})
	if !ok || b.gauge == "" || string(name) != b.gauge {
		return
	}
	value, ok = bytes.CutSuffix(value, []byte{0})
	if ok && bytes.IndexByte(value, 0) < 0 {
		b.load = append(b.load[:0], value...)
		b.Load = b.load
	}
}

// Package pgwire speaks version 3 of PostgreSQL's wire protocol on both sides of an edge, as far as simple queries of one
// value go. Its machines do no I/O: they are fed with bytes, cut anywhere, and give whole messages. The frames and
// their bounds are checked here, before anything is held or allocated for them; message bodies are pgproto3's.
package pgwire

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// ErrIncomplete says that the bytes so far are sound and end in the middle of a message.
var ErrIncomplete = errors.New("pgwire: more bytes are needed")

// MaxValueBytes is the most bytes that a client's value may have.
const MaxValueBytes = 64 << 10

const (
	longestStart   = 10_000                 // as PostgreSQL itself has it
	longestQuery   = 2*MaxValueBytes + 4096 // a value in hex, and what stands around it
	longestControl = 8 << 10                // errors, notices, descriptions, parameters
	longRow        = 16 << 10               // a row from that size on is taken in parts
)

// ProtocolError is a message that breaks the protocol. Nothing after it can be trusted to be a message.
type ProtocolError struct {
	Code    string // SQLSTATE
	Message string
}

func (f *ProtocolError) Error() string { return "pgwire: " + f.Message }

func violation(format string, args ...any) *ProtocolError {
	return &ProtocolError{Code: "08P01", Message: fmt.Sprintf(format, args...)}
}

// most gives the bound of a message's body by its kind; 0 for a kind that has no place there.
type bounds func(kind byte) int

// frame finds the message that in begins with: its kind, its body and its size with the head.
// Danger: a length is a claim. It is held against its bound as soon as it is read, so that nothing waits for 3 GB.
func frame(in []byte, most bounds) (kind byte, body []byte, size int, err error) {
	if len(in) == 0 {
		return 0, nil, 0, ErrIncomplete
	}
	kind = in[0]
	bound := most(kind)
	if bound == 0 {
		return kind, nil, 0, violation("a message of kind %q has no place here", kind)
	}
	if len(in) < 5 {
		return kind, nil, 0, ErrIncomplete
	}
	n := binary.BigEndian.Uint32(in[1:])
	if n < 4 || n > uint32(bound)+4 {
		return kind, nil, 0, &ProtocolError{Code: "54000", Message: fmt.Sprintf("a message of kind %q says that it has %d bytes", kind, n)}
	}
	if size = int(n) + 1; len(in) < size {
		return kind, nil, 0, ErrIncomplete
	}
	return kind, in[5:size], size, nil
}

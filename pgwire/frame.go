// Package pgwire implements version 3 of the PostgreSQL wire protocol for both sides of an edge, limited to simple
// queries that return a single value. Its parsers do no I/O: they accept bytes split at any point and return whole
// messages. The package checks message framing and size limits before anything is buffered or allocated for a message;
// pgproto3 encodes and decodes the message bodies.
package pgwire

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// ErrIncomplete reports that the input is valid so far but ends in the middle of a message.
var ErrIncomplete = errors.New("pgwire: more bytes are needed")

// MaxValueBytes is the maximum size of a value in a client's statement, before its encoding in hex.
const MaxValueBytes = 64 << 10

const (
	// maxStartupBytes is the maximum size of a start-up message, the same as in PostgreSQL.
	maxStartupBytes = 10_000
	// maxQueryBytes is the maximum body size of a query: a value in hex and the statement text around it.
	maxQueryBytes = 2*MaxValueBytes + 4096
	// maxControlBytes is the maximum body size of errors, notices, row descriptions and parameters.
	maxControlBytes = 8 << 10
	// maxTerminateBytes is the maximum body size of a Terminate message.
	maxTerminateBytes = 16
	// maxShortBytes is the maximum body size of messages that contain only a few numbers or a command tag.
	maxShortBytes = 64
	// longRowBytes is the message length from which a row is copied into the answer as it arrives.
	longRowBytes = 16 << 10
	// maxKeptAnswerBytes is the maximum capacity of BackendParser.Answer that is kept for the next connection.
	maxKeptAnswerBytes = 8 << 10
)

// ProtocolError is the reason for rejecting a message. After a framing error the rest of the input cannot be parsed.
type ProtocolError struct {
	Code    string // SQLSTATE
	Message string
}

func (e *ProtocolError) Error() string { return "pgwire: " + e.Message }

// violation returns a ProtocolError with the SQLSTATE of a protocol violation.
func violation(format string, args ...any) *ProtocolError {
	return &ProtocolError{Code: "08P01", Message: fmt.Sprintf(format, args...)}
}

// bodyLimits returns the maximum body size in bytes for a message type, or 0 if the type is not allowed at this point.
type bodyLimits func(kind byte) int

// splitMessage returns the type and body of the message at the start of in, and its size including the header. It checks
// the length field before the body has arrived: otherwise a peer could announce a message of 3 GB and make the connection
// buffer it.
func splitMessage(in []byte, limits bodyLimits) (kind byte, body []byte, size int, err error) {
	if len(in) == 0 {
		return 0, nil, 0, ErrIncomplete
	}
	kind = in[0]
	limit := limits(kind)
	if limit == 0 {
		return kind, nil, 0, violation("a message of kind %q has no place here", kind)
	}
	if len(in) < 5 {
		return kind, nil, 0, ErrIncomplete
	}
	n := binary.BigEndian.Uint32(in[1:])
	if n < 4 || n > uint32(limit)+4 {
		return kind, nil, 0, &ProtocolError{Code: "54000", Message: fmt.Sprintf("a message of kind %q says that it has %d bytes", kind, n)}
	}
	if size = int(n) + 1; len(in) < size {
		return kind, nil, 0, ErrIncomplete
	}
	return kind, in[5:size], size, nil
}

package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// encode returns the encoded messages.
func encode(list ...pgproto3.BackendMessage) (out []byte) {
	for _, m := range list {
		out, _ = m.Encode(out)
	}
	return out
}

var ready = &pgproto3.ReadyForQuery{TxStatus: 'I'}

// valueAnswer returns a whole answer with one value, and a load report unless it is empty.
func valueAnswer(value, gauges, tag string) []byte {
	list := []pgproto3.BackendMessage{&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("content"), DataTypeOID: 17, DataTypeSize: -1, TypeModifier: -1, Format: 1}}},
		&pgproto3.DataRow{Values: [][]byte{[]byte(value)}}, &pgproto3.CommandComplete{CommandTag: []byte(tag)}}
	if gauges != "" {
		list = append(list, &pgproto3.ParameterStatus{Name: "gauges", Value: gauges})
	}
	return encode(append(list, ready)...)
}

// errorAnswer returns a whole answer that is an error.
func errorAnswer(code string) []byte {
	return encode(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: "m"}, ready)
}

// sessionAnswer returns a worker's answer to a startup message.
func sessionAnswer() []byte {
	return encode(&pgproto3.AuthenticationOk{}, &pgproto3.ParameterStatus{Name: "server_version", Value: "16.0"},
		&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{0, 0, 0, 1}}, ready)
}

func startupMessage() []byte {
	m := pgproto3.StartupMessage{ProtocolVersion: 3 << 16, Parameters: map[string]string{"user": "backend", "database": "store"}}
	out, _ := m.Encode(nil)
	return out
}

func queryMessage(text string) []byte {
	out, _ := (&pgproto3.Query{String: text}).Encode(nil)
	return out
}

// readMessage reads one message.
func readMessage(in *bufio.Reader) (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err = io.ReadFull(in, head[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(head[1:])
	if n < 4 || n > 1<<22 {
		return 0, nil, errors.New("a message's length is wrong")
	}
	body = make([]byte, n-4)
	_, err = io.ReadFull(in, body)
	return head[0], body, err
}

// readStartup reads a startup message.
func readStartup(in *bufio.Reader) error {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n < 8 || n > 10000 {
		return errors.New("a startup message's length is wrong")
	}
	_, err := io.CopyN(io.Discard, in, int64(n-4))
	return err
}

// statement is a statement as a worker reads it.
type statement struct {
	text, id, class, name, key string
	left                       time.Duration // how long the sentry will wait
	came                       time.Time     // when its last byte was read
}

// parseStatement reads the names and values of a statement's comment, and the name that it is about.
func parseStatement(text string) (s statement) {
	s.text = text
	if i := strings.IndexByte(text, '\''); i >= 0 {
		if j := strings.IndexByte(text[i+1:], '\''); j >= 0 {
			s.name = text[i+1 : i+1+j]
		}
	}
	i, j := strings.LastIndex(text, "/* "), strings.LastIndex(text, " */")
	if i < 0 || j < i {
		return s
	}
	for _, pair := range strings.Split(text[i+3:j], ",") {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case "id":
			s.id = value
		case "c":
			s.class = value
		case "k":
			s.key = value
		case "d":
			ms, _ := strconv.Atoi(value)
			s.left = time.Duration(ms) * time.Millisecond
		}
	}
	return s
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// answer is what a client got for one request.
type answer struct {
	kind  string // served, refused, failed, closed or none
	value string
	code  string
	took  time.Duration
}

func (a answer) String() string {
	switch a.kind {
	case "served":
		return "served " + a.value
	case "refused", "failed":
		return a.kind + " " + a.code
	}
	return a.kind
}

// clients is a pool of connections to one sentry, as clients hold them.
type clients struct {
	address string
	mu      sync.Mutex
	idle    []*clientConn
}

type clientConn struct {
	net.Conn
	in *bufio.Reader
}

var lastID atomic.Uint64

// newID returns a new request id.
func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)*0x9e3779b97f4a7c15) }

// take returns an idle connection, or opens one if there is none or a new one is wanted. On a new connection the startup message
// is written with the first query.
func (p *clients) take(wantNew bool) (c *clientConn, fresh bool, err error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 && !wantNew {
		defer p.mu.Unlock()
		c = p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, false, nil
	}
	p.mu.Unlock()
	conn, err := net.DialTimeout("tcp", p.address, time.Second)
	if err != nil {
		return nil, false, err
	}
	return &clientConn{Conn: conn, in: bufio.NewReader(conn)}, true, nil
}

func (p *clients) put(c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// do sends one request and waits for its answer until half a second after its time. A request that crosses the end of a
// connection is sent once more on a new one.
func (p *clients) do(text string, patience time.Duration) answer {
	start := time.Now()
	for try := 0; ; try++ {
		c, fresh, err := p.take(try > 0)
		if err != nil {
			return answer{kind: "no connection", took: time.Since(start)}
		}
		c.SetDeadline(start.Add(patience + 500*time.Millisecond))
		message := queryMessage(text)
		if fresh {
			message = append(startupMessage(), message...)
		}
		c.Write(message)
		a, sawBytes, keep := c.read(fresh)
		a.took = time.Since(start)
		if a.kind == "closed" && !sawBytes && !fresh && try == 0 {
			c.Close()
			continue
		}
		if keep {
			p.put(c)
		} else {
			c.Close()
		}
		return a
	}
}

// read reads one answer.
func (c *clientConn) read(startup bool) (a answer, sawBytes, keep bool) {
	for {
		kind, body, err := readMessage(c.in)
		if err != nil {
			if n, ok := err.(net.Error); ok && n.Timeout() {
				return answer{kind: "none"}, sawBytes, false
			}
			if a.kind == "" || a.kind == "served" {
				a = answer{kind: "closed"}
			}
			return a, sawBytes, false
		}
		if !startup {
			sawBytes = true
		}
		switch kind {
		case 'D':
			a.kind = "served"
			if len(body) >= 6 {
				a.value = string(body[6:])
			}
		case 'E':
			var e pgproto3.ErrorResponse
			e.Decode(bytes.Clone(body))
			a = answer{kind: "failed", code: e.Code}
			if e.Code == "53300" || e.Code == "57P03" {
				a.kind = "refused"
			}
		case 'Z':
			if startup {
				startup = false
				continue
			}
			return a, sawBytes, true
		}
	}
}

// ready asks with an empty query whether the sentry serves.
func (p *clients) ready() bool {
	c, err := net.DialTimeout("tcp", p.address, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(3 * time.Second))
	c.Write(append(startupMessage(), queryMessage("")...))
	in := bufio.NewReader(c)
	for {
		kind, _, err := readMessage(in)
		if err != nil {
			return false
		}
		if kind == 'I' {
			return true
		}
	}
}

func (p *clients) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// selectText and insertText return the two forms of statement. key is empty where the class is not keyed.
func selectText(name, id, class string, patience time.Duration) string {
	return fmt.Sprintf("SELECT content FROM kv WHERE name = '%s' /* id=%s,c=%s,d=%d */", name, id, class, patience.Milliseconds())
}

func insertText(name, id, class string, patience time.Duration, key string) string {
	comment := fmt.Sprintf("id=%s,c=%s,d=%d", id, class, patience.Milliseconds())
	if key != "" {
		comment += ",k=" + key
	}
	return fmt.Sprintf("INSERT INTO kv (name, content) VALUES ('%s', '\\x%s') RETURNING content /* %s */", name, strings.Repeat("9f", 8), comment)
}

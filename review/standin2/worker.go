package main

import (
	"bufio"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a stand-in for a worker: it speaks PostgreSQL's protocol, carries one request at a time on a connection, starts
// a query when its last byte has come and stops when the sentry gives it up.
type worker struct {
	id    string
	build int
	ln    net.Listener
	// connDelay, if set, is how late a new connection comes up.
	connDelay func() time.Duration
	// serve handles one query on its own goroutine. It ends when it has answered or ended the connection.
	serve func(c *workerConn, s statement)
	// pause, if set, holds the worker's process up for as long as it is paused.
	pause func()
	conns atomic.Int64
	mu    sync.Mutex
	open  map[net.Conn]bool
}

// workerConn is one connection to a worker.
type workerConn struct {
	net.Conn
	w      *worker
	number int64
	gone   chan struct{} // closed when the sentry has closed the connection or ended its sending
	// waiting is the number of queries that have reached the worker and are not answered; where a case delays what is on its
	// way, the case counts it.
	waiting atomic.Int64
	writeMu sync.Mutex
}

// write writes an answer.
func (c *workerConn) write(b []byte) error {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_, err := c.Conn.Write(b)
	return err
}

// sleep waits, and reports false if the sentry has given up meanwhile.
func (c *workerConn) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.gone:
		return false
	}
}

func newWorker(id string, build int) (*worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &worker{id: id, build: build, ln: ln, open: map[net.Conn]bool{}}, nil
}

func (w *worker) address() string { return w.ln.Addr().String() }

func (w *worker) run() {
	for {
		c, err := w.ln.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.open[c] = true
		w.mu.Unlock()
		go func() {
			w.handle(&workerConn{Conn: c, w: w, number: w.conns.Add(1), gone: make(chan struct{})})
			w.mu.Lock()
			delete(w.open, c)
			w.mu.Unlock()
		}()
	}
}

func (w *worker) handle(c *workerConn) {
	defer c.Close()
	in := bufio.NewReaderSize(c, 4096)
	if readStartup(in) != nil {
		return
	}
	if w.pause != nil {
		w.pause()
	}
	if w.connDelay != nil {
		if d := w.connDelay(); d > 0 {
			time.Sleep(d)
		}
	}
	if c.write(sessionAnswer()) != nil {
		return
	}
	queries := make(chan statement, 64)
	var served sync.WaitGroup
	served.Go(func() { // one query after the other, as a session does
		for s := range queries {
			w.serve(c, s)
		}
	})
	defer served.Wait()
	defer close(queries)
	defer close(c.gone)
	for {
		kind, body, err := readMessage(in)
		if err != nil || kind != 'Q' || len(body) == 0 {
			return
		}
		s := parseStatement(string(body[:len(body)-1]))
		s.came = time.Now()
		if s.id == "" {
			c.write(errorAnswer("08P01"))
			continue
		}
		if w.pause != nil {
			w.pause()
		}
		select {
		case queries <- s:
		default: // far more than one request at a time
			return
		}
	}
}

func (w *worker) close() {
	w.ln.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.open {
		c.Close()
	}
}

package edge

import (
	"errors"
	"io"
	"net"
	"os"
	"time"

	"dunegrade/http1"
	"dunegrade/logic"
)

// returnedWorker is the context with which a worker connection is enrolled in the event loop after a streamRelay.
type returnedWorker struct{ pool *pool }

// streamRelay forwards an answer that streams or is too large to be buffered. It runs on its own goroutine with exclusive
// use of both connections, and blocks while the client reads slowly. The event loop cannot stop reading from a worker, so
// on the loop a fast worker with a slow client would exhaust memory.
type streamRelay struct {
	l             *loop
	call          *call
	subIndex      int // index in call.subs
	pool          *pool
	worker        net.Conn
	client        net.Conn
	state         answerState
	remaining     int64 // in answerFixed: bytes of the body still to be forwarded
	chunks        http1.Dechunker
	chunkToClient bool   // the body is sent to the client in chunked coding
	initial       []byte // head and first part of the body, sent to the client first
	buffered      []byte // bytes read from the worker and not processed yet
	clientInput   []byte // bytes read from the client: its next requests
	keepAlive     bool   // the client connection stays open after the answer
	workerCloses  bool   // the worker closes its connection after the answer
	load          logic.Load
	hasLoad       bool
}

// startRelay hands the answer that hw is receiving to a new streamRelay. It returns false if the relay can't start before
// earlier answers have left the client connection, and true if the loop has no more to do with this answer.
func (l *loop) startRelay(hw *httpWorker) bool {
	wc := hw.wc
	c, n := wc.call, wc.subIndex
	cc := c.client
	if cc.c.OutboundBuffered() > 0 { // earlier answers are sent first
		if int64(len(hw.answer)+len(hw.unsizedBody)) > l.p.cfg.ClientLimits.MaxUnsentBytes {
			l.stats.slowReaders++
			cc.abort(endSlowReader)
			return true
		}
		return false
	}
	if l.stats.streaming >= int64(l.p.cfg.ClientLimits.MaxStreams) {
		l.closeWorkerConn(wc, true)
		l.endSubmission(c, n, logic.Disconnected, nil)
		return true
	}
	r := &streamRelay{l: l, call: c, subIndex: n, pool: wc.pool, state: hw.state, remaining: hw.remaining, chunks: hw.chunks, keepAlive: !hw.closesConn,
		workerCloses: hw.workerCloses || hw.state == answerUntilClose, load: wc.load, hasLoad: wc.hasLoad}
	r.initial = append([]byte(nil), hw.answer...)
	if hw.state != answerFixed {
		r.keepAlive = c.keepAlive && !l.draining
		if c.httpMinor == 1 {
			r.chunkToClient = true
			r.initial = append(r.initial, "Transfer-Encoding: chunked\r\n"...)
		} else {
			r.keepAlive = false
		}
		if !r.keepAlive {
			r.initial = append(r.initial, "Connection: close\r\n"...)
		}
		r.initial = append(r.initial, "\r\n"...)
		if r.chunkToClient {
			r.initial = http1.AppendChunk(r.initial, hw.unsizedBody)
		} else {
			r.initial = append(r.initial, hw.unsizedBody...)
		}
	}
	if size := wc.c.InboundBuffered(); size > 0 {
		in, _ := wc.c.Peek(size)
		r.buffered = append([]byte(nil), in...)
		wc.c.Discard(size)
	}
	r.clientInput = append([]byte(nil), cc.input.data...)
	var err error
	if r.worker, err = connFromFD(wc.c.Dup()); err == nil {
		if r.client, err = connFromFD(cc.c.Dup()); err != nil {
			r.worker.Close()
		}
	}
	if err != nil { // out of descriptors
		l.closeWorkerConn(wc, true)
		l.endSubmission(c, n, logic.Disconnected, nil)
		return true
	}
	l.stats.streaming++
	l.stats.streamed++
	l.stats.settled++
	c.answered, cc.call = true, nil
	c.detachClient()
	c.subs[n].state, c.subs[n].conn = subStreaming, nil
	gnetConn := cc.c
	cc.releaseMemory()
	cc.closed, cc.c = true, nil
	cc.gen++
	l.clientConns.put(cc.slot)
	l.eventLoop.Close(gnetConn)
	wc.call = nil
	l.closeWorkerConn(wc, false)
	l.enqueue(event{kind: evStreamStarted, call: c, outcome: logic.Outcome{Number: n}})
	l.group.Add(1)
	go r.run()
	return true
}

// connFromFD returns a net.Conn for a descriptor, of which it takes ownership. It returns err if err is not nil.
func connFromFD(fd int, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "carried")
	defer f.Close()
	return net.FileConn(f)
}

// run forwards the answer and then returns the connections to the event loop or closes them. There is one such goroutine per
// relayed answer; it ends with the answer, on a timeout of either side, or when the loop halts.
func (r *streamRelay) run() {
	l := r.l
	defer l.group.Done()
	finished := make(chan struct{})
	watcherDone := make(chan struct{})
	go func() {
		defer close(watcherDone)
		select {
		case <-l.quit:
			r.worker.Close()
			r.client.Close()
		case <-finished:
		}
	}()
	workerErr, clientErr := r.relayAnswer()
	close(finished)
	<-watcherDone
	complete := workerErr == nil && clientErr == nil
	select {
	case <-l.quit:
		complete = false
	default:
	}
	if complete {
		r.worker.SetDeadline(time.Time{})
		r.client.SetDeadline(time.Time{})
	}
	if !complete || r.workerCloses || len(r.buffered) > 0 {
		r.worker.Close()
	} else if _, err := l.client.EnrollContext(r.worker, &returnedWorker{r.pool}); err != nil {
		r.worker.Close()
	}
	if complete && r.keepAlive {
		if _, err := l.client.EnrollContext(r.client, &acceptedClient{buffered: r.clientInput}); err != nil {
			r.client.Close()
			l.clientCount.Add(-1)
			l.p.openClients.Add(-1)
		}
	} else {
		if !complete { // reset the connection: a truncated answer must not look complete, whichever side failed
			if t, ok := r.client.(*net.TCPConn); ok {
				t.SetLinger(0)
			}
		} else {
			r.awaitDelivery()
		}
		r.client.Close()
		l.clientCount.Add(-1)
		l.p.openClients.Add(-1)
	}
	l.post(func() {
		l.stats.streaming--
		e := logic.OK
		if workerErr != nil {
			e = logic.Disconnected
		} else if clientErr != nil {
			e = logic.Cancelled
		}
		var load *logic.Load
		if r.hasLoad {
			load = &r.load
		}
		l.endSubmission(r.call, r.subIndex, e, load)
	})
}

// awaitDelivery waits until the client's host has acknowledged the answer. Closing the connection earlier, while a request is
// unread, would reset it and destroy the answer.
func (r *streamRelay) awaitDelivery() {
	c, ok := r.client.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	c.CloseWrite()
	deadline := time.Now().Add(r.l.p.cfg.ClientLimits.SlowReaderTimeout)
	ticker := time.NewTicker(time.Duration(closingPollInterval))
	defer ticker.Stop()
	for time.Now().Before(deadline) {
		unacked := 0
		raw.Control(func(fd uintptr) { unacked = unackedBytes(int(fd)) })
		if unacked <= 0 {
			return
		}
		select {
		case <-ticker.C:
		case <-r.l.quit:
			return
		}
	}
}

// relayBufferBytes is the size of a relay's read buffer.
const relayBufferBytes = 64 << 10

// relayAnswer forwards the answer, and returns the error of the side that failed, if any.
func (r *streamRelay) relayAnswer() (workerErr, clientErr error) {
	limits := &r.l.p.cfg.ClientLimits
	write := func(b []byte) error {
		if len(b) == 0 {
			return nil
		}
		r.client.SetWriteDeadline(time.Now().Add(limits.SlowReaderTimeout))
		_, err := r.client.Write(b)
		return err
	}
	if clientErr = write(r.initial); clientErr != nil {
		return nil, clientErr
	}
	r.initial = nil
	readBuf := make([]byte, relayBufferBytes)
	var out, spill []byte
	pending := append([]byte(nil), r.buffered...)
	r.buffered = nil
	eof := false
	for {
		switch r.state {
		case answerFixed:
			if r.remaining == 0 {
				r.buffered = pending
				return nil, nil
			}
			n := min(int64(len(pending)), r.remaining)
			if clientErr = write(pending[:n]); clientErr != nil {
				return nil, clientErr
			}
			r.remaining -= n
			pending = pending[n:]
			if r.remaining == 0 {
				r.buffered = pending
				return nil, nil
			}
		case answerChunked:
			consumed, data, done, err := r.chunks.Next(pending)
			if err != nil && !errors.Is(err, http1.ErrIncomplete) {
				return err, nil
			}
			if r.chunkToClient {
				out = http1.AppendChunk(out[:0], data)
			} else {
				out = append(out[:0], data...)
			}
			if done && r.chunkToClient {
				out = append(out, http1.LastChunk...)
			}
			pending = pending[consumed:]
			if clientErr = write(out); clientErr != nil {
				return nil, clientErr
			}
			if done {
				r.buffered = pending
				return nil, nil
			}
			if err == nil {
				continue
			}
		case answerUntilClose:
			if r.chunkToClient {
				out = http1.AppendChunk(out[:0], pending)
			} else {
				out = append(out[:0], pending...)
			}
			pending = pending[:0]
			if eof && r.chunkToClient {
				out = append(out, http1.LastChunk...)
			}
			if clientErr = write(out); clientErr != nil || eof {
				return nil, clientErr
			}
		}
		spill = append(spill[:0], pending...) // pending may be a slice of readBuf, which the next read overwrites
		r.worker.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
		n, err := r.worker.Read(readBuf)
		if pending = readBuf[:n]; len(spill) > 0 {
			spill = append(spill, pending...)
			pending = spill
		}
		if err != nil && n == 0 {
			if errors.Is(err, io.EOF) && r.state == answerUntilClose {
				eof = true
				continue
			}
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return err, nil
		}
	}
}

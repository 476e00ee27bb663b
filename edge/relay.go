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

// returnedWorker is the context of a worker's connection that comes back from a carrier.
type returnedWorker struct{ pool *pool }

// streamRelay hands an answer on that is too large to be kept whole, or that streams. It has both connections to
// itself, and blocks where the client reads slowly: the event loop knows no way to stop reading from a worker, so
// that on the loop a fast worker would fill memory for a slow client.
type streamRelay struct {
	l             *loop
	call          *call
	n             int
	pool          *pool
	worker        net.Conn
	client        net.Conn
	state         answerState
	remaining     int64 // inFixed
	chunks        http1.Dechunker
	chunkToClient bool   // to the client
	initial       []byte // for the client
	buffered      []byte // of the worker's bytes, not looked at yet
	clientInput   []byte // of the client's bytes, its next requests
	keepAlive     bool   // the client's connection
	workerCloses  bool   // the worker closes
	load          logic.Load
	hasLoad       bool
}

// startRelay passes the answer that wc is in the middle of to a carrier, and tells whether wc is done with.
func (l *loop) startRelay(hw *httpWorker) bool {
	wc := hw.wc
	c, n := wc.call, wc.n
	cc := c.client
	if cc.c.OutboundBuffered() > 0 { // an earlier answer leaves first
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
	r := &streamRelay{l: l, call: c, n: n, pool: wc.pool, state: hw.state, remaining: hw.remaining, chunks: hw.chunks, keepAlive: !hw.closesConn,
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
	r.clientInput = append([]byte(nil), cc.input()...)
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
	c.answered, c.client, cc.call = true, nil, nil
	c.subs[n].state, c.subs[n].conn = subStreaming, nil
	gc := cc.c
	l.heldBytes -= cc.countedBytes
	cc.closed, cc.c, cc.countedBytes = true, nil, 0
	cc.gen++
	l.clientConns.put(cc.at)
	l.eventLoop.Close(gc)
	wc.call = nil
	l.closeWorkerConn(wc, false)
	l.enqueue(event{kind: evStreaming, call: c, outcome: logic.Outcome{Number: n}})
	l.group.Add(1)
	go r.run()
	return true
}

// connFromFD makes a connection of its own of a descriptor.
func connFromFD(fd int, err error) (net.Conn, error) {
	if err != nil {
		return nil, err
	}
	f := os.NewFile(uintptr(fd), "carried")
	defer f.Close()
	return net.FileConn(f)
}

// run carries the answer to its end. One goroutine an answer, ended by its end, either side's silence, or quit.
func (r *streamRelay) run() {
	l := r.l
	defer l.group.Done()
	over := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		select {
		case <-l.quit:
			r.worker.Close()
			r.client.Close()
		case <-over:
		}
	}()
	fromWorker, toClient := r.relayAnswer()
	close(over)
	<-watched
	clean := fromWorker == nil && toClient == nil
	select {
	case <-l.quit:
		clean = false
	default:
	}
	if clean {
		r.worker.SetDeadline(time.Time{})
		r.client.SetDeadline(time.Time{})
	}
	if !clean || r.workerCloses || len(r.buffered) > 0 {
		r.worker.Close()
	} else if _, err := l.client.EnrollContext(r.worker, &returnedWorker{r.pool}); err != nil {
		r.worker.Close()
	}
	if clean && r.keepAlive {
		if _, err := l.client.EnrollContext(r.client, &acceptedClient{buffered: r.clientInput}); err != nil {
			r.client.Close()
			l.clientCount.Add(-1)
			l.p.openClients.Add(-1)
		}
	} else {
		if !clean { // Danger: an answer cut short must not look whole, whichever side cut it
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
		if fromWorker != nil {
			e = logic.Disconnected
		} else if toClient != nil {
			e = logic.Cancelled
		}
		var load *logic.Load
		if r.hasLoad {
			load = &r.load
		}
		l.endSubmission(r.call, r.n, e, load)
	})
}

// awaitDelivery waits until the client's host has acknowledged the answer, as a close before that with a request unread would destroy it.
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
	until := time.Now().Add(r.l.p.cfg.ClientLimits.SlowReaderTimeout)
	look := time.NewTicker(time.Duration(closingPollInterval))
	defer look.Stop()
	for time.Now().Before(until) {
		left := 0
		raw.Control(func(fd uintptr) { left = unackedBytes(int(fd)) })
		if left <= 0 {
			return
		}
		select {
		case <-look.C:
		case <-r.l.quit:
			return
		}
	}
}

// relayAnswer moves the rest of the answer, and tells how either side failed.
func (r *streamRelay) relayAnswer() (fromWorker, toClient error) {
	limits := &r.l.p.cfg.ClientLimits
	put := func(b []byte) error {
		if len(b) == 0 {
			return nil
		}
		r.client.SetWriteDeadline(time.Now().Add(limits.SlowReaderTimeout))
		_, err := r.client.Write(b)
		return err
	}
	if toClient = put(r.initial); toClient != nil {
		return nil, toClient
	}
	r.initial = nil
	buf := make([]byte, 64<<10)
	var out, spill []byte
	have := append([]byte(nil), r.buffered...)
	r.buffered = nil
	eof := false
	for {
		switch r.state {
		case answerFixed:
			if r.remaining == 0 {
				r.buffered = have
				return nil, nil
			}
			n := min(int64(len(have)), r.remaining)
			if toClient = put(have[:n]); toClient != nil {
				return nil, toClient
			}
			r.remaining -= n
			have = have[n:]
			if r.remaining == 0 {
				r.buffered = have
				return nil, nil
			}
		case answerChunked:
			took, data, done, err := r.chunks.Next(have)
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
			have = have[took:]
			if toClient = put(out); toClient != nil {
				return nil, toClient
			}
			if done {
				r.buffered = have
				return nil, nil
			}
			if err == nil {
				continue
			}
		case answerUntilClose:
			if r.chunkToClient {
				out = http1.AppendChunk(out[:0], have)
			} else {
				out = append(out[:0], have...)
			}
			have = have[:0]
			if eof && r.chunkToClient {
				out = append(out, http1.LastChunk...)
			}
			if toClient = put(out); toClient != nil || eof {
				return nil, toClient
			}
		}
		spill = append(spill[:0], have...) // have may lie in buf, which is read into next
		r.worker.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
		n, err := r.worker.Read(buf)
		if have = buf[:n]; len(spill) > 0 {
			spill = append(spill, have...)
			have = spill
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

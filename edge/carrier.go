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

// carrier hands an answer on that is too large to be kept whole, or that streams. It has both connections to
// itself, and blocks where the client reads slowly: the event loop knows no way to stop reading from a worker, so
// that on the loop a fast worker would fill memory for a slow client.
type carrier struct {
	l       *loop
	call    *call
	n       int
	pool    *pool
	worker  net.Conn
	client  net.Conn
	state   answerState
	left    int64 // inFixed
	chunks  http1.Dechunker
	chunked bool   // to the client
	first   []byte // for the client
	early   []byte // of the worker's bytes, not looked at yet
	ahead   []byte // of the client's bytes, its next requests
	keep    bool   // the client's connection
	shut    bool   // the worker closes
	load    logic.Load
	loaded  bool
}

// startRelay passes the answer that wc is in the middle of to a carrier, and tells whether wc is done with.
func (l *loop) startRelay(b *httpWorker) bool {
	wc := b.wc
	c, n := wc.call, wc.n
	cc := c.client
	if cc.c.OutboundBuffered() > 0 { // an earlier answer leaves first
		if int64(len(b.answer)+len(b.unsizedBody)) > l.p.cfg.ClientLimits.MaxUnsentBytes {
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
	k := &carrier{l: l, call: c, n: n, pool: wc.pool, state: b.state, left: b.remaining, chunks: b.chunks, keep: !b.closesConn,
		shut: b.workerCloses || b.state == answerUntilClose, load: wc.load, loaded: wc.hasLoad}
	k.first = append([]byte(nil), b.answer...)
	if b.state != answerFixed {
		k.keep = c.keepAlive && !l.draining
		if c.httpMinor == 1 {
			k.chunked = true
			k.first = append(k.first, "Transfer-Encoding: chunked\r\n"...)
		} else {
			k.keep = false
		}
		if !k.keep {
			k.first = append(k.first, "Connection: close\r\n"...)
		}
		k.first = append(k.first, "\r\n"...)
		if k.chunked {
			k.first = http1.AppendChunk(k.first, b.unsizedBody)
		} else {
			k.first = append(k.first, b.unsizedBody...)
		}
	}
	if size := wc.c.InboundBuffered(); size > 0 {
		in, _ := wc.c.Peek(size)
		k.early = append([]byte(nil), in...)
		wc.c.Discard(size)
	}
	k.ahead = append([]byte(nil), cc.input()...)
	var err error
	if k.worker, err = connFromFD(wc.c.Dup()); err == nil {
		if k.client, err = connFromFD(cc.c.Dup()); err != nil {
			k.worker.Close()
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
	l.heldBytes -= cc.holds
	cc.closed, cc.c, cc.holds = true, nil, 0
	cc.gen++
	l.clientConns.put(cc.at)
	l.eventLoop.Close(gc)
	wc.call = nil
	l.closeWorkerConn(wc, false)
	l.enqueue(event{kind: evStreaming, call: c, outcome: logic.Outcome{Number: n}})
	l.group.Add(1)
	go k.run()
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
func (k *carrier) run() {
	l := k.l
	defer l.group.Done()
	over := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		select {
		case <-l.quit:
			k.worker.Close()
			k.client.Close()
		case <-over:
		}
	}()
	fromWorker, toClient := k.copy()
	close(over)
	<-watched
	clean := fromWorker == nil && toClient == nil
	select {
	case <-l.quit:
		clean = false
	default:
	}
	if clean {
		k.worker.SetDeadline(time.Time{})
		k.client.SetDeadline(time.Time{})
	}
	if !clean || k.shut || len(k.early) > 0 {
		k.worker.Close()
	} else if _, err := l.client.EnrollContext(k.worker, &returnedWorker{k.pool}); err != nil {
		k.worker.Close()
	}
	if clean && k.keep {
		if _, err := l.client.EnrollContext(k.client, &acceptedClient{early: k.ahead}); err != nil {
			k.client.Close()
			l.clientCount.Add(-1)
			l.p.openClients.Add(-1)
		}
	} else {
		if !clean { // Danger: an answer cut short must not look whole, whichever side cut it
			if t, ok := k.client.(*net.TCPConn); ok {
				t.SetLinger(0)
			}
		} else {
			k.awaitDelivery()
		}
		k.client.Close()
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
		if k.loaded {
			load = &k.load
		}
		l.endSubmission(k.call, k.n, e, load)
	})
}

// awaitDelivery waits until the client's host has acknowledged the answer, as a close before that with a request unread would destroy it.
func (k *carrier) awaitDelivery() {
	c, ok := k.client.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	c.CloseWrite()
	until := time.Now().Add(k.l.p.cfg.ClientLimits.SlowReaderTimeout)
	look := time.NewTicker(time.Duration(closingLook))
	defer look.Stop()
	for time.Now().Before(until) {
		left := 0
		raw.Control(func(fd uintptr) { left = unacknowledged(int(fd)) })
		if left <= 0 {
			return
		}
		select {
		case <-look.C:
		case <-k.l.quit:
			return
		}
	}
}

// copy moves the rest of the answer, and tells how either side failed.
func (k *carrier) copy() (fromWorker, toClient error) {
	d := &k.l.p.cfg.ClientLimits
	put := func(b []byte) error {
		if len(b) == 0 {
			return nil
		}
		k.client.SetWriteDeadline(time.Now().Add(d.SlowReaderTimeout))
		_, err := k.client.Write(b)
		return err
	}
	if toClient = put(k.first); toClient != nil {
		return nil, toClient
	}
	k.first = nil
	buf := make([]byte, 64<<10)
	var out, spill []byte
	have := append([]byte(nil), k.early...)
	k.early = nil
	eof := false
	for {
		switch k.state {
		case answerFixed:
			if k.left == 0 {
				k.early = have
				return nil, nil
			}
			n := min(int64(len(have)), k.left)
			if toClient = put(have[:n]); toClient != nil {
				return nil, toClient
			}
			k.left -= n
			have = have[n:]
			if k.left == 0 {
				k.early = have
				return nil, nil
			}
		case answerChunked:
			took, data, done, err := k.chunks.Next(have)
			if err != nil && !errors.Is(err, http1.ErrIncomplete) {
				return err, nil
			}
			if k.chunked {
				out = http1.AppendChunk(out[:0], data)
			} else {
				out = append(out[:0], data...)
			}
			if done && k.chunked {
				out = append(out, http1.LastChunk...)
			}
			have = have[took:]
			if toClient = put(out); toClient != nil {
				return nil, toClient
			}
			if done {
				k.early = have
				return nil, nil
			}
			if err == nil {
				continue
			}
		case answerUntilClose:
			if k.chunked {
				out = http1.AppendChunk(out[:0], have)
			} else {
				out = append(out[:0], have...)
			}
			have = have[:0]
			if eof && k.chunked {
				out = append(out, http1.LastChunk...)
			}
			if toClient = put(out); toClient != nil || eof {
				return nil, toClient
			}
		}
		spill = append(spill[:0], have...) // have may lie in buf, which is read into next
		k.worker.SetReadDeadline(time.Now().Add(d.IdleTimeout))
		n, err := k.worker.Read(buf)
		if have = buf[:n]; len(spill) > 0 {
			spill = append(spill, have...)
			have = spill
		}
		if err != nil && n == 0 {
			if errors.Is(err, io.EOF) && k.state == answerUntilClose {
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

package lab

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// HostileRow is how an edge stood one kind of hostile client, while honest ones went on.
type HostileRow struct {
	Attack         string
	Clients        int
	RegularTxns    int // txns
	RegularSettled int
	P50, P99       float64 // ms, of the honest
	RSS, MaxRSS    float64 // MiB, before and at the most
	RSSAfter       float64 // MiB, when the attackers have gone
	ClosedByEdge   int     // attackers whose connection the edge ended
}

// attack keeps clients busy until ctx ends; it counts connections that the edge ends.
type attack struct {
	name    string
	clients int
	run     func(ctx context.Context, address string, closed *atomic.Int64)
}

// holdConnection keeps a connection open and reads until the edge ends it, sending more now and then.
func holdConnection(ctx context.Context, address, first, more string, every time.Duration, read bool, closed *atomic.Int64) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer func() {
		if stop() { // the edge was first
			closed.Add(1)
		}
		c.Close()
	}()
	if _, err := io.WriteString(c, first); err != nil {
		return
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if read {
			io.Copy(io.Discard, c)
		} else {
			<-ctx.Done()
		}
	}()
	for more != "" {
		select {
		case <-ended:
			return
		case <-time.After(every):
		}
		if _, err := io.WriteString(c, more); err != nil {
			return
		}
	}
	<-ended
}

// reconnectLoop does something over and over on new connections, for as long as ctx lasts.
func reconnectLoop(ctx context.Context, address string, do func(c net.Conn)) {
	for ctx.Err() == nil {
		c, err := net.Dial("tcp", address)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c.SetDeadline(time.Now().Add(2 * time.Second))
		do(c)
		c.Close()
	}
}

const getRequest = "GET /ask HTTP/1.1\r\nHost: h\r\n\r\n"

var attacks = []attack{
	{"nobody", 0, nil},
	{"idle connections", 10000, func(ctx context.Context, a string, n *atomic.Int64) { holdConnection(ctx, a, "", "", 0, true, n) }},
	{"slow heads, a byte each 100 ms", 2000, func(ctx context.Context, a string, n *atomic.Int64) {
		holdConnection(ctx, a, "GET /ask HTTP/1.1\r\nHost: h\r\nA: ", "a", 100*time.Millisecond, true, n)
	}},
	{"slow bodies, a byte each 100 ms", 2000, func(ctx context.Context, a string, n *atomic.Int64) {
		holdConnection(ctx, a, "POST /ask HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n", "a", 100*time.Millisecond, true, n)
	}},
	{"slow readers of 1 MiB answers", 300, func(ctx context.Context, a string, n *atomic.Int64) {
		holdConnection(ctx, a, "GET /big HTTP/1.1\r\nHost: h\r\n\r\n", "", 0, false, n)
	}},
	{"half-closed", 20, func(ctx context.Context, a string, n *atomic.Int64) {
		reconnectLoop(ctx, a, func(c net.Conn) {
			io.WriteString(c, getRequest)
			c.(*net.TCPConn).CloseWrite()
			io.Copy(io.Discard, c)
			n.Add(1)
		})
	}},
	{"resets in the middle of a request", 20, func(ctx context.Context, a string, n *atomic.Int64) {
		reconnectLoop(ctx, a, func(c net.Conn) {
			io.WriteString(c, "POST /ask HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nabc")
			c.(*net.TCPConn).SetLinger(0)
		})
	}},
	{"malformed and oversize heads", 20, func(ctx context.Context, a string, n *atomic.Int64) {
		bad := []string{"GET / HTTP/1.1\nHost: h\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
			"GET /ask HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 40000), "\x16\x03\x01\x02\x00\r\n\r\n"}
		k := 0
		reconnectLoop(ctx, a, func(c net.Conn) {
			k++
			io.WriteString(c, bad[k%len(bad)])
			io.Copy(io.Discard, c)
			n.Add(1)
		})
	}},
	{"pipelined floods without reading", 50, func(ctx context.Context, a string, n *atomic.Int64) {
		flood := strings.Repeat(getRequest, 500)
		holdConnection(ctx, a, flood, flood, time.Millisecond, false, n)
	}},
}

// Hostile plays each attack against an edge of its own, beside honest clients, for a span.
func Hostile(ctx context.Context, plan BenchPlan, say io.Writer) ([]HostileRow, error) {
	worker, stopWorker, err := plan.startWorker(64)
	if err != nil {
		return nil, err
	}
	defer stopWorker()
	var rows []HostileRow
	for _, a := range attacks {
		row, err := plan.runAttack(ctx, a, worker)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", a.name, err)
		}
		fmt.Fprintf(say, "%-35s honest %d of %d, p99 %.1f ms, memory %.0f to %.0f MiB, then %.0f\n", a.name, row.RegularSettled, row.RegularTxns, row.P99,
			row.RSS, row.MaxRSS, row.RSSAfter)
		rows = append(rows, row)
	}
	return rows, nil
}

// HostileTable prints rows in Markdown.
func HostileTable(w io.Writer, rows []HostileRow) {
	fmt.Fprintln(w, "| attack | clients | honest txns | of them settled | p50 ms | p99 ms | memory before, MiB | at the most | when they have gone | connections the edge ended |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, r := range rows {
		fmt.Fprintf(w, "| %s | %d | %d | %d | %.2f | %.2f | %.0f | %.0f | %.0f | %d |\n", r.Attack, r.Clients, r.RegularTxns, r.RegularSettled, r.P50, r.P99, r.RSS,
			r.MaxRSS, r.RSSAfter, r.ClosedByEdge)
	}
}

func (plan BenchPlan) runAttack(ctx context.Context, a attack, worker string) (row HostileRow, err error) {
	address, err := freeAddress("127.0.0.1")
	if err != nil {
		return row, err
	}
	path, err := plan.writeHostileFiles(address, worker)
	if err != nil {
		return row, err
	}
	stop, pid, err := plan.startProcess(nil, address, "edge", path)
	if err != nil {
		return row, err
	}
	defer stop()
	time.Sleep(300 * time.Millisecond)
	row = HostileRow{Attack: a.name, Clients: a.clients}
	honest := func(span time.Duration) {
		h, fine, all := plan.sendRegularTxns(address, span)
		row.RegularTxns, row.RegularSettled = all, fine
		row.P50, row.P99 = float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000
	}
	honest(time.Second) // to warm up
	row.RSS = residentMiB(pid)
	under, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	var closed atomic.Int64
	for i := 0; i < a.clients; i++ {
		group.Go(func() { a.run(under, address, &closed) })
		if i%200 == 199 {
			time.Sleep(10 * time.Millisecond)
		}
	}
	watch := make(chan struct{})
	group.Go(func() {
		for {
			row.MaxRSS = max(row.MaxRSS, residentMiB(pid))
			select {
			case <-watch:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	})
	honest(plan.Span)
	row.ClosedByEdge = int(closed.Load())
	cancel()
	close(watch)
	group.Wait()
	time.Sleep(500 * time.Millisecond)
	row.RSSAfter = residentMiB(pid)
	return row, nil
}

func (plan BenchPlan) writeHostileFiles(listen, worker string) (string, error) {
	if err := os.MkdirAll(plan.Out, 0o755); err != nil {
		return "", err
	}
	list, settings := filepath.Join(plan.Out, "hostile-list.sexp"), filepath.Join(plan.Out, "hostile-edge.sexp")
	text := "(release (build 1))\n"
	for i := 0; i < 8; i++ {
		text += fmt.Sprintf("(worker w%02d (address %q))\n", i, worker)
	}
	if err := os.WriteFile(list, []byte(text), 0o644); err != nil {
		return "", err
	}
	text = fmt.Sprintf(`(edge (name "hostile") (listen %q) (log error) (source (file %q))
  (door (slow-head 2s) (slow-body 2s) (slow-reader 2s) (unsent 256KiB))
  (product "ask" (sla 1s) (expiry 3s) (effect inquiry-like)) (route (product "ask"))
  (release (caps 0.1 1) (shares 0.1 1) (window 6s)))`, listen, list)
	return settings, os.WriteFile(settings, []byte(text), 0o644)
}

// sendRegularTxns sends 500 txns a second on 20 connections, at times set ahead.
func (plan BenchPlan) sendRegularTxns(address string, span time.Duration) (all *hdrhistogram.Histogram, fine, asked int) {
	const conns, rate = 20, 500.0
	all = hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var group sync.WaitGroup
	began := time.Now()
	for i := 0; i < conns; i++ {
		group.Go(func() {
			h := hdrhistogram.New(1, 60_000_000, 3)
			n, good := 0, 0
			var c net.Conn
			buf := make([]byte, 2<<20)
			for due := began.Add(time.Duration(i) * time.Second / rate); due.Sub(began) < span; due = due.Add(conns * time.Second / rate) {
				if wait := time.Until(due); wait > 0 {
					time.Sleep(wait)
				}
				n++
				if c == nil {
					var err error
					if c, err = net.Dial("tcp", address); err != nil {
						continue
					}
				}
				c.SetDeadline(time.Now().Add(5 * time.Second))
				if !roundTrip(c, buf) {
					c.Close()
					c = nil
					continue
				}
				good++
				h.RecordValue(max(1, int64(time.Since(due)/time.Microsecond)))
			}
			if c != nil {
				c.Close()
			}
			mu.Lock()
			all.Merge(h)
			fine, asked = fine+good, asked+n
			mu.Unlock()
		})
	}
	group.Wait()
	return all, fine, asked
}

// roundTrip sends one request and reads its whole answer.
func roundTrip(c net.Conn, buf []byte) bool {
	if _, err := io.WriteString(c, getRequest); err != nil {
		return false
	}
	n, need := 0, -1
	for need < 0 || n < need {
		k, err := c.Read(buf[n:])
		if err != nil {
			return false
		}
		n += k
		if head := bytes.Index(buf[:min(n, 4096)], []byte("\r\n\r\n")); need < 0 && head >= 0 {
			_, after, _ := bytes.Cut(buf[:head], []byte("Content-Length: "))
			digits, _, _ := bytes.Cut(after, []byte("\r"))
			size, _ := strconv.Atoi(string(digits))
			need = head + 4 + size
		}
	}
	return bytes.HasPrefix(buf, []byte("HTTP/1.1 200"))
}

// residentMiB is the memory that a process holds, in MiB.
func residentMiB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.Atoi(strings.Fields(string(data))[1])
	return float64(pages) * float64(os.Getpagesize()) / (1 << 20)
}

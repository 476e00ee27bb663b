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

// HostileRow holds the results of one attack on an edge that also serves regular clients.
type HostileRow struct {
	Attack         string
	Clients        int     // number of attackers
	RegularTxns    int     // txns of the regular clients
	RegularSettled int     // regular txns that settled
	P50            float64 // median latency of the regular txns, in ms
	P99            float64 // in ms
	RSS            float64 // resident memory of the edge before the attack, in MiB
	MaxRSS         float64 // maximum during the attack, in MiB
	RSSAfter       float64 // after the attackers have disconnected, in MiB
	ClosedByEdge   int     // connections of attackers that the edge closed
}

// attack is a kind of hostile client. run is the loop of one client. It returns when ctx ends or earlier, and adds the
// connections that the edge closes to closed.
type attack struct {
	name    string
	clients int
	run     func(ctx context.Context, address string, closed *atomic.Int64)
}

// holdConnection opens a connection and sends the text first, then the text more at each interval unless it is empty. If
// read is set, it reads and discards the answers. It returns when ctx ends, or when a read or write fails because the edge
// has closed the connection.
func holdConnection(ctx context.Context, address, first, more string, interval time.Duration, read bool, closed *atomic.Int64) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer func() {
		if stop() { // ctx has not ended, so the edge closed the connection
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
		case <-time.After(interval):
		}
		if _, err := io.WriteString(c, more); err != nil {
			return
		}
	}
	<-ended
}

// reconnectLoop opens one connection after another until ctx ends, and calls do with each.
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

// getRequest is a valid request.
const getRequest = "GET /ask HTTP/1.1\r\nHost: h\r\n\r\n"

// attacks are the attacks in the order in which they run. The first has no attackers, for comparison.
var attacks = []attack{
	{"nobody", 0, nil},
	{"idle connections", 10000, func(ctx context.Context, address string, closed *atomic.Int64) {
		holdConnection(ctx, address, "", "", 0, true, closed)
	}},
	{"slow heads, a byte each 100 ms", 2000, func(ctx context.Context, address string, closed *atomic.Int64) {
		holdConnection(ctx, address, "GET /ask HTTP/1.1\r\nHost: h\r\nA: ", "a", 100*time.Millisecond, true, closed)
	}},
	{"slow bodies, a byte each 100 ms", 2000, func(ctx context.Context, address string, closed *atomic.Int64) {
		holdConnection(ctx, address, "POST /ask HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n", "a", 100*time.Millisecond, true, closed)
	}},
	{"slow readers of 1 MiB answers", 300, func(ctx context.Context, address string, closed *atomic.Int64) {
		holdConnection(ctx, address, "GET /big HTTP/1.1\r\nHost: h\r\n\r\n", "", 0, false, closed)
	}},
	{"half-closed", 20, func(ctx context.Context, address string, closed *atomic.Int64) {
		reconnectLoop(ctx, address, func(c net.Conn) {
			io.WriteString(c, getRequest)
			c.(*net.TCPConn).CloseWrite()
			io.Copy(io.Discard, c)
			closed.Add(1)
		})
	}},
	{"resets in the middle of a request", 20, func(ctx context.Context, address string, closed *atomic.Int64) {
		reconnectLoop(ctx, address, func(c net.Conn) {
			io.WriteString(c, "POST /ask HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nabc")
			c.(*net.TCPConn).SetLinger(0)
		})
	}},
	{"malformed and oversize heads", 20, func(ctx context.Context, address string, closed *atomic.Int64) {
		malformed := []string{"GET / HTTP/1.1\nHost: h\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
			"GET /ask HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("a", 40000), "\x16\x03\x01\x02\x00\r\n\r\n"}
		attempt := 0
		reconnectLoop(ctx, address, func(c net.Conn) {
			attempt++
			io.WriteString(c, malformed[attempt%len(malformed)])
			io.Copy(io.Discard, c)
			closed.Add(1)
		})
	}},
	{"pipelined floods without reading", 50, func(ctx context.Context, address string, closed *atomic.Int64) {
		flood := strings.Repeat(getRequest, 500)
		holdConnection(ctx, address, flood, flood, time.Millisecond, false, closed)
	}},
}

// HostileBench runs each attack for plan.Duration against a new edge that also serves regular clients. It writes a line for
// each attack to progress.
func HostileBench(ctx context.Context, plan BenchPlan, progress io.Writer) ([]HostileRow, error) {
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
		fmt.Fprintf(progress, "%-35s regular txns: %d of %d settled, p99 %.1f ms; memory %.0f to %.0f MiB, afterwards %.0f\n", a.name, row.RegularSettled, row.RegularTxns, row.P99,
			row.RSS, row.MaxRSS, row.RSSAfter)
		rows = append(rows, row)
	}
	return rows, nil
}

// WriteHostileTable writes rows as a Markdown table.
func WriteHostileTable(w io.Writer, rows []HostileRow) {
	fmt.Fprintln(w, "| attack | clients | regular txns | of them settled | p50 ms | p99 ms | memory before, MiB | maximum, MiB | afterwards, MiB | connections closed by the edge |")
	fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, r := range rows {
		fmt.Fprintf(w, "| %s | %d | %d | %d | %.2f | %.2f | %.0f | %.0f | %.0f | %d |\n", r.Attack, r.Clients, r.RegularTxns, r.RegularSettled, r.P50, r.P99, r.RSS,
			r.MaxRSS, r.RSSAfter, r.ClosedByEdge)
	}
}

// runAttack starts an edge and measures it during one attack.
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
	time.Sleep(listReadTime)
	row = HostileRow{Attack: a.name, Clients: a.clients}
	measureRegularTxns := func(span time.Duration) {
		h, settled, sent := plan.sendRegularTxns(address, span)
		row.RegularTxns, row.RegularSettled = sent, settled
		row.P50, row.P99 = float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000
	}
	measureRegularTxns(time.Second) // warm-up
	row.RSS = residentMiB(pid)
	attackCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	var closed atomic.Int64
	for i := 0; i < a.clients; i++ {
		group.Go(func() { a.run(attackCtx, address, &closed) })
		if i%200 == 199 {
			time.Sleep(10 * time.Millisecond)
		}
	}
	stopSampling := make(chan struct{})
	group.Go(func() {
		for {
			row.MaxRSS = max(row.MaxRSS, residentMiB(pid))
			select {
			case <-stopSampling:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	})
	measureRegularTxns(plan.Duration)
	row.ClosedByEdge = int(closed.Load())
	cancel()
	close(stopSampling)
	group.Wait()
	time.Sleep(500 * time.Millisecond)
	row.RSSAfter = residentMiB(pid)
	return row, nil
}

// writeHostileFiles writes the settings and the worker list of the edge under attack, and returns the settings' path.
func (plan BenchPlan) writeHostileFiles(listen, worker string) (string, error) {
	if err := os.MkdirAll(plan.Out, 0o755); err != nil {
		return "", err
	}
	listPath, settingsPath := filepath.Join(plan.Out, "hostile-list.sexp"), filepath.Join(plan.Out, "hostile-edge.sexp")
	if err := writeWorkerList(listPath, worker, 8); err != nil {
		return "", err
	}
	text := fmt.Sprintf(`(edge (name "hostile") (listen %q) (log error) (source (file %q))
  (door (slow-head 2s) (slow-body 2s) (slow-reader 2s) (unsent 256KiB))
  (product "ask" (sla 1s) (expiry 3s) (effect inquiry-like)) (route (product "ask"))
  (release (caps 0.1 1) (shares 0.1 1) (window 6s)))`, listen, listPath)
	return settingsPath, os.WriteFile(settingsPath, []byte(text), 0o644)
}

// sendRegularTxns sends 500 txns a second on 20 connections, at times scheduled ahead. It returns their latencies from the
// scheduled time in microseconds, and the numbers of txns settled and sent.
func (plan BenchPlan) sendRegularTxns(address string, span time.Duration) (latencies *hdrhistogram.Histogram, settled, sent int) {
	const conns, rate = 20, 500.0
	latencies = hdrhistogram.New(1, maxLoadLatencyMicros, 3)
	var mu sync.Mutex
	var group sync.WaitGroup
	startTime := time.Now()
	for i := 0; i < conns; i++ {
		group.Go(func() {
			h := hdrhistogram.New(1, maxLoadLatencyMicros, 3)
			connSent, connSettled := 0, 0
			var c net.Conn
			buf := make([]byte, 2<<20)
			for dueAt := startTime.Add(time.Duration(i) * time.Second / rate); dueAt.Sub(startTime) < span; dueAt = dueAt.Add(conns * time.Second / rate) {
				if wait := time.Until(dueAt); wait > 0 {
					time.Sleep(wait)
				}
				connSent++
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
				connSettled++
				h.RecordValue(max(1, int64(time.Since(dueAt)/time.Microsecond)))
			}
			if c != nil {
				c.Close()
			}
			mu.Lock()
			latencies.Merge(h)
			settled, sent = settled+connSettled, sent+connSent
			mu.Unlock()
		})
	}
	group.Wait()
	return latencies, settled, sent
}

// roundTrip sends one request, reads the whole answer and reports whether its status is 200.
func roundTrip(c net.Conn, buf []byte) bool {
	if _, err := io.WriteString(c, getRequest); err != nil {
		return false
	}
	n, answerSize := 0, -1
	for answerSize < 0 || n < answerSize {
		read, err := c.Read(buf[n:])
		if err != nil {
			return false
		}
		n += read
		if head := bytes.Index(buf[:min(n, 4096)], []byte("\r\n\r\n")); answerSize < 0 && head >= 0 {
			_, after, _ := bytes.Cut(buf[:head], []byte("Content-Length: "))
			digits, _, _ := bytes.Cut(after, []byte("\r"))
			bodySize, _ := strconv.Atoi(string(digits))
			answerSize = head + 4 + bodySize
		}
	}
	return bytes.HasPrefix(buf, []byte("HTTP/1.1 200"))
}

// residentMiB returns the resident memory of a process, in MiB.
func residentMiB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.Atoi(strings.Fields(string(data))[1])
	return float64(pages) * float64(os.Getpagesize()) / (1 << 20)
}

package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// A drain must not drop a pipelined request if the answer before it didn't announce the close of the connection, as when that
// answer began before the drain. An announcement in the answer of a second submission, which is never sent to the client,
// must not count.
func TestDrainAnswersPipelinedRequests(t *testing.T) {
	for _, c := range []struct {
		name, request    string
		secondSubmission bool // the answer of a second submission begins during the drain
	}{{"one submission", post("/pay"), false}, {"two submissions", get("/ask"), true}} {
		t.Run(c.name, func(t *testing.T) { testDrainWithPipeline(t, c.request, c.secondSubmission) })
	}
}

func testDrainWithPipeline(t *testing.T, request string, secondSubmission bool) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab"
	firstHeadSent, drainStarted, secondHeadRead, testEnd := make(chan struct{}), make(chan struct{}), make(chan struct{}), make(chan struct{})
	var submissions atomic.Int64
	stub := func(c net.Conn, req *http.Request, b []byte) bool {
		switch n := submissions.Add(1); {
		case n == 1:
			io.WriteString(c, head)
			close(firstHeadSent)
			<-drainStarted
			if secondSubmission {
				<-secondHeadRead
			}
			_, err := io.WriteString(c, "cd")
			return err == nil
		case n == 2 && secondSubmission:
			<-drainStarted
			io.WriteString(c, head)
			time.Sleep(20 * time.Millisecond) // lets the edge read the head
			close(secondHeadRead)
			<-testEnd
			return false
		}
		return echo(c, req, b)
	}
	r := startEdge(t, "", newStubWorker(t, stub), newStubWorker(t, stub))
	defer close(testEnd)
	c := r.dial()
	io.WriteString(c, request+request)
	<-firstHeadSent
	time.Sleep(20 * time.Millisecond) // lets the edge read the head
	r.stop()
	// Wait until the loop drains, which it does once the listener is closed.
	for until, draining := time.Now().Add(2*time.Second), false; !draining; time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the loop does not drain")
		}
		state := make(chan bool)
		r.p.loops[0].post(func() { state <- r.p.loops[0].draining })
		draining = <-state
	}
	close(drainStarted)
	in := bufio.NewReader(c)
	for i, closes := range []bool{false, true} {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != 200 || resp.Close != closes {
			t.Errorf("answer %d: got status %d, close %v; want 200, %v", i, resp.StatusCode, resp.Close, closes)
		}
	}
	if err := <-r.done; err != nil {
		t.Error(err)
	}
	r.done = nil
}

// When the time of a drain runs out, unanswered requests and incomplete ones must get an error before the process ends, not
// a closed connection.
func TestDrainAnswersHangingRequests(t *testing.T) {
	r := startEdge(t, "", newStubWorker(t, hang))
	r.p.cfg.DrainTimeout = 300 * time.Millisecond
	hanging, partial := r.dial(), r.dial()
	io.WriteString(hanging, get("/ask"))
	io.WriteString(partial, get("/ask")[:20])
	time.Sleep(20 * time.Millisecond)
	began := time.Now()
	r.stop()
	for i, c := range []net.Conn{hanging, partial} {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("client %d: %v", i, err)
		}
		if resp.StatusCode < 500 || !resp.Close {
			t.Errorf("client %d: got status %d, close %v; want a 5xx status and close", i, resp.StatusCode, resp.Close)
		}
	}
	if err := <-r.done; err != nil {
		t.Error(err)
	}
	r.done = nil
	if elapsed := time.Since(began); elapsed > 400*time.Millisecond {
		t.Errorf("the drain took %v, want at most 400 ms", elapsed)
	}
}

// A client that pipelines more than the limit must get a 503 behind its last answer, even if the head of that answer was
// sent before the overflow and doesn't announce the close. Otherwise its discarded requests would end without an answer.
func TestPipelineOverflowIsReported(t *testing.T) {
	release := make(chan struct{})
	r := startEdge(t, "(door (pipeline 1KiB))", newStubWorker(t, func(c net.Conn, req *http.Request, b []byte) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na")
		<-release
		_, err := io.WriteString(c, "b")
		return err == nil
	}))
	c := r.dial()
	io.WriteString(c, post("/pay"))
	time.Sleep(50 * time.Millisecond) // lets the edge send the answer's head, without "Connection: close"
	io.WriteString(c, strings.Repeat(post("/pay"), 100))
	time.Sleep(50 * time.Millisecond)
	close(release)
	in := bufio.NewReader(c)
	for i, want := range []int{200, 503} {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != want || resp.Close != (want == 503) {
			t.Errorf("answer %d: got status %d, close %v; want %d, and close after a 503", i, resp.StatusCode, resp.Close, want)
		}
	}
}

// Clients keep sending requests while a process with two loops stops; some answers are streamed. Each request must be
// answered or stay unread, which resets the connection. A connection that ended without an answer or a reset would leave the
// client unable to retry safely.
func TestDrainUnderSteadyUse(t *testing.T) {
	for round := range 6 {
		r := startEdge(t, "(loops 2) (door (answer-buffer 4KiB))", newStubWorker(t, echo), newStubWorker(t, echo))
		var group sync.WaitGroup
		var answers, resets atomic.Int64
		body := strings.Repeat("b", 6<<10) // its echo exceeds the answer buffer and is streamed
		for i := range 24 {
			c := r.dial()
			request := get("/ask")
			if i%3 == 0 {
				request = fmt.Sprintf("POST /pay HTTP/1.1\r\nHost: t\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			}
			group.Go(func() {
				in := bufio.NewReader(c)
				for {
					if _, err := io.WriteString(c, request); err != nil {
						return
					}
					resp, err := http.ReadResponse(in, nil)
					if err == nil {
						_, err = io.Copy(io.Discard, resp.Body)
					}
					if err == nil {
						answers.Add(1)
						continue
					}
					if !awaitReset(c) {
						t.Errorf("client %d in round %d: a request ended with %v but without a reset", i, round, err)
					}
					resets.Add(1)
					return
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
		r.stop()
		group.Wait()
		if err := <-r.done; err != nil {
			t.Error(err)
		}
		r.done = nil
		t.Logf("%d answers, %d unread requests", answers.Load(), resets.Load())
	}
}

// awaitReset reports whether the peer has reset the connection, or does so within a second.
func awaitReset(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	for until := time.Now().Add(time.Second); time.Now().Before(until); time.Sleep(2 * time.Millisecond) {
		closed := false
		raw.Control(func(fd uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			closed = err == nil && info.State == unix.BPF_TCP_CLOSE
		})
		if closed {
			return true
		}
	}
	return false
}

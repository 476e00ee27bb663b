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

// A request behind one whose answer did not say that the connection ends with it is answered, also where a drain has begun meanwhile, and
// where the head of another attempt's answer, which nobody gets, says so.
func TestDrainAnswersWhatIsPipelined(t *testing.T) {
	for _, c := range []struct {
		name, request string
		second        bool // a second attempt's answer begins in the drain
	}{{"one attempt", post("/pay"), false}, {"two attempts", get("/ask"), true}} {
		t.Run(c.name, func(t *testing.T) { drainUnderPipeline(t, c.request, c.second) })
	}
}

func drainUnderPipeline(t *testing.T, request string, second bool) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab"
	firstOut, drains, secondOut, end := make(chan struct{}), make(chan struct{}), make(chan struct{}), make(chan struct{})
	var attempts atomic.Int64
	stub := func(c net.Conn, req *http.Request, b []byte) bool {
		switch n := attempts.Add(1); {
		case n == 1:
			io.WriteString(c, head)
			close(firstOut)
			<-drains
			if second {
				<-secondOut
			}
			_, err := io.WriteString(c, "cd")
			return err == nil
		case n == 2 && second:
			<-drains
			io.WriteString(c, head)
			time.Sleep(20 * time.Millisecond) // the edge reads it
			close(secondOut)
			<-end
			return false
		}
		return echo(c, req, b)
	}
	r := startEdge(t, "", newStubWorker(t, stub), newStubWorker(t, stub))
	defer close(end)
	c := r.dial()
	io.WriteString(c, request+request)
	<-firstOut
	time.Sleep(20 * time.Millisecond) // the edge reads the head
	r.stop()
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		other, err := net.Dial("tcp", r.address)
		if err != nil {
			break
		}
		other.Close()
	}
	close(drains)
	in := bufio.NewReader(c)
	for i, closes := range []bool{false, true} {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("answer %d: %v", i, err)
		}
		io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != 200 || resp.Close != closes {
			t.Errorf("answer %d: status %d, closes %v, want 200, %v", i, resp.StatusCode, resp.Close, closes)
		}
	}
	if err := <-r.done; err != nil {
		t.Error(err)
	}
	r.done = nil
}

// What is in hand when a drain's time is up is answered before it, and half a request gets its error.
func TestDrainAnswersWhatHangs(t *testing.T) {
	r := startEdge(t, "", newStubWorker(t, hang))
	r.p.cfg.DrainTimeout = 300 * time.Millisecond
	hangs, half := r.dial(), r.dial()
	io.WriteString(hangs, get("/ask"))
	io.WriteString(half, get("/ask")[:20])
	time.Sleep(20 * time.Millisecond)
	began := time.Now()
	r.stop()
	for i, c := range []net.Conn{hangs, half} {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("client %d: %v", i, err)
		}
		if resp.StatusCode < 500 || !resp.Close {
			t.Errorf("client %d: status %d, closes %v", i, resp.StatusCode, resp.Close)
		}
	}
	if err := <-r.done; err != nil {
		t.Error(err)
	}
	r.done = nil
	if took := time.Since(began); took > 400*time.Millisecond {
		t.Errorf("the drain took %v", took)
	}
}

// A client that sends more ahead of its answers than is kept is told so behind the last of them.
func TestFloodIsTold(t *testing.T) {
	release := make(chan struct{})
	r := startEdge(t, "(door (pipeline 1KiB))", newStubWorker(t, func(c net.Conn, req *http.Request, b []byte) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na")
		<-release
		_, err := io.WriteString(c, "b")
		return err == nil
	}))
	c := r.dial()
	io.WriteString(c, post("/pay"))
	time.Sleep(50 * time.Millisecond) // the head of its answer says nothing of an end
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
			t.Errorf("answer %d: status %d, closes %v, want %d", i, resp.StatusCode, resp.Close, want)
		}
	}
}

// Connections in steady use are stopped under clients that write on without a look, over two loops and with streamed answers: each request is
// answered, or was not read, which a reset tells.
func TestDrainUnderSteadyUse(t *testing.T) {
	for round := range 6 {
		r := startEdge(t, "(loops 2) (door (answer-buffer 4KiB))", newStubWorker(t, echo), newStubWorker(t, echo))
		var group sync.WaitGroup
		var answers, resets atomic.Int64
		body := strings.Repeat("b", 6<<10) // comes back larger than is kept whole
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
					if !endedByReset(c) {
						t.Errorf("client %d of round %d: a request ended with %v and no reset", i, round, err)
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
		t.Logf("%d answers, %d requests not read", answers.Load(), resets.Load())
	}
}

// endedByReset tells whether a connection that has ended was reset, for which it gives the other end a second.
func endedByReset(c net.Conn) bool {
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

package edge

import (
	"bufio"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"testing"

	"dunegrade/logic"
)

// Timers must come out of the heap by time, also after some were removed.
func TestTimerHeapOrder(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	for range 50 {
		var h timerHeap
		for range 1 + rng.Intn(500) {
			h.push(timer{at: logic.Nanos(rng.Intn(1000)), token: uint64(rng.Intn(3))})
		}
		left := 0
		for _, x := range h {
			if x.token != 0 {
				left++
			}
		}
		h.removeIf(func(x timer) bool { return x.token == 0 })
		if len(h) != left {
			t.Fatalf("%d timers are left, want %d", len(h), left)
		}
		for last := logic.Nanos(0); len(h) > 0; {
			x := h.pop()
			if x.at < last || x.token == 0 {
				t.Fatalf("a timer at %d with token %d came after %d", x.at, x.token, last)
			}
			last = x.at
		}
	}
}

// Guards against memory that grows without end under requests that are answered long before their expiry: their timers stayed in
// the heap until the expiry.
func TestTimersOfAnsweredRequestsAreRemoved(t *testing.T) {
	const requests = 20000
	r := startEdge(t, `(door (pipeline 4MiB)) (product "slow" (sla 1s) (expiry 1h) (effect inquiry-like)) (route (prefix "/slow") (product "slow"))`) // all are declined
	c := r.dial()
	go func() {
		for range requests / 100 {
			if _, err := io.WriteString(c, strings.Repeat(get("/slow"), 100)); err != nil {
				return
			}
		}
	}()
	in := bufio.NewReader(c)
	for range requests {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
	}
	r.onLoop(func(l *loop) {
		if len(l.timers) > minTimersToPurge {
			t.Errorf("%d timers are left of %d answered requests, want at most %d", len(l.timers), requests, minTimersToPurge)
		}
	})
}

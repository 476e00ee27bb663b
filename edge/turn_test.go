package edge

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
)

// Guards against a client whose requests are declined at once and that is served without end in one turn of the event loop,
// while all other clients wait. All its requests must still be answered.
func TestRequestsOfOneClientAreSpreadOverTurns(t *testing.T) {
	const requests = 400
	r := startEdge(t, "") // without workers each request is declined at once
	c := r.dial()
	io.WriteString(c, get("/ask"))
	in := bufio.NewReader(c)
	readAnswer := func() {
		t.Helper()
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
	}
	readAnswer()
	r.onLoop(func(l *loop) {
		cc := l.clientConns.items[0]
		before := l.stats.admitted
		cc.receive([]byte(strings.Repeat(get("/ask"), requests)))
		cc.read()
		l.processEvents()
		if n := l.stats.admitted - before; n > maxTurnRequests {
			t.Errorf("%d requests of one client were admitted in a turn, want at most %d", n, maxTurnRequests)
		}
	})
	for range requests {
		readAnswer()
	}
}

// A case: the sentry crashes. See claim.txt.
package main

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"dunegrade/review/standin"
)

// Figures of the deployment.
const (
	workers     = 13
	memory      = 128
	descriptors = 256
	connections = descriptors / 3 // that clients hold at most
	runFor      = 90 * time.Second
	forget      = 100 * time.Millisecond // after which a worker forgets an idle connection, with the disruption
	badClients  = 16                     // with the disruption
	commands    = 8                      // that a bad client sends at once
	phase       = 50 * time.Millisecond  // mean time of a flurry of requests
	lull        = 250 * time.Millisecond // mean time between two of them
)

type fleet struct {
	mu      sync.Mutex
	rng     *rand.Rand
	trouble bool
	forgot  int
	record  *standin.Record
}

// exponential returns a time, exponential around a mean.
func (f *fleet) exponential(mean time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.rng.ExpFloat64() * float64(mean))
}

func (f *fleet) answer(w *standin.Worker, q standin.Query, over <-chan struct{}) ([]byte, bool) {
	f.record.LineAt(q.At, "worker %s runs id=%s", w.ID, q.ID)
	select {
	case <-time.After(min(f.exponential(60*time.Millisecond), 400*time.Millisecond)):
	case <-over: // work stops when its request is cancelled
		return nil, false
	}
	return standin.ValueAnswer("v"+q.ID, "util=0.3,queue=0,qps=20"), true
}

// forgotten notes a query on a connection that the worker has forgotten.
func (f *fleet) forgotten(w *standin.Worker, q standin.Query) {
	f.record.LineAt(q.At, "worker %s has forgotten the connection, id=%s does not run", w.ID, q.ID)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forgot++
}

func main() { os.Exit(run()) }

func run() int {
	record, err := standin.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return standin.NotRun
	}
	defer record.Close()
	f := &fleet{rng: rand.New(rand.NewSource(time.Now().UnixNano())), trouble: os.Getenv("TROUBLE") != "0", record: record}
	var entries []standin.Entry
	for i := range workers {
		w := &standin.Worker{ID: fmt.Sprintf("s-%02d", i), Build: 41, Answer: f.answer, Forgot: f.forgotten,
			Late: func() time.Duration { return min(f.exponential(2*time.Millisecond), 10*time.Millisecond) }}
		if f.trouble {
			w.Forget = forget
		}
		if err := w.Start(); err != nil {
			fmt.Println(err)
			return standin.NotRun
		}
		entries = append(entries, standin.EntryOf(w, "oslo-room", "std-3c"))
	}
	news := standin.News{Image: 41, Ring: 2, Progress: "stable", Ceiling: 1, Since: time.Now().Add(-time.Hour)}
	platform, err := standin.StartPlatform(record, entries, news)
	if err != nil {
		fmt.Println(err)
		return standin.NotRun
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Println(err)
		return standin.NotRun
	}
	defer os.RemoveAll(dir)
	sentry, err := standin.StartSentry(dir, standin.BookingDocument(platform, news, memory, descriptors))
	if err != nil {
		fmt.Println(err)
		return standin.NotRun
	}
	defer sentry.Kill()

	start := time.Now()
	l := &load{f: f, sentry: sentry, end: start.Add(runFor), flurry: make(chan struct{})}
	for range connections {
		l.clients.Go(l.client)
	}
	if f.trouble {
		for range badClients {
			l.clients.Go(l.badClient)
		}
	}
	l.flurries()
	l.clients.Wait()
	took := time.Since(start).Seconds()
	summary := fmt.Sprintf("requests %d (%.0f a second), settled %d, refused or failed %d, unanswered %d; of bad clients %d; forgotten connections used %d",
		l.sent, float64(l.sent)/took, l.settled, l.failed, l.unanswered, l.badSent, f.forgot)
	record.Line("%s", summary)
	fmt.Println(summary)
	if !sentry.Ended() {
		return standin.Held
	}
	_, cause, _ := strings.Cut(sentry.Log(), "panic: ")
	cause, _, _ = strings.Cut(cause, "\n")
	record.Line("BROKEN the sentry has crashed after %.1f s: %s: %s", took, sentry.Ending(), cause)
	record.Line("its log:\n%s", sentry.Log())
	fmt.Printf("the sentry has crashed after %.1f s: %s: %s\n", took, sentry.Ending(), cause)
	return standin.Broken
}

// load is what the clients do: flurries of requests with lulls in between.
type load struct {
	f       *fleet
	sentry  *standin.Sentry
	end     time.Time
	clients sync.WaitGroup

	mu                                         sync.Mutex
	flurry                                     chan struct{} // closed while a flurry lasts
	sent, settled, failed, unanswered, badSent int
}

// over reports whether the run is over.
func (l *load) over() bool { return time.Now().After(l.end) || l.sentry.Ended() }

// flurries begins and ends flurries until the run is over.
func (l *load) flurries() {
	for !l.over() {
		close(l.flurry)
		time.Sleep(phase/2 + l.f.exponential(phase))
		l.mu.Lock()
		l.flurry = make(chan struct{})
		l.mu.Unlock()
		time.Sleep(lull/2 + l.f.exponential(lull))
	}
	close(l.flurry)
}

// await waits for a flurry, for the given time at most.
func (l *load) await(atMost time.Duration) {
	l.mu.Lock()
	flurry := l.flurry
	l.mu.Unlock()
	select {
	case <-flurry:
	case <-time.After(atMost):
	}
}

// newID returns the id of a request.
func (l *load) newID() string {
	l.f.mu.Lock()
	defer l.f.mu.Unlock()
	return fmt.Sprintf("%016x", l.f.rng.Uint64())
}

// client is one connection of the usual clients: a request in each flurry, or seldom in between.
func (l *load) client() {
	pool := &standin.Pool{Address: l.sentry.Address}
	for n := 0; !l.over(); n++ {
		l.await(l.f.exponential(500 * time.Millisecond))
		id, class, d := l.newID(), "calendar-read", 750*time.Millisecond
		if n%2 == 0 {
			class, d = "availability", 2*time.Second
		}
		l.f.record.Line("client sends id=%s class=%s d=%dms", id, class, d.Milliseconds())
		a, err := pool.Do(standin.Select("n"+id[:3], id, class, d), d+500*time.Millisecond)
		l.mu.Lock()
		l.sent++
		switch {
		case err != nil:
			l.unanswered++
			l.f.record.Line("client id=%s: %v", id, err)
		case a.Code != "":
			l.failed++
			l.f.record.Line("client id=%s gets %v", id, a)
		default:
			l.settled++
			l.f.record.Line("client id=%s gets its answer", id)
		}
		l.mu.Unlock()
		if ms, err := strconv.Atoi(a.Detail); err == nil { // the sentry has said when to come again
			time.Sleep(time.Duration(ms) * time.Millisecond)
		}
	}
}

// badClient sends several commands at once, reads the answers and closes.
func (l *load) badClient() {
	for !l.over() {
		l.await(10 * time.Second)
		c, err := standin.Dial(l.sentry.Address)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		var statements []string
		for range commands {
			id := l.newID()
			l.f.record.Line("bad client sends id=%s among %d commands", id, commands)
			statements = append(statements, standin.Select("n"+id[:3], id, "availability", 2500*time.Millisecond))
		}
		c.Many(statements, 4*time.Second)
		c.Close()
		l.mu.Lock()
		l.badSent += commands
		l.mu.Unlock()
	}
}

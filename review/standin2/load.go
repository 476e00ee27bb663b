package main

import (
	"sync"
	"time"
)

// slack is how much longer each time limit is on sockets (PROTOCOL).
const slack = 50 * time.Millisecond

// ask sends one request of a client and records what it got.
func ask(e *env, s *sentry, class, text, id string, patience time.Duration) answer {
	e.rec.line("client asks %s: %s class %s", s.name, id, class)
	a := s.clients.do(text, patience)
	e.rec.line("client of %s: %s %v after %.3f s", s.name, id, a, a.took.Seconds())
	return a
}

// load calls ask at a rate for each sentry, at random times, for the length of the case. It returns the number of calls,
// after all have ended.
func load(e *env, d *deployment, rate float64, ask func(s *sentry)) int {
	var group sync.WaitGroup
	var mu sync.Mutex
	total := 0
	end := time.Now().Add(e.length)
	for _, s := range d.sentries {
		group.Go(func() {
			var calls sync.WaitGroup
			defer calls.Wait()
			for time.Now().Before(end) {
				time.Sleep(e.exp(time.Duration(float64(time.Second) / rate)))
				mu.Lock()
				total++
				mu.Unlock()
				calls.Go(func() { ask(s) })
			}
		})
	}
	group.Wait()
	return total
}

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases[9] = playOutage }

// playOutage: discovery is down for 8 s: its agents are silent, and a call that has fallen silent stays so. What the agents get
// at the return, the drain of four workers, counts as told at once.
func playOutage(e *env) (broken int, err error) {
	const (
		sentries    = 24
		servers     = 13
		drained     = 4
		ratePerNode = 14.0
		startSpread = 150 * time.Millisecond // between the starts of two sentries
		downAt      = 10 * time.Second
		downFor     = 8 * time.Second
		grace       = 500 * time.Millisecond
	)
	e.length = min(e.length, 30*time.Second)
	var mu sync.Mutex
	told := map[string]time.Duration{} // when a worker's drain was told, by id
	var list []entry
	for i := range servers {
		w, err := newWorker(fmt.Sprintf("s-%08x", 0x5be2a000+i), 41)
		if err != nil {
			return 0, err
		}
		defer w.close()
		w.serve = func(c *workerConn, s statement) {
			came := e.rec.now()
			mu.Lock()
			from, drains := told[w.id]
			bad := drains && came > from+grace+slack
			if bad {
				broken++
			}
			mu.Unlock()
			e.rec.lineAt(came, "%s got %s class %s conn %d, drains %v", w.id, s.id, s.class, c.number, drains)
			if bad {
				e.rec.line("BROKEN %s got %s %.3f s after its drain was told", w.id, s.id, (came - from).Seconds())
			}
			if drains {
				c.write(errorAnswer("53300"))
				return
			}
			if !c.sleep(e.exp(35*time.Millisecond) + 5*time.Millisecond) {
				return
			}
			c.write(valueAnswer("v-"+s.id, "util=0.4,queue=0,qps=25", "SELECT 1"))
		}
		list = append(list, entry{ID: w.id, Address: w.address(), Zone: "oslo-room", Kind: []string{"std-3c", "slow-3c"}[i%3/2],
			Cell: i / 4, Lifecycle: "in_service", Weight: 1, Build: 41})
		go w.run()
	}
	p, err := newPlatform(e.rec, news{Image: 41, Ring: 2, Progress: "stable", Ceiling: 1}, time.Minute, list)
	if err != nil {
		return 0, err
	}
	defer p.ln.Close()
	d := &deployment{env: e, p: p, settings: bookingSettings(sentries), limits: map[string]any{"cores": 0.5, "memory_mb": 128, "sockets": 512},
		spread: startSpread}
	defer d.stop()
	if err := d.start(sentries); err != nil {
		return 0, err
	}
	go func() {
		time.Sleep(downAt)
		if e.trouble {
			e.rec.line("discovery is down")
			p.setDown(true)
			time.Sleep(downFor)
		}
		fresh := append([]entry(nil), list...)
		mu.Lock()
		for i := range drained {
			fresh[i].Lifecycle = "terminating"
			told[fresh[i].ID] = e.rec.now()
		}
		mu.Unlock()
		p.setDown(false)
		p.setEntries(fresh)
		e.rec.line("discovery is up and tells that %d workers drain", drained)
	}()
	total := load(e, d, ratePerNode, func(s *sentry) {
		id, name := newID(), fmt.Sprintf("%016x", uint64(e.intn(10000)))
		class, patience := "calendar-read", 750*time.Millisecond
		if e.chance(0.45) {
			class, patience = "availability", 2500*time.Millisecond
		}
		ask(e, s, class, selectText(name, id, class, patience), id, patience)
	})
	e.rec.line("%d requests sent", total)
	return broken, nil
}

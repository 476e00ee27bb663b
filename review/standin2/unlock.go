package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases[6] = playUnlock }

// unlockSettings are those of a small deployment as radl-muenchen: a keyed class whose repeats the workers drop for 1.2 s,
// no second copies, no probes, no messages.
func unlockSettings() map[string]any {
	class := func(name string, goal, deadline int, repeat string, value float64) map[string]any {
		return map[string]any{"name": name, "goalTime": goal * 1000, "deadline": deadline * 1000, "repeat": repeat, "group": "all",
			"memorySpan": 1200000, "stream": false, "value": value, "lateValue": 0}
	}
	return map[string]any{"balancers": 8, "discovery": "push", "callers": map[string]any{"marksRetry": false},
		"caps": map[string]any{"cancel": true, "connIdle": 30000000, "connectTimeout": 250000, "cpuUsPerS": 80000, "maxAttempts": 5,
			"maxOpen": 24000, "maxRetryAfter": 1000000, "mayDuplicate": false, "peers": false, "probes": false, "retryAfter": true,
			"streamsPerConn": 1},
		"classes": []any{class("map-view", 600, 2000, "idempotent", 1), class("ride-status", 600, 2500, "idempotent", 2),
			class("unlock", 600, 2000, "deduplicated", 5)},
		"familyInfo": map[string]any{"ayesNeeded": 4, "noesNeeded": 2, "bake": 2000000, "callTimeout": 1200000, "callsPerS": 100,
			"countedOver": 4000000, "guardedStages": 0, "harmPrice": 3, "oneWay": false, "per": "all", "replaceMode": "rolling",
			"reportedShare": 0.3, "spareTries": 3, "stageCap": []any{0.16, 0.5, 1, 1}, "staleBuildPrice": 0.45, "step": 0,
			"steps": []any{0.08, 0.25, 0.6, 1}, "tallyEvery": 0, "tallySample": 0, "toldEvery": 6000000, "voteMode": "majority",
			"voteTtl": 10000000, "votesToHold": 0, "warmKeys": false},
		"localities": []any{"keller-1"}, "locality": "keller-1", "overShareWorth": 0.1, "realms": []any{},
		"report": map[string]any{"fields": []any{}, "via": "silent"},
		"rules": map[string]any{"answerSlack": 20000, "askWithin": 10000000, "cold": 4100000, "coldFrom": 0.4, "drainGrace": 2000000,
			"fallMultiple": 2.5, "tipAfter": 3000000},
		"skus": []any{"box-std", "box-slow"}, "stages": []any{"app-tier"},
		"tariffs": map[string]any{"crossZone": 0, "handshake": 0.03, "lateFail": 0.05, "connection": 0.02, "waste": 0.05},
		"tick":    5000, "tier": 0, "weights": "rough", "workload": "rollout", "worthBy": "work"}
}

// unlockMemory is what the workers of the group remember together: a repeat of a key is dropped for `window` from the time
// at which the first attempt that ran was sent.
type unlockMemory struct {
	mu    sync.Mutex
	first map[string]time.Duration // when the first attempt of a key that ran came, by key
	lastW map[string]string
	runs  map[string]int
}

const (
	unlockWindow = 1200 * time.Millisecond // classes[].memorySpan
	slack        = 50 * time.Millisecond   // each time limit is 50 ms longer on sockets
)

// playUnlock: a door is unlocked by a keyed request. The network loses some answers and resets the connection about a second
// later; some connections to workers come up late. No request may be sent again after the workers' memory has ended.
func playUnlock(e *env) (broken int, err error) {
	const (
		sentries    = 8
		servers     = 20
		lostShare   = 0.1 // of the answers, on connections that are reset later
		lateShare   = 0.5 // of the new connections
		ratePerNode = 3.0 // requests a second of each sentry
	)
	memory := &unlockMemory{first: map[string]time.Duration{}, lastW: map[string]string{}, runs: map[string]int{}}
	var mu sync.Mutex
	var workers []*worker
	var list []entry
	for i := range servers {
		w, err := newWorker(fmt.Sprintf("s-%08x", 0x5be2a000+i), 41)
		if err != nil {
			return 0, err
		}
		defer w.close()
		w.connDelay = func() time.Duration {
			if e.trouble && e.chance(lateShare) {
				return e.between(190*time.Millisecond, 240*time.Millisecond)
			}
			return e.between(4*time.Millisecond, 12*time.Millisecond) // the handshake
		}
		w.serve = func(c *workerConn, s statement) {
			came := e.rec.now()
			e.rec.lineAt(came, "%s got %s class %s key %s d=%d conn %d", w.id, s.id, s.class, s.key, s.left.Milliseconds(), c.number)
			lost := e.trouble && e.chance(lostShare)
			resetAfter := e.between(1040*time.Millisecond, 1075*time.Millisecond)
			tag := "SELECT 1"
			if s.class == "unlock" {
				tag = "INSERT 0 1"
				memory.mu.Lock()
				first, known := memory.first[s.key]
				switch {
				case !known:
					memory.first[s.key], memory.lastW[s.key], memory.runs[s.key] = came, w.id, 1
					e.rec.line("%s runs %s: key %s for the first time", w.id, s.id, s.key)
				case came-first <= unlockWindow+slack:
					e.rec.line("%s drops %s: key %s again after %.3f s", w.id, s.id, s.key, (came - first).Seconds())
				default:
					memory.runs[s.key]++
					mu.Lock()
					broken++
					mu.Unlock()
					e.rec.line("BROKEN %s runs %s AGAIN: key %s came again after %.3f s, past its %.3f s; %s ran it first", w.id, s.id, s.key,
						(came - first).Seconds(), (unlockWindow + slack).Seconds(), memory.lastW[s.key])
				}
				memory.mu.Unlock()
			}
			work := e.exp(80 * time.Millisecond)
			if lost { // the work is done and its answer is lost; the connection is reset under the request
				if c.sleep(resetAfter) {
					e.rec.line("%s: answer of %s lost, connection reset", w.id, s.id)
					reset(c.Conn)
				}
				return
			}
			if !c.sleep(work) {
				return
			}
			c.write(valueAnswer("v-"+s.id, "", tag))
		}
		workers = append(workers, w)
		list = append(list, entry{ID: w.id, Address: w.address(), Zone: "keller-1", Kind: []string{"box-std", "box-slow"}[i%3/2],
			Cell: i / 5, Lifecycle: "in_service", Weight: 1, Build: 41})
		go w.run()
	}
	p, err := newPlatform(e.rec, news{Image: 41, Ring: 3, Progress: "stable", Ceiling: 1}, time.Minute, list)
	if err != nil {
		return 0, err
	}
	defer p.ln.Close()
	d := &deployment{env: e, p: p, settings: unlockSettings(), limits: map[string]any{"cores": 0.5, "memory_mb": 128, "sockets": 512}}
	defer d.stop()
	if err := d.start(sentries); err != nil {
		return 0, err
	}
	counts := load(e, d, ratePerNode, func(s *sentry) {
		id, name := newID(), fmt.Sprintf("%016x", uint64(e.intn(1<<30)))
		switch x := e.intn(100); {
		case x < 43:
			ask(e, s, "map-view", selectText(name, id, "map-view", 2*time.Second), id, 2*time.Second)
		case x < 72:
			ask(e, s, "ride-status", selectText(name, id, "ride-status", 2500*time.Millisecond), id, 2500*time.Millisecond)
		default:
			ask(e, s, "unlock", insertText(name, id, "unlock", 2*time.Second, "k"+id), id, 2*time.Second)
		}
	})
	e.rec.line("%d requests sent", counts)
	return broken, nil
}

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

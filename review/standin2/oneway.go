package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases[8] = playOneWay }

// bookingSettings are those of a small deployment as samspill-oslo: the cap counts over 6 s, and a key that the new release
// has answered goes to no earlier one.
func bookingSettings(sentries int) map[string]any {
	class := func(name string, goal, deadline, memory int, repeat string, value float64) map[string]any {
		return map[string]any{"name": name, "goalTime": goal * 1000, "deadline": deadline * 1000, "repeat": repeat, "group": "all",
			"memorySpan": memory * 1000, "stream": false, "value": value, "lateValue": 0}
	}
	return map[string]any{"balancers": sentries, "discovery": "push", "callers": map[string]any{"marksRetry": false},
		"caps": map[string]any{"cancel": true, "connIdle": 30000000, "connectTimeout": 250000, "cpuUsPerS": 50000, "maxAttempts": 5,
			"maxOpen": 24000, "maxRetryAfter": 500000, "mayDuplicate": true, "peers": true, "probes": true, "retryAfter": true,
			"streamsPerConn": 1},
		"classes": []any{class("calendar-read", 300, 750, 5000, "idempotent", 1), class("availability", 600, 2500, 5000, "idempotent", 1),
			class("room-booking", 600, 2000, 2000, "deduplicated", 5), class("member-notice", 750, 2000, 5000, "at_most_once", 2)},
		"familyInfo": map[string]any{"ayesNeeded": 1, "noesNeeded": 1, "bake": 120000000, "callTimeout": 1200000, "callsPerS": 200,
			"countedOver": 6000000, "guardedStages": 0, "harmPrice": 5, "oneWay": true, "per": "all", "replaceMode": "rolling",
			"reportedShare": 0.3, "spareTries": 3, "stageCap": []any{0.12, 0.42, 1}, "staleBuildPrice": 0.45, "step": 0,
			"steps": []any{0.1, 0.35, 1}, "tallyEvery": 0, "tallySample": 0, "toldEvery": 6000000, "voteMode": "single",
			"voteTtl": 4000000, "votesToHold": 0, "warmKeys": true},
		"localities": []any{"oslo-room"}, "locality": "oslo-room", "overShareWorth": 0.1, "realms": []any{},
		"report": map[string]any{"fields": []any{"cpu_share", "pending", "served_ps"}, "via": "piggyback"},
		"rules": map[string]any{"answerSlack": 20000, "askWithin": 10000000, "cold": 4700000, "coldFrom": 0.3, "drainGrace": 500000,
			"fallMultiple": 2, "tipAfter": 1500000},
		"skus": []any{"std-3c", "slow-3c"}, "stages": []any{"booking-nodes"},
		"tariffs": map[string]any{"crossZone": 0, "handshake": 0, "lateFail": 0.08, "peer": 0.01, "probe": 0.01, "waste": 0.03},
		"tick":    5000, "tier": 0, "weights": "rough", "workload": "rollout", "worthBy": "work"}
}

// sentryKey is a key as one sentry has seen it.
type sentryKey struct{ sentry, name string }

// playOneWay: release 42 is on trial beside 41. A client's app asks for the calendar and for what is available of the same
// booking at the same time. Some connections to workers come up late. A key that 42 has answered through a sentry must not go
// to 41 through it.
func playOneWay(e *env) (broken int, err error) {
	const (
		sentries    = 8
		servers     = 13
		newServers  = 5   // 35% of them
		lateShare   = 0.5 // of the new connections
		ratePerNode = 2.0 // bookings a second at each sentry
		counts      = 150 * time.Millisecond
	)
	var mu sync.Mutex
	askedAt := map[string]string{}            // the sentry that a request was sent to, by id
	answered := map[sentryKey]time.Duration{} // when 42 first wrote a good answer for a key
	answeredBy := map[sentryKey]string{}      // the request that it answered
	var p *platform
	var list []entry
	for i := range servers {
		build := 41
		if i < newServers {
			build = 42
		}
		w, err := newWorker(fmt.Sprintf("s-%08x", 0x5be2a000+i), build)
		if err != nil {
			return 0, err
		}
		defer w.close()
		w.connDelay = func() time.Duration {
			if e.trouble && e.chance(lateShare) {
				return e.between(205*time.Millisecond, 245*time.Millisecond)
			}
			return e.between(time.Millisecond, 3*time.Millisecond) // the handshake
		}
		w.serve = func(c *workerConn, s statement) {
			came := e.rec.at(s.came)
			n := p.current()
			mu.Lock()
			key := sentryKey{askedAt[s.id], s.name}
			first, known := answered[key]
			bad := build == 41 && known && came > first+counts && n.Image == 42 && n.Progress == "canary"
			if bad {
				broken++
			}
			by := answeredBy[key]
			mu.Unlock()
			e.rec.lineAt(came, "%s (build %d) got %s of %s class %s name %s conn %d", w.id, build, s.id, key.sentry, s.class, s.name, c.number)
			if bad {
				e.rec.line("BROKEN %s (build %d) got %s for the name %s, which build 42 answered through %s %.3f s before (request %s)", w.id, build,
					s.id, s.name, key.sentry, (came - first).Seconds(), by)
			}
			if !c.sleep(e.exp(35*time.Millisecond) + 5*time.Millisecond) {
				return
			}
			if c.write(valueAnswer("v-"+s.id, "util=0.5,queue=0,qps=25", "SELECT 1")) != nil || build != 42 {
				return
			}
			mu.Lock()
			if _, known := answered[key]; !known {
				answered[key], answeredBy[key] = e.rec.now(), s.id
			}
			mu.Unlock()
			e.rec.line("%s (build 42) answered %s of %s name %s", w.id, s.id, key.sentry, s.name)
		}
		list = append(list, entry{ID: w.id, Address: w.address(), Zone: "oslo-room", Kind: []string{"std-3c", "slow-3c"}[i%3/2],
			Cell: i / 4, Lifecycle: "in_service", Weight: 1, Build: build})
		go w.run()
	}
	p, err = newPlatform(e.rec, news{Image: 42, Ring: 1, Progress: "canary", Ceiling: 0.42}, time.Second, list)
	if err != nil {
		return 0, err
	}
	defer p.ln.Close()
	d := &deployment{env: e, p: p, settings: bookingSettings(sentries), limits: map[string]any{"cores": 0.5, "memory_mb": 128, "sockets": 512}}
	defer d.stop()
	if err := d.start(sentries); err != nil {
		return 0, err
	}
	total := load(e, d, ratePerNode, func(s *sentry) {
		name := fmt.Sprintf("%016x", uint64(e.intn(10000)))
		var both sync.WaitGroup
		for _, class := range []string{"calendar-read", "availability"} {
			both.Go(func() {
				patience := map[string]time.Duration{"calendar-read": 750 * time.Millisecond, "availability": 2500 * time.Millisecond}[class]
				id := newID()
				mu.Lock()
				askedAt[id] = s.name
				mu.Unlock()
				ask(e, s, class, selectText(name, id, class, patience), id, patience)
			})
		}
		both.Wait()
	})
	e.rec.line("%d bookings, two requests each", total)
	return broken, d.allRun()
}

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases[7] = playSlowDiscovery }

// depositSettings are those of a small deployment as bergen-konsert: discovery answers only when asked, no probes and no
// messages, two data centres.
func depositSettings(sentries int) map[string]any {
	class := func(name string, goal, deadline, memory int, repeat string, value float64) map[string]any {
		return map[string]any{"name": name, "goalTime": goal * 1000, "deadline": deadline * 1000, "repeat": repeat, "group": "all",
			"memorySpan": memory * 1000, "stream": false, "value": value, "lateValue": 0.1}
	}
	return map[string]any{"balancers": sentries, "discovery": "ask", "callers": map[string]any{"marksRetry": false},
		"caps": map[string]any{"cancel": true, "connIdle": 30000000, "connectTimeout": 250000, "cpuUsPerS": 80000, "maxAttempts": 6,
			"maxOpen": 24000, "maxRetryAfter": 1000000, "mayDuplicate": true, "peers": false, "probes": false, "retryAfter": true,
			"streamsPerConn": 1},
		"classes": []any{class("slot-check", 600, 2000, 5000, "idempotent", 3), class("season-export", 1000, 3000, 5000, "idempotent", 1),
			class("slot-hold", 500, 2000, 4000, "deduplicated", 3), class("deposit-pay", 600, 2500, 5000, "at_most_once", 3)},
		"familyInfo": map[string]any{"ayesNeeded": 1, "noesNeeded": 1, "bake": 1000000, "callTimeout": 2000000, "callsPerS": 25,
			"countedOver": 4000000, "guardedStages": 1, "harmPrice": 3, "oneWay": false, "per": "per_lane", "replaceMode": "side_by_side",
			"reportedShare": 0, "spareTries": 3, "stageCap": []any{0.036, 0.14, 0.48, 1}, "staleBuildPrice": 0.35, "step": 0,
			"steps": []any{0.03, 0.12, 0.4, 1}, "tallyEvery": 0, "tallySample": 0, "toldEvery": 2000000, "voteMode": "single",
			"voteTtl": 10000000, "votesToHold": 0, "warmKeys": false},
		"localities": []any{"bergen-sentrum", "bergen-aasane"}, "locality": "bergen-sentrum", "overShareWorth": 0.05, "realms": []any{},
		"report": map[string]any{"fields": []any{"served_ps", "svc_ms", "cpu_share"}, "via": "piggyback"},
		"rules": map[string]any{"answerSlack": 20000, "askWithin": 10000000, "cold": 5000000, "coldFrom": 0.33, "drainGrace": 250000,
			"fallMultiple": 3, "tipAfter": 1000000},
		"skus": []any{"std-4core"}, "stages": []any{"booking-vest"},
		"tariffs": map[string]any{"crossZone": 0.12, "handshake": 0, "lateFail": 0.03, "waste": 0.03},
		"tick":    5000, "tier": 0, "weights": "nominal", "workload": "rollout", "worthBy": "work"}
}

// playSlowDiscovery: discovery becomes slow, it answers each call some seconds late; then a worker drains. The sentries count
// as told at the latest 6 s after discovery had it.
func playSlowDiscovery(e *env) (broken int, err error) {
	const (
		sentries    = 3
		servers     = 15
		ratePerNode = 25.0
		slowAt      = 8 * time.Second
		slowBy      = 3500 * time.Millisecond
		drainAt     = 15 * time.Second
		toldWithin  = 6 * time.Second
		grace       = 250 * time.Millisecond
	)
	e.length = min(e.length, 45*time.Second)
	zones := []string{"bergen-sentrum", "bergen-aasane"}
	var mu sync.Mutex
	drainsFrom := map[string]time.Duration{} // when a worker counts as told to drain, by id
	var list []entry
	for i := range servers {
		w, err := newWorker(fmt.Sprintf("b-%08x", 0x16d2d000+i), 41)
		if err != nil {
			return 0, err
		}
		defer w.close()
		w.serve = func(c *workerConn, s statement) {
			came := e.rec.at(s.came)
			mu.Lock()
			from, drains := drainsFrom[w.id]
			bad := drains && came > from+toldWithin+grace+slack
			if bad {
				broken++
			}
			mu.Unlock()
			e.rec.lineAt(came, "%s got %s class %s conn %d, drains %v", w.id, s.id, s.class, c.number, drains)
			if bad {
				e.rec.line("BROKEN %s got %s %.3f s after discovery had its drain", w.id, s.id, (came - from).Seconds())
			}
			if drains {
				c.write(errorAnswer("53300"))
				return
			}
			if !c.sleep(e.exp(50*time.Millisecond) + 20*time.Millisecond) {
				return
			}
			tag := "SELECT 1"
			if s.class == "slot-hold" || s.class == "deposit-pay" {
				tag = "INSERT 0 1"
			}
			c.write(valueAnswer("v-"+s.id, "qps=25,latency_ms=60,util=0.4", tag))
		}
		list = append(list, entry{ID: w.id, Address: w.address(), Zone: zones[i%2], Kind: "std-4core", Cell: i / 5, Lifecycle: "in_service",
			Weight: 1, Build: 41})
		go w.run()
	}
	p, err := newPlatform(e.rec, news{Image: 41, Ring: 3, Progress: "stable", Ceiling: 1}, time.Minute, list)
	if err != nil {
		return 0, err
	}
	defer p.ln.Close()
	var isSlow atomic.Bool
	p.mu.Lock()
	p.listDelay = func() time.Duration {
		if isSlow.Load() {
			return slowBy
		}
		return 0
	}
	p.mu.Unlock()
	d := &deployment{env: e, p: p, settings: depositSettings(sentries), limits: map[string]any{"cores": 0.5, "memory_mb": 128, "sockets": 512},
		tune: func(i int, settings map[string]any) { settings["locality"] = zones[i%2] }}
	defer d.stop()
	if err := d.start(sentries); err != nil {
		return 0, err
	}
	go func() {
		time.Sleep(slowAt)
		if e.trouble {
			e.rec.line("discovery is slow from now on: it answers each call %v late", slowBy)
			isSlow.Store(true)
		}
		time.Sleep(drainAt - slowAt)
		fresh := append([]entry(nil), list...)
		fresh[0].Lifecycle, fresh[1].Lifecycle = "terminating", "terminating"
		mu.Lock()
		for _, x := range fresh[:2] {
			drainsFrom[x.ID] = e.rec.now()
		}
		mu.Unlock()
		e.rec.line("%s and %s drain: discovery has it", fresh[0].ID, fresh[1].ID)
		p.setEntries(fresh)
	}()
	total := load(e, d, ratePerNode, func(s *sentry) {
		id, name := newID(), fmt.Sprintf("%016x", uint64(e.intn(10000)))
		class, text, patience := "slot-check", "", 2*time.Second
		switch x := e.intn(100); {
		case x < 58:
			text = selectText(name, id, class, patience)
		case x < 76:
			class, patience = "season-export", 3*time.Second
			text = selectText(name, id, class, patience)
		case x < 89:
			class = "slot-hold"
			text = insertText(name, id, class, patience, "k"+id)
		default:
			class, patience = "deposit-pay", 2500*time.Millisecond
			text = insertText(name, id, class, patience, "")
		}
		ask(e, s, class, text, id, patience)
	})
	e.rec.line("%d requests sent", total)
	return broken, d.allRun()
}

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases[7] = playSecondAnswers }

// paymentSettings are those of a small deployment as trondheim-betaling: three zones, balances that may be asked for again
// and payments that must never run twice.
func paymentSettings() map[string]any {
	class := func(name string, goal, deadline int, repeat string, value float64) map[string]any {
		return map[string]any{"name": name, "goalTime": goal * 1000, "deadline": deadline * 1000, "repeat": repeat, "group": "all",
			"memorySpan": 5000000, "stream": false, "value": value, "lateValue": 0.2}
	}
	return map[string]any{"balancers": 3, "discovery": "push", "callers": map[string]any{"marksRetry": false},
		"caps": map[string]any{"cancel": true, "connIdle": 30000000, "connectTimeout": 250000, "cpuUsPerS": 80000, "maxAttempts": 6,
			"maxOpen": 24000, "maxRetryAfter": 1000000, "mayDuplicate": true, "peers": false, "probes": true, "retryAfter": true,
			"streamsPerConn": 1},
		"classes": []any{class("saldo", 1200, 4000, "idempotent", 2), class("betaling", 2000, 6000, "at_most_once", 3)},
		"familyInfo": map[string]any{"ayesNeeded": 1, "noesNeeded": 1, "bake": 2000000, "callTimeout": 2000000, "callsPerS": 50,
			"countedOver": 4000000, "guardedStages": 0, "harmPrice": 3, "oneWay": true, "per": "all", "replaceMode": "rolling",
			"reportedShare": 0.15, "spareTries": 1, "stageCap": []any{0.056, 0.14, 0.35, 0.77, 1}, "staleBuildPrice": 0.5, "step": 0,
			"steps": []any{0.04, 0.1, 0.25, 0.55, 1}, "tallyEvery": 0, "tallySample": 0, "toldEvery": 4000000, "voteMode": "single",
			"voteTtl": 10000000, "votesToHold": 0, "warmKeys": false},
		"localities": []any{"tiller", "heimdal", "lade"}, "locality": "tiller", "overShareWorth": 0.1, "realms": []any{},
		"report": map[string]any{"fields": []any{}, "via": "silent"},
		"rules": map[string]any{"answerSlack": 20000, "askWithin": 10000000, "cold": 3700000, "coldFrom": 0.31, "drainGrace": 1000000,
			"fallMultiple": 3, "tipAfter": 3000000},
		"skus": []any{"liten"}, "stages": []any{"kasse"},
		"tariffs": map[string]any{"crossZone": 0.01, "handshake": 0, "lateFail": 0.03, "probe": 0.01, "waste": 0.08},
		"tick":    5000, "tier": 0, "weights": "rough", "workload": "rollout", "worthBy": "request"}
}

// playSecondAnswers: workers send some answers twice, the second copy some milliseconds behind the first, if nothing else is
// waiting on the connection then. No client may get the answer to another's request.
func playSecondAnswers(e *env) (broken int, err error) {
	const (
		sentries    = 3
		servers     = 15
		secondShare = 0.3  // of the answers come twice
		ratePerNode = 20.0 // requests a second of each sentry
	)
	zones := []string{"tiller", "heimdal", "lade"}
	var mu sync.Mutex
	zoneOf := map[string]string{} // the zone of the sentry that a request was sent to, by id
	var list []entry
	for i := range servers {
		w, err := newWorker(fmt.Sprintf("k-%08x", 0x3c0d4000+i), 41)
		if err != nil {
			return 0, err
		}
		defer w.close()
		w.serve = func(c *workerConn, s statement) {
			mu.Lock()
			crosses := zoneOf[s.id] != zones[i%3]
			mu.Unlock()
			way := e.between(100*time.Microsecond, 300*time.Microsecond)
			if crosses { // one way between data centres
				way = e.between(1400*time.Microsecond, 2600*time.Microsecond)
			}
			time.Sleep(time.Until(s.came.Add(way)))
			c.waiting.Add(1)
			e.rec.line("%s got %s class %s conn %d", w.id, s.id, s.class, c.number)
			if !c.sleep(e.exp(60*time.Millisecond) + 40*time.Millisecond) {
				return
			}
			text := valueAnswer("v-"+s.id, "", map[string]string{"saldo": "SELECT 1", "betaling": "INSERT 0 1"}[s.class])
			c.waiting.Add(-1)
			e.rec.line("%s answered %s conn %d", w.id, s.id, c.number)
			time.AfterFunc(way, func() { c.write(text) })
			if !e.trouble || !e.chance(secondShare) {
				return
			}
			time.AfterFunc(e.between(3*time.Millisecond, 14*time.Millisecond), func() {
				if c.waiting.Load() == 0 {
					e.rec.line("%s answered %s a second time, nothing else waiting, conn %d", w.id, s.id, c.number)
					time.AfterFunc(way, func() { c.write(text) })
				}
			})
		}
		list = append(list, entry{ID: w.id, Address: w.address(), Zone: zones[i%3], Kind: "liten", Cell: i / 5, Lifecycle: "in_service",
			Weight: 1, Build: 41})
		go w.run()
	}
	p, err := newPlatform(e.rec, news{Image: 41, Ring: 4, Progress: "stable", Ceiling: 1}, time.Minute, list)
	if err != nil {
		return 0, err
	}
	defer p.ln.Close()
	d := &deployment{env: e, p: p, settings: paymentSettings(), limits: map[string]any{"cores": 0.5, "memory_mb": 128, "sockets": 512},
		tune: func(i int, settings map[string]any) { settings["locality"] = zones[i%3] }}
	defer d.stop()
	if err := d.start(sentries); err != nil {
		return 0, err
	}
	total := load(e, d, ratePerNode, func(s *sentry) {
		id, name := newID(), fmt.Sprintf("%016x", uint64(e.intn(2000)))
		class, text, patience := "saldo", selectText(name, id, "saldo", 4*time.Second), 4*time.Second
		if e.chance(0.42) {
			class, patience = "betaling", 6*time.Second
			text = insertText(name, id, class, patience, "")
		}
		mu.Lock()
		zoneOf[id] = zones[int(s.name[1]-'1')%3]
		mu.Unlock()
		if a := ask(e, s, class, text, id, patience); a.kind == "served" && a.value != "v-"+id {
			e.rec.line("BROKEN request %s got %s", id, a.value)
			mu.Lock()
			broken++
			mu.Unlock()
		}
	})
	e.rec.line("%d requests sent", total)
	return broken, nil
}

package standin

import (
	"fmt"
	"time"
)

// object is a JSON object.
type object = map[string]any

// document returns a start document with the given settings.
func document(p *Platform, news News, memory, sockets int, settings object) object {
	return object{
		"name": "n0", "listen": FreeAddress(), "discovery": p.Discovery, "seed": fmt.Sprintf("%x", time.Now().UnixNano()),
		"limits":   object{"cores": 1.0, "memory_mb": memory, "sockets": sockets},
		"platform": object{"address": p.Address, "news": news.Document()},
		"known":    p.Known(),
		"settings": settings,
	}
}

// class returns the settings of a class. Times are in microseconds.
func class(name, repeat string, aim, deadline, memory int, value float64) object {
	return object{"name": name, "goalTime": aim, "deadline": deadline, "repeat": repeat, "group": "all", "memorySpan": memory,
		"lateValue": 0.2, "stream": false, "value": value}
}

// BookingDocument returns the start document of a sentry of samspill-oslo: three sentries, one zone, releases in three steps
// with one-way keys.
func BookingDocument(p *Platform, news News, memory, sockets int) map[string]any {
	return document(p, news, memory, sockets, object{
		"balancers": 3, "index": 0, "discovery": "push", "weights": "rough",
		"caps": object{"cancel": true, "connIdle": 30000000, "connectTimeout": 250000, "maxAttempts": 5, "maxOpen": 20000,
			"maxRetryAfter": 500000, "mayDuplicate": true, "peers": false, "probes": true, "retryAfter": true},
		"classes": []any{class("calendar-read", "idempotent", 300000, 750000, 5000000, 1),
			class("availability", "idempotent", 600000, 2500000, 5000000, 1),
			class("room-booking", "deduplicated", 600000, 2000000, 2000000, 5),
			class("member-notice", "at_most_once", 750000, 2000000, 5000000, 2)},
		"familyInfo": object{"ayesNeeded": 1, "bake": 3000000, "callTimeout": 1200000, "callsPerS": 200, "countedOver": 6000000,
			"guardedStages": 0, "noesNeeded": 1, "oneWay": true, "per": "all", "replaceMode": "rolling", "spareTries": 3,
			"stageCap": []any{0.12, 0.42, 1.0}, "steps": []any{0.1, 0.35, 1.0}, "tallyEvery": 0, "tallySample": 0,
			"voteMode": "single", "voteTtl": 4000000, "warmKeys": true},
		"localities": []any{"oslo-room"}, "locality": "oslo-room", "skus": []any{"std-3c"},
		"report": object{"fields": []any{"cpu_share", "pending", "served_ps"}, "via": "piggyback"},
		"rules": object{"answerSlack": 20000, "askWithin": 10000000, "cold": 4700000, "coldFrom": 0.3, "drainGrace": 500000,
			"fallMultiple": 2, "tipAfter": 1500000},
		"tariffs": object{"crossZone": 0}, "tick": 5000, "worthBy": "work",
	})
}

// RideDocument returns the start document of a sentry of radl-muenchen, a customer of the standing test: three sentries, one
// zone, no second copies, and a keyed class whose keys are remembered for less time than its clients wait.
func RideDocument(p *Platform, news News) map[string]any {
	return document(p, news, 128, 512, object{
		"balancers": 3, "index": 0, "discovery": "push", "weights": "rough",
		"caps": object{"cancel": true, "connIdle": 30000000, "connectTimeout": 250000, "maxAttempts": 5, "maxOpen": 20000,
			"maxRetryAfter": 1000000, "mayDuplicate": false, "peers": false, "probes": false, "retryAfter": true},
		"classes": []any{class("map-view", "idempotent", 600000, 2000000, 5000000, 1),
			class("ride-status", "idempotent", 600000, 2500000, 5000000, 2),
			class("unlock", "deduplicated", 600000, 2000000, 1200000, 5)},
		"familyInfo": object{"ayesNeeded": 2, "bake": 2000000, "callTimeout": 1200000, "callsPerS": 100, "countedOver": 4000000,
			"guardedStages": 0, "noesNeeded": 1, "oneWay": false, "per": "all", "replaceMode": "rolling", "spareTries": 3,
			"stageCap": []any{0.096, 0.3, 0.72, 1.0}, "steps": []any{0.08, 0.25, 0.6, 1.0}, "tallyEvery": 0, "tallySample": 0,
			"voteMode": "majority", "voteTtl": 10000000},
		"localities": []any{"keller-1"}, "locality": "keller-1", "skus": []any{"box-std"},
		"report": object{"fields": []any{}, "via": "silent"},
		"rules": object{"answerSlack": 20000, "askWithin": 10000000, "cold": 4100000, "coldFrom": 0.4, "drainGrace": 2000000,
			"fallMultiple": 2.5, "tipAfter": 3000000},
		"tariffs": object{"crossZone": 0}, "tick": 5000, "worthBy": "work",
	})
}

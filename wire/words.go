package wire

import (
	"strconv"

	"dunegrade/logic"
)

// unit tells how a setting's value is converted.
type unit int

const (
	plain unit = iota
	micros
)

type word struct {
	ours string
	unit unit
}

// words gives our name for each setting of the wire. Places in lists are left out of the path. What is not
// here keeps the wire's name and value, so that new settings do no harm.
var words = map[string]word{
	"balancers":                {"sentries", plain},
	"index":                    {"index", plain},
	"discovery":                {"discovery", plain},
	"weights":                  {"weights", plain},
	"caps.cancel":              {"allow.cancel", plain},
	"caps.maxAttempts":         {"allow.submissions", plain},
	"caps.mayDuplicate":        {"allow.copies", plain},
	"caps.peers":               {"allow.messages", plain},
	"caps.retryAfter":          {"allow.retry-after", plain},
	"caps.maxRetryAfter":       {"allow.longest-retry-after", micros},
	"caps.connectTimeout":      {"workers.connect-timeout", micros},
	"caps.connIdle":            {"workers.idle", micros},
	"familyInfo.voteMode":      {"release.votes", plain},
	"familyInfo.bake":          {"release.bake", micros},
	"familyInfo.noesNeeded":    {"release.votes-back", plain},
	"familyInfo.callTimeout":   {"release.vote-timeout", micros},
	"familyInfo.callsPerS":     {"release.votes-per-second", plain},
	"familyInfo.countedOver":   {"release.window", micros},
	"familyInfo.spareTries":    {"release.free", plain},
	"familyInfo.stageCap":      {"release.caps", plain},
	"familyInfo.steps":         {"release.shares", plain},
	"familyInfo.guardedStages": {"release.guarded-stages", plain},
	"familyInfo.oneWay":        {"release.one-way", plain},
	"familyInfo.per":           {"release.counts", plain},
	"familyInfo.replaceMode":   {"release.style", plain},
	"familyInfo.tallyEvery":    {"release.tally-every", micros},
	"familyInfo.tallySample":   {"release.tally-sample", plain},
	"rules.answerSlack":        {"rules.answer-slack", micros},
	"rules.askWithin":          {"rules.ask-within", micros},
	"rules.coldFrom":           {"rules.cold-from", plain},
	"rules.cold":               {"rules.cold", micros},
	"rules.drainGrace":         {"rules.drain-grace", micros},
	"rules.fallMultiple":       {"rules.fall-multiple", plain},
	"rules.tipAfter":           {"rules.fall-after", micros},
	"classes":                  {"products", plain},
	"classes.goalTime":         {"sla", micros},
	"classes.deadline":         {"expiry", micros},
	"classes.repeat":           {"effect", plain},
	"classes.group":            {"group", plain},
	"classes.memorySpan":       {"memory", micros},
	"classes.value":            {"revenue", plain},
	"classes.lateValue":        {"late-revenue", plain},
	"classes.name":             {"name", plain},
	"realms":                   {"customers", plain},
	"realms.quotaPerS":         {"quota", plain},
	"realms.share":             {"share", plain},
	"tariffs.crossZone":        {"price.cross-zone", plain},
	"tick":                     {"tick", micros},
	"worthBy":                  {"revenue-by", plain},
}

// values gives our word for values that are words of the wire.
var values = map[string]string{
	"idempotent": "inquiry-like", "deduplicated": "referenced", "at_most_once": "once-only",
	"per_lane": "product", "side_by_side": "beside", "rolling": "in-place",
}

var endings = map[int]logic.Ending{
	0: logic.OK, 1: logic.Cancelled, 4: logic.TimedOut, 8: logic.Rejected, 9: logic.Skipped, 10: logic.Disconnected,
	13: logic.ErrorResponse, 14: logic.ConnectFailed,
}

var states = map[string]logic.State{"up": logic.Up, "draining": logic.Draining, "removed": logic.Gone}

var modes = map[string]logic.ListMode{
	"update": logic.Changes, "replace": logic.Whole, "restored": logic.Restored, "unavailable": logic.ListUnavailable,
}

// flatten lays the settings out as one plain map from our names to values: numbers as float64 (times in
// nanoseconds), booleans and texts as they are. Lists get a name.N for each entry and a name.count.
func flatten(into map[string]any, ours, theirs string, value any) {
	u := plain
	if w, ok := words[theirs]; ok {
		u = w.unit
	}
	switch v := value.(type) {
	case map[string]any:
		for k, x := range v {
			t := join(theirs, k)
			o := join(ours, k)
			if w, ok := words[t]; ok {
				o = w.ours
				if ours != "" && theirs != "" && isList(theirs) {
					o = join(ours, w.ours)
				}
			}
			flatten(into, o, t, x)
		}
	case []any:
		into[ours+".count"] = float64(len(v))
		for i, x := range v {
			flatten(into, ours+"."+strconv.Itoa(i), theirs, x)
		}
	case float64:
		if u == micros {
			v *= 1000
		}
		into[ours] = v
	case string:
		if w, ok := values[v]; ok {
			v = w
		}
		into[ours] = v
	case bool:
		into[ours] = v
	}
}

func isList(theirs string) bool { return theirs == "classes" || theirs == "realms" }

func join(a, b string) string {
	if a == "" {
		return b
	}
	return a + "." + b
}

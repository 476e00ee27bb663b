package wire

import (
	"strconv"

	"dunegrade/logic"
)

// unit is the conversion that the value of a setting needs.
type unit int

const (
	unchanged unit = iota
	microseconds
)

// setting is the module's name of a setting, and the unit of its value on the wire.
type setting struct {
	name string
	unit unit
}

// settingNames gives the module's name for each setting on the wire, by its path without the indexes of lists. A setting
// that is not listed keeps its name and value, so that new ones do no harm.
var settingNames = map[string]setting{
	"balancers":                {"sentries", unchanged},
	"index":                    {"index", unchanged},
	"discovery":                {"discovery", unchanged},
	"weights":                  {"weights", unchanged},
	"caps.cancel":              {"allow.cancel", unchanged},
	"caps.maxAttempts":         {"allow.submissions", unchanged},
	"caps.mayDuplicate":        {"allow.copies", unchanged},
	"caps.peers":               {"allow.messages", unchanged},
	"caps.retryAfter":          {"allow.retry-after", unchanged},
	"caps.maxRetryAfter":       {"allow.longest-retry-after", microseconds},
	"caps.connectTimeout":      {"workers.connect-timeout", microseconds},
	"caps.connIdle":            {"workers.idle", microseconds},
	"familyInfo.voteMode":      {"release.votes", unchanged},
	"familyInfo.bake":          {"release.bake", microseconds},
	"familyInfo.noesNeeded":    {"release.votes-back", unchanged},
	"familyInfo.callTimeout":   {"release.vote-timeout", microseconds},
	"familyInfo.callsPerS":     {"release.votes-per-second", unchanged},
	"familyInfo.countedOver":   {"release.window", microseconds},
	"familyInfo.spareTries":    {"release.free", unchanged},
	"familyInfo.stageCap":      {"release.caps", unchanged},
	"familyInfo.steps":         {"release.shares", unchanged},
	"familyInfo.guardedStages": {"release.guarded-stages", unchanged},
	"familyInfo.oneWay":        {"release.one-way", unchanged},
	"familyInfo.per":           {"release.counts", unchanged},
	"familyInfo.replaceMode":   {"release.style", unchanged},
	"familyInfo.tallyEvery":    {"release.tally-every", microseconds},
	"familyInfo.tallySample":   {"release.tally-sample", unchanged},
	"rules.answerSlack":        {"rules.answer-slack", microseconds},
	"rules.askWithin":          {"rules.ask-within", microseconds},
	"rules.coldFrom":           {"rules.cold-from", unchanged},
	"rules.cold":               {"rules.cold", microseconds},
	"rules.drainGrace":         {"rules.drain-grace", microseconds},
	"rules.fallMultiple":       {"rules.fall-multiple", unchanged},
	"rules.tipAfter":           {"rules.fall-after", microseconds},
	"classes":                  {"products", unchanged},
	"classes.goalTime":         {"sla", microseconds},
	"classes.deadline":         {"expiry", microseconds},
	"classes.repeat":           {"effect", unchanged},
	"classes.group":            {"group", unchanged},
	"classes.memorySpan":       {"memory", microseconds},
	"classes.value":            {"revenue", unchanged},
	"classes.lateValue":        {"late-revenue", unchanged},
	"classes.name":             {"name", unchanged},
	"realms":                   {"customers", unchanged},
	"realms.quotaPerS":         {"quota", unchanged},
	"realms.share":             {"share", unchanged},
	"tariffs.crossZone":        {"price.cross-zone", unchanged},
	"tick":                     {"tick", microseconds},
	"worthBy":                  {"revenue-by", unchanged},
}

// valueNames gives the module's names for values that are names on the wire.
var valueNames = map[string]string{
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

// flatten adds a value of the wire, at the given path, to a flat map of the module's names to values: numbers as float64,
// with times in nanoseconds, and booleans and texts as they are. A list becomes name.N for each entry, and name.count.
func flatten(into map[string]any, name, path string, value any) {
	u := unchanged
	if w, ok := settingNames[path]; ok {
		u = w.unit
	}
	switch v := value.(type) {
	case map[string]any:
		for key, entry := range v {
			entryPath := join(path, key)
			entryName := join(name, key)
			if w, ok := settingNames[entryPath]; ok {
				entryName = w.name
				if name != "" && path != "" && isList(path) {
					entryName = join(name, w.name)
				}
			}
			flatten(into, entryName, entryPath, entry)
		}
	case []any:
		into[name+".count"] = float64(len(v))
		for i, entry := range v {
			flatten(into, name+"."+strconv.Itoa(i), path, entry)
		}
	case float64:
		if u == microseconds {
			v *= 1000
		}
		into[name] = v
	case string:
		if w, ok := valueNames[v]; ok {
			v = w
		}
		into[name] = v
	case bool:
		into[name] = v
	}
}

// isList reports whether the setting at a path is a list of objects.
func isList(path string) bool { return path == "classes" || path == "realms" }

func join(a, b string) string {
	if a == "" {
		return b
	}
	return a + "." + b
}

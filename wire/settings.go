package wire

import (
	"strconv"

	"dunegrade/logic"
)

// unit is the unit of a setting's value on the wire, which determines its conversion.
type unit int

const (
	unchanged unit = iota
	microseconds
)

// setting is the module's name of a setting and the unit of its value on the wire.
type setting struct {
	name string
	unit unit
}

// settingNames maps the path of a setting on the wire, without list indexes, to its name in the module. A setting that is
// not listed keeps its name and value, so that new settings do no harm.
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

// valueNames maps string values on the wire to those of the module.
var valueNames = map[string]string{
	"idempotent": "inquiry-like", "deduplicated": "referenced", "at_most_once": "once-only",
	"per_lane": "product", "side_by_side": "beside", "rolling": "in-place",
}

// endings maps the codes of endings on the wire.
var endings = map[int]logic.Ending{
	0: logic.OK, 1: logic.Cancelled, 4: logic.TimedOut, 8: logic.Rejected, 9: logic.Skipped, 10: logic.Disconnected,
	13: logic.ErrorResponse, 14: logic.ConnectFailed,
}

// states maps the names of worker states on the wire.
var states = map[string]logic.State{"up": logic.Up, "draining": logic.Draining, "removed": logic.Gone}

// modes maps the names of list modes on the wire.
var modes = map[string]logic.ListMode{
	"update": logic.Changes, "replace": logic.Whole, "restored": logic.Restored, "unavailable": logic.ListUnavailable,
}

// flatten adds a value at the given path on the wire to a flat map of the module's settings, under the given name. Numbers
// are float64, with durations in nanoseconds; booleans and strings are copied. A list becomes name.N for each entry N, and
// name.count.
func flatten(settings map[string]any, name, path string, value any) {
	valueUnit := unchanged
	if w, ok := settingNames[path]; ok {
		valueUnit = w.unit
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
			flatten(settings, entryName, entryPath, entry)
		}
	case []any:
		settings[name+".count"] = float64(len(v))
		for i, entry := range v {
			flatten(settings, name+"."+strconv.Itoa(i), path, entry)
		}
	case float64:
		if valueUnit == microseconds {
			v *= nanosPerMicrosecond
		}
		settings[name] = v
	case string:
		if w, ok := valueNames[v]; ok {
			v = w
		}
		settings[name] = v
	case bool:
		settings[name] = v
	}
}

// isList reports whether the setting at a path is a list of objects.
func isList(path string) bool { return path == "classes" || path == "realms" }

// join joins two parts of a path or name with a dot, unless the first is empty.
func join(a, b string) string {
	if a == "" {
		return b
	}
	return a + "." + b
}

package wire

import "dunegrade/logic"

// InitSettings is what an instance's first message comes to in our words: the module's settings, and numbers for names.
type InitSettings struct {
	Values     map[string]any // the plain map of names to values that the module reads
	Products   map[string]int
	Customers  map[string]int // from 1
	Zones      map[string]int
	Kinds      map[string]int
	LoadFields []string // of a load report, as the wire calls them
}

// DecodeInit turns the object of an instance's first message into our words. The bench's host and a sentry in service
// both start from it.
func DecodeInit(params map[string]any) *InitSettings {
	t := &InitSettings{Values: map[string]any{}, Products: names(params["classes"], 0), Customers: names(params["realms"], 1),
		Zones: names(params["localities"], 0), Kinds: names(params["skus"], 0)}
	flatten(t.Values, "", "", params)
	if rep, ok := params["report"].(map[string]any); ok {
		if fields, ok := rep["fields"].([]any); ok {
			for _, f := range fields {
				s, _ := f.(string)
				t.LoadFields = append(t.LoadFields, s)
			}
		}
	}
	if zone, ok := params["locality"].(string); ok {
		if n, known := t.Zones[zone]; known {
			t.Values["zone"] = float64(n)
		}
	}
	return t
}

// names numbers the names of a list of texts or of objects with a name.
func names(list any, from int) map[string]int {
	m := map[string]int{}
	entries, _ := list.([]any)
	for i, e := range entries {
		if o, ok := e.(map[string]any); ok {
			e = o["name"]
		}
		if s, ok := e.(string); ok {
			m[s] = i + from
		}
	}
	return m
}

// SetLoad sets the figure of a load report that the wire calls by this name; what the module does not read is let be.
func SetLoad(l *logic.Load, field string, value float64) {
	switch field {
	case "cpu_share":
		l.Util = value
	case "pending":
		l.Queue = value
	case "busy_reqs":
		l.Busy = value
	}
}

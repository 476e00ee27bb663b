package wire

import "dunegrade/logic"

// InitSettings holds the contents of an init message: the module's settings, and the numbers of the names that it lists.
type InitSettings struct {
	Values     map[string]any // a flat map of names to values, as the module reads it
	Products   map[string]int
	Customers  map[string]int // numbered from 1
	Zones      map[string]int
	Kinds      map[string]int
	LoadFields []string // names on the wire of the values of a load report
}

// DecodeInit decodes the parameters of an init message. Both the host here and a sentry in service use it.
func DecodeInit(params map[string]any) *InitSettings {
	settings := &InitSettings{Values: map[string]any{}, Products: numberNames(params["classes"], 0),
		Customers: numberNames(params["realms"], 1), Zones: numberNames(params["localities"], 0),
		Kinds: numberNames(params["skus"], 0)}
	flatten(settings.Values, "", "", params)
	if report, ok := params["report"].(map[string]any); ok {
		if fields, ok := report["fields"].([]any); ok {
			for _, field := range fields {
				name, _ := field.(string)
				settings.LoadFields = append(settings.LoadFields, name)
			}
		}
	}
	if zone, ok := params["locality"].(string); ok {
		if n, known := settings.Zones[zone]; known {
			settings.Values["zone"] = float64(n)
		}
	}
	return settings
}

// numberNames numbers the entries of a list of names, or of objects with a name, from first on.
func numberNames(list any, first int) map[string]int {
	numbers := map[string]int{}
	entries, _ := list.([]any)
	for i, entry := range entries {
		if object, ok := entry.(map[string]any); ok {
			entry = object["name"]
		}
		if name, ok := entry.(string); ok {
			numbers[name] = i + first
		}
	}
	return numbers
}

// SetLoad sets the value of a load report that has the given name on the wire. Values that the module does not read are
// ignored.
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

package wire

import "dunegrade/logic"

// InitSettings holds the contents of an init message: the module's settings, and the numbers assigned to the names in its
// lists.
type InitSettings struct {
	Values     map[string]any // the module's settings, a flat map of names to values
	Products   map[string]int
	Customers  map[string]int // numbered from 1
	Zones      map[string]int
	Kinds      map[string]int // kinds of machines
	LoadFields []string       // wire names of the values in a load report, in their order
}

// DecodeInit decodes the parameters of an init message. It serves both the host in this package and package platform, whose
// start document contains the same parameters.
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

// numberNames numbers the names in a list of strings, or of objects with a field "name". The first entry gets number first.
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

// SetLoad sets the value of a load report that has the given wire name. Names that the module does not read are ignored.
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

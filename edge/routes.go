package edge

import (
	"sort"
	"strings"

	"dunegrade/config"
)

// routeMatcher finds the route of a request, or returns nil. It is an interface so that other rules can replace
// routeTable.
type routeMatcher interface {
	match(method, path []byte) *config.Route
}

// routeTable is a routeMatcher by prefix and method. The longest prefix wins; of equal prefixes, a route with a method comes
// before one for any method.
type routeTable []config.Route

func newRouteTable(routes []config.Route) routeTable {
	t := append(routeTable(nil), routes...)
	sort.SliceStable(t, func(i, j int) bool {
		if len(t[i].Prefix) != len(t[j].Prefix) {
			return len(t[i].Prefix) > len(t[j].Prefix)
		}
		return t[i].Method > t[j].Method
	})
	for i := range t {
		r := &t[i]
		r.KeyHeader, r.CustomerHeader = strings.ToLower(r.KeyHeader), strings.ToLower(r.CustomerHeader)
		r.CostHeader, r.RepeatHeader = strings.ToLower(r.CostHeader), strings.ToLower(r.RepeatHeader)
	}
	return t
}

func (t routeTable) match(method, path []byte) *config.Route {
	for i := range t {
		r := &t[i]
		if (r.Method == "" || r.Method == unsafeString(method)) && hasPathPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// hasPathPrefix reports whether a path equals a prefix or continues it at a segment boundary.
func hasPathPrefix(path []byte, prefix string) bool {
	if len(path) < len(prefix) || unsafeString(path[:len(prefix)]) != prefix {
		return false
	}
	return len(path) == len(prefix) || prefix[len(prefix)-1] == '/' || path[len(prefix)] == '/'
}

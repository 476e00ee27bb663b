package edge

import (
	"sort"
	"strings"

	"dunegrade/config"
)

// classifier gives a request its route, or nil. Written rules will take the place of the plain table.
type classifier interface {
	match(method, path []byte) *config.Route
}

// routeTable is the plain classifier: the longest prefix wins, a stated method before any.
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

// hasPathPrefix tells whether a path lies hasPathPrefix a prefix, at the border of a segment.
func hasPathPrefix(path []byte, prefix string) bool {
	if len(path) < len(prefix) || unsafeString(path[:len(prefix)]) != prefix {
		return false
	}
	return len(path) == len(prefix) || prefix[len(prefix)-1] == '/' || path[len(prefix)] == '/'
}

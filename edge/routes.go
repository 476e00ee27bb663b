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

// table is the plain classifier: the longest prefix wins, a stated method before any.
type table []config.Route

func newTable(routes []config.Route) table {
	t := append(table(nil), routes...)
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

func (t table) match(method, path []byte) *config.Route {
	for i := range t {
		r := &t[i]
		if (r.Method == "" || r.Method == unsafeString(method)) && under(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// under tells whether a path lies under a prefix, at the border of a segment.
func under(path []byte, prefix string) bool {
	if len(path) < len(prefix) || unsafeString(path[:len(prefix)]) != prefix {
		return false
	}
	return len(path) == len(prefix) || prefix[len(prefix)-1] == '/' || path[len(prefix)] == '/'
}

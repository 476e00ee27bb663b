package edge

import "testing"

// The last ids must be remembered, and only those: memory must not grow with all ids ever seen.
func TestRecentIDsAreBounded(t *testing.T) {
	var r recentIDs
	const added = 3 * maxRecentIDs
	for id := range uint64(added) {
		r.add(id)
		r.add(id) // a repeat takes no room
	}
	if len(r.known) != maxRecentIDs || len(r.ring) != maxRecentIDs {
		t.Errorf("%d and %d ids are remembered, want %d", len(r.known), len(r.ring), maxRecentIDs)
	}
	for _, c := range []struct {
		id   uint64
		want bool
	}{{added - maxRecentIDs - 1, false}, {added - maxRecentIDs, true}, {added - 1, true}, {added, false}} {
		if got := r.contains(c.id); got != c.want {
			t.Errorf("id %d is remembered: %v, want %v", c.id, got, c.want)
		}
	}
}

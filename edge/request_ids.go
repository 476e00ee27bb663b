package edge

// maxRecentIDs is the number of request ids that are remembered after their clients have left.
const maxRecentIDs = 1 << 14

// recentIDs remembers the last maxRecentIDs ids of requests that were sent to a worker and whose client has left. Such a request may
// have had its effect, or may yet have it. A request that comes with the same id must not run as well.
type recentIDs struct {
	known  map[uint64]struct{}
	ring   []uint64 // the ids in the order in which their requests ended
	oldest int      // index in ring of the oldest id, once ring is full
}

// add remembers an id, and forgets the oldest one if there are too many.
func (r *recentIDs) add(id uint64) {
	if r.known == nil {
		r.known = map[uint64]struct{}{}
	}
	if _, known := r.known[id]; known {
		return
	}
	r.known[id] = struct{}{}
	if len(r.ring) < maxRecentIDs {
		r.ring = append(r.ring, id)
		return
	}
	delete(r.known, r.ring[r.oldest])
	r.ring[r.oldest] = id
	r.oldest = (r.oldest + 1) % maxRecentIDs
}

// contains reports whether an id is remembered.
func (r *recentIDs) contains(id uint64) bool {
	_, known := r.known[id]
	return known
}

// idTaken reports whether a client's id belongs to an open request, or to one whose client has left. Workers can't distinguish
// requests with the same id, so the answer to one could be taken for the answer to the other.
func (l *loop) idTaken(id uint64) bool {
	_, open := l.externalIDs[id]
	return open || l.recentIDs.contains(id)
}

// releaseID gives up the client's id of a call that has ended.
func (l *loop) releaseID(c *call) {
	if c.externalID == 0 {
		return
	}
	delete(l.externalIDs, c.externalID)
	if c.wasSent && c.clientLeft {
		l.recentIDs.add(c.externalID)
	}
}

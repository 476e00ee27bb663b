package edge

import "dunegrade/logic"

// timerKind selects what happens when a timer fires.
type timerKind uint8

const (
	timerModule       timerKind = iota // a timer of the module, which identifies it by its token
	timerExpiry                        // a call's expiry
	timerHalfClose                     // halfCloseLead before a call's expiry
	timerSubTimeout                    // a submission's timeout
	timerConnWait                      // limit on a submission's wait for a connection
	timerClientConn                    // check of a client connection
	timerWorkerConn                    // check of a worker connection
	timerClosingConns                  // check of loop.closingConns
	timerDrainEnd                      // answer deadline of a drain
)

// timer is an entry of timerHeap. Timers are not cancelled; when one fires, its handler checks whether it still applies.
type timer struct {
	at       logic.Nanos
	token    uint64 // depending on kind: the module's token, a txn id or a slotToken
	kind     timerKind
	subIndex uint8       // index in call.subs, for timerSubTimeout and timerConnWait
	txnID    logic.TxnID // for timerModule: the txn that it was set for; 0 when none
}

// timerHeap is a binary min-heap by time. Most timers are pushed in order of time, which takes one comparison.
type timerHeap []timer

// push adds a timer.
func (h *timerHeap) push(t timer) {
	q := append(*h, t)
	i := len(q) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if q[parent].at <= t.at {
			break
		}
		q[i], i = q[parent], parent
	}
	q[i] = t
	*h = q
}

// pop removes and returns the earliest timer of a heap that is not empty.
func (h *timerHeap) pop() timer {
	q := *h
	top, last := q[0], q[len(q)-1]
	q = q[:len(q)-1]
	if len(q) > 0 {
		i := 0
		for {
			child := 2*i + 1
			if child >= len(q) {
				break
			}
			if child+1 < len(q) && q[child+1].at < q[child].at {
				child++
			}
			if last.at <= q[child].at {
				break
			}
			q[i], i = q[child], child
		}
		q[i] = last
	}
	*h = q
	return top
}

// slab is a pool of reusable values addressed by slot. Its users keep a generation number in each value to distinguish it
// from earlier values in the same slot.
type slab[T any] struct {
	items []*T
	free  []int32
}

// get returns a free slot and the value last kept in it, or a new slot with a zero value.
func (s *slab[T]) get() (int32, *T) {
	if n := len(s.free); n > 0 {
		slot := s.free[n-1]
		s.free = s.free[:n-1]
		return slot, s.items[slot]
	}
	s.items = append(s.items, new(T))
	return int32(len(s.items) - 1), s.items[len(s.items)-1]
}

// put frees a slot.
func (s *slab[T]) put(slot int32) { s.free = append(s.free, slot) }

// inUse returns the number of slots in use.
func (s *slab[T]) inUse() int { return len(s.items) - len(s.free) }

// slotToken returns the token by which a timer refers to a slot of a given generation.
func slotToken(slot int32, gen uint32) uint64 { return uint64(uint32(slot)) | uint64(gen)<<32 }

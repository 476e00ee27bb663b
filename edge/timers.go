package edge

import "dunegrade/logic"

// Kinds of timers.
type timerKind uint8

const (
	timerModule       timerKind = iota // the module's, by its token
	timerExpiry                        // a call's patience is over
	timerHalfClose                     // shortly before that
	timerSubTimeout                    // a submission's time-out
	timerConnWait                      // a submission waits for a connection
	timerClientConn                    // something about a client's connection is to be looked at
	timerWorkerConn                    // the same for a worker's
	timerClosingConns                  // connections that deliver their last answer are to be looked at
	timerDrainEnd                      // what is still in hand in a drain is answered
)

// timer is an entry of the heap. It is never taken back: whoever it wakes checks whether it still matters.
type timer struct {
	at    logic.Nanos
	token uint64 // the module's, or place and generation
	kind  timerKind
	n     uint8       // number of the submission
	txnID logic.TxnID // of a reminder: the txn that it is about, if any
}

// timerHeap is a binary heap by time. Most entries come in order, for which a push costs one comparison.
type timerHeap []timer

func (h *timerHeap) push(t timer) {
	q := append(*h, t)
	i := len(q) - 1
	for i > 0 {
		up := (i - 1) / 2
		if q[up].at <= t.at {
			break
		}
		q[i], i = q[up], up
	}
	q[i] = t
	*h = q
}

func (h *timerHeap) pop() timer {
	q := *h
	top, last := q[0], q[len(q)-1]
	q = q[:len(q)-1]
	if len(q) > 0 {
		i := 0
		for {
			down := 2*i + 1
			if down >= len(q) {
				break
			}
			if down+1 < len(q) && q[down+1].at < q[down].at {
				down++
			}
			if last.at <= q[down].at {
				break
			}
			q[i], i = q[down], down
		}
		q[i] = last
	}
	*h = q
	return top
}

// slab keeps reused values in places of their own. A place's generation tells a value from the one before it.
type slab[T any] struct {
	items []*T
	free  []int32
}

// get gives a place and what stood there last, made anew where there is none.
func (s *slab[T]) get() (int32, *T) {
	if n := len(s.free); n > 0 {
		at := s.free[n-1]
		s.free = s.free[:n-1]
		return at, s.items[at]
	}
	s.items = append(s.items, new(T))
	return int32(len(s.items) - 1), s.items[len(s.items)-1]
}

func (s *slab[T]) put(at int32) { s.free = append(s.free, at) }

func (s *slab[T]) inUse() int { return len(s.items) - len(s.free) }

func slotToken(at int32, gen uint32) uint64 { return uint64(uint32(at)) | uint64(gen)<<32 }

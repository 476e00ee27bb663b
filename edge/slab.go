package edge

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

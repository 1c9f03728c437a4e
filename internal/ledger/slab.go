package ledger

const (
	// slabChunk is the number of claims allocated at once.
	slabChunk = 512
	// noSlot marks the end of a list of slots.
	noSlot = ^uint32(0)
)

// slab stores claims in fixed chunks, so that growth copies nothing and wastes
// less than one chunk.
type slab struct {
	chunks []*[slabChunk]claim
	free   []uint32
	used   uint32
}

// at returns the claim in a slot.
func (s *slab) at(slot uint32) *claim {
	return &s.chunks[slot/slabChunk][slot%slabChunk]
}

// allocate returns a zeroed slot.
func (s *slab) allocate() uint32 {
	if n := len(s.free); n > 0 {
		slot := s.free[n-1]
		s.free = s.free[:n-1]
		return slot
	}
	if s.used%slabChunk == 0 {
		s.chunks = append(s.chunks, new([slabChunk]claim))
	}
	s.used++
	return s.used - 1
}

// release clears a slot and makes it available again.
func (s *slab) release(slot uint32) {
	*s.at(slot) = claim{}
	s.free = append(s.free, slot)
}

// limit returns the first slot that was never allocated.
func (s *slab) limit() uint32 {
	return s.used
}

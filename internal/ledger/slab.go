package ledger

const (
	// claimsPerChunk is the number of claims allocated at once.
	claimsPerChunk = 512
	// noSlot marks the end of a list of slots.
	noSlot = ^uint32(0)
)

// slab allocates claims in chunks of fixed size, so that growth copies nothing and leaves less
// than one chunk unused.
type slab struct {
	chunks []*[claimsPerChunk]claim
	free   []uint32
	used   uint32
}

// at returns the claim in a slot.
func (s *slab) at(slot uint32) *claim {
	return &s.chunks[slot/claimsPerChunk][slot%claimsPerChunk]
}

// allocate returns a slot whose claim is zero.
func (s *slab) allocate() uint32 {
	if n := len(s.free); n > 0 {
		slot := s.free[n-1]
		s.free = s.free[:n-1]
		return slot
	}
	if s.used%claimsPerChunk == 0 {
		s.chunks = append(s.chunks, new([claimsPerChunk]claim))
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

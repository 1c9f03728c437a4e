package ledger

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// expiryBuckets is the number of buckets into which the kept time is divided; claims outlive
// their time by at most one bucket.
const expiryBuckets = 64

// expiryLists groups slots by the time at which their claims may be dropped.
type expiryLists struct {
	width time.Duration
	heads map[int64]uint32
	swept int64
}

// newExpiryLists returns empty lists for claims kept for keep.
func newExpiryLists(keep time.Duration) expiryLists {
	return expiryLists{width: max(keep/expiryBuckets, 1), heads: map[int64]uint32{}}
}

// bucket returns the bucket of an expiry time.
func (e *expiryLists) bucket(expiry clock.Time) int64 {
	return int64(time.Duration(expiry) / e.width)
}

// add links a slot into the bucket of its expiry time.
func (e *expiryLists) add(s *slab, slot uint32, expiry clock.Time) {
	b := e.bucket(expiry)
	c := s.at(slot)
	c.previous, c.next = noSlot, noSlot
	if head, ok := e.heads[b]; ok {
		c.next = head
		s.at(head).previous = slot
	}
	e.heads[b] = slot
}

// remove unlinks a slot.
func (e *expiryLists) remove(s *slab, slot uint32, expiry clock.Time) {
	c := s.at(slot)
	if c.next != noSlot {
		s.at(c.next).previous = c.previous
	}
	if c.previous != noSlot {
		s.at(c.previous).next = c.next
		return
	}
	b := e.bucket(expiry)
	if c.next == noSlot {
		delete(e.heads, b)
		return
	}
	e.heads[b] = c.next
}

// due returns a slot whose whole bucket has passed, or false.
func (e *expiryLists) due(now clock.Time) (uint32, bool) {
	current := e.bucket(now)
	if len(e.heads) == 0 {
		e.swept = current
	}
	for e.swept < current {
		if head, ok := e.heads[e.swept]; ok {
			return head, true
		}
		e.swept++
	}
	return 0, false
}

package ledger

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// expiryBuckets is the number of buckets into which the retention is divided. A claim may be kept
// for up to one bucket longer than the retention.
const expiryBuckets = 64

// expiryLists groups slots by the time at which their claims may be dropped. Each bucket is a
// linked list through the claims.
type expiryLists struct {
	width time.Duration
	// heads has the first slot of each bucket that is not empty.
	heads map[int64]uint32
	// firstBucket is a bucket before which all buckets are empty.
	firstBucket int64
}

// newExpiryLists returns empty lists for claims with the given retention.
func newExpiryLists(retention time.Duration) expiryLists {
	return expiryLists{width: max(retention/expiryBuckets, 1), heads: map[int64]uint32{}}
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

// due returns a slot of a bucket that lies entirely in the past, or false.
func (e *expiryLists) due(now clock.Time) (uint32, bool) {
	current := e.bucket(now)
	if len(e.heads) == 0 {
		e.firstBucket = current
	}
	for e.firstBucket < current {
		if head, ok := e.heads[e.firstBucket]; ok {
			return head, true
		}
		e.firstBucket++
	}
	return 0, false
}

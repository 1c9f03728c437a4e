package ratelimit

import (
	"sort"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// heldGrant is a grant as its home sees it.
type heldGrant struct {
	sequence uint64
	// amount was granted; spent is what the entry reported of it.
	amount, spent Micro
	closed        bool
	// until is the end of the hold.
	until clock.Time
}

// unspent returns what the entry may still spend as far as the home knows.
func (g *heldGrant) unspent() Micro {
	if g.closed {
		return 0
	}
	return g.amount - g.spent
}

// outstanding holds the unexpired grants of a bucket, oldest first. Sequences
// and ends of holds both increase.
type outstanding struct {
	grants []heldGrant
	total  Micro
}

// add appends a new grant.
func (o *outstanding) add(g heldGrant) {
	o.grants = append(o.grants, g)
	o.total += g.unspent()
}

// find returns the grant with the sequence, or nil.
func (o *outstanding) find(sequence uint64) *heldGrant {
	i := sort.Search(len(o.grants), func(i int) bool { return o.grants[i].sequence >= sequence })
	if i == len(o.grants) || o.grants[i].sequence != sequence {
		return nil
	}
	return &o.grants[i]
}

// expired returns the oldest grant if its hold ended by now, or nil.
func (o *outstanding) expired(now clock.Time) *heldGrant {
	if len(o.grants) == 0 || now.Before(o.grants[0].until) {
		return nil
	}
	return &o.grants[0]
}

// dropOldest removes the oldest grant. Memory is released when none is left.
func (o *outstanding) dropOldest() {
	o.total -= o.grants[0].unspent()
	o.grants = o.grants[1:]
	if len(o.grants) == 0 {
		o.grants = nil
	}
}

// dropClosed removes settled grants from the old end.
func (o *outstanding) dropClosed() {
	for len(o.grants) > 0 && o.grants[0].closed {
		o.dropOldest()
	}
}

package ratelimit

import (
	"sort"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// outstandingGrant is a grant as its home sees it.
type outstandingGrant struct {
	sequence uint64
	// amount was granted; spent is the part of it that was reported as spent.
	amount, spent MicroTokens
	closed        bool
	// holdEnd is the end of the hold.
	holdEnd clock.Time
}

// unspent returns the amount that the entry may still spend according to its reports.
func (g *outstandingGrant) unspent() MicroTokens {
	if g.closed {
		return 0
	}
	return g.amount - g.spent
}

// outstandingGrants holds the unexpired grants of a bucket, oldest first. Sequence
// numbers increase strictly and ends of holds never decrease.
type outstandingGrants struct {
	grants []outstandingGrant
	total  MicroTokens
}

// add appends a new grant.
func (o *outstandingGrants) add(g outstandingGrant) {
	o.grants = append(o.grants, g)
	o.total += g.unspent()
}

// find returns the grant with the sequence number, or nil.
func (o *outstandingGrants) find(sequence uint64) *outstandingGrant {
	i := sort.Search(len(o.grants), func(i int) bool { return o.grants[i].sequence >= sequence })
	if i == len(o.grants) || o.grants[i].sequence != sequence {
		return nil
	}
	return &o.grants[i]
}

// expired returns the oldest grant if its hold ended by now, or nil.
func (o *outstandingGrants) expired(now clock.Time) *outstandingGrant {
	if len(o.grants) == 0 || now.Before(o.grants[0].holdEnd) {
		return nil
	}
	return &o.grants[0]
}

// dropOldest removes the oldest grant and releases the memory when none is left.
func (o *outstandingGrants) dropOldest() {
	o.total -= o.grants[0].unspent()
	o.grants = o.grants[1:]
	if len(o.grants) == 0 {
		o.grants = nil
	}
}

// dropClosed removes closed grants that are older than every open one.
func (o *outstandingGrants) dropClosed() {
	for len(o.grants) > 0 && o.grants[0].closed {
		o.dropOldest()
	}
}

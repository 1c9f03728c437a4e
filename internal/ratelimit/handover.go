package ratelimit

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Handover is the exported state of a home that moves to another process.
type Handover struct {
	Epoch    id.Epoch
	Sequence uint64
	Buckets  []BucketState
}

// BucketState is the state of one customer's bucket.
type BucketState struct {
	Customer id.CustomerID
	Share    Share
	// Effective is the limit that applies now; it differs from the share's while Pending.
	Effective   Limit
	Pending     bool
	Level       MicroTokens
	Outstanding MicroTokens
}

// Export stops the home and returns its state. From then on the home replies
// StatusUnconfirmed, so that no two processes grant from the same buckets.
func (h *Home) Export(now clock.Time) Handover {
	h.exported = true
	out := Handover{Epoch: h.epoch, Sequence: h.sequence}
	for customer, b := range h.buckets {
		b.advance(now)
		out.Buckets = append(out.Buckets, BucketState{
			Customer:    customer,
			Share:       b.share,
			Effective:   b.effective,
			Pending:     b.pending,
			Level:       b.level,
			Outstanding: b.outstanding(),
		})
	}
	return out
}

// Import returns a home that continues from an exported state. All outstanding
// tokens count until the hold of the latest possible grant ends; reports about
// them are ignored.
func Import(now clock.Time, duty Duty, state Handover) *Home {
	h := NewHome(state.Epoch, duty, now)
	h.sequence = state.Sequence
	for _, s := range state.Buckets {
		b := &bucket{share: s.Share, effective: s.Effective, pending: s.Pending, level: s.Level, creditedUntil: now}
		if s.Outstanding > 0 {
			h.sequence++
			b.prefetched.add(outstandingGrant{
				sequence: h.sequence,
				amount:   s.Outstanding,
				holdEnd:  now.Add(GrantHold),
			})
		}
		if b.pending {
			h.pendingShares[s.Customer] = struct{}{}
		}
		b.check()
		h.buckets[s.Customer] = b
	}
	return h
}

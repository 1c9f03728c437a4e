package ratelimit

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// TickPeriod is how often the owner of a Home calls Tick.
const TickPeriod = time.Second

const (
	// prefetchDivisor bounds a prefetch to one half of the remaining tokens, so that
	// one entry cannot empty the bucket in advance.
	prefetchDivisor = 2
	// reportDivisor sets the deadline for reports: unreported spends may occupy at
	// most one fourth of the burst.
	reportDivisor = 4
	// minReportWithin limits the frequency of reports.
	minReportWithin = 20 * time.Millisecond
	// minRetry limits how often an entry sends requests to an empty home, which would
	// otherwise grow with the rate of a customer that is over its limit.
	minRetry = 60 * time.Millisecond
	// pendingRetry is the RetryAfter for entries while a share is pending.
	pendingRetry = time.Second
)

// Home grants the tokens of the customers that one host slot is a home of, in one
// epoch of the slot.
type Home struct {
	epoch id.Epoch
	duty  Duty
	// refillStart is when new buckets start to refill.
	refillStart clock.Time
	sequence    uint64
	// exported says that the state was handed over, so that the home grants nothing.
	exported bool
	buckets  map[id.CustomerID]*bucket
	// pendingShares holds the customers whose assigned share does not apply in full yet.
	pendingShares map[id.CustomerID]struct{}
}

// NewHome returns a home for a slot without an earlier holder. Its buckets start
// empty and refill from start on.
func NewHome(epoch id.Epoch, duty Duty, start clock.Time) *Home {
	return &Home{
		epoch:         epoch,
		duty:          duty,
		refillStart:   start,
		buckets:       map[id.CustomerID]*bucket{},
		pendingShares: map[id.CustomerID]struct{}{},
	}
}

// NewSuccessor returns a home for a slot that may have had another holder. That
// holder may have granted tokens until the end of the fence, so the buckets refill
// only after those grants have expired.
func NewSuccessor(epoch id.Epoch, duty Duty, fenceEnd clock.Time) *Home {
	return NewHome(epoch, duty, fenceEnd.Add(GrantHold))
}

// Assign sets the home's share of a customer's limit. A change of the limit alone
// applies at once. Of a change of the split over homes, only reductions apply at
// once; the rest follows when Duty.Settled reports that no home uses the old split
// and the grants made under it have expired.
//
// The owner calls Assign for every revision that changes the customer's catalogue
// record or homes, even when the share is the same as before, and before
// Duty.Confirmed reports the confirmation that came with the revision. A home that
// is not confirmed at that time may have missed a split in which it had no share:
// it discards its tokens and has no share until the new split is settled.
func (h *Home) Assign(now clock.Time, customer id.CustomerID, share Share) {
	b, known := h.buckets[customer]
	if !known {
		b = &bucket{creditedUntil: max(now, h.refillStart)}
		h.buckets[customer] = b
	}
	if known && !h.confirmed(now) {
		b.reset(now)
	}
	unchanged := known && !b.pending && b.share.sameSplit(share) && h.confirmed(now)
	b.share = share
	if unchanged || (!known && share.First) {
		b.setEffective(now, share.Limit)
		return
	}
	b.pending = true
	b.settledAt = 0
	h.pendingShares[customer] = struct{}{}
	b.setEffective(now, b.effective.lower(share.Limit))
}

// Unassign removes a customer's bucket. A later Assign starts with an empty one.
func (h *Home) Unassign(customer id.CustomerID) {
	delete(h.buckets, customer)
	delete(h.pendingShares, customer)
}

// Customers returns the number of customers that the home has a share of.
func (h *Home) Customers() int {
	return len(h.buckets)
}

// confirmed reports whether the home may act at now.
func (h *Home) confirmed(now clock.Time) bool {
	return !h.exported && h.duty.Confirmed(now)
}

// Tick applies pending shares that have settled. The owner calls it every TickPeriod.
func (h *Home) Tick(now clock.Time) {
	if !h.confirmed(now) {
		return
	}
	for customer := range h.pendingShares {
		if h.buckets[customer].activate(now, h.duty) {
			delete(h.pendingShares, customer)
		}
	}
}

// Take spends an amount of at most one token for a caller at the home's own daemon.
// If the bucket does not hold it, Take returns the time until it can hold one more
// token.
func (h *Home) Take(now clock.Time, customer id.CustomerID, amount MicroTokens) (bool, time.Duration) {
	b := h.buckets[customer]
	if b == nil || !h.confirmed(now) {
		return false, infiniteWait
	}
	b.advance(now)
	if b.take(now, amount) {
		return true, 0
	}
	return false, h.retryAfter(b)
}

// Exchange applies the reports of a request and grants tokens. An unconfirmed home
// does neither, because it may have missed a change of the limit.
func (h *Home) Exchange(now clock.Time, request Request) Reply {
	b := h.buckets[request.Customer]
	if b == nil {
		return Reply{ID: request.ID, Status: StatusNotHome}
	}
	if !h.confirmed(now) {
		return Reply{ID: request.ID, Status: StatusUnconfirmed}
	}
	b.advance(now)
	for _, r := range request.Reports {
		if r.Grant.Epoch == h.epoch {
			b.report(now, r)
		}
	}
	if request.Part > 0 {
		return h.grantPart(now, b, request)
	}
	if request.Want <= 0 {
		return Reply{ID: request.ID}
	}
	reply := h.grant(now, b, request)
	reply.Level = b.level
	return reply
}

// retryAfter returns the time until the bucket can hold one more token.
func (h *Home) retryAfter(b *bucket) time.Duration {
	if b.pending {
		return pendingRetry
	}
	return b.timeToNextToken()
}

// grant grants the needed tokens first and then part of the remaining ones as a
// prefetch.
func (h *Home) grant(now clock.Time, b *bucket, request Request) Reply {
	reply := Reply{ID: request.ID}
	available := b.level.whole()
	reply.Immediate = min(max(request.Need, 0), available)
	if reply.Immediate > 0 {
		h.sequence++
		reply.ImmediateGrant = GrantID{Epoch: h.epoch, Sequence: h.sequence}
		b.grantImmediate(now, h.sequence, tokens(reply.Immediate))
	}
	if reply.Immediate < request.Need {
		reply.RetryAfter = max(h.retryAfter(b), minRetry)
		return reply
	}
	n := min(max(request.Want-request.Need, 0), (available-reply.Immediate)/prefetchDivisor)
	if n == 0 {
		return reply
	}
	h.sequence++
	b.grant(now, h.sequence, n)
	reply.Grant = GrantID{Epoch: h.epoch, Sequence: h.sequence}
	reply.Tokens = n
	reply.ReportWithin = b.reportWithin()
	return reply
}

// grantPart grants less than a token.
func (h *Home) grantPart(now clock.Time, b *bucket, request Request) Reply {
	reply := Reply{ID: request.ID, Level: b.level}
	part := min(b.level, request.Part, Token)
	if part < minPart {
		return reply
	}
	h.sequence++
	b.grantImmediate(now, h.sequence, part)
	reply.ImmediateGrant = GrantID{Epoch: h.epoch, Sequence: h.sequence}
	reply.Part = part
	reply.Level = b.level
	return reply
}

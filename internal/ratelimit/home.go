package ratelimit

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// TickPeriod is how often the owner of a Home calls Tick.
const TickPeriod = time.Second

const (
	// prefetchDivisor bounds a prefetch to this part of the tokens left, so that
	// one entry cannot empty the bucket in advance.
	prefetchDivisor = 2
	// reportDivisor asks for reports before unreported spends can fill this part
	// of the burst.
	reportDivisor = 4
	// minReportWithin bounds the frequency of reports.
	minReportWithin = 20 * time.Millisecond
	// minRetry bounds how often an entry asks an empty home again, which otherwise
	// grows with the rate of a customer that is over its limit.
	minRetry = 60 * time.Millisecond
	// waitingRetry is the advice to entries while a share is not in force yet.
	waitingRetry = time.Second
)

// Home performs the rate-limit duty of one host slot in one epoch.
type Home struct {
	epoch    id.Epoch
	duty     Duty
	start    clock.Time
	sequence uint64
	// closed homes were exported and grant nothing.
	closed  bool
	buckets map[id.CustomerID]*bucket
	// waiting names the buckets whose wanted share is not in force yet.
	waiting map[id.CustomerID]struct{}
}

// NewHome returns a home without an earlier holder, whose buckets are empty and
// refill from start on.
func NewHome(epoch id.Epoch, duty Duty, start clock.Time) *Home {
	return &Home{
		epoch:   epoch,
		duty:    duty,
		start:   start,
		buckets: map[id.CustomerID]*bucket{},
		waiting: map[id.CustomerID]struct{}{},
	}
}

// NewSuccessor returns a home whose slot may have had another holder. The
// earlier holder may have granted until the end of the fence, so the buckets
// refill only when those grants are over as well.
func NewSuccessor(epoch id.Epoch, duty Duty, fenceEnd clock.Time) *Home {
	return NewHome(epoch, duty, fenceEnd.Add(GrantHold))
}

// Assign sets the home's share of a customer's limit. A change of the limit is
// in force at once. A change of the division among homes puts only the
// reductions in force; the rest follows when Duty.Settled reports that no home
// uses the old division and the grants made under it are over.
//
// The owner calls Assign for every revision that changes the customer's entry or
// homes, even when the share is the same as before, and before Duty.Confirmed
// reports the confirmation that came with the revision. A home that is not
// confirmed then may have missed a division in which it had no share: it drops
// its tokens and has no share until the new one is settled.
func (h *Home) Assign(now clock.Time, customer id.CustomerID, share Share) {
	b, known := h.buckets[customer]
	if !known {
		b = &bucket{last: max(now, h.start)}
		h.buckets[customer] = b
	}
	if known && !h.confirmed(now) {
		b.drop(now)
	}
	unchanged := known && !b.waiting && b.share.sameSplit(share) && h.confirmed(now)
	b.share = share
	if unchanged || (!known && share.First) {
		b.setForce(now, share.Limit)
		return
	}
	b.waiting = true
	b.settled = 0
	h.waiting[customer] = struct{}{}
	b.setForce(now, b.force.lower(share.Limit))
}

// Unassign ends the duty for a customer. A later Assign starts at level zero.
func (h *Home) Unassign(customer id.CustomerID) {
	delete(h.buckets, customer)
	delete(h.waiting, customer)
}

// Customers returns the number of customers that the home has a share of.
func (h *Home) Customers() int {
	return len(h.buckets)
}

// confirmed asks the duty.
func (h *Home) confirmed(now clock.Time) bool {
	return !h.closed && h.duty.Confirmed(now)
}

// Tick puts waiting shares in force. The owner calls it every TickPeriod.
func (h *Home) Tick(now clock.Time) {
	if !h.confirmed(now) {
		return
	}
	for customer := range h.waiting {
		if h.buckets[customer].adopt(now, h.duty) {
			delete(h.waiting, customer)
		}
	}
}

// Take spends an amount, at most a token, for a caller of the home's own
// daemon. When it is not there it returns the time until there can be a token.
func (h *Home) Take(now clock.Time, customer id.CustomerID, amount Micro) (bool, time.Duration) {
	b := h.buckets[customer]
	if b == nil || !h.confirmed(now) {
		return false, longest
	}
	b.settle(now)
	if b.take(now, amount) {
		return true, 0
	}
	return false, h.retryAfter(b)
}

// Exchange applies the reports of a request and grants tokens. An unconfirmed
// home does neither: it may not know the limit in force.
func (h *Home) Exchange(now clock.Time, request Request) Reply {
	b := h.buckets[request.Customer]
	if b == nil {
		return Reply{ID: request.ID, Status: StatusNotHome}
	}
	if !h.confirmed(now) {
		return Reply{ID: request.ID, Status: StatusUnconfirmed}
	}
	b.settle(now)
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
	if b.waiting {
		return waitingRetry
	}
	return b.untilToken()
}

// grant serves the needed tokens first and adds a part of what is left as prefetch.
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

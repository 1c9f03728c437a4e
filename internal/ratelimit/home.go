package ratelimit

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

const (
	// prefetchDivisor bounds a prefetch to this part of the tokens left, so that
	// one entry cannot empty the bucket in advance.
	prefetchDivisor = 4
	// reportDivisor asks for reports before unreported spends can fill this part
	// of the burst.
	reportDivisor = 4
	// minReportWithin bounds the frequency of reports.
	minReportWithin = 20 * time.Millisecond
	// waitingRetry is the advice to entries while a share is not in force yet.
	waitingRetry = time.Second
)

// Home performs the rate-limit duty of one host slot in one epoch.
type Home struct {
	epoch    id.Epoch
	duty     Duty
	start    clock.Time
	sequence uint64
	buckets  map[id.CustomerID]*bucket
}

// NewHome returns a home whose buckets are empty and refill from start on, the
// end of the start fence on this process's clock.
func NewHome(epoch id.Epoch, duty Duty, start clock.Time) *Home {
	return &Home{epoch: epoch, duty: duty, start: start, buckets: map[id.CustomerID]*bucket{}}
}

// Assign sets the home's share of a customer's limit. A change of the limit is
// in force at once. A change of the division among homes takes only the
// reductions in force; the rest follows when Duty.Settled reports that no home
// uses the old division.
func (h *Home) Assign(now clock.Time, customer id.CustomerID, share Share) {
	b, known := h.buckets[customer]
	if !known {
		b = &bucket{last: max(now, h.start), share: share, waiting: !share.First}
		h.buckets[customer] = b
		if share.First {
			b.force = share.Limit
		}
		return
	}
	if !b.waiting && b.share.sameSplit(share) {
		b.share = share
		b.setForce(now, share.Limit)
		return
	}
	b.share = share
	b.waiting = true
	b.setForce(now, b.force.lower(share.Limit))
}

// Unassign ends the duty for a customer. A later Assign starts at level zero.
func (h *Home) Unassign(customer id.CustomerID) {
	delete(h.buckets, customer)
}

// Customers returns the number of customers that the home has a share of.
func (h *Home) Customers() int {
	return len(h.buckets)
}

// bucket returns the customer's bucket, settled at now, or nil.
func (h *Home) bucket(now clock.Time, customer id.CustomerID) *bucket {
	b := h.buckets[customer]
	if b == nil {
		return nil
	}
	b.settle(now)
	if b.waiting && h.duty.Settled(b.share.Revision, now) {
		b.waiting = false
		b.setForce(now, b.share.Limit)
	}
	return b
}

// Take spends one token for a caller of the home's own daemon. When there is
// none it returns the time until there can be one.
func (h *Home) Take(now clock.Time, customer id.CustomerID) (bool, time.Duration) {
	b := h.bucket(now, customer)
	if b == nil || !h.duty.Confirmed(now) {
		return false, longest
	}
	if b.take(now, 1) {
		return true, 0
	}
	return false, h.retryAfter(b)
}

// retryAfter returns the time until the bucket can hold one more token.
func (h *Home) retryAfter(b *bucket) time.Duration {
	if b.waiting {
		return waitingRetry
	}
	return b.untilToken()
}

// Exchange applies the reports of a request and grants tokens.
func (h *Home) Exchange(now clock.Time, request Request) Reply {
	b := h.bucket(now, request.Customer)
	if b == nil {
		return Reply{ID: request.ID, Status: StatusNotHome}
	}
	for _, r := range request.Reports {
		if r.Grant.Epoch == h.epoch {
			b.report(now, r)
		}
	}
	if request.Want <= 0 {
		return Reply{ID: request.ID}
	}
	if !h.duty.Confirmed(now) {
		return Reply{ID: request.ID, Status: StatusUnconfirmed}
	}
	return h.grant(now, b, request)
}

// grant serves the needed tokens first and adds a part of what is left as prefetch.
func (h *Home) grant(now clock.Time, b *bucket, request Request) Reply {
	reply := Reply{ID: request.ID}
	available := b.level.whole()
	n := min(max(request.Need, 0), available)
	n += min(max(request.Want-request.Need, 0), (available-n)/prefetchDivisor)
	if n < request.Need {
		reply.RetryAfter = h.retryAfter(b)
	}
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

package ratelimit

import "buckthornlatch.example/buckthornlatch/internal/id"

// DropOutstanding makes the home stop counting its outstanding grants, a defect that
// TestBoundNoticesFaults has to detect.
func (h *Home) DropOutstanding(customer id.CustomerID) {
	if b := h.buckets[customer]; b != nil {
		b.prefetched, b.immediate = outstandingGrants{}, outstandingGrants{}
	}
}

// Fill makes the customer's bucket full, as if an epoch did not start empty, a defect
// that TestBoundNoticesFaults has to detect.
func (h *Home) Fill(customer id.CustomerID) {
	if b := h.buckets[customer]; b != nil {
		b.level = b.effective.capacity() - b.outstanding()
		b.creditedUntil = 0
	}
}

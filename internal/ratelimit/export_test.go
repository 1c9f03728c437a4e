package ratelimit

import "buckthornlatch.example/buckthornlatch/internal/id"

// ForgetOutstanding makes the home lose count of its grants. It exists to show
// that the checks notice.
func (h *Home) ForgetOutstanding(customer id.CustomerID) {
	if b := h.buckets[customer]; b != nil {
		b.held, b.immediate = outstanding{}, outstanding{}
	}
}

// Fill makes the customer's bucket full, as if an epoch did not start at zero.
// It exists to show that the checks notice.
func (h *Home) Fill(customer id.CustomerID) {
	if b := h.buckets[customer]; b != nil {
		b.level = b.force.capacity() - b.outstanding()
		b.last = 0
	}
}

package ratelimit

import "buckthornlatch.example/buckthornlatch/internal/catalogue"

// Share is the part of a customer's limit that one home is responsible for.
type Share struct {
	Limit Limit
	// Index is the home's position among the customer's homes, from zero.
	Index int
	// Homes is the number of homes of the customer.
	Homes int
	// Revision is the catalogue revision that the share was computed from.
	Revision catalogue.Revision
	// First says that no earlier revision placed the customer on any home, so that
	// the share applies without waiting for other homes.
	First bool
}

// NewShare returns the share of the home at index among homes.
func NewShare(limit Limit, index, homes int, revision catalogue.Revision) Share {
	return Share{Limit: limit.Part(index, homes), Index: index, Homes: homes, Revision: revision}
}

// sameSplit reports whether both shares are the same part of a split over equally
// many homes.
func (s Share) sameSplit(other Share) bool {
	return s.Index == other.Index && s.Homes == other.Homes
}

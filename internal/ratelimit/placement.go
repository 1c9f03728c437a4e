package ratelimit

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Placement provides the customers' limits and homes.
type Placement interface {
	// Version changes whenever the results of the other methods may change.
	Version() uint64
	// Homes returns the customer's homes in the order of their shares.
	Homes(customer id.CustomerID) []id.HostID
	// Limit returns the customer's limit; the zero limit admits nothing.
	Limit(customer id.CustomerID) Limit
}

// LocalHome is the home in the same daemon as the entry.
type LocalHome interface {
	// Take spends an amount of at most one token and reports whether it did. If
	// not, it returns the time until a token can be available.
	Take(now clock.Time, customer id.CustomerID, amount MicroTokens) (bool, time.Duration)
}

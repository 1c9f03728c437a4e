package ratelimit

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Placement answers where a customer's tokens come from.
type Placement interface {
	// Version changes whenever the other methods may answer differently.
	Version() uint64
	// Homes returns the customer's homes in the order of their shares.
	Homes(customer id.CustomerID) []id.HostID
	// Limit returns the customer's limit; the zero limit admits nothing.
	Limit(customer id.CustomerID) Limit
}

// Local is the home of the entry's own daemon.
type Local interface {
	// Take spends an amount, at most a token, or returns the time until there can
	// be a token.
	Take(now clock.Time, customer id.CustomerID, amount Micro) (bool, time.Duration)
}

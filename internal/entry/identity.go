package entry

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Identity is the customer and the id of an authenticated key.
type Identity struct {
	Customer id.CustomerID
	KeyID    catalogue.KeyID
	// ValidFor is how long the result may be used, counted from the check.
	ValidFor time.Duration
}

// Admission is the permission to run one request within the customer's rate limit.
type Admission struct {
	// ValidFor is the time from the call of Admit within which the request must be dispatched.
	ValidFor time.Duration
}

// QuarantineVerdict says whether and where a request may run.
type QuarantineVerdict struct {
	Quarantined bool
	// Isolated requests are suspected of crashing targets and run on one target at a time.
	Isolated bool
	// RetryAfter is the time until the quarantine ends; zero when unknown.
	RetryAfter time.Duration
}

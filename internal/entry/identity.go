package entry

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Identity is who a key belongs to.
type Identity struct {
	Customer id.CustomerID
	KeyID    catalogue.KeyID
	// ValidFor is the time from the check for which the daemon may rely on it.
	ValidFor time.Duration
}

// Admission is the permission to run one request within the customer's rate.
type Admission struct {
	// ValidFor is the time from the call of Admit within which the request must be dispatched.
	ValidFor time.Duration
}

// QuarantineVerdict says whether a request may run.
type QuarantineVerdict struct {
	Quarantined bool
	// Isolated requests are suspected of crashing targets and run on one target at a time.
	Isolated bool
	// RetryAfter is the time until the quarantine ends; zero when unknown.
	RetryAfter time.Duration
}

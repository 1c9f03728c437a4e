package ratelimit

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Outcome is the kind of a Decision.
type Outcome int

// The outcomes of an admission.
const (
	// Admitted means that a token was spent.
	Admitted Outcome = iota
	// Pending means that the caller has to wait for a Resolution.
	Pending
	// Refused means that no token is or will soon be available.
	Refused
)

// Decision is the result of Entry.Admit.
type Decision struct {
	Outcome Outcome
	// Until is when an admission ends on the entry's clock; an admitted request
	// that was not dispatched by then must not run.
	Until clock.Time
	// Waiter identifies a pending caller.
	Waiter uint64
	// Denied is the error of a refusal.
	Denied *DeniedError
}

// Resolution ends the wait of a pending caller.
type Resolution struct {
	Waiter uint64
	// Until is when the admission ends; set when Denied is nil.
	Until  clock.Time
	Denied *DeniedError
}

// Call is a request to be sent to a home.
type Call struct {
	Home    id.HostID
	Request Request
}

// Outbox holds the calls that the entry's owner has to send and the resolutions
// that it has to deliver.
type Outbox struct {
	Calls    []Call
	Resolved []Resolution
}

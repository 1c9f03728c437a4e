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
	// Pending means that the caller waits; a Resolution will follow.
	Pending
	// Refused means that no token was or can soon be there.
	Refused
)

// Decision answers Entry.Admit.
type Decision struct {
	Outcome Outcome
	// Until is when an admission ends on the entry's clock; an admitted request
	// that was not dispatched by then must not run.
	Until clock.Time
	// Waiter identifies a pending caller.
	Waiter uint64
	// Denied explains a refusal.
	Denied *Denied
}

// Resolution ends the wait of a pending caller.
type Resolution struct {
	Waiter uint64
	// Until is when the admission ends; set when Denied is nil.
	Until  clock.Time
	Denied *Denied
}

// Call is a request that the entry wants sent to a home.
type Call struct {
	Home    id.HostID
	Request Request
}

// Outbox holds what an entry's owner has to carry out.
type Outbox struct {
	Calls    []Call
	Resolved []Resolution
}

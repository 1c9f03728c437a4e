package link

import (
	"net/http"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
)

// Attempt is one try to run a request on a host's target.
type Attempt struct {
	// RequestID is the caller's name of the request, for logs.
	RequestID string
	Service   id.ServiceName
	// Caller is the service on the host where the request began.
	Caller   id.ServiceName
	Route    id.RouteID
	Customer id.CustomerID
	// Rank orders attempts under load; 0 is the most urgent.
	Rank int
	// Nested says that a target makes the request for one that it is working on.
	Nested     bool
	Idempotent bool
	// Repeat says that an earlier attempt of the request may have reached a target.
	Repeat bool
	// Forced says that the other gates refused the request for their targets' sake.
	Forced bool
	// Remaining is the time until the answer is of no use, Objective the time until it loses worth.
	Remaining time.Duration
	Objective time.Duration
	// OverdueAfter is the duration from which the entry takes such an attempt for overdue; zero when it knows too little.
	OverdueAfter time.Duration
	// Patience bounds the wait for a slot.
	Patience time.Duration
	// HoldBack says that even the empty body of an idempotent attempt is held back, because the host was not reached
	// lately.
	HoldBack bool
	// Policy is the version in force at the entry.
	Policy policy.Version

	Method string
	// URI is the request target as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   *Body
}

// Signals are what a gate tells about an attempt before its end. The methods must not block.
type Signals interface {
	// Queued says that the gate has the attempt and that it waits for a slot.
	Queued()
	// Started says that the gate has the attempt and that it has a slot.
	Started()
	// Overdue says that the attempt takes far longer than usual.
	Overdue()
	// Hopeless says that the attempt will most likely not be answered in time and that others need its slot. The entry
	// decides whether to cancel it, because only it knows what its caller was promised.
	Hopeless()
}

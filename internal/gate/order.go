package gate

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// Order is the queue of waiting attempts and decides in which order they are served. The gate calls it under
// one lock.
type Order interface {
	// Enqueue admits a waiter or returns a *Refused.
	Enqueue(now clock.Time, w Waiter) error
	// Next removes and returns the next waiter of a service for which a slot is free.
	Next(now clock.Time, service id.ServiceName) (Turn, bool)
	// Remove removes a waiter that gave up or was refused; unknown waiters are ignored.
	Remove(w WaiterID)
	// Served reports how long an attempt held its slot.
	Served(service id.ServiceName, customer id.CustomerID, took time.Duration)
	// Len returns the number of waiters of a service.
	Len(service id.ServiceName) int
}

// WaiterID identifies a waiter at one gate.
type WaiterID uint64

// Waiter is an attempt that waits for a slot.
type Waiter struct {
	ID       WaiterID
	Service  catalogue.Service
	Customer id.CustomerID
	// Weight is the customer's share relative to others, at least 1.
	Weight int
	// Remaining is the time left for the attempt.
	Remaining time.Duration
	// Slots is the number of slots of the service's targets at this gate that admit all attempts.
	Slots int
}

// Turn is the waiter to serve next.
type Turn struct {
	ID WaiterID
	// Shed is true if the waiter is refused instead of served, because its remaining time is too short.
	Shed bool
}

// RefusedError is the reason for which an attempt was not dispatched.
type RefusedError struct {
	Code problem.Code
	// RetryAfter is zero when unknown.
	RetryAfter time.Duration
}

// Error implements error.
func (r *RefusedError) Error() string {
	return "refused: " + string(r.Code)
}

package fairqueue

import (
	"fmt"
	"time"
)

// Reason says why a request was refused or shed.
type Reason int

// The reasons of a refusal.
const (
	// QueueFull means that the queue is full and the customer's own queue is the
	// longest relative to its weight.
	QueueFull Reason = iota
	// CustomerQueueFull means that the customer has reached its limit of waiting requests.
	CustomerQueueFull
	// DeadlineTooShort means that the remaining time is shorter than the expected service time.
	DeadlineTooShort
)

// String returns a text for error messages.
func (r Reason) String() string {
	switch r {
	case QueueFull:
		return "queue full"
	case CustomerQueueFull:
		return "customer's bound reached"
	case DeadlineTooShort:
		return "deadline too short"
	}
	return fmt.Sprintf("reason %d", int(r))
}

// Refusal is the error for a request that was refused or shed. It guarantees that the request has not run.
type Refusal struct {
	Reason Reason
	// Expected is the expected service time, for DeadlineTooShort.
	Expected time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	if r.Reason == DeadlineTooShort {
		return fmt.Sprintf("%v: service is expected to take %v", r.Reason, r.Expected)
	}
	return r.Reason.String()
}

// Shed is a waiting request that the queue removed without serving it.
type Shed struct {
	Ticket  Ticket
	Refusal *Refusal
}

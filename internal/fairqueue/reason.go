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
	// CustomerBound means that the customer has as many requests waiting as it may.
	CustomerBound
	// DeadlineTooShort means that the remaining time is shorter than the expected service time.
	DeadlineTooShort
)

// String returns the reason in words.
func (r Reason) String() string {
	switch r {
	case QueueFull:
		return "queue full"
	case CustomerBound:
		return "customer's bound reached"
	case DeadlineTooShort:
		return "deadline too short"
	}
	return fmt.Sprintf("reason %d", int(r))
}

// Refusal is the error of a request that the queue did not take or gave up. The request has not run.
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

// Shed is a request that left the queue without being served.
type Shed struct {
	Ticket  Ticket
	Refusal *Refusal
}

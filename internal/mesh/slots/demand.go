package slots

import (
	"strconv"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/customers"
)

// ID identifies an attempt at one gate.
type ID uint64

// Demand describes an attempt to the admission.
type Demand struct {
	ID       ID
	Route    id.RouteID
	Customer id.CustomerID
	// CustomerWork is the recent work at all gates that Entry reports to have started for the customer; zero if unknown.
	CustomerWork time.Duration
	Entry        customers.Reporter
	// Rank orders attempts; 0 is the most urgent.
	Rank int
	// Nested is set for an attempt that a target makes for a request that it is working on.
	Nested     bool
	Idempotent bool
	// Repeat is set if an earlier attempt of the same request may have reached a target.
	Repeat bool
	// Forced is set if the other gates have refused the attempt; it is admitted even if the target is suspected.
	Forced bool
	// Remaining is the time from arrival after which an answer is of no use.
	Remaining time.Duration
	// Objective is the time from arrival within which the answer should be complete; a later one is worth less.
	Objective time.Duration
	// OverdueAfter is the entry's own limit after which such an attempt is overdue; zero if it has too few samples.
	OverdueAfter time.Duration
	// MaxQueueWait bounds the wait for a slot; zero means that the attempt does not wait.
	MaxQueueWait time.Duration
}

// nestedClass is the class of nested attempts, ahead of all ranks: they are short, and refusing one wastes the work of
// the target that made it.
const nestedClass = -1

// Class returns the name of the attempt's class in metrics: one of a fixed set, whatever ranks a configuration has.
func (d Demand) Class() string {
	if d.Nested {
		return "nested"
	}
	return "rank-" + strconv.Itoa(d.level()-1)
}

// class returns the priority class in the queue; lower classes are served first.
func (d Demand) class() int {
	if d.Nested {
		return nestedClass
	}
	return d.Rank
}

// waiter is an attempt in the queue.
type waiter struct {
	Demand
	arrived clock.Time
}

// running is an attempt at the target.
type running struct {
	Demand
	started clock.Time
	// overdue is set once the attempt was counted as overdue.
	overdue bool
	// laterSuccesses counts the attempts that started later and have succeeded.
	laterSuccesses int
	// reclaimRequested is set once the attempt was returned in Decision.Reclaim.
	reclaimRequested bool
}

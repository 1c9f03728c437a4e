package slots

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// ID names an attempt at one gate.
type ID uint64

// Demand is what an attempt needs.
type Demand struct {
	ID       ID
	Route    id.RouteID
	Customer id.CustomerID
	// Rank orders attempts; 0 is the most urgent.
	Rank int
	// Nested attempts are made by a target for a request that it is working on.
	Nested     bool
	Idempotent bool
	// Repeat says that an earlier attempt of the same request may have reached a target.
	Repeat bool
	// Forced attempts were refused by the other gates and pass a suspected target's gate.
	Forced bool
	// Remaining is the time until the answer is of no use.
	Remaining time.Duration
	// Objective is the time until the answer loses a part of its worth.
	Objective time.Duration
	// OverdueAfter is the duration from which the entry takes such an attempt for overdue; zero when it knows too little.
	OverdueAfter time.Duration
	// Patience bounds the wait for a slot; zero means that the attempt does not wait.
	Patience time.Duration
}

// nestedClass is the class of nested attempts, ahead of all ranks: they are short, and one that is refused wastes the
// work of the target that made it.
const nestedClass = -1

// class returns the attempt's place in the order of the queue; lower ones are served first.
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
	// overdue is set once the attempt counted as evidence.
	overdue bool
	// overtaken counts the attempts that started later and have succeeded.
	overtaken int
	// offered is set once the attempt was named as one to give up.
	offered bool
}

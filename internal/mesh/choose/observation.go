package choose

import "time"

// Load is the load of a target as its gate reports it.
type Load struct {
	InUse   int
	Waiting int
	Slots   int
}

// Kind is what an entry observed of a host.
type Kind uint8

const (
	// Answered means that the target answered.
	Answered Kind = iota
	// Busy means that the gate refused because all slots are in use.
	Busy
	// Declined means that the gate refused because of its target's state.
	Declined
	// Unreachable means that no connection could be made or the host did not acknowledge the attempt.
	Unreachable
	// Overdue means that the attempt takes far longer than usual.
	Overdue
	// Started means that the attempt has got a slot.
	Started
	// Ended means that the attempt ended without information about the host.
	Ended
)

// Observation is what an entry observed of a host in one attempt.
type Observation struct {
	Kind Kind
	Load Load
	// LoadKnown is set if Load is valid.
	LoadKnown bool
	// Backoff is the backoff that a declining gate asked for; zero selects the default.
	// Backoff of a Busy observation is the wait that the gate expects; zero when unknown.
	Backoff time.Duration
	// Took is the time from the start of the attempt, Queued whether it was permitted to wait for a slot.
	Took   time.Duration
	Queued bool
	// Admitted is set for the end of an attempt that had a slot.
	Admitted bool
	// MaxWait is the longest wait for a slot that the request bears; zero when unknown.
	MaxWait time.Duration
}

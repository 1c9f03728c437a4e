package choose

import "time"

// Load is what a gate says of its target.
type Load struct {
	InUse   int
	Waiting int
	Slots   int
}

// Kind is what an entry learned about a host.
type Kind uint8

const (
	// Answered means that the target answered.
	Answered Kind = iota
	// Busy means that the gate refused because all slots are in use.
	Busy
	// Declined means that the gate refused because of its target's state.
	Declined
	// Unreachable means that no connection could be made, or the host did not show that it got the attempt.
	Unreachable
	// Overdue means that the attempt takes far longer than usual.
	Overdue
	// Ended means that the attempt ended without telling anything about the host.
	Ended
)

// Report is one observation.
type Report struct {
	Kind Kind
	Load Load
	// LoadKnown says that Load is set.
	LoadKnown bool
	// Rest is the time for which a declining gate asked to be left alone; zero selects the default.
	Rest time.Duration
}

package gate

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Event is what happened at a target.
type Event uint8

const (
	// Dispatched means that an attempt is about to reach the target.
	Dispatched Event = iota
	// Completed means that the target's answer was complete; Status tells whether it was an error.
	Completed
	// Declined means that the target shed the attempt without running it.
	Declined
	// Broken means that the connection broke after the dispatch.
	Broken
	// Silent means that the connection made no progress for the service's limit.
	Silent
	// TimedOut means that the attempt's time was up before the answer was complete.
	TimedOut
	// Cancelled means that the entry went away before the answer was complete; the target is not to blame.
	Cancelled
	// ConnectFailed means that no connection could be made; nothing was dispatched.
	ConnectFailed
	// Restarted means that the target's process was replaced without a leaving announcement.
	Restarted
	// Vanished means that the target stopped announcing itself without leaving.
	Vanished
)

// Observation is one event at a target.
type Observation struct {
	Target id.TargetID
	// Attempt is zero for Restarted and Vanished.
	Attempt id.AttemptID
	Service id.ServiceName
	Event   Event
	At      clock.Time
	// Status is the HTTP status of a Completed or Declined attempt.
	Status int
	// Latency is the time from dispatch to the answer's header, or to the end when there was no complete answer.
	Latency time.Duration
	// NewConnection says that the attempt was the first on its connection; a silent connection that was
	// used before does not prove a silent target.
	NewConnection bool
	Class         hop.Class
	// Deadline is the time by which a Dispatched attempt must have ended.
	Deadline clock.Time
	// Customer is the customer that the attempt runs for; empty for Restarted and Vanished.
	Customer id.CustomerID
	// Fingerprint identifies requests that may crash targets; empty for Restarted and Vanished.
	Fingerprint string
}

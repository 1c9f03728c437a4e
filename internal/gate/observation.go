package gate

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Event is a kind of event at a target.
type Event uint8

const (
	// Dispatched means that an attempt is about to reach the target.
	Dispatched Event = iota
	// Completed means that the target's response was complete; Status tells whether it was an error.
	Completed
	// Declined means that the target shed the attempt without running it.
	Declined
	// Broken means that the connection failed after the dispatch.
	Broken
	// Stalled means that the connection made no progress for the progress timeout.
	Stalled
	// TimedOut means that the attempt's deadline passed before the response was complete.
	TimedOut
	// Cancelled means that the entry disconnected before the response was complete; it is not a failure of the target.
	Cancelled
	// ConnectFailed means that no connection could be made; nothing was dispatched.
	ConnectFailed
	// Restarted means that the target's process was replaced without a leaving announcement.
	Restarted
	// Expired means that the target stopped announcing itself without a leaving announcement.
	Expired
)

// Observation is one event at a target.
type Observation struct {
	Target id.TargetID
	// Attempt is zero for Restarted and Expired.
	Attempt id.AttemptID
	Service id.ServiceName
	Event   Event
	At      clock.Time
	// Status is the HTTP status of a Completed or Declined attempt.
	Status int
	// Latency is the time from the dispatch to the response header, or to the end of the attempt if the response
	// was not complete.
	Latency time.Duration
	// NewConnection is true for the first attempt on a connection. Only then does a stalled connection prove
	// that the target is unresponsive; a reused connection may itself be at fault.
	NewConnection bool
	Class         hop.Class
	// Deadline is the time by which a Dispatched attempt must have ended.
	Deadline clock.Time
	// Customer is the customer that the attempt runs for; empty for Restarted and Expired.
	Customer id.CustomerID
	// Fingerprint identifies requests that may crash targets; empty for Restarted and Expired.
	Fingerprint string
}

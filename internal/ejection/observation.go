package ejection

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Kind is the kind of event that a gate observed in an attempt.
type Kind uint8

const (
	// Started means that the attempt was dispatched to the target.
	Started Kind = iota
	// Succeeded means that the target sent a complete response without an error.
	Succeeded
	// RequestError means that the response is an error caused by the request (4xx); it does not count.
	RequestError
	// TargetError means that the target failed (5xx, broken or truncated response).
	TargetError
	// StalledReused means that a reused connection made no progress in time. It does not count, because
	// the fault may be the connection's.
	StalledReused
	// StalledNew means that a new connection made no progress in time; it counts as an error.
	StalledNew
	// Refused means that the target's address refused the connection: the target crashed.
	Refused
	// Cancelled means that the caller gave up before the end; it does not count.
	Cancelled
)

// Observation is one event of an attempt at one of the gate's targets.
type Observation struct {
	Target  id.TargetID
	Attempt id.AttemptID
	Kind    Kind
	At      clock.Time
	// Latency is the time from dispatch to the end of the response; used when Succeeded.
	Latency time.Duration
	// Deadline is the time by which the attempt must have ended; used when Started.
	Deadline clock.Time
	// Source identifies the customer, so that consecutive errors of one source add little. Zero is no source.
	Source uint64
}

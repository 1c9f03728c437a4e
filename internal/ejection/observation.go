package ejection

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Kind says what a gate observed of one attempt.
type Kind uint8

const (
	// Started means that the attempt was dispatched to the target.
	Started Kind = iota
	// Succeeded means that the target answered completely and in order.
	Succeeded
	// RequestError means that the answer blames the request (4xx); it is no evidence.
	RequestError
	// TargetError means that the target failed (5xx, broken or truncated response).
	TargetError
	// SilentReused means that a reused connection made no progress; the connection is to blame.
	SilentReused
	// SilentNew means that a new connection made no progress.
	SilentNew
	// Refused means that the target's address refused the connection: the target crashed.
	Refused
	// Cancelled means that the caller gave up before the end; it is no evidence.
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
	// Source identifies the customer and route, so that one source of failing requests weighs little.
	Source uint64
}

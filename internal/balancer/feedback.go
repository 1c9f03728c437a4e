package balancer

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Result says how an attempt ended, as far as target choice is concerned.
type Result uint8

const (
	// Completed means that the target answered; an answer that blames the request counts as well.
	Completed Result = iota
	// TargetFailed means that the gate reported an error of the target.
	TargetFailed
	// Refused means that the gate refused the attempt without running it.
	Refused
	// ConnectFailed means that no connection to the gate could be made.
	ConnectFailed
	// Silent means that an open connection to the gate made no progress.
	Silent
	// Cancelled means that the caller gave up; it is no evidence.
	Cancelled
)

// Feedback ends a Pick. Exactly one is reported for every candidate that Pick returned.
type Feedback struct {
	Target id.TargetID
	Result Result
	// Latency is the time from sending to the end of the response; used when Completed.
	Latency time.Duration
	// Load is the gate's report on the target; nil when the hop carried none.
	Load *Load
}

// Load is a gate's report on one target.
type Load struct {
	FreeSlots   int
	QueueLength int
}

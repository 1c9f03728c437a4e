package balancer

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Result says how an attempt ended, as far as target choice is concerned.
type Result uint8

const (
	// Completed means that the target answered, including with an error caused by the request (4xx).
	Completed Result = iota
	// TargetFailed means that the gate reported an error of the target.
	TargetFailed
	// Refused means that the gate refused the attempt without running it.
	Refused
	// ConnectFailed means that no connection to the gate could be made.
	ConnectFailed
	// Stalled means that an established connection to the gate made no progress in time.
	Stalled
	// Cancelled means that the caller gave up, which says nothing about the path or the target.
	Cancelled
)

// Feedback reports how an attempt ended. Report exactly one for every candidate that Pick returned.
type Feedback struct {
	Target id.TargetID
	Result Result
	// Latency is the time from sending to the end of the response; used when Completed.
	Latency time.Duration
	// Load is the target's load as its gate reported it; nil when the response carried none.
	Load *Load
}

// Load is the load of one target as its gate reports it.
type Load struct {
	FreeSlots   int
	QueueLength int
}

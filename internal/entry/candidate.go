package entry

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// Candidate is a target and the gate that serves it.
type Candidate struct {
	Target id.TargetID
	// Gate is the address of the gate's peer listener.
	Gate string
}

// FeedbackKind is the kind of an observation of a candidate.
type FeedbackKind uint8

const (
	// Answered means that the target answered; Status may be an error.
	Answered FeedbackKind = iota
	// Declined means that the gate proved that the attempt did not run, for the stated Reason.
	Declined
	// Failed means that the gate reported an unknown outcome.
	Failed
	// PathFailed means that the connection to the gate broke or could not be made.
	PathFailed
	// PathStalled means that the connection to the gate made no progress in time.
	PathStalled
)

// Feedback is one observation of a candidate by an entry.
type Feedback struct {
	Candidate Candidate
	Service   id.ServiceName
	Kind      FeedbackKind
	Status    int
	Reason    problem.Code
	// Latency is the time from sending to the response's header.
	Latency time.Duration
	// Load is the gate's load for the service; valid only if LoadKnown is set.
	Load      hop.Load
	LoadKnown bool
}

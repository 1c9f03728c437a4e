package entry

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// Candidate is a target and its gate.
type Candidate struct {
	Target id.TargetID
	// Gate is the address of the gate's peer listener.
	Gate string
}

// FeedbackKind is what an entry saw of a candidate.
type FeedbackKind uint8

const (
	// Answered means that the target answered; Status tells whether it was an error.
	Answered FeedbackKind = iota
	// Declined means that the gate proved not-run; Reason tells why.
	Declined
	// Failed means that the gate reported an unknown outcome.
	Failed
	// PathFailed means that the hop broke or could not be made.
	PathFailed
	// PathSilent means that the hop's connection made no progress.
	PathSilent
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
	// Load is the gate's load for the service, valid if LoadKnown.
	Load      hop.Load
	LoadKnown bool
}

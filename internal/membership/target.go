package membership

import "buckthornlatch.example/buckthornlatch/internal/id"

// TargetState is the state of a target as its gate publishes it.
type TargetState uint8

// The states of a target.
const (
	TargetStarting TargetState = iota
	TargetServing
	TargetDraining
	TargetEjected
	// TargetTrial is an ejected target that receives single idempotent requests as trials.
	TargetTrial
)

// String returns the state's name.
func (s TargetState) String() string {
	switch s {
	case TargetStarting:
		return "starting"
	case TargetServing:
		return "serving"
	case TargetDraining:
		return "draining"
	case TargetEjected:
		return "ejected"
	case TargetTrial:
		return "trial"
	}
	return "unknown"
}

// Target is one announced target of the record's host.
type Target struct {
	Name    string
	Service id.ServiceName
	State   TargetState
	// Slots is the target's concurrency.
	Slots int
	TargetSummary
}

// TargetSummary is the part of a Target that changes with its work. It is sent with the status.
type TargetSummary struct {
	// Latency is the coarse service time; zero when nothing was measured.
	Latency CoarseLatency
	// ErrorPercent is the share of recent work that failed, 0 to 100.
	ErrorPercent uint8
	// Suspected is set when the gate has evidence against the target but has not ejected it.
	Suspected bool
}

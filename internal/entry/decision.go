package entry

import (
	"net/http"
	"time"
)

// ClaimID identifies a claim in the ledger.
type ClaimID string

// DecisionKind is what the ledger decided for a send that it does not refuse.
type DecisionKind uint8

const (
	// Run permits one run; Finish must follow.
	Run DecisionKind = iota
	// Replay answers with the recorded response.
	Replay
)

// Decision is the result of Ledger.Begin.
type Decision struct {
	Kind DecisionKind
	// Claim identifies the run for Finish.
	Claim ClaimID
	// ValidFor bounds the time from Begin to dispatch; zero means no bound.
	ValidFor time.Duration
	// Recorded is the response to replay.
	Recorded RecordedResponse
}

// RecordedResponse is a response that the ledger keeps for replays.
type RecordedResponse struct {
	Status int
	Header http.Header
	Body   []byte
}

// OutcomeKind says how a run ended.
type OutcomeKind uint8

const (
	// RunRefused means that the request provably did not run; the claim is void.
	RunRefused OutcomeKind = iota
	// RunAnswered means that the request ran and was answered.
	RunAnswered
	// RunUnknown means that the request may have run.
	RunUnknown
)

// Outcome is how a run ended, with its answer if that was kept.
type Outcome struct {
	Kind OutcomeKind
	// Kept says that Recorded holds the complete answer.
	Kept     bool
	Recorded RecordedResponse
}

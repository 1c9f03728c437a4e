package gate

import (
	"context"

	"github.com/twitchtv/twirp"

	"buckthornlatch.example/buckthornlatch/internal/attempt"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/rpc/fate"
)

// FateServer implements the Fate service over a gate's attempt table.
type FateServer struct {
	gate *Gate
}

// NewFateServer returns the service of a gate.
func NewFateServer(g *Gate) *FateServer {
	return &FateServer{gate: g}
}

// Resolve implements fate.Fate. For an attempt that never arrived, the gate may report not-run only if the
// attempt was sent to this process: an earlier process at the same address may have dispatched it.
func (s *FateServer) Resolve(_ context.Context, r *fate.ResolveRequest) (*fate.ResolveResponse, error) {
	a, err := id.ParseAttemptID(r.GetAttemptId())
	if err != nil {
		return nil, twirp.InvalidArgumentError("attempt_id", err.Error())
	}
	if id.Incarnation(r.GetIncarnation()) != s.gate.config.Incarnation {
		return &fate.ResolveResponse{Outcome: fate.Outcome_OUTCOME_UNKNOWN}, nil
	}
	return &fate.ResolveResponse{Outcome: outcome(s.gate.Resolve(a))}, nil
}

// outcome converts a resolved state.
func outcome(state attempt.State) fate.Outcome {
	switch state {
	case attempt.NotRun:
		return fate.Outcome_OUTCOME_NOT_RUN
	case attempt.Ran:
		return fate.Outcome_OUTCOME_RAN
	case attempt.Dispatched:
		return fate.Outcome_OUTCOME_RUNNING
	default:
		return fate.Outcome_OUTCOME_UNKNOWN
	}
}

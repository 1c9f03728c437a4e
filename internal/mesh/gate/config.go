package gate

import (
	"time"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/dialect"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

// Config is what a gate needs.
type Config struct {
	Host    id.HostID
	Domain  id.FailureDomain
	Service id.ServiceName
	// TargetAddress is where the target listens.
	TargetAddress string
	Headers       dialect.Headers
	Clock         clock.Clock
	// Version returns the version of the policy in force.
	Version func() policy.Version
	// Changed publishes the host's record. It is called without locks.
	Changed func(roster.Record)
	// Log takes one line for each attempt; Events one for each change of the target's state.
	Log    zerolog.Logger
	Events zerolog.Logger
	// Metrics counts attempts.
	Metrics Metrics
}

// Metrics counts what a gate does.
type Metrics interface {
	// Attempt counts an attempt that ended with a verdict for a reason.
	Attempt(verdict, reason string, waited, worked time.Duration)
}

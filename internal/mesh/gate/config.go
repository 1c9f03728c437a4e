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
	// Evidence keeps requests that crash targets away from this one.
	Evidence Evidence
	// Metrics counts attempts.
	Metrics Metrics
}

// Evidence is what is known of requests that crash targets.
type Evidence interface {
	// Started notes that an attempt was handed to the target, Ended its end without a crash.
	Started(fingerprint string)
	Ended(fingerprint string, completed bool)
	// Crashed notes that the target has crashed with all attempts that it was working on.
	Crashed()
	// Any reports whether there is any evidence, Quarantined whether it keeps a request away from targets.
	Any() bool
	Quarantined(fingerprint string) bool
	// Published returns the evidence as it stands in the host's record.
	Published() string
}

// Metrics counts what a gate does.
type Metrics interface {
	// Attempt counts an attempt that ended with a verdict for a reason.
	Attempt(verdict, reason string, waited, worked time.Duration)
}

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

// Config configures a gate.
type Config struct {
	Host    id.HostID
	Domain  id.FailureDomain
	Service id.ServiceName
	// TargetAddress is the address on which the target listens.
	TargetAddress string
	Headers       dialect.Headers
	Clock         clock.Clock
	// StopTime returns how long a planned stop of a host waits for the answers of targets.
	StopTime func() time.Duration
	// FirstStart is set if the whole system starts for the first time, so that no earlier process of this host can have acknowledged
	// anything, unless the store holds a record of one.
	FirstStart bool
	// PolicyVersion returns the version of the policy in force.
	PolicyVersion func() policy.Version
	// PublishRecord publishes the host's record after a change. The returned channel is closed when the store holds it.
	// It is called without the gate's lock held, one call at a time.
	PublishRecord func(roster.Record) (written <-chan struct{})
	// AttemptLog receives one line for each attempt. EventLog receives changes of the target's state, crashes and
	// attempts that cannot be decoded.
	AttemptLog zerolog.Logger
	EventLog   zerolog.Logger
	// CrashEvidence tells which requests crash targets and must not be sent to this one.
	CrashEvidence CrashEvidence
	// Metrics records attempts.
	Metrics Metrics
	// AdmissionMetrics records how slots are divided among classes of attempts; nil records nothing.
	AdmissionMetrics AdmissionMetrics
}

// CrashEvidence records crashes of targets and the requests that may have caused them.
type CrashEvidence interface {
	// Started records that an attempt is handed to the target, Ended that it ended; completed says that the target
	// responded.
	Started(fingerprint string)
	Ended(fingerprint string, completed bool)
	// Crashed records that the target crashed while it ran the attempts that have started and not ended.
	Crashed()
	// Any reports whether there is any evidence, Quarantined whether a request must not be sent to targets.
	Any() bool
	Quarantined(fingerprint string) bool
	// Published returns the evidence in the form published in the host's record.
	Published() string
}

// Metrics records the activity of a gate.
type Metrics interface {
	// Attempt records the end of an attempt: its verdict, the reason, and the time that it waited and ran.
	Attempt(verdict, reason string, waited, worked time.Duration)
}

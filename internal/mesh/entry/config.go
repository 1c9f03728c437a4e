package entry

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/choose"
	"buckthornlatch.example/buckthornlatch/internal/mesh/dialect"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
)

// Config holds the settings and dependencies of an entry.
type Config struct {
	// Service is the service that runs on the entry's host. Targets get it as the caller of the requests that the entry
	// accepts.
	Service id.ServiceName
	Headers dialect.Headers
	Policy  PolicySource
	// PolicyBound returns the time within which a new configuration must be in force.
	PolicyBound func() time.Duration
	Limits      Admitter
	Chooser     *choose.Shared
	Sender      Sender
	// CrashEvidence identifies quarantined requests, which crash targets and are refused.
	CrashEvidence CrashEvidence
	// Pauses tells how old a request may be that was just read.
	Pauses Pauses
	// Clock counts the time for which the machine was suspended.
	Clock clock.Clock
	// Random returns a random number in [0, 1).
	Random func() float64
	// StopLeft returns for how long the host may still be in a planned stop, which must not cost callers their answers.
	StopLeft func() time.Duration
	// Draining is closed when a planned stop begins. StopEnds returns when that ends the requests that are still served; zero
	// before it begins.
	Draining <-chan struct{}
	StopEnds func() time.Time
	// Refusing reports whether new requests are refused, because the process may end before they are answered.
	Refusing func() bool
	// Stopping is closed some time before the process ends; it cancels the attempts that are not running by then.
	// Ending is closed right before the process ends; it cancels all others, and each request is answered with what is
	// known of its outcome.
	Stopping, Ending <-chan struct{}
	Log              zerolog.Logger
	Metrics          Metrics
}

// PolicySource provides the operator's configuration.
type PolicySource interface {
	// Policy returns the configuration in force, nil when none is known, and how long ago the store has confirmed that there
	// is no newer one.
	Policy() (*policy.Snapshot, time.Duration)
}

// Admitter applies the customers' rate limits.
type Admitter interface {
	// Admit takes a token of a customer's rate limit. The error may be a *ratelimit.DeniedError.
	Admit(ctx context.Context, customer id.CustomerID) error
}

// Sender sends attempts to hosts.
type Sender interface {
	Send(ctx context.Context, host id.HostID, a *link.Attempt, signals link.Signals) *link.Result
}

// Pauses knows the pauses of the process.
type Pauses interface {
	// Age returns how long ago something may have arrived that was just read: longer than zero right after a pause.
	Age() time.Duration
}

// CrashEvidence identifies requests that crash targets.
type CrashEvidence interface {
	// Any reports whether there is any evidence, Quarantined whether a request is under quarantine.
	Any() bool
	Quarantined(fingerprint string) bool
}

// Metrics records the requests and repeats of an entry.
type Metrics interface {
	// Request counts a request that was answered with a status; the status is 0 when its caller disconnected.
	Request(status int, code string, took time.Duration)
	// Repeat counts an attempt after one that may have reached a target, or beside one that is in flight.
	Repeat()
	// Begin and End are called when the entry starts and finishes serving a request.
	Begin()
	End()
}

package entry

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/choose"
	"buckthornlatch.example/buckthornlatch/internal/mesh/dialect"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
)

// Config is what an entry needs.
type Config struct {
	// Service runs on the entry's host; targets learn it as the caller of requests that begin there.
	Service id.ServiceName
	Headers dialect.Headers
	Policy  PolicySource
	Limits  Admitter
	Chooser *choose.Shared
	Sender  Sender
	// Evidence keeps requests that crash targets away from them.
	Evidence Evidence
	// Draw returns a random number in [0, 1).
	Draw func() float64
	// Draining reports whether callers should move to another connection.
	Draining func() bool
	// Stopping is closed some time before the process ends: attempts that do not run by then are ended. Ending is closed
	// right before the end: all others are ended too, and each request is answered with what is known of it.
	Stopping, Ending <-chan struct{}
	Log              zerolog.Logger
	Metrics          Metrics
}

// PolicySource knows the operator's configuration.
type PolicySource interface {
	// Policy returns the configuration in force, nil when none is known, and the time since it was last confirmed.
	Policy() (*policy.Snapshot, time.Duration)
}

// Admitter applies the customers' rates.
type Admitter interface {
	// Admit takes a token. The error may be a *ratelimit.Denied.
	Admit(ctx context.Context, customer id.CustomerID) error
}

// Sender makes one attempt at a host.
type Sender interface {
	Send(ctx context.Context, host id.HostID, a *link.Attempt, signals link.Signals) *link.Result
}

// Evidence is what is known of requests that crash targets.
type Evidence interface {
	// Any reports whether there is any evidence, Quarantined whether it keeps a request away from targets.
	Any() bool
	Quarantined(fingerprint string) bool
}

// Metrics counts what an entry does.
type Metrics interface {
	// Request counts a request that was answered with a status, or 0 when its caller went away.
	Request(status int, code string, took time.Duration)
	// Repeat counts an attempt beside or after one that may have reached a target.
	Repeat()
	// Begin and End bound the time in which a request is served.
	Begin()
	End()
}

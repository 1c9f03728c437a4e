package entry

import (
	"context"
	"io"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/rpc/fate"
)

// Deps holds the dependencies of an entry. All must be safe for concurrent use. An error of Authenticator, Admitter,
// Ledger or Tickets may be or wrap a *Refusal, which is then sent to the caller.
type Deps struct {
	Clock         clock.Clock
	Authenticator Authenticator
	Router        Router
	Quarantine    Quarantine
	Admitter      Admitter
	Ledger        Ledger
	Tickets       Tickets
	Picker        Picker
	Sender        Sender
	// Random is the source of randomness for attempt ids, usually crypto/rand.Reader.
	Random io.Reader
	Log    zerolog.Logger
}

// Authenticator maps callers' keys to customers.
type Authenticator interface {
	Authenticate(key string, now clock.Time) (Identity, error)
}

// Router looks up routes. The cost of a lookup must not grow with the number of routes or customers.
type Router interface {
	// Match returns the route and the service of a request. The path is as the caller sent it, with its escapes.
	Match(method, host, path string) (catalogue.Route, catalogue.Service, bool)
	// ListsCustomer reports whether the customer may use a route that is not open to all.
	ListsCustomer(route id.RouteID, customer id.CustomerID) bool
}

// Quarantine holds the fingerprints of requests that are suspected of crashing targets.
type Quarantine interface {
	Check(fingerprint string) QuarantineVerdict
}

// Admitter enforces the customers' rate limits.
type Admitter interface {
	Admit(ctx context.Context, customer id.CustomerID) (Admission, error)
}

// Ledger makes sure that a request with an idempotency key runs at most once.
type Ledger interface {
	// Begin claims the key before dispatch or returns the recorded answer; any other decision is an error. A
	// *Refusal whose Run is problem.NotRun states that no send with the key has run; one with an empty Run
	// states this of the current send only.
	Begin(ctx context.Context, customer id.CustomerID, key, fingerprint string) (Decision, error)
	// Finish records the outcome of a run that Begin permitted. It is called exactly once per run.
	Finish(ctx context.Context, claim ClaimID, outcome Outcome)
}

// Tickets issues idempotency tickets.
type Tickets interface {
	Issue(customer id.CustomerID, count int) ([]string, error)
}

// Picker chooses the candidate for each attempt.
type Picker interface {
	// Pick returns a candidate that is not excluded. Its cost must not grow with the number of targets.
	Pick(service id.ServiceName, exclude []id.TargetID, idempotent bool) (Candidate, bool)
	// PickIsolated returns the one target on which a request that is suspected of crashing targets may run.
	PickIsolated(service id.ServiceName, fingerprint string) (Candidate, bool)
	// Report takes one observation of a candidate into account.
	Report(f Feedback)
}

// Sender sends attempts; *hop.Client implements it.
type Sender interface {
	// Do sends one attempt; the error is a *hop.BrokenError.
	Do(ctx context.Context, call hop.Call) (*hop.AttemptResponse, error)
	// Resolve returns the outcome of an attempt from the gate's process that it was sent to, which blocks the
	// attempt if it was not dispatched. Another process at the address answers unknown.
	Resolve(ctx context.Context, gate string, attempt id.AttemptID, incarnation id.Incarnation) (fate.Outcome, error)
}

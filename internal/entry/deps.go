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

// Deps are the parts that an entry uses. All are safe for concurrent use. Errors of Authenticator, Admitter,
// Ledger and Tickets may be or wrap a *Refusal, which is then shown to the caller.
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
	// Random is the source of attempt ids, usually crypto/rand.Reader.
	Random io.Reader
	Log    zerolog.Logger
}

// Authenticator checks callers' keys.
type Authenticator interface {
	Authenticate(key string, now clock.Time) (Identity, error)
}

// Router looks up routes. The cost must not grow with the number of routes or customers.
type Router interface {
	// Match returns the route and the service of a request.
	Match(method, host, path string) (catalogue.Route, catalogue.Service, bool)
	// Lists reports whether a route that is not open to all lists the customer.
	Lists(route id.RouteID, customer id.CustomerID) bool
}

// Quarantine knows the requests that crash targets.
type Quarantine interface {
	Check(fingerprint string) QuarantineVerdict
}

// Admitter applies the customers' rates and bursts.
type Admitter interface {
	Admit(ctx context.Context, customer id.CustomerID) (Admission, error)
}

// Ledger makes sure that a request with an idempotency key runs at most once.
type Ledger interface {
	// Begin claims the key before dispatch or returns the recorded answer. Any other decision is an error. A
	// *Refusal whose Run is problem.NotRun states that no send with the key has run; an empty Run states it of
	// this send only.
	Begin(ctx context.Context, customer id.CustomerID, key, fingerprint string) (Decision, error)
	// Finish records the end of a run that Begin permitted. It is called exactly once per run.
	Finish(ctx context.Context, claim ClaimID, outcome Outcome)
}

// Tickets issues idempotency tickets.
type Tickets interface {
	Issue(customer id.CustomerID, count int) ([]string, error)
}

// Picker chooses gates.
type Picker interface {
	// Pick returns a candidate that is not excluded. The cost must not grow with the number of targets.
	Pick(service id.ServiceName, exclude []id.TargetID, idempotent bool) (Candidate, bool)
	// Isolate returns the one target on which a request that is suspected of crashing targets may run.
	Isolate(service id.ServiceName, fingerprint string) (Candidate, bool)
	Report(f Feedback)
}

// Sender sends attempts; *hop.Client implements it.
type Sender interface {
	// Do sends one attempt; the error is a *hop.BrokenError.
	Do(ctx context.Context, call hop.Call) (*hop.Answer, error)
	// Resolve asks the gate's process that an attempt was sent to what became of it and blocks it if it was not
	// dispatched. Another process on the address answers unknown.
	Resolve(ctx context.Context, gate string, attempt id.AttemptID, incarnation id.Incarnation) (fate.Outcome, error)
}

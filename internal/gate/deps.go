package gate

import (
	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Deps are the components that a gate depends on.
type Deps struct {
	Clock       clock.Clock
	Catalogue   Catalogue
	Revocations Revocations
	Health      Health
	Quarantine  Quarantine
	// Order decides which queued attempt is next.
	Order Order
	// Changed is called without locks after a target appeared, changed or disappeared; may be nil.
	Changed func()
	Log     zerolog.Logger
}

// Catalogue looks up the current catalogue.
type Catalogue interface {
	// Service returns a service's limits.
	Service(name id.ServiceName) (catalogue.Service, bool)
	// Weight returns a customer's share in the queue, at least 1.
	Weight(customer id.CustomerID) int
}

// Revocations looks up revoked keys.
type Revocations interface {
	// Revoked reports whether the key must no longer be used. Unknown keys count as revoked.
	Revoked(key catalogue.KeyID) bool
}

// Quarantine holds back requests that are suspected of crashing targets.
type Quarantine interface {
	// MayStart reports whether a request may be dispatched now. A quarantined request never may; a suspected
	// one may only while no other run of it is in flight on this host.
	MayStart(fingerprint string) bool
}

// Health detects unhealthy targets from the outcomes of attempts. Implementations are safe for concurrent use.
type Health interface {
	Observe(o Observation)
	Eligible(t id.TargetID, now clock.Time) Eligibility
}

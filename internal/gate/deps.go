package gate

import (
	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Deps are the parts that a gate uses.
type Deps struct {
	Clock       clock.Clock
	Catalogue   Catalogue
	Revocations Revocations
	Health      Health
	Quarantine  Quarantine
	// Order decides which waiting attempt is next.
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

// Revocations knows the revoked keys.
type Revocations interface {
	// Revoked reports whether the key must not be used any more. Unknown keys count as revoked.
	Revoked(key catalogue.KeyID) bool
}

// Quarantine knows the requests that crash targets.
type Quarantine interface {
	// MayStart reports whether a request may be dispatched now: never a quarantined one, and a
	// suspect only while no other run of it is in flight here.
	MayStart(fingerprint string) bool
}

// Health judges targets by their work. Implementations are safe for concurrent use.
type Health interface {
	Observe(o Observation)
	Eligible(t id.TargetID, now clock.Time) Eligibility
}

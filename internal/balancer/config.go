package balancer

import "buckthornlatch.example/buckthornlatch/internal/id"

// Config identifies the local host and seeds the random choices.
type Config struct {
	Host          id.HostID
	FailureDomain id.FailureDomain
	// Seed makes the random choices reproducible.
	Seed uint64
}

package balancer

import "buckthornlatch.example/buckthornlatch/internal/id"

// Config holds the fixed facts of a Balancer.
type Config struct {
	Host          id.HostID
	FailureDomain id.FailureDomain
	// Seed makes the random choices reproducible.
	Seed uint64
}

package choose

import (
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
)

// Query describes the host that an attempt needs.
type Query struct {
	Service id.ServiceName
	// Exclude lists hosts that must not be picked.
	Exclude []id.HostID
	// Regions are those in which the host must be.
	Regions policy.Regions
}

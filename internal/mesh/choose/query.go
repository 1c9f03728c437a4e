package choose

import "buckthornlatch.example/buckthornlatch/internal/id"

// Query describes the host that an attempt needs.
type Query struct {
	Service id.ServiceName
	// Exclude lists hosts that must not be picked.
	Exclude []id.HostID
}

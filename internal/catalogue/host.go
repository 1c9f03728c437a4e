package catalogue

import "buckthornlatch.example/buckthornlatch/internal/id"

// Host declares a host slot. The hosts of a snapshot form the roster.
type Host struct {
	Meta
	ID            id.HostID
	FailureDomain id.FailureDomain
}

package catalogue

import "buckthornlatch.example/buckthornlatch/internal/id"

// Host declares a host slot: a place in the fleet that one host's daemon
// registers for. The hosts of a snapshot form the roster.
type Host struct {
	Meta
	ID            id.HostID
	FailureDomain id.FailureDomain
}

package roster

import "buckthornlatch.example/buckthornlatch/internal/id"

// Record is what a daemon publishes about its host.
type Record struct {
	// Host is the address at which the host's gate receives attempts.
	Host    id.HostID         `json:"host"`
	Domain  id.FailureDomain  `json:"domain"`
	Service id.ServiceName    `json:"service"`
	State   State             `json:"state"`
	Slots   int               `json:"slots"`
	Target  TargetIncarnation `json:"target"`
	// Suspects is the host's evidence about requests that crash targets, as encoded by package crashes.
	Suspects string `json:"suspects,omitempty"`
}

// TargetIncarnation identifies one start of a target.
type TargetIncarnation struct {
	ID string `json:"id"`
	// StartedMS is the start time in Unix milliseconds, which orders the incarnations of a host's target.
	StartedMS int64 `json:"born"`
}

// Valid reports whether a record names a host and a service, and its number of slots is not negative.
func (r Record) Valid() bool {
	return r.Host != "" && r.Service != "" && r.Slots >= 0
}

package roster

import "buckthornlatch.example/buckthornlatch/internal/id"

// Record is what a daemon publishes of its host.
type Record struct {
	// Host is the address at which the host's gate takes attempts.
	Host    id.HostID         `json:"host"`
	Domain  id.FailureDomain  `json:"domain"`
	Service id.ServiceName    `json:"service"`
	State   State             `json:"state"`
	Slots   int               `json:"slots"`
	Target  TargetIncarnation `json:"target"`
	// Suspects is the host's evidence about requests that crash targets, in the form of package crashes.
	Suspects string `json:"suspects,omitempty"`
}

// TargetIncarnation identifies one start of a target.
type TargetIncarnation struct {
	ID string `json:"id"`
	// Born is the time of the start in Unix milliseconds. It orders the incarnations of a host's target.
	Born int64 `json:"born"`
}

// Valid reports whether a record names a host and a service.
func (r Record) Valid() bool {
	return r.Host != "" && r.Service != "" && r.Slots >= 0
}

package daemon

import (
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/registration"
)

// owner describes this process for its registration.
func (d *Daemon) owner() registration.Owner {
	return registration.Owner{
		Host:          id.HostID(d.settings.Host.Name),
		FailureDomain: id.FailureDomain(d.settings.Host.FailureDomain),
		Incarnation:   d.incarnation,
		Peer:          d.listeners.peer.Addr().String(),
	}
}

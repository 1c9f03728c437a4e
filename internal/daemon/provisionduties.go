package daemon

import (
	"buckthornlatch.example/buckthornlatch/internal/grants"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/registration"
)

// provisionDuties builds the registration, the ownership state and the limits.
func (d *Daemon) provisionDuties() {
	host := id.HostID(d.settings.Host.Name)
	d.duties = newDuties(host, d.log)
	d.peers = &peerDirectory{scheme: d.peerScheme(), gossip: d.gossip}
	d.registrar = registration.New(d.platform.Table())
	d.owners = &ownerWatch{
		registrar: d.registrar,
		clock:     d.clock,
		log:       d.log,
		interval:  d.settings.Platform.PollInterval,
		onChange:  d.registrationsChanged,
	}
	d.limits = newLimits(host, d.syncer, d.duties)
	d.grants = grants.New(grants.Config{
		Clock:     d.clock,
		Self:      host,
		Placement: d.limits,
		Peers:     d.peers,
		HTTP:      d.controlClient,
		Distance:  d.distance,
	}, &d.limits.holder)
}

// distance ranks hosts by proximity: 0 is this host, 1 its failure domain, 2 any other.
func (d *Daemon) distance(host id.HostID) int {
	if host == d.duties.self {
		return 0
	}
	found := d.syncer.Snapshot().Host(host)
	if found != nil && string(found.FailureDomain) == d.settings.Host.FailureDomain {
		return 1
	}
	return 2
}

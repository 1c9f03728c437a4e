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
	d.peers = &peerBook{scheme: d.peerScheme(), gossip: d.gossip}
	d.registrar = registration.New(d.platform.Table())
	d.owners = &ownerWatch{
		registrar: d.registrar,
		clock:     d.clock,
		log:       d.log,
		interval:  d.settings.Platform.PollInterval,
		learn:     d.learnOwners,
	}
	d.limits = newLimits(host, d.syncer, d.duties)
	d.grants = grants.New(grants.Config{
		Clock:     d.clock,
		Self:      host,
		Placement: d.limits,
		Peers:     d.peers,
		HTTP:      d.client,
		Distance:  d.distance,
	}, &d.limits.holder)
}

// distance orders hosts by failure domain: own host, own domain, elsewhere.
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

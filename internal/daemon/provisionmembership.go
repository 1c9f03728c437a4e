package daemon

import (
	"buckthornlatch.example/buckthornlatch/internal/balancer"
	"buckthornlatch.example/buckthornlatch/internal/gossip"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

// provisionMembership builds gossip, the freshness cache and the load balancer.
func (d *Daemon) provisionMembership() {
	host := id.HostID(d.settings.Host.Name)
	domain := id.FailureDomain(d.settings.Host.FailureDomain)
	peer := d.listeners.peer.Addr().String()
	d.balancer = balancer.NewShared(balancer.Config{
		Host:          host,
		FailureDomain: domain,
		Seed:          uint64(d.incarnation),
	}, d.clock)
	d.gossip = gossip.New(gossip.Config{
		Membership: membership.Config{
			Self:          host,
			FailureDomain: domain,
			Addresses:     membership.Addresses{Control: peer, Hop: peer},
			Incarnation:   d.incarnation,
			Period:        d.settings.Peers.GossipInterval,
			Seed:          uint64(d.incarnation),
			Riders: []membership.Rider{
				&catalogueRider{replica: d.syncer.Replica},
				&revocationRider{set: d.revoked},
			},
		},
		Seeds:    d.settings.Peers.Seeds,
		Scheme:   d.peerScheme(),
		Client:   d.controlClient,
		Clock:    d.clock,
		Log:      d.log,
		Timeout:  d.settings.Peers.Timeout,
		OnChange: d.recordsChanged,
	})
	d.fresh = &freshnessCache{catalogue: d.syncer, gossip: d.gossip, clock: d.clock}
}

// peerScheme returns the URL scheme of calls to peers.
func (d *Daemon) peerScheme() string {
	if d.settings.TLS.Enabled() {
		return "https"
	}
	return "http"
}

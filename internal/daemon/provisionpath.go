package daemon

import (
	"crypto/rand"

	"buckthornlatch.example/buckthornlatch/internal/entry"
	"buckthornlatch.example/buckthornlatch/internal/gate"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// provisionPath builds the entry and the gate.
func (d *Daemon) provisionPath() {
	host := id.HostID(d.settings.Host.Name)
	routes := &router{catalogue: d.syncer}
	auth := &authenticator{catalogue: d.syncer, revoked: d.revoked, fresh: d.fresh}
	ledgers := newLedgerAdapter(d.tickets)
	d.hop = hop.NewClient(hop.Config{TLS: d.hopTLS()}, d.clock)
	d.gate = gate.New(gate.Config{Host: host, Incarnation: d.incarnation}, gate.Deps{
		Clock:       d.clock,
		Catalogue:   routes,
		Revocations: auth,
		Health:      d.health,
		Quarantine:  d.health,
		Order:       newMeteredOrder(newFairOrder(d.clock), d.metrics),
		Changed:     func() { notify(d.targetsChanged) },
		Log:         d.log,
	})
	d.entry = entry.New(entry.Config{RetryFraction: d.settings.Limits.RetryFraction}, withMetrics(entry.Deps{
		Clock:         d.clock,
		Authenticator: auth,
		Router:        routes,
		Quarantine:    &quarantineCheck{quarantine: d.quarantine},
		Admitter:      &admitter{grants: d.grants, limits: d.limits, gossip: d.gossip, clock: d.clock},
		Ledger:        ledgers,
		Tickets:       ledgers,
		Picker:        &picker{balancer: d.balancer, quarantine: d.quarantine, gossip: d.gossip, clock: d.clock},
		Sender:        d.hop,
		Random:        rand.Reader,
		Log:           d.log,
	}, d.metrics))
}

package daemon

import (
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/gate"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

// Addresses are the open addresses of a daemon, ip:port.
type Addresses struct {
	Caller string `json:"caller"`
	Peer   string `json:"peer"`
	Local  string `json:"local"`
	Admin  string `json:"admin"`
}

// Status describes a running daemon.
type Status struct {
	Host        id.HostID      `json:"host"`
	Incarnation id.Incarnation `json:"incarnation"`
	// Epoch is zero before the registration.
	Epoch id.Epoch `json:"epoch"`
	// Ready says that callers should send requests here.
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
	// Fresh is the kind of evidence of freshness on which keys are accepted: none, platform-read
	// or majority.
	Fresh    string             `json:"fresh"`
	Revision catalogue.Revision `json:"revision"`
	// DutiesConfirmed says that the daemon may perform its slot's duties now.
	DutiesConfirmed bool `json:"duties_confirmed"`
	KnownHosts      int  `json:"known_hosts"`
	KnownTargets    int  `json:"known_targets"`
	// Targets are those of this host.
	Targets []gate.TargetStatus `json:"targets"`
}

// Addresses returns the open addresses; call it after Provision.
func (d *Daemon) Addresses() Addresses {
	return Addresses{
		Caller: d.listeners.caller.Addr().String(),
		Peer:   d.listeners.peer.Addr().String(),
		Local:  d.listeners.local.Addr().String(),
		Admin:  d.listeners.admin.Addr().String(),
	}
}

// Status returns the daemon's state.
func (d *Daemon) Status() Status {
	now := d.clock.Now()
	verdict := d.fresh.verdict()
	status := Status{
		Host:            d.duties.self,
		Incarnation:     d.incarnation,
		Epoch:           d.state.Epoch(),
		Ready:           verdict.Fresh(now) && !d.state.draining.Load(),
		Draining:        d.state.draining.Load(),
		Fresh:           verdict.Basis.String(),
		Revision:        d.syncer.Snapshot().Revision(),
		DutiesConfirmed: d.duties.Confirmed(now),
		Targets:         d.gate.Targets(),
	}
	d.gossip.View(func(t *membership.Table) {
		records := t.Records()
		status.KnownHosts = len(records)
		for _, record := range records {
			status.KnownTargets += len(record.Targets)
		}
	})
	return status
}

// Snapshot returns the current catalogue.
func (d *Daemon) Snapshot() *catalogue.Snapshot {
	return d.syncer.Snapshot()
}

// PublishedTargets returns the host's targets as published to other daemons.
func (d *Daemon) PublishedTargets() []membership.Target {
	var targets []membership.Target
	d.gossip.View(func(t *membership.Table) { targets = t.Self().Targets })
	return targets
}

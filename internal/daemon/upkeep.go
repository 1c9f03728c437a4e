package daemon

import (
	"context"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/membership"
	"buckthornlatch.example/buckthornlatch/internal/registration"
	"buckthornlatch.example/buckthornlatch/internal/targetapi"
)

const (
	// upkeepPeriod is the time between two evaluations of what changes with time alone.
	upkeepPeriod = 250 * time.Millisecond
	// registerBackoff is the pause after a failed registration.
	registerBackoff = 2 * time.Second
)

// upkeep publishes the daemon's own state and evaluates freshness until ctx ends.
func (d *Daemon) upkeep(ctx context.Context) error {
	ticker := time.NewTicker(upkeepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.targetsChanged:
			d.publishTargets()
		case <-d.applied:
			d.publishStatus()
		case <-ticker.C:
			d.publishStatus()
			d.recordsChanged()
		}
	}
}

// recordsChanged takes over membership changes. It is called without locks.
func (d *Daemon) recordsChanged() {
	d.gossip.View(d.balancer.Sync)
	d.fresh.update()
}

// publishStatus publishes the revision, the epoch and the last platform read.
func (d *Daemon) publishStatus() {
	status := d.syncer.Status()
	d.gossip.Update(func(t *membership.Table) {
		if status.Confirmed {
			t.NotePlatformRead(status.ConfirmedAt)
		}
		t.SetStatus(membership.Status{
			Epoch:              d.state.Epoch(),
			CatalogueRevision:  status.Revision,
			RosterAcknowledged: status.Revision,
		})
	})
}

// publishTargets publishes the announced targets.
func (d *Daemon) publishTargets() {
	var targets []membership.Target
	for _, status := range d.gate.Targets() {
		targets = append(targets, membership.Target{
			Name:    status.ID.Name,
			Service: status.Service,
			State:   publishedState(status.State),
			Slots:   status.Slots,
		})
	}
	d.gossip.Update(func(t *membership.Table) {
		t.SetTargets(targets)
	})
	d.recordsChanged()
}

// publishedState converts an announced state.
func publishedState(s targetapi.State) membership.TargetState {
	switch s {
	case targetapi.Serving:
		return membership.TargetServing
	case targetapi.Starting:
		return membership.TargetStarting
	default:
		return membership.TargetDraining
	}
}

// register registers the process for its host slot and learns the peers'
// addresses, repeating until both worked once.
func (d *Daemon) register(ctx context.Context) error {
	for {
		err := d.registerOnce(ctx)
		if err == nil {
			return nil
		}
		d.log.Warn().Err(err).Msg("registration: not registered yet")
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(registerBackoff):
		}
	}
}

// registerOnce makes one try.
func (d *Daemon) registerOnce(ctx context.Context) error {
	own, err := d.registrar.Register(ctx, d.owner())
	if err != nil {
		return err
	}
	owners, err := d.registrar.All(ctx)
	if err != nil {
		return err
	}
	d.learnOwners(owners)
	d.state.epoch.Store(uint64(own.Epoch))
	d.log.Info().Uint64("epoch", uint64(own.Epoch)).Int("hosts", len(owners)).Msg("registration: host slot registered")
	return nil
}

// learnOwners takes over the registrations of all slots.
func (d *Daemon) learnOwners(owners []registration.Owner) {
	seeds := append([]string(nil), d.settings.Peers.Seeds...)
	for _, owner := range owners {
		if string(owner.Host) != d.settings.Host.Name {
			seeds = append(seeds, owner.Peer)
		}
	}
	d.gossip.SetSeeds(seeds)
	d.gossip.Update(func(t *membership.Table) {
		for _, owner := range owners {
			t.RaiseEpoch(owner.Host, owner.Epoch)
		}
	})
}

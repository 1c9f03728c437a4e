package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/membership"
	"buckthornlatch.example/buckthornlatch/internal/registration"
)

// register registers the process for its host slot, retrying until it succeeds.
func (d *Daemon) register(ctx context.Context) error {
	// The random delay keeps daemons that start together from writing at the same time.
	pause := rand.N(registerJitter)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
		err := d.registerOnce(ctx)
		if err == nil {
			return nil
		}
		d.log.Warn().Err(err).Msg("registration: failed; retrying")
		pause = jittered(registerBackoff)
	}
}

// registerOnce tries to register once.
func (d *Daemon) registerOnce(ctx context.Context) error {
	own, err := d.registrar.Register(ctx, d.owner())
	if err != nil {
		return err
	}
	d.state.epoch.Store(uint64(own.Epoch))
	if err := d.tickets.StartEpoch(own.Epoch); err != nil {
		return err
	}
	d.duties.registered(own.Epoch)
	d.log.Info().Uint64("epoch", uint64(own.Epoch)).Msg("registration: host slot registered")
	return nil
}

// registrationsChanged updates peer addresses, gossip seeds and epochs from changed
// registrations.
func (d *Daemon) registrationsChanged(owners []registration.Owner) {
	d.peers.addRegistrations(owners)
	d.gossip.SetSeeds(append(d.peers.addresses(d.duties.self), d.settings.Peers.Seeds...))
	d.gossip.Update(func(t *membership.Table) {
		for _, owner := range owners {
			t.RaiseEpoch(owner.Host, owner.Epoch)
		}
	})
}

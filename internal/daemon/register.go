package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/membership"
	"buckthornlatch.example/buckthornlatch/internal/registration"
)

// addresses, repeating until both worked once.
func (d *Daemon) register(ctx context.Context) error {
	// Daemons that start at once must not write at once.
	pause := rand.N(registerSpread)
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
		d.log.Warn().Err(err).Msg("registration: not registered yet")
		pause = jittered(registerBackoff)
	}
}

// registerOnce makes one try.
func (d *Daemon) registerOnce(ctx context.Context) error {
	own, err := d.registrar.Register(ctx, d.owner())
	if err != nil {
		return err
	}
	d.state.epoch.Store(uint64(own.Epoch))
	if err := d.tickets.Registered(own.Epoch); err != nil {
		return err
	}
	d.duties.registered(own.Epoch)
	d.log.Info().Uint64("epoch", uint64(own.Epoch)).Msg("registration: host slot registered")
	return nil
}

// learnOwners takes over new registrations.
func (d *Daemon) learnOwners(owners []registration.Owner) {
	d.peers.learn(owners)
	d.gossip.SetSeeds(append(d.peers.addresses(d.duties.self), d.settings.Peers.Seeds...))
	d.gossip.Update(func(t *membership.Table) {
		for _, owner := range owners {
			t.RaiseEpoch(owner.Host, owner.Epoch)
		}
	})
}

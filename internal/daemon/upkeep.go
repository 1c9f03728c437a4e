package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/ejection"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/freshness"
	"buckthornlatch.example/buckthornlatch/internal/gate"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
	"buckthornlatch.example/buckthornlatch/internal/quarantine"
	"buckthornlatch.example/buckthornlatch/internal/registration"
	"buckthornlatch.example/buckthornlatch/internal/targetapi"
)

const (
	// upkeepPeriod is the time between two evaluations of what changes with time alone.
	upkeepPeriod = 250 * time.Millisecond
	// expirePeriod is the time between two removals of expired ticket records.
	expirePeriod = time.Minute
	// judgePeriod is the time between two looks of the judge at the targets of other hosts.
	judgePeriod = time.Second
	// clockPeriod is the time between two hand-ups of the gates' clocks. Readings serve for a minute.
	clockPeriod = 5 * time.Second
	// registerSpread is the time over which the first registrations are spread.
	registerSpread = 2 * time.Second
	// registerBackoff is the pause after a failed registration.
	registerBackoff = 2 * time.Second
)

// upkeep publishes the daemon's own state and evaluates what depends on time until ctx ends.
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
			d.catalogueApplied()
		case <-ticker.C:
			if d.superseded() {
				return fault.New("serve host slot", string(d.duties.self), errSuperseded)
			}
			d.tick()
		}
	}
}

// superseded reports whether a newer process of the own host was heard.
func (d *Daemon) superseded() (newer bool) {
	d.gossip.View(func(t *membership.Table) { newer = t.Superseded() })
	return newer
}

// tick evaluates what changes with time alone.
func (d *Daemon) tick() {
	d.publishStatus()
	d.recordsChanged()
	now := d.clock.Now()
	d.startHome()
	d.health.tick(now)
	if now.Sub(d.judgedAt) >= judgePeriod {
		d.judgedAt = now
		d.judgePeers()
	}
	d.publishTargets()
	if now.Sub(d.clocksAt) >= clockPeriod {
		d.clocksAt = now
		d.passClocks()
	}
	if now.Sub(d.expiredAt) >= expirePeriod {
		d.expiredAt = now
		d.tickets.Expire()
	}
}

// startHome starts the home when the slot is first confirmed, with the shares of
// the catalogue that the limits act on.
func (d *Daemon) startHome() {
	now := d.clock.Now()
	if d.limits.start(d.state.Epoch(), now) {
		d.catalogueApplied()
	}
}

// catalogueApplied takes a new catalogue over into the parts that keep state by
// it, and acknowledges it only then.
func (d *Daemon) catalogueApplied() {
	snapshot := d.syncer.Snapshot()
	now := d.clock.Now()
	d.duties.rosterChanged(snapshot, now)
	d.limits.apply(snapshot, now)
	d.acted = snapshot.Revision()
	d.duties.actsOn(d.acted)
	d.recordsChanged()
	d.startHome()
	d.publishStatus()
}

// recordsChanged takes over membership changes. It is called without locks.
func (d *Daemon) recordsChanged() {
	d.gossip.View(d.balancer.Sync)
	verdict := d.fresh.update()
	// The catalogue is read after the verdict: what the evidence came with is in it.
	snapshot := d.syncer.Snapshot()
	d.duties.rosterChanged(snapshot, d.clock.Now())
	if verdict.Basis != freshness.None {
		d.gossip.Update((*membership.Table).Confirm)
	}
	var view membershipView
	d.gossip.View(func(t *membership.Table) {
		view = membershipView{
			highestEpoch: t.Epochs().Highest(d.duties.self),
			ownMark:      t.Epochs().Mark(),
			records:      t.Records(),
		}
	})
	d.duties.heard(view, verdict, snapshot.Revision(), d.clock.Now())
}

// publishStatus publishes the revision, the epoch and the last platform read.
func (d *Daemon) publishStatus() {
	status := d.syncer.Status()
	held := d.held()
	ownersAt, ownersRead := d.owners.confirmedAt()
	d.gossip.Update(func(t *membership.Table) {
		if status.Confirmed && ownersRead {
			t.NotePlatformRead(min(status.ConfirmedAt, ownersAt))
		}
		t.SetStatus(membership.Status{
			Epoch:              d.state.Epoch(),
			CatalogueRevision:  d.acted,
			RosterAcknowledged: d.duties.rosterRevision(),
			RevocationsMark:    d.revoked.Digest().Low,
		})
		t.SetHeld(held)
	})
}

// passClocks hands the gates' clocks that gossip carried to the hop client, which
// otherwise needs a round trip before the first attempt at a gate.
func (d *Daemon) passClocks() {
	d.gossip.View(func(t *membership.Table) {
		for _, record := range t.Records() {
			reading, ok := t.PeerClock(record.Host)
			if !ok || record.Host == d.duties.self {
				continue
			}
			clock := hop.GateClock{Incarnation: reading.Incarnation, Millis: reading.Milliseconds}
			d.hop.ObserveClock(record.Addresses.Hop, clock, reading.ReadAt)
		}
	})
}

// held returns the epochs whose ticket records decide here.
func (d *Daemon) held() []membership.Held {
	var out []membership.Held
	for _, held := range d.tickets.Held() {
		out = append(out, membership.Held{Host: held.At.Host, Epoch: held.At.Epoch, Active: held.Active})
	}
	return out
}

// publishTargets publishes the announced targets and the judgement on them.
func (d *Daemon) publishTargets() {
	now := d.clock.Now()
	announced := d.gate.Targets()
	d.health.sync(announced, now)
	targets := make([]membership.Target, 0, len(announced))
	for _, status := range announced {
		targets = append(targets, d.publishedTarget(status, now))
	}
	var suspects []membership.Suspect
	d.quarantine.With(func(q *quarantine.Quarantine, now clock.Time) { suspects = q.Publish(now) })
	d.gossip.Update(func(t *membership.Table) {
		t.SetTargets(targets)
		t.SetSuspects(suspects)
	})
}

// publishedTarget returns what the own record says about a target.
func (d *Daemon) publishedTarget(status gate.TargetStatus, now clock.Time) membership.Target {
	target := membership.Target{
		Name:    status.ID.Name,
		Service: status.Service,
		State:   publishedState(status.State),
		Slots:   status.Slots,
	}
	if target.State != membership.TargetServing {
		return target
	}
	d.judge.With(func(j *ejection.Judge) { target.State, target.TargetSummary = j.Summary(status.ID, now) })
	return target
}

// judgePeers tells the judge and the quarantine what other hosts published.
func (d *Daemon) judgePeers() {
	var peers map[id.ServiceName][]ejection.Peer
	var suspects []membership.Suspect
	d.gossip.View(func(t *membership.Table) {
		peers = peersOf(t, d.duties.self, d.clock.Now())
		for _, record := range t.Records() {
			if record.Host != d.duties.self {
				suspects = append(suspects, record.Suspects...)
			}
		}
	})
	d.judge.With(func(j *ejection.Judge) {
		for service, known := range peers {
			j.SetPeers(service, known)
		}
	})
	if len(suspects) > 0 {
		d.quarantine.With(func(q *quarantine.Quarantine, now clock.Time) { q.Merge(suspects, now) })
	}
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

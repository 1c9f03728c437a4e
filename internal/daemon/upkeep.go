package daemon

import (
	"context"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/ejection"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/freshness"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
	"buckthornlatch.example/buckthornlatch/internal/quarantine"
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

// register registers the process for its host slot and learns the peers'

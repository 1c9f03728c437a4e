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
	// upkeepPeriod is the time between two evaluations of time-dependent state.
	upkeepPeriod = 250 * time.Millisecond
	// expirePeriod is the time between two removals of expired ticket records.
	expirePeriod = time.Minute
	// judgePeriod is the time between two merges of the health that other hosts published.
	judgePeriod = time.Second
	// clockUpdatePeriod is the time between two updates of the hop client's gate clocks. A
	// reading can be used for one minute.
	clockUpdatePeriod = 5 * time.Second
	// registerJitter is the longest random delay before a daemon's first registration.
	registerJitter = 2 * time.Second
	// registerBackoff is the pause after a failed registration.
	registerBackoff = 2 * time.Second
)

// upkeep publishes the daemon's own state and evaluates time-dependent state until ctx ends. It
// fails when a newer process of this host runs.
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

// superseded reports whether gossip showed a newer process of this host.
func (d *Daemon) superseded() (newer bool) {
	d.gossip.View(func(t *membership.Table) { newer = t.Superseded() })
	return newer
}

// tick publishes the daemon's state and evaluates what depends on time.
func (d *Daemon) tick() {
	d.publishStatus()
	d.recordsChanged()
	now := d.clock.Now()
	d.startHome()
	d.health.tick(now)
	if now.Sub(d.peersJudgedAt) >= judgePeriod {
		d.peersJudgedAt = now
		d.mergePeerHealth()
	}
	d.publishTargets()
	if now.Sub(d.clocksUpdatedAt) >= clockUpdatePeriod {
		d.clocksUpdatedAt = now
		d.updateGateClocks()
	}
	if now.Sub(d.ticketsExpiredAt) >= expirePeriod {
		d.ticketsExpiredAt = now
		d.tickets.Expire()
	}
}

// startHome creates the rate-limit home when the slot is first confirmed, and assigns the shares
// of the current catalogue to it.
func (d *Daemon) startHome() {
	now := d.clock.Now()
	if d.limits.start(d.state.Epoch(), now) {
		d.catalogueApplied()
	}
}

// catalogueApplied updates the parts that keep state derived from the catalogue, and only then
// acknowledges the revision.
func (d *Daemon) catalogueApplied() {
	snapshot := d.syncer.Snapshot()
	now := d.clock.Now()
	d.duties.rosterChanged(snapshot, now)
	d.limits.apply(snapshot, now)
	d.activeRevision = snapshot.Revision()
	d.duties.setActiveRevision(d.activeRevision)
	d.recordsChanged()
	d.startHome()
	d.publishStatus()
}

// recordsChanged updates the parts that depend on membership records. It must be called without
// locks.
func (d *Daemon) recordsChanged() {
	d.gossip.View(d.balancer.Sync)
	verdict := d.fresh.update()
	// The catalogue is read after the verdict, so that it includes the changes that came with the
	// evidence.
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
	d.duties.observeMembership(view, verdict, snapshot.Revision(), d.clock.Now())
}

// updateGateClocks passes the gate clocks that gossip carried to the hop client, which otherwise
// needs a round trip before the first attempt at a gate.
func (d *Daemon) updateGateClocks() {
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

// mergePeerHealth passes what other hosts published to the judge and the quarantine.
func (d *Daemon) mergePeerHealth() {
	var peers map[id.ServiceName][]ejection.Peer
	var suspects []membership.Suspect
	d.gossip.View(func(t *membership.Table) {
		peers = peerTargets(t, d.duties.self, d.clock.Now())
		for _, record := range t.Records() {
			if record.Host != d.duties.self {
				suspects = append(suspects, record.Suspects...)
			}
		}
	})
	d.judge.With(func(j *ejection.Detector) {
		for service, known := range peers {
			j.SetPeers(service, known)
		}
	})
	if len(suspects) > 0 {
		d.quarantine.With(func(q *quarantine.Quarantine, now clock.Time) { q.Merge(suspects, now) })
	}
}

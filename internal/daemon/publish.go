package daemon

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/ejection"
	"buckthornlatch.example/buckthornlatch/internal/gate"
	"buckthornlatch.example/buckthornlatch/internal/membership"
	"buckthornlatch.example/buckthornlatch/internal/quarantine"
	"buckthornlatch.example/buckthornlatch/internal/targetapi"
)

// publishStatus publishes the catalogue revision, the epoch, the held records and the last
// platform read to peers.
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
			CatalogueRevision:  d.activeRevision,
			RosterAcknowledged: d.duties.rosterRevision(),
			RevocationsMark:    d.revoked.Digest().Low,
		})
		t.SetHeld(held)
	})
}

// held returns the epochs whose ticket records are held here.
func (d *Daemon) held() []membership.HeldEpoch {
	var out []membership.HeldEpoch
	for _, held := range d.tickets.HeldLedgers() {
		out = append(out, membership.HeldEpoch{Host: held.At.Host, Epoch: held.At.Epoch, Active: held.Active})
	}
	return out
}

// publishTargets publishes the announced targets with their health, and the suspected requests.
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

// publishedTarget returns a target as this host's membership record shows it.
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
	d.judge.With(func(j *ejection.Detector) { target.State, target.TargetSummary = j.Summary(status.ID, now) })
	return target
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

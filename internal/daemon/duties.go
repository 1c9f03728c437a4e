package daemon

import (
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/freshness"
	"buckthornlatch.example/buckthornlatch/internal/handover"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
	"buckthornlatch.example/buckthornlatch/internal/membership"
	"buckthornlatch.example/buckthornlatch/internal/ownership"
)

// duties holds the ownership state of the daemon's host slot and the placement of all duties. It
// is safe for concurrent use.
type duties struct {
	self      id.HostID
	log       zerolog.Logger
	placement atomic.Pointer[ownership.Placement]

	mu        sync.Mutex
	state     *ownership.State
	revisions revisionFence
	// epoch is the registered epoch; zero before the registration.
	epoch id.Epoch
	// activeRevision is the catalogue revision that the limits use. Evidence of freshness that
	// came with a newer revision does not confirm duties until the limits use that revision.
	activeRevision catalogue.Revision
	// firstFreshAt is the time at which this process was first fresh; it is valid if seenFresh is
	// set.
	firstFreshAt clock.Time
	seenFresh    bool
	// held is set once the registration was passed to state.
	held bool
	// returnedStanding is what the delegate of the previous epoch returned, until it is passed to
	// state.
	returnedStanding *ownership.Standing
	// delegated holds the states of slots that this process is the delegate for.
	delegated map[ledger.Location][]handover.DutyState
}

// newDuties returns duties without a registration and with an empty roster.
func newDuties(self id.HostID, log zerolog.Logger) *duties {
	d := &duties{
		self:      self,
		log:       log,
		state:     ownership.New(self),
		delegated: make(map[ledger.Location][]handover.DutyState),
	}
	d.placement.Store(ownership.NewPlacement(ownership.NewRoster(0, 0, nil)))
	return d
}

// registered records the epoch that the platform assigned.
func (d *duties) registered(epoch id.Epoch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.epoch = epoch
}

// rosterChanged applies the roster of a catalogue snapshot if its revision differs from the
// current one. An empty roster is ignored.
func (d *duties) rosterChanged(snapshot *catalogue.Snapshot, now clock.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if last, _ := snapshot.RosterRevisions(); last == d.state.RosterRevision() {
		return
	}
	roster := rosterOf(snapshot)
	if len(roster.Members) == 0 {
		return
	}
	d.state.RosterChanged(roster, now)
	d.revisions.setRoster(roster)
	d.placement.Store(ownership.NewPlacement(roster))
}

// observeMembership updates the ownership state from the membership table and the freshness
// verdict. revision is that of a catalogue snapshot read after the verdict.
func (d *duties) observeMembership(view membershipView, verdict freshness.Verdict, revision catalogue.Revision, now clock.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.RecordEpoch(d.self, view.highestEpoch)
	for _, record := range view.records {
		d.revisions.acknowledge(record.Host, record.Status.CatalogueRevision, now)
		if record.Status.EpochsMark != view.ownMark {
			continue
		}
		d.state.Acknowledged(ownership.Acknowledgement{
			From:   record.Host,
			Slot:   d.self,
			Epoch:  view.highestEpoch,
			Roster: record.Status.RosterAcknowledged,
		}, now)
	}
	if verdict.Basis == freshness.None || revision > d.activeRevision {
		return
	}
	if !d.seenFresh {
		d.seenFresh, d.firstFreshAt = true, now
	}
	d.state.RecordFreshness(verdict.Until.Add(-freshness.Window))
	d.startHolding(now)
}

// startHolding starts the holding of the slot once no earlier holder can use an older roster than
// the one known here: one fence after this process was first fresh. It does not wait in the first
// epoch of a slot, which has no earlier holder, nor after a delegate returned the duties, since
// no earlier holder can act then.
func (d *duties) startHolding(now clock.Time) {
	placement := d.placement.Load()
	if d.epoch == 0 || !d.seenFresh || len(placement.Roster().Members) == 0 {
		return
	}
	if !d.held && (d.epoch == 1 || d.returnedStanding != nil || now.Sub(d.firstFreshAt) >= ownership.FenceDuration) {
		d.held = true
		d.state.Registered(ownership.Registration{
			Epoch:   d.epoch,
			Rosters: []ownership.Roster{placement.Roster()},
		}, now)
		d.log.Info().Uint64("epoch", uint64(d.epoch)).Bool("returned", d.returnedStanding != nil).
			Msg("ownership: holding starts")
	}
	if d.held && d.returnedStanding != nil {
		d.state.DelegateReturned(*d.returnedStanding, now)
		d.returnedStanding = nil
	}
}

// Confirmed implements ratelimit.Duty.
func (d *duties) Confirmed(now clock.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.ConfirmSlot(d.self, now).OK()
}

// Settled implements ratelimit.Duty.
func (d *duties) Settled(revision catalogue.Revision, now clock.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revisions.isSettled(revision, now)
}

// setActiveRevision records the catalogue revision that the limits use.
func (d *duties) setActiveRevision(revision catalogue.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.activeRevision = max(d.activeRevision, revision)
}

// rosterRevision returns the revision of the roster that this process uses.
func (d *duties) rosterRevision() catalogue.Revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.RosterRevision()
}

// leave stops all duties permanently.
func (d *duties) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.Leave()
}

// membershipView is what the duties need from the membership table, read under one lock.
type membershipView struct {
	highestEpoch id.Epoch
	ownMark      uint64
	records      []*membership.Record
}

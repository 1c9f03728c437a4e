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

// duties guards the ownership state of the daemon's host slot and the placement
// of all duties. It is safe for concurrent use.
type duties struct {
	self      id.HostID
	log       zerolog.Logger
	placement atomic.Pointer[ownership.Placement]

	mu        sync.Mutex
	state     *ownership.State
	revisions revisionFence
	// epoch is the registered epoch; zero before the registration.
	epoch id.Epoch
	// acted is the catalogue revision that the limits act on. Evidence that came with a
	// newer one confirms nothing until the limits act on it.
	acted catalogue.Revision
	// firstFresh is the time of the first confirmation of this process.
	firstFresh clock.Time
	seenFresh  bool
	// held is set once the state took the registration over.
	held bool
	// returned is what the delegate of the previous epoch gave back.
	returned *ownership.Standing
	// delegated holds the states of slots that this process is the delegate for.
	delegated map[ledger.Location][]handover.DutyState
}

// newDuties returns duties that hold nothing.
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

// registered notes the epoch that the platform gave.
func (d *duties) registered(epoch id.Epoch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.epoch = epoch
}

// rosterChanged takes over the roster of a catalogue snapshot if it is another one.
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

// heard takes over what the membership table and the freshness rule say.
// revision is that of the catalogue read after them.
func (d *duties) heard(view membershipView, verdict freshness.Verdict, revision catalogue.Revision, now clock.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.HeardEpoch(d.self, view.highestEpoch)
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
	if verdict.Basis == freshness.None || revision > d.acted {
		return
	}
	if !d.seenFresh {
		d.seenFresh, d.firstFresh = true, now
	}
	d.state.Fresh(verdict.Until.Add(-freshness.Window))
	d.take(now)
}

// take starts the holding once no earlier holder can use an older roster than
// this process knows. The first epoch of a slot has no earlier holder, and one
// whose duties came back from a delegate has none that could still act.
func (d *duties) take(now clock.Time) {
	placement := d.placement.Load()
	if d.epoch == 0 || !d.seenFresh || len(placement.Roster().Members) == 0 {
		return
	}
	if !d.held && (d.epoch == 1 || d.returned != nil || now.Sub(d.firstFresh) >= ownership.Fence) {
		d.held = true
		d.state.Registered(ownership.Registration{
			Epoch:   d.epoch,
			Rosters: []ownership.Roster{placement.Roster()},
		}, now)
		d.log.Info().Uint64("epoch", uint64(d.epoch)).Bool("returned", d.returned != nil).
			Msg("ownership: holding starts")
	}
	if d.held && d.returned != nil {
		d.state.DelegateReturned(*d.returned, now)
		d.returned = nil
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

// actsOn notes the catalogue revision that the limits act on.
func (d *duties) actsOn(revision catalogue.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.acted = max(d.acted, revision)
}

// rosterRevision returns the revision of the roster that this process acts on.
func (d *duties) rosterRevision() catalogue.Revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.RosterRevision()
}

// leave stops all duties for good.
func (d *duties) leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.Leave()
}

// membershipView is what the duties need of the membership table, read at once.
type membershipView struct {
	highestEpoch id.Epoch
	ownMark      uint64
	records      []*membership.Record
}

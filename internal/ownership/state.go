package ownership

import (
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
)

// State is the ownership state of one process.
type State struct {
	self id.HostID
	// holdings are the slots for which the process acts: its own and those delegated to it.
	holdings map[id.HostID]*holding
	// epochs holds the highest known epoch of each slot.
	epochs map[id.HostID]id.Epoch

	// rosters holds the rosters that other processes may still use, oldest first; the last is the newest known.
	// placements holds the placement of each.
	rosters    []Roster
	placements []*Placement
	// rosterFence delays duties that the newest roster moved until no process can act on an older roster.
	rosterFence fence
	// contiguous is the number of newest placements whose rosters follow one another without
	// a gap, beginning with a settled roster; zero if there is no such sequence.
	contiguous int

	// freshAt is the time of the latest evidence of freshness; it is valid if fresh is set.
	fresh   bool
	freshAt clock.Time
}

// New returns the state of a process that holds nothing.
func New(self id.HostID) *State {
	return &State{
		self:     self,
		holdings: map[id.HostID]*holding{},
		epochs:   map[id.HostID]id.Epoch{},
	}
}

// Registered starts the holding of the process's own slot. A process registers at most once.
func (s *State) Registered(r Registration, now clock.Time) {
	invariant.Check(s.holdings[s.self] == nil, "ownership-register-once", "slot %s registered twice", s.self)
	for _, roster := range r.Rosters {
		s.RosterChanged(roster, now)
	}
	h := &holding{slot: s.self, epoch: r.Epoch}
	if r.first() {
		h.epochFence.waived = true
		s.rosterFence.waived = true
	}
	s.holdings[s.self] = h
	s.RecordEpoch(s.self, r.Epoch)
	s.pruneRosters(now)
}

// RecordFreshness records that the process was fresh at evidence, a reading of its own clock.
// evidence must not be later than the time just before the first of the requests or
// messages was sent whose replies prove the freshness, and everything that the replies
// carry must have been passed to RecordEpoch and RosterChanged before.
func (s *State) RecordFreshness(evidence clock.Time) {
	if !s.fresh || s.freshAt.Before(evidence) {
		s.fresh, s.freshAt = true, evidence
	}
}

// ClearFreshness discards the evidence of freshness. A process that detects a pause in its own execution calls it.
func (s *State) ClearFreshness() {
	s.fresh = false
}

// RecordEpoch records an epoch of a slot that the platform or a host reported.
func (s *State) RecordEpoch(slot id.HostID, epoch id.Epoch) {
	s.epochs[slot] = max(s.epochs[slot], epoch)
}

// RosterChanged records a roster if it is newer than the newest known one.
func (s *State) RosterChanged(r Roster, now clock.Time) {
	s.pruneRosters(now)
	newest, known := s.newest()
	if known && r.Revision <= newest.Revision {
		return
	}
	if s.contiguous > 0 && r.Previous == newest.Revision {
		s.contiguous++
	} else {
		s.contiguous = 0
	}
	s.rosters = append(s.rosters, r)
	s.placements = append(s.placements, NewPlacement(r))
	s.rosterFence = fence{}
}

// newest returns the newest known roster.
func (s *State) newest() (Roster, bool) {
	if len(s.rosters) == 0 {
		return Roster{}, false
	}
	return s.rosters[len(s.rosters)-1], true
}

// Acknowledged counts a host's acknowledgement towards the fences.
func (s *State) Acknowledged(a Acknowledgement, now clock.Time) {
	newest, known := s.newest()
	if !known {
		return
	}
	if a.Roster >= newest.Revision {
		s.rosterFence.acknowledge(a.From, s.rosters, now)
	}
	if h := s.holdings[a.Slot]; h != nil && a.Epoch >= h.epoch {
		h.epochFence.acknowledge(a.From, s.rosters, now)
	}
	s.pruneRosters(now)
}

// pruneRosters removes all rosters but the newest once the roster fence has passed,
// since no process can act on an older one from then on.
func (s *State) pruneRosters(now clock.Time) {
	n := len(s.rosters)
	if n == 0 || !s.rosterFence.passed(now) {
		return
	}
	s.rosters = s.rosters[n-1:]
	s.placements = s.placements[n-1:]
	s.contiguous = 1
}

// Leave stops all duties permanently.
func (s *State) Leave() {
	for _, h := range s.holdings {
		h.stopped = true
	}
}

// Release permanently stops the duties of one slot and returns the state that the receiver
// of the handover needs. ok is false when the process does not hold the slot or released it before.
func (s *State) Release(slot id.HostID, now clock.Time) (standing Standing, ok bool) {
	h := s.holdings[slot]
	if h == nil || h.stopped {
		return Standing{}, false
	}
	h.stopped = true
	s.pruneRosters(now)
	standing = Standing{Slot: slot, Epoch: h.epoch, EpochSettled: h.epochFence.passed(now)}
	if newest, known := s.newest(); known && s.rosterFence.passed(now) {
		standing.SettledRoster = newest.Revision
	}
	return standing, true
}

// DelegateAccepted makes the process the delegate for another slot. It must be called
// only when the handover is complete. It reports false, and changes nothing, when a
// higher epoch of the slot is known.
func (s *State) DelegateAccepted(standing Standing) bool {
	if s.epochs[standing.Slot] > standing.Epoch || standing.Slot == s.self {
		return false
	}
	h := &holding{slot: standing.Slot, epoch: standing.Epoch}
	h.epochFence.waived = standing.EpochSettled
	s.holdings[standing.Slot] = h
	s.RecordEpoch(standing.Slot, standing.Epoch)
	return true
}

// DelegateReturned records that the delegate of the slot's previous epoch gave the duties
// back. If no other epoch lies between and the returned one was settled, no earlier holder
// is left and the new epoch needs no fence.
func (s *State) DelegateReturned(standing Standing, now clock.Time) {
	h := s.holdings[s.self]
	if h == nil || standing.Slot != s.self || standing.Epoch+1 != h.epoch {
		return
	}
	h.epochFence.waived = h.epochFence.waived || standing.EpochSettled
	if newest, known := s.newest(); known && standing.SettledRoster >= newest.Revision {
		s.rosterFence.waived = true
	}
	s.pruneRosters(now)
}

// Epoch returns the epoch under which the process holds a slot; ok is false when it does not.
func (s *State) Epoch(slot id.HostID) (epoch id.Epoch, ok bool) {
	h := s.holdings[slot]
	if h == nil || h.stopped {
		return 0, false
	}
	return h.epoch, true
}

// RosterRevision returns the revision of the newest known roster, for acknowledgements.
func (s *State) RosterRevision() catalogue.Revision {
	newest, _ := s.newest()
	return newest.Revision
}

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
	// epochs are the highest epochs heard.
	epochs map[id.HostID]id.Epoch

	// rosters are those that other processes may still use, oldest first; the last is the newest known.
	rosters    []Roster
	placements []*Placement
	// rosterFence keeps out processes with rosters older than the newest.
	rosterFence fence
	// carried is the number of placements, counted from the newest, over which the process
	// held its duties without a gap; it is zero until a roster is settled.
	carried int

	// fresh is set when freshAt is a confirmation.
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
		h.epochFence.inherited = true
		s.rosterFence.inherited = true
	}
	s.holdings[s.self] = h
	s.HeardEpoch(s.self, r.Epoch)
	s.settle(now)
}

// Fresh confirms the process as of a reading of its own clock. evidence must not be
// later than the moment before the first of the requests or messages was sent whose
// answers confirm it, and everything that they carry must have been reported to
// HeardEpoch and RosterChanged before.
func (s *State) Fresh(evidence clock.Time) {
	if !s.fresh || s.freshAt.Before(evidence) {
		s.fresh, s.freshAt = true, evidence
	}
}

// Paused withdraws the confirmation, for a process that noticed a gap in its own execution.
func (s *State) Paused() {
	s.fresh = false
}

// HeardEpoch reports an epoch of a slot that the platform or a host knows.
func (s *State) HeardEpoch(slot id.HostID, epoch id.Epoch) {
	s.epochs[slot] = max(s.epochs[slot], epoch)
}

// RosterChanged reports a roster. Older ones than the newest known are ignored.
func (s *State) RosterChanged(r Roster, now clock.Time) {
	s.settle(now)
	newest, known := s.newest()
	if known && r.Revision <= newest.Revision {
		return
	}
	if s.carried > 0 && r.Previous == newest.Revision {
		s.carried++
	} else {
		s.carried = 0
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

// Acknowledged counts a host's statement towards the fences.
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
	s.settle(now)
}

// settle forgets the rosters that nobody can use any more.
func (s *State) settle(now clock.Time) {
	n := len(s.rosters)
	if n == 0 || !s.rosterFence.passed(now) {
		return
	}
	s.rosters = s.rosters[n-1:]
	s.placements = s.placements[n-1:]
	s.carried = 1
}

// Leave stops all duties for good.
func (s *State) Leave() {
	for _, h := range s.holdings {
		h.stopped = true
	}
}

// Release stops the duties of one slot for good and returns what the receiver of a
// handover needs. ok is false when the process does not hold the slot or gave it up before.
func (s *State) Release(slot id.HostID, now clock.Time) (standing Standing, ok bool) {
	h := s.holdings[slot]
	if h == nil || h.stopped {
		return Standing{}, false
	}
	h.stopped = true
	s.settle(now)
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
	h.epochFence.inherited = standing.EpochSettled
	s.holdings[standing.Slot] = h
	s.HeardEpoch(standing.Slot, standing.Epoch)
	return true
}

// DelegateReturned reports that the delegate of the slot's previous epoch gave the duties
// back. If no epoch lies between and the returned one was settled, no earlier holder
// is left and the epoch needs no fence.
func (s *State) DelegateReturned(standing Standing, now clock.Time) {
	h := s.holdings[s.self]
	if h == nil || standing.Slot != s.self || standing.Epoch+1 != h.epoch {
		return
	}
	h.epochFence.inherited = h.epochFence.inherited || standing.EpochSettled
	if newest, known := s.newest(); known && standing.SettledRoster >= newest.Revision {
		s.rosterFence.inherited = true
	}
	s.settle(now)
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

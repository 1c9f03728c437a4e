package ownership

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
)

// Confirm decides whether the process may perform a duty with k homes for a slot
// at now. It must be called before each grant of the duty.
func (s *State) Confirm(duty Duty, k int, slot id.HostID, now clock.Time) Confirmation {
	s.pruneRosters(now)
	h := s.holdings[slot]
	if reason := s.check(h, duty, k, now); reason != Confirmed {
		return Confirmation{Reason: reason}
	}
	invariant.Check(!h.stopped && h.epoch >= s.epochs[slot], "ownership-confirmed-held",
		"slot %s confirmed with epoch %d, highest known %d", slot, h.epoch, s.epochs[slot])
	age := now.Sub(s.freshAt)
	invariant.Check(s.fresh && age < ConfirmationTerm, "ownership-confirmed-fresh",
		"slot %s confirmed %s after the last evidence", slot, age)
	return Confirmation{Reason: Confirmed, ValidFor: ConfirmationTerm - age}
}

// check returns the first reason not to confirm the duty, or Confirmed.
func (s *State) check(h *holding, duty Duty, k int, now clock.Time) Reason {
	switch {
	case h == nil || h.stopped:
		return NotHeld
	case s.epochs[h.slot] > h.epoch:
		return Superseded
	case !s.placed(1, duty, k, h.slot):
		return NotPlaced
	case !s.fresh || now.Sub(s.freshAt) >= ConfirmationTerm:
		return NotFresh
	case !h.epochFence.passed(now):
		return EpochUnsettled
	case !s.rosterFence.passed(now) && !s.placedSinceSettled(duty, k, h.slot):
		return RosterUnsettled
	}
	return Confirmed
}

// placedSinceSettled reports whether every roster since the last settled one places the duty
// on the slot. If so, the slot did not take the duty over from another slot, and the roster
// fence does not apply.
func (s *State) placedSinceSettled(duty Duty, k int, slot id.HostID) bool {
	return s.contiguous > 0 && s.placed(s.contiguous, duty, k, slot)
}

// placed reports whether each of the newest n rosters places the duty on the slot.
func (s *State) placed(n int, duty Duty, k int, slot id.HostID) bool {
	if len(s.placements) < n {
		return false
	}
	for _, p := range s.placements[len(s.placements)-n:] {
		if !p.Places(duty, k, slot) {
			return false
		}
	}
	return true
}

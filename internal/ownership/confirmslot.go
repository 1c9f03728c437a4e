package ownership

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// ConfirmSlot decides whether the process may act for a slot at now, whatever the
// duty. It is for holders that check the placement of each duty by themselves, with
// RosterSettled. It must be asked before each grant.
func (s *State) ConfirmSlot(slot id.HostID, now clock.Time) Confirmation {
	s.settle(now)
	h := s.holdings[slot]
	switch {
	case h == nil || h.stopped:
		return Confirmation{Reason: NotHeld}
	case s.epochs[h.slot] > h.epoch:
		return Confirmation{Reason: Superseded}
	case !s.fresh || now.Sub(s.freshAt) >= ConfirmationTerm:
		return Confirmation{Reason: NotFresh}
	case !h.epochFence.passed(now):
		return Confirmation{Reason: EpochUnsettled}
	}
	return Confirmation{Reason: Confirmed, ValidFor: ConfirmationTerm - now.Sub(s.freshAt)}
}

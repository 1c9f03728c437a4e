package ownership

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// ConfirmSlot decides whether the process may act for a slot at now, regardless of the
// duty. It checks neither the placement nor the roster fence: the caller must check for
// each duty that it is placed on the slot and that no older roster can be in use. It
// must be called before each grant.
func (s *State) ConfirmSlot(slot id.HostID, now clock.Time) Confirmation {
	s.pruneRosters(now)
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

package daemon

import (
	"encoding/binary"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/handover"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
	"buckthornlatch.example/buckthornlatch/internal/ownership"
)

// settledPart names the part of a handover that holds the settled catalogue revision: no holder
// acts on an older one.
const settledPart = "settled-revision"

// dutyHandover implements handover.Duties. A delegate stores what it received until the slot's
// next incarnation requests it. It does not perform the rate-limit duties of the slot, so the
// slot's shares are not granted until then.
type dutyHandover struct {
	duties *duties
	clock  clock.Clock
}

// Release implements handover.Duties.
func (h *dutyHandover) Release(at ledger.Location) (ownership.Standing, []handover.DutyState, bool) {
	d := h.duties
	d.mu.Lock()
	defer d.mu.Unlock()
	if epoch, held := d.state.Epoch(at.Host); !held || epoch != at.Epoch {
		return ownership.Standing{}, nil, false
	}
	standing, ok := d.state.Release(at.Host, h.clock.Now())
	states := d.delegated[at]
	if at.Host == d.self {
		settled := binary.AppendUvarint(nil, uint64(d.revisions.settledAt(h.clock.Now())))
		states = []handover.DutyState{{Part: settledPart, Data: settled}}
	}
	delete(d.delegated, at)
	return standing, states, ok
}

// Accept implements handover.Duties.
func (h *dutyHandover) Accept(standing ownership.Standing, states []handover.DutyState) {
	d := h.duties
	d.mu.Lock()
	defer d.mu.Unlock()
	now := h.clock.Now()
	if standing.Slot != d.self {
		if d.state.DelegateAccepted(standing) {
			d.delegated[ledger.Location{Host: standing.Slot, Epoch: standing.Epoch}] = states
		}
		return
	}
	for _, state := range states {
		if revision, n := binary.Uvarint(state.Data); state.Part == settledPart && n > 0 {
			d.revisions.settle(catalogue.Revision(revision))
		}
	}
	d.returnedStanding = &standing
	d.startHolding(now)
}

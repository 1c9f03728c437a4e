package daemon

import (
	"encoding/binary"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/handover"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
	"buckthornlatch.example/buckthornlatch/internal/ownership"
)

// settledPart names the handed-over state that holds the catalogue revision of
// which no older one is acted on any more.
const settledPart = "settled-revision"

// dutyMoves implements handover.Duties over the duties of a daemon. A delegate
// keeps what it received until the slot's next incarnation asks for it; it does
// not perform the rate-limit duties of the slot, whose share rests until then.
type dutyMoves struct {
	duties *duties
	clock  clock.Clock
}

// Release implements handover.Duties.
func (m *dutyMoves) Release(at ledger.Location) (ownership.Standing, []handover.DutyState, bool) {
	d := m.duties
	d.mu.Lock()
	defer d.mu.Unlock()
	if epoch, held := d.state.Epoch(at.Host); !held || epoch != at.Epoch {
		return ownership.Standing{}, nil, false
	}
	standing, ok := d.state.Release(at.Host, m.clock.Now())
	states := d.delegated[at]
	if at.Host == d.self {
		settled := binary.AppendUvarint(nil, uint64(d.revisions.settledAt(m.clock.Now())))
		states = []handover.DutyState{{Part: settledPart, Data: settled}}
	}
	delete(d.delegated, at)
	return standing, states, ok
}

// Accept implements handover.Duties.
func (m *dutyMoves) Accept(standing ownership.Standing, states []handover.DutyState) {
	d := m.duties
	d.mu.Lock()
	defer d.mu.Unlock()
	now := m.clock.Now()
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
	d.returned = &standing
	d.take(now)
}

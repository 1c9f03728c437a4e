package ledgerrun

import (
	"errors"

	"buckthornlatch.example/buckthornlatch/internal/handover"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
)

// Errors of NewCopy and Adopt.
var (
	// ErrTooManyClaims reports that the claims in received ledgers would exceed Settings.MaxAdoptedClaims.
	ErrTooManyClaims = errors.New("no room for the claims of another epoch")
	// ErrHeld reports that this daemon already holds the ledger.
	ErrHeld = errors.New("the ledger is held already")
)

var _ handover.LedgerStore = (*Runner)(nil)

// NewCopy implements handover.LedgerStore.
func (r *Runner) NewCopy(m ledger.Manifest) (*ledger.Copy, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	claims := m.Claims
	for at, h := range r.ledgers {
		n, local := h.size()
		if at == m.At && local {
			return nil, ErrHeld
		}
		if h != r.ownLedger {
			claims += n
		}
	}
	if claims > r.settings.MaxAdoptedClaims {
		return nil, ErrTooManyClaims
	}
	return ledger.NewCopy(m, r.settings.Ledger)
}

// Adopt implements handover.LedgerStore.
func (r *Runner) Adopt(c *ledger.Copy, end ledger.Completion) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h := r.ledgers[c.Location()]; h != nil {
		if _, local := h.size(); local {
			return ErrHeld
		}
	}
	r.addLedger(c.Activate(end, r.clock.Now()))
	return nil
}

// Find implements handover.LedgerStore.
func (r *Runner) Find(at ledger.Location) (handover.Ledger, bool) {
	h := r.find(at)
	if h == nil {
		return nil, false
	}
	_, local := h.size()
	return h, local
}

// PrepareHandovers prepares every ledger that this daemon holds for a handover, when the daemon leaves: it stops
// the duties of the ledger's epoch and seals the ledger.
func (r *Runner) PrepareHandovers(duties handover.Duties) []*handover.Transfer {
	var units []*handover.Transfer
	for _, holding := range r.HeldLedgers() {
		units = append(units, handover.Prepare(r.find(holding.At), duties))
	}
	return units
}

// ownLocation returns the location of this daemon's own ledger; ok is false before StartEpoch.
func (r *Runner) ownLocation() (at ledger.Location, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for at, h := range r.ledgers {
		if h == r.ownLedger {
			return at, true
		}
	}
	return ledger.Location{}, false
}

// Epoch returns the epoch whose tickets this daemon issues; ok is false before StartEpoch.
func (r *Runner) Epoch() (epoch id.Epoch, ok bool) {
	at, ok := r.ownLocation()
	return at.Epoch, ok
}

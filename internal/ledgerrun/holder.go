package ledgerrun

import (
	"errors"

	"buckthornlatch.example/buckthornlatch/internal/handover"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
)

// Errors of offered ledgers.
var (
	// ErrNoRoom reports that the claims for other daemons' epochs would exceed their limit.
	ErrNoRoom = errors.New("no room for the claims of another epoch")
	// ErrHeld reports that the ledger decides here already.
	ErrHeld = errors.New("the ledger is held already")
)

var _ handover.Holder = (*Runner)(nil)

// NewCopy implements handover.Holder.
func (r *Runner) NewCopy(m ledger.Manifest) (*ledger.Copy, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	claims := m.Claims
	for at, h := range r.held {
		n, here := h.size()
		if at == m.At && here {
			return nil, ErrHeld
		}
		if h != r.own {
			claims += n
		}
	}
	if claims > r.settings.MaxAdoptedClaims {
		return nil, ErrNoRoom
	}
	return ledger.NewCopy(m, r.settings.Ledger)
}

// Adopt implements handover.Holder.
func (r *Runner) Adopt(c *ledger.Copy, end ledger.Completion) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h := r.held[c.Location()]; h != nil {
		if _, here := h.size(); here {
			return ErrHeld
		}
	}
	r.hold(c.Activate(end, r.clock.Now()))
	return nil
}

// Find implements handover.Holder.
func (r *Runner) Find(at ledger.Location) (handover.Records, bool) {
	h := r.find(at)
	if h == nil {
		return nil, false
	}
	_, here := h.size()
	return h, here
}

// Units stops the duties of every ledger that decides here and seals it, for a daemon that leaves.
func (r *Runner) Units(duties handover.Duties) []*handover.Unit {
	var units []*handover.Unit
	for _, holding := range r.Held() {
		units = append(units, handover.Prepare(r.find(holding.At), duties))
	}
	return units
}

// ownLocation returns the location of this daemon's own ledger; ok is false before Registered.
func (r *Runner) ownLocation() (at ledger.Location, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for at, h := range r.held {
		if h == r.own {
			return at, true
		}
	}
	return ledger.Location{}, false
}

// Epoch returns the epoch whose tickets this daemon issues; ok is false before Registered.
func (r *Runner) Epoch() (epoch id.Epoch, ok bool) {
	at, ok := r.ownLocation()
	return at.Epoch, ok
}

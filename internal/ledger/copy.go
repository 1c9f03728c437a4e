package ledger

import (
	"errors"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// Errors of NewCopy and Copy.Add.
var (
	ErrCopyTooLarge = errors.New("handed-over records exceed the claim limit")
	ErrCopyRecord   = errors.New("handed-over record is malformed or repeated")
)

// Copy collects the records of a ledger that another daemon hands over. Sends
// can be decided with it only after Activate.
type Copy struct {
	ledger *Ledger
}

// NewCopy returns an empty copy with the limits of settings and the window of the manifest.
func NewCopy(m Manifest, settings Settings) (*Copy, error) {
	settings.Window = m.Window
	if m.Claims > settings.MaxClaims {
		return nil, ErrCopyTooLarge
	}
	l, err := New(m.At, m.Secret, settings)
	if err != nil {
		return nil, err
	}
	return &Copy{ledger: l}, nil
}

// Add adds records to the copy. After an error the copy must be dropped.
func (c *Copy) Add(records []Record) error {
	for _, r := range records {
		if err := c.add(r); err != nil {
			return err
		}
	}
	return nil
}

// add adds one record.
func (c *Copy) add(r Record) error {
	l := c.ledger
	if len(l.index) >= l.settings.MaxClaims {
		return ErrCopyTooLarge
	}
	if _, ok := l.index[r.Random]; ok || r.State < Running || r.State > Undetermined {
		return ErrCopyRecord
	}
	slot := l.insert(claim{
		random: r.Random, fingerprint: r.Fingerprint, serial: r.Serial,
		issued: r.Issued, claimed: r.Claimed, state: r.State,
		status: uint16(r.Response.Status),
	}, r.Customer)
	l.runs.granted++
	if r.State == Finished {
		l.keepResponse(slot, l.slab.at(slot), r.Response)
	}
	return nil
}

// Location returns the slot and epoch whose records are copied.
func (c *Copy) Location() Location {
	return c.ledger.location
}

// Len returns the number of records added so far.
func (c *Copy) Len() int {
	return len(c.ledger.index)
}

// Activate returns the ledger, which may allow runs from now on. It must be
// called only after every record was added, and before the handover is confirmed
// to the sender.
func (c *Copy) Activate(end Completion, now clock.Time) *Ledger {
	l := c.ledger
	l.offset = end.LedgerTime.Sub(now)
	l.nextSerial = end.NextSerial
	l.received, l.receivedAt = true, end.LedgerTime
	l.advance(now)
	return l
}

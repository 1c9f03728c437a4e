package handover

import (
	"buckthornlatch.example/buckthornlatch/internal/ledger"
	"buckthornlatch.example/buckthornlatch/internal/ownership"
)

// Transfer is a ledger that is prepared for handover, with the duties of its epoch if the sender
// performed them. Its records are sealed and its duties are stopped.
type Transfer struct {
	records  Ledger
	manifest ledger.Manifest
	// standing is nil when the ledger is handed over without duties.
	standing *ownership.Standing
	states   []DutyState
	seal     ledger.SealID
	// unresolved is a session of which it is unknown whether the receiver completed it, or nil.
	unresolved *session
}

// Prepare stops the duties of a ledger's epoch and seals the ledger. An earlier transfer of the same
// ledger can no longer be handed over, unless its handover is committed.
func Prepare(records Ledger, duties Duties) *Transfer {
	u := &Transfer{records: records}
	u.manifest = records.Manifest()
	if standing, states, ok := duties.Release(u.manifest.At); ok {
		u.standing, u.states = &standing, states
	}
	u.seal = records.Seal()
	u.manifest = records.Manifest()
	return u
}

// Location returns the slot and epoch of the transfer.
func (u *Transfer) Location() ledger.Location {
	return u.manifest.At
}

// Reopen lets the ledger run tickets again after every handover of the transfer ended in NotTaken, and
// reports whether it may run them. Its duties stay stopped. The transfer must not be used afterwards.
func (u *Transfer) Reopen() bool {
	return u.records.Reopen(u.seal)
}

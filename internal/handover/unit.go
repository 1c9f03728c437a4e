package handover

import (
	"buckthornlatch.example/buckthornlatch/internal/ledger"
	"buckthornlatch.example/buckthornlatch/internal/ownership"
)

// Unit is one ledger on its way to another daemon, with the duties of its epoch if the sender
// performed them. Its records are sealed and its duties stopped.
type Unit struct {
	records  Records
	manifest ledger.Manifest
	// standing is nil when only tickets are handed over.
	standing *ownership.Standing
	states   []DutyState
	seal     ledger.SealID
	// unresolved is the session of which it is unknown whether the receiver completed it.
	unresolved *session
}

// Prepare stops the duties of a ledger's epoch and seals the ledger. An earlier unit of the ledger
// that is not complete can no longer be handed over.
func Prepare(records Records, duties Duties) *Unit {
	u := &Unit{records: records}
	u.manifest = records.Manifest()
	if standing, states, ok := duties.Release(u.manifest.At); ok {
		u.standing, u.states = &standing, states
	}
	u.seal = records.Seal()
	u.manifest = records.Manifest()
	return u
}

// Location returns the slot and epoch of the unit.
func (u *Unit) Location() ledger.Location {
	return u.manifest.At
}

// Reopen lets the ledger run tickets again after every handover of the unit ended NotTaken.
// Its duties stay stopped. The unit must not be used afterwards.
func (u *Unit) Reopen() bool {
	return u.records.Reopen(u.seal)
}

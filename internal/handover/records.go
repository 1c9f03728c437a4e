package handover

import (
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
	"buckthornlatch.example/buckthornlatch/internal/ownership"
	handoverpb "buckthornlatch.example/buckthornlatch/rpc/handover"
)

// Records is one ledger that this daemon holds, safe for concurrent use. The methods are those
// of ledger.Ledger.
type Records interface {
	Seal() ledger.SealID
	Manifest() ledger.Manifest
	Export(seal ledger.SealID, from ledger.Cursor, limit int) ([]ledger.Record, ledger.Cursor, bool, error)
	Completion() ledger.Completion
	Commit(seal ledger.SealID) error
	Aborted()
	Reopen(seal ledger.SealID) bool
	HandOver(receiver id.HostID)
}

// Holder has the ledgers of this daemon.
type Holder interface {
	// NewCopy starts a copy of an offered ledger, or says why there is no room for it.
	NewCopy(m ledger.Manifest) (*ledger.Copy, error)
	// Adopt activates a complete copy. It fails only when the daemon holds the ledger already.
	Adopt(c *ledger.Copy, end ledger.Completion) error
	// Find returns a ledger that this daemon holds and has not handed over.
	Find(at ledger.Location) (Records, bool)
}

// DutyState is the state of one part's duties for a slot, in the part's own encoding.
type DutyState struct {
	Part string
	Data []byte
}

// Duties are the duties that this daemon performs, and their states.
type Duties interface {
	// Release stops the duties of a slot for good and returns what their next holder needs. ok
	// is false when the daemon does not hold the epoch.
	Release(at ledger.Location) (standing ownership.Standing, states []DutyState, ok bool)
	// Accept takes the duties of another slot as delegate, or those of the own slot's previous
	// epoch back.
	Accept(standing ownership.Standing, states []DutyState)
}

// Dialer returns the client of a daemon.
type Dialer func(host id.HostID) (handoverpb.Handover, error)

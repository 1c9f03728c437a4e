package handover

import (
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
	"buckthornlatch.example/buckthornlatch/internal/ownership"
	handoverpb "buckthornlatch.example/buckthornlatch/rpc/handover"
)

// Ledger is one ledger that this daemon holds, safe for concurrent use. The methods are those
// of ledger.Ledger.
type Ledger interface {
	Seal() ledger.SealID
	Manifest() ledger.Manifest
	Export(seal ledger.SealID, from ledger.Cursor, limit int) ([]ledger.Record, ledger.Cursor, bool, error)
	Completion() ledger.Completion
	Commit(seal ledger.SealID) error
	Aborted()
	Reopen(seal ledger.SealID) bool
	HandOver(receiver id.HostID)
}

// LedgerStore gives access to the ledgers that this daemon holds.
type LedgerStore interface {
	// NewCopy starts a copy of an offered ledger. It fails when there is no room for the copy or
	// the daemon already holds the ledger; the sender gets the error as the reason.
	NewCopy(m ledger.Manifest) (*ledger.Copy, error)
	// Adopt activates a complete copy. It fails only when the daemon already holds the ledger.
	Adopt(c *ledger.Copy, end ledger.Completion) error
	// Find returns a ledger that this daemon holds and has not handed over.
	Find(at ledger.Location) (Ledger, bool)
}

// DutyState is the state of one kind of duty for a slot. Part names the kind, which defines the
// encoding of Data.
type DutyState struct {
	Part string
	Data []byte
}

// Duties are the duties that this daemon performs, and their states.
type Duties interface {
	// Release permanently stops the duties of a slot and returns the state that their next holder
	// needs. ok is false when the daemon does not hold the epoch.
	Release(at ledger.Location) (standing ownership.Standing, states []DutyState, ok bool)
	// Accept takes over the duties of another slot as its delegate, or takes back those of its own
	// slot's previous epoch.
	Accept(standing ownership.Standing, states []DutyState)
}

// Dialer returns a client of the handover service on the given host.
type Dialer func(host id.HostID) (handoverpb.Handover, error)

package ledger

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// recordOverheadBytes is the encoded size of a record without customer and response, rounded up.
const recordOverheadBytes = 96

// Manifest describes a ledger whose records are about to be sent.
type Manifest struct {
	At     Location
	Secret Secret
	// Window is the time after issue during which the epoch's tickets may run.
	Window time.Duration
	// Claims is the number of claims before the export; some may expire during it.
	Claims int
}

// Completion is the state that is sent after the last record of an export.
type Completion struct {
	// LedgerTime is the ledger time from which the receiver continues. Every ticket whose claim
	// expired at the sender is expired at this time.
	LedgerTime clock.Time
	// NextSerial is the serial of the next claim.
	NextSerial uint64
}

// Record is one exported claim. Times are in ledger time.
type Record struct {
	Random      Random
	Fingerprint [fingerprintBytes]byte
	Customer    id.CustomerID
	Serial      uint64
	Issued      clock.Time
	Claimed     clock.Time
	State       State
	// Response is complete for Finished and has only the status for FinishedNotKept.
	Response Response
}

// size estimates the encoded size in bytes.
func (r Record) size() int {
	return recordOverheadBytes + len(r.Customer) + r.Response.size()
}

// Cursor is a position in an export; it starts at zero.
type Cursor uint32

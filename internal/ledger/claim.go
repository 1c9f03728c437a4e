package ledger

import (
	"crypto/sha256"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// fingerprintBytes is the length of the stored hash of a request fingerprint.
const fingerprintBytes = 16

// State is the state of a claim.
type State uint8

const (
	// Running means that the request may be dispatched, or was, and has no outcome yet.
	Running State = iota + 1
	// Finished means that the request ran and its response is stored.
	Finished
	// FinishedNotKept means that the request ran and only the status is known.
	FinishedNotKept
	// Undetermined means that the request may have run; this state is final.
	Undetermined
)

// claim is the record of one ticket that was allowed to run.
type claim struct {
	random      Random
	fingerprint [fingerprintBytes]byte
	serial      uint64
	// issued and claimed are in ledger time.
	issued  clock.Time
	claimed clock.Time
	stored  *storedResponse
	// customer indexes the ledger's customer table.
	customer uint32
	// next and previous link the claims of one expiry bucket; noSlot ends the list.
	next, previous uint32
	status         uint16
	// state is zero for a free slot.
	state State
}

// hashFingerprint returns a truncated hash of a fingerprint. Two requests with one ticket whose hashes
// collide are treated as the same request: the second gets the first one's response and does not run.
func hashFingerprint(fingerprint string) [fingerprintBytes]byte {
	sum := sha256.Sum256([]byte(fingerprint))
	return [fingerprintBytes]byte(sum[:fingerprintBytes])
}

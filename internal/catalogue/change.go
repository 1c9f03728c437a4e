package catalogue

import "time"

// MaxEdits bounds the edits of one change.
const MaxEdits = 1000

// ChangeID identifies a change. It is chosen by the operator and unique among
// that operator's changes; a change that is sent again with the same id is
// applied only once.
type ChangeID string

// Change is an accepted change. Its edits take effect atomically.
type Change struct {
	// Revision is the catalogue revision that the change creates.
	Revision Revision
	ID       ChangeID
	// Operator is the name of the operator who made the change.
	Operator string
	// At is the wall-clock time of the daemon that accepted the change. It is used for auditing only.
	At  time.Time
	Why string
	// Edits name each entry at most once.
	Edits []Edit
}

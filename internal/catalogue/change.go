package catalogue

import "time"

// MaxEdits bounds the edits of one change.
const MaxEdits = 1000

// ChangeID is chosen by the operator and unique among that operator's changes.
// A change sent again with the same id is applied once.
type ChangeID string

// Change is an accepted change: its edits take effect together.
type Change struct {
	// Revision is the catalogue revision that the change creates.
	Revision Revision
	ID       ChangeID
	// Operator is the name of the operator who made the change.
	Operator string
	// At is the wall-clock time at the admitting daemon. It is for the audit only.
	At  time.Time
	Why string
	// Edits name each entry at most once.
	Edits []Edit
}

package claims

import (
	"context"
	"fmt"
)

// Revision is the number of the commit that last wrote a row. Zero means that the row does not exist.
type Revision uint64

// Row is one row of the table.
type Row struct {
	Key      string
	Value    []byte
	Revision Revision
}

// Condition requires a row's revision; zero requires that the row does not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Put writes a row.
type Put struct {
	Key   string
	Value []byte
}

// Txn is a transaction: it takes effect entirely or not at all.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Table is the part of the platform's table service that the package uses.
type Table interface {
	// Commit applies a transaction and returns the revision of the rows that it wrote. Its
	// errors are *NotCommittedError, *ConflictError and *OutcomeUnknownError; any other error
	// counts as an unknown outcome.
	Commit(ctx context.Context, txn Txn) (Revision, error)
	// Get returns the rows that exist among keys.
	Get(ctx context.Context, keys []string) ([]Row, error)
}

// NotCommittedError says that a commit certainly had no effect and will have none.
type NotCommittedError struct{ Err error }

// Error implements error.
func (e *NotCommittedError) Error() string { return fmt.Sprintf("commit not done: %v", e.Err) }

// Unwrap returns the cause.
func (e *NotCommittedError) Unwrap() error { return e.Err }

// OutcomeUnknownError says that a commit may have taken effect, or may still do so.
type OutcomeUnknownError struct{ Err error }

// Error implements error.
func (e *OutcomeUnknownError) Error() string { return fmt.Sprintf("commit outcome unknown: %v", e.Err) }

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// ConflictError says that conditions failed and nothing was written.
type ConflictError struct {
	// Current has every row whose condition failed; a row that does not exist has revision zero.
	Current []Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("commit conflicts on %d rows", len(e.Current))
}

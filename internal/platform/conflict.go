package platform

import "fmt"

// ConflictError reports that a condition of a commit failed and nothing was written.
type ConflictError struct {
	// Rows are the current rows of all conditions, in the order of the conditions.
	Rows []Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform commit: a condition on one of %d rows failed", len(e.Rows))
}

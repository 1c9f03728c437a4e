package platform

import "fmt"

// ConflictError reports a commit of which a condition failed; nothing was written.
type ConflictError struct {
	// Rows are the current rows of all conditions, in their order.
	Rows []Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform commit: a condition on one of %d rows failed", len(e.Rows))
}

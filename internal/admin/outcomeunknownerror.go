package admin

import "fmt"

// OutcomeUnknownError reports a change that may have been accepted.
type OutcomeUnknownError struct {
	Err error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("unknown, retry with the same change id: %v", e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error {
	return e.Err
}

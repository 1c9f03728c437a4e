package admin

import "fmt"

// UnknownError reports a change that may have been accepted.
type UnknownError struct {
	Err error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("unknown, retry with the same change id: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error {
	return e.Err
}

package admin

import "fmt"

// UnavailableError reports that the platform could not be used and that
// nothing was changed.
type UnavailableError struct {
	Err error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("nothing was changed: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Err
}

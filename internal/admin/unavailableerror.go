package admin

import "fmt"

// UnavailableError reports that the platform could not be used and that the
// call changed nothing. An earlier call with its change id may have.
type UnavailableError struct {
	Err error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("this call changed nothing: %v", e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error {
	return e.Err
}

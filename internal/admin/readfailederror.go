package admin

import "fmt"

// ReadFailedError reports that the platform could not be read. It says nothing
// about changes.
type ReadFailedError struct {
	Err error
}

// Error implements error.
func (e *ReadFailedError) Error() string {
	return fmt.Sprintf("the platform could not be read: %v", e.Err)
}

// Unwrap returns the cause.
func (e *ReadFailedError) Unwrap() error {
	return e.Err
}

package platform

import "fmt"

// NotDoneError reports a call that is known to have had no effect.
type NotDoneError struct {
	// Step names the call, for example "commit".
	Step string
	// Peer is the platform's address; empty for the in-memory implementation.
	Peer string
	Err  error
}

// Error implements error.
func (e *NotDoneError) Error() string {
	return fmt.Sprintf("platform %s (peer %s): not done: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *NotDoneError) Unwrap() error {
	return e.Err
}

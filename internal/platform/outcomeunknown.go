package platform

import "fmt"

// OutcomeUnknownError reports a failed write that may have taken effect or may still do so.
type OutcomeUnknownError struct {
	// Step names the call, for example "commit".
	Step string
	// Peer is the platform's address.
	Peer string
	Err  error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("platform %s (peer %s): outcome unknown: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error {
	return e.Err
}

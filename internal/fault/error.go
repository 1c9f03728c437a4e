package fault

import "fmt"

// Error is the failure of one step of an operation.
type Error struct {
	// Step is what was attempted, for example "commit catalogue change".
	Step string
	// Peer is the address or name of the remote end; empty for local steps.
	Peer string
	// Err is the cause.
	Err error
}

// New wraps err in an *Error. It returns nil if err is nil.
func New(step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, Err: err}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Step, e.Err)
	}
	return fmt.Sprintf("%s (peer %s): %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

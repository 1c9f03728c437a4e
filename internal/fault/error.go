package fault

import "fmt"

// Error is a failure of one step of a part's work.
type Error struct {
	// Step says what was being done, for example "commit catalogue change".
	Step string
	// Peer is the address or name of the other end; empty for local steps.
	Peer string
	// Err is the cause.
	Err error
}

// New returns an Error, or nil when err is nil.
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

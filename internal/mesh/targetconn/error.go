package targetconn

import (
	"errors"
	"fmt"
)

var (
	// ErrNoAnswer reports answers that all belong to other requests.
	ErrNoAnswer = errors.New("no answer carries the request's id")
	// ErrEncoded reports an answer with a content encoding, which nobody asked for.
	ErrEncoded = errors.New("the answer has a content encoding")
)

// Error is an exchange without a usable answer.
type Error struct {
	Step string
	Peer string
	// Sent says that a byte of the request may have reached the target.
	Sent bool
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("target %s (peer %s, sent %t): %v", e.Step, e.Peer, e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

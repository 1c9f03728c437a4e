package targetconn

import (
	"errors"
	"fmt"
)

var (
	// ErrNoMatchingResponse reports that no response could be attributed to the request.
	ErrNoMatchingResponse = errors.New("no response carries the request's id")
	// ErrContentEncoding reports a response with a content encoding, which was not requested.
	ErrContentEncoding = errors.New("the response has a content encoding")
	// ErrHeadTooLong and ErrBodyTooLong report a response beyond the bounds.
	ErrHeadTooLong = errors.New("the head of the response is too long")
	ErrBodyTooLong = errors.New("the body of the response is too long")
)

// Error reports an exchange without a usable response.
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

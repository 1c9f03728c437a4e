package hop

import (
	"errors"
	"fmt"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

var (
	// ErrTruncated reports a response body that ended early or without its completion trailer.
	ErrTruncated = errors.New("response is truncated")
	// ErrWrongAttempt reports a response that does not belong to the attempt.
	ErrWrongAttempt = errors.New("response belongs to another attempt")
	// ErrStalled reports a connection that stalled.
	ErrStalled = errors.New("connection made no progress")
	// ErrNoClock reports a peer whose clock could not be read, so that no validity stamp could be made.
	ErrNoClock = errors.New("clock of the peer is unknown")
	// errResent reports that net/http tried to send a request a second time.
	errResent = errors.New("request was already sent")
)

// BrokenError reports a call without a usable response.
type BrokenError struct {
	Peer string
	// Sent is false when provably no byte of the request left this process.
	Sent bool
	// Incarnation identifies the peer process that the validity stamp was made for; zero when there was no stamp.
	Incarnation id.Incarnation
	Err         error
}

// Error implements error.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("hop (peer %s, sent %t): %v", e.Peer, e.Sent, e.Err)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error {
	return e.Err
}

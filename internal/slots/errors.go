package slots

import "errors"

var (
	// ErrUnknownService reports a service that was not configured.
	ErrUnknownService = errors.New("service is not configured")
	// ErrClosed reports that the pool hands out no more slots.
	ErrClosed = errors.New("slots are closed")
)

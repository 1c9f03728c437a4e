package platform

import (
	"context"
	"errors"
)

// ErrNoObject reports that no object has the name.
var ErrNoObject = errors.New("no such object")

// ObjectStore keeps whole objects by name. Implementations are safe for concurrent use.
type ObjectStore interface {
	// Put stores the object, replacing an older one of that name.
	// Errors: *NotDoneError, *OutcomeUnknownError.
	Put(ctx context.Context, name string, data []byte) error
	// Get reads the object.
	// Errors: ErrNoObject, *NotDoneError.
	Get(ctx context.Context, name string) ([]byte, error)
}

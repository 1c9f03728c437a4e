package platform

import (
	"context"
	"errors"
)

// ErrNoObject reports that there is no object with the given name.
var ErrNoObject = errors.New("no such object")

// ObjectStore stores objects by name, each written and read as a whole. Implementations are safe for concurrent use.
type ObjectStore interface {
	// Put stores an object, replacing any object of the same name.
	// Errors: *NotDoneError, *OutcomeUnknownError.
	Put(ctx context.Context, name string, data []byte) error
	// Get reads the object.
	// Errors: ErrNoObject, *NotDoneError.
	Get(ctx context.Context, name string) ([]byte, error)
}

package platform

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryLost reports that the changes since a revision are no longer known; the rows must be read anew.
var ErrHistoryLost = errors.New("platform: history is lost")

// Feed is a table that reports changes as they happen. Implementations are safe for concurrent use.
type Feed interface {
	// Commit and Scan are those of Table.
	Commit(ctx context.Context, txn Txn) (Revision, error)
	Scan(ctx context.Context, prefix, after string, limit int) (Rows, error)
	// Watch returns the rows whose keys begin with prefix and that changed after since, in revision order, as soon
	// as there is one, and none when there was no change for the time of wait.
	// Errors: *NotDoneError, which may wrap ErrHistoryLost.
	Watch(ctx context.Context, prefix string, since Revision, wait time.Duration) (Rows, error)
}

package platform

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryLost reports that the changes since a revision are no longer available; the caller must scan the rows again.
var ErrHistoryLost = errors.New("platform: history is lost")

// Feed is a table whose changes can be watched. Implementations are safe for concurrent use.
type Feed interface {
	// Commit and Scan are those of Table.
	Commit(ctx context.Context, txn Txn) (Revision, error)
	Scan(ctx context.Context, prefix, after string, limit int) (Rows, error)
	// Watch returns the rows whose keys begin with prefix and that changed after since, in revision order, as soon
	// as there is one. It returns no rows when there was no change within wait.
	// Errors: *NotDoneError, which may wrap ErrHistoryLost.
	Watch(ctx context.Context, prefix string, since Revision, wait time.Duration) (Rows, error)
}

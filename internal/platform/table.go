package platform

import "context"

// Table is the transactional table service. Implementations are safe for concurrent use.
type Table interface {
	// Commit applies the transaction and returns its revision.
	// Errors: *ConflictError, *NotDoneError, *OutcomeUnknownError.
	Commit(ctx context.Context, txn Txn) (Revision, error)
	// Get reads the rows of the keys, in the order of the keys, as of one
	// revision. For a row that does not exist, Exists returns false.
	// Error: *NotDoneError.
	Get(ctx context.Context, keys []string) (Rows, error)
	// Scan reads at most limit existing rows whose keys begin with prefix and
	// sort after the key after, in key order, as of one revision. A limit below 1
	// leaves the number of rows to the table, which returns at least one if there is any.
	// Error: *NotDoneError.
	Scan(ctx context.Context, prefix, after string, limit int) (Rows, error)
	// Changes reads rows whose keys begin with prefix and that changed after
	// since, deleted ones included, each in its latest state, in revision order.
	// It returns all rows of the commit in which it reaches limit, which may exceed limit, so that a commit is never split.
	// Error: *NotDoneError.
	Changes(ctx context.Context, prefix string, since Revision, limit int) (Rows, error)
}

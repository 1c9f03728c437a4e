package audit

import (
	"context"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/cataloguestore"
)

// MaxPageSize is the largest number of changes read for one page.
const MaxPageSize = 500

// Store is the subset of cataloguestore.Store that a Log uses.
type Store interface {
	Changes(ctx context.Context, after catalogue.Revision, limit int) ([]cataloguestore.Record, bool, error)
}

// Log reads the audit trail. It is safe for concurrent use.
type Log struct {
	store Store
}

// New returns a Log that reads from the store.
func New(store Store) *Log {
	return &Log{store: store}
}

// Page reads the changes that follow query.After, at most query.Limit of them,
// and returns those that match. A page may be empty although more follow.
func (l *Log) Page(ctx context.Context, query Query) (Page, error) {
	limit := query.Limit
	if limit <= 0 || limit > MaxPageSize {
		limit = MaxPageSize
	}
	records, more, err := l.store.Changes(ctx, query.After, limit)
	if err != nil {
		return Page{}, err
	}
	page := Page{Through: query.After, More: more}
	for _, record := range records {
		page.Through = record.Change.Revision
		if query.matches(record.Change) {
			page.Changes = append(page.Changes, WithoutHashes(record.Change))
		}
	}
	return page, nil
}

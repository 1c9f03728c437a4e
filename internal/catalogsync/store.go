package catalogsync

import (
	"context"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/cataloguestore"
)

// Store is the part of cataloguestore.Store that a Syncer uses.
type Store interface {
	Changes(ctx context.Context, after catalogue.Revision, limit int) ([]cataloguestore.Record, bool, error)
	Revisions(ctx context.Context) (head, stored catalogue.Revision, err error)
	LoadSnapshot(ctx context.Context) (*catalogue.Snapshot, error)
	SaveSnapshot(ctx context.Context, snapshot *catalogue.Snapshot) error
}

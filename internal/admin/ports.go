package admin

import (
	"context"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/cataloguestore"
)

// Store is the part of cataloguestore.Store that the API uses.
type Store interface {
	Read(ctx context.Context, operator string, id catalogue.ChangeID, refs []catalogue.Ref) (cataloguestore.State, error)
	Commit(ctx context.Context, state cataloguestore.State, change *catalogue.Change, f cataloguestore.Fingerprint) error
	Change(ctx context.Context, revision catalogue.Revision) (*catalogue.Change, error)
}

// Source is the daemon's copy of the catalogue.
type Source interface {
	Snapshot() *catalogue.Snapshot
	// Poll brings the copy up to date with the platform.
	Poll(ctx context.Context) error
}

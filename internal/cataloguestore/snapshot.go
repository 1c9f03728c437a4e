package cataloguestore

import (
	"context"
	"errors"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/catalogue/codec"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

// Revisions returns the revisions of the catalogue and of the stored snapshot;
// zero where there is none.
func (s *Store) Revisions(ctx context.Context) (head, stored catalogue.Revision, err error) {
	rows, err := s.table.Get(ctx, []string{headKey, snapshotKey})
	if err != nil {
		return 0, 0, err
	}
	if head, err = revisionOf(rows.Rows[0]); err != nil {
		return 0, 0, err
	}
	stored, err = revisionOf(rows.Rows[1])
	return head, stored, err
}

// LoadSnapshot reads the stored snapshot.
// Errors: platform.ErrNoObject, *platform.NotDoneError, and decoding errors.
func (s *Store) LoadSnapshot(ctx context.Context) (*catalogue.Snapshot, error) {
	data, err := s.objects.Get(ctx, snapshotObject)
	if err != nil {
		return nil, err
	}
	return codec.DecodeSnapshot(data)
}

// SaveSnapshot stores the snapshot unless one of the same or a later revision
// is stored. Concurrent calls may overwrite the object with an older snapshot;
// this is safe, readers then only have more changes to read.
func (s *Store) SaveSnapshot(ctx context.Context, snapshot *catalogue.Snapshot) error {
	rows, err := s.table.Get(ctx, []string{snapshotKey})
	if err != nil {
		return err
	}
	stored, err := revisionOf(rows.Rows[0])
	if err != nil || stored >= snapshot.Revision() {
		return err
	}
	data, err := codec.EncodeSnapshot(snapshot)
	if err != nil {
		return err
	}
	if err := s.objects.Put(ctx, snapshotObject, data); err != nil {
		return err
	}
	put, err := revisionRow(snapshotKey, snapshot.Revision())
	if err != nil {
		return err
	}
	condition := platform.Condition{Key: snapshotKey, Revision: rows.Rows[0].Revision}
	_, err = s.table.Commit(ctx, platform.Txn{Conditions: []platform.Condition{condition}, Puts: []platform.Put{put}})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}

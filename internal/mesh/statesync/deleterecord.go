package statesync

import (
	"context"
	"errors"

	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

// DeleteRecord deletes the record of a lost host from the store, unless the record has changed since this host read it.
// If the host is running after all, it sees that its row is missing and writes it again. After an error the row may
// still exist.
func (s *Syncer) DeleteRecord(ctx context.Context, host id.HostID) error {
	s.mu.Lock()
	known, found := s.records[host]
	s.mu.Unlock()
	if !found || known.revision == 0 || host == s.config.Self {
		return nil
	}
	key := s.config.Keys.HostPrefix + string(host)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := s.config.Store.Commit(ctx, platform.Txn{
		Conditions: []platform.Condition{{Key: key, Revision: known.revision}}, Deletes: []string{key},
	})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	if err == nil {
		s.config.Log.Info().Str("peer", string(host)).Uint64("revision", uint64(known.revision)).Msg("sync: deleted the record of a lost host")
	}
	return fault.New("delete host record", string(host), err)
}

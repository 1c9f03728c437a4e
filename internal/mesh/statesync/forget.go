package statesync

import (
	"context"
	"errors"

	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

// Forget removes the record of a host that is lost, unless the record has changed since this host read it. A host that
// lives after all finds its row gone and writes it again. An error means that the row may still be there.
func (s *Syncer) Forget(ctx context.Context, host id.HostID) error {
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
		s.config.Log.Info().Str("peer", string(host)).Uint64("revision", uint64(known.revision)).Msg("sync: lost host forgotten")
	}
	return fault.New("forget host", string(host), err)
}

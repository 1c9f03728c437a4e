package statesync

import (
	"context"
	"errors"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

// departedRetention is how long the record of a host stays unchanged in the store that tells of a target's leaving. It is longer than
// a message can be under way: a connection whose packets are lost gives up within a quarter of an hour.
const departedRetention = time.Hour

// DeleteRecord deletes the record of a lost host from the store, unless the record has changed since this host read it, or tells
// of a leaving and is younger than departedRetention. If the host is running after all, it sees that its row is missing and writes
// it again. After an error the row may still exist.
func (s *Syncer) DeleteRecord(ctx context.Context, host id.HostID) error {
	s.mu.Lock()
	known, found := s.records[host]
	s.mu.Unlock()
	if !found || known.revision == 0 || host == s.config.Self || known.retained() {
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

// retained reports whether the record must not be deleted yet.
func (r storedRecord) retained() bool {
	return r.record.State != roster.Serving && time.Since(r.since) < departedRetention
}

// departedCheckInterval is the time between two searches for records of targets that left long ago.
const departedCheckInterval = 10 * time.Minute

// removeDeparted deletes the records of hosts whose target left long ago, until ctx ends. Only the hosts that watch the store do
// so.
func (s *Syncer) removeDeparted(ctx context.Context) {
	for clock.Sleep(ctx, departedCheckInterval) {
		if _, relayed := s.relays.pick(time.Now(), s.View()); relayed {
			continue
		}
		for _, host := range s.departed() {
			if err := s.DeleteRecord(ctx, host); err != nil {
				s.config.Log.Warn().Err(err).Msg("sync: could not delete the record of a target that left")
				break
			}
		}
	}
}

// departed returns the other hosts whose target is gone and whose record need not be retained.
func (s *Syncer) departed() []id.HostID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hosts []id.HostID
	for host, known := range s.records {
		if host != s.config.Self && known.record.State == roster.Gone && !known.retained() {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

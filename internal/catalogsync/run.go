package catalogsync

import (
	"context"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// Run polls until ctx is done and then returns nil.
func (s *Syncer) Run(ctx context.Context) error {
	delay := s.jitter(s.config.StartSpread)
	for clock.Sleep(ctx, delay) {
		err := s.Poll(ctx)
		if err != nil && ctx.Err() == nil {
			s.config.Logger.Warn().Err(err).Msg("catalogsync: poll failed")
		}
		if err == nil {
			s.storeSnapshot(ctx)
		}
		delay = s.nextDelay()
	}
	return nil
}

// storeSnapshot stores a snapshot if one is due. A failure is only logged, as a
// snapshot is tried again after a later poll.
func (s *Syncer) storeSnapshot(ctx context.Context) {
	if err := s.snapshotter.storeIfDue(ctx, s.Snapshot()); err != nil && ctx.Err() == nil {
		s.config.Logger.Warn().Err(err).Msg("catalogsync: failed to store a snapshot")
	}
}

// nextDelay returns the poll interval or, after failures, a random delay between
// half of and the whole backoff, which doubles with each failure up to
// Config.MaxBackoff.
func (s *Syncer) nextDelay() time.Duration {
	failures := s.Status().Failures
	if failures == 0 {
		return s.config.PollInterval
	}
	limit := s.config.PollInterval
	for range failures - 1 {
		limit = min(2*limit, s.config.MaxBackoff)
	}
	return limit/2 + s.jitter(limit/2)
}

// jitter returns a random duration below the limit.
func (s *Syncer) jitter(limit time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.Int64N(int64(max(limit, 1))))
}

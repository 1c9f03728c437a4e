package grants

import (
	"context"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ratelimit"
)

// processOutbox delivers resolutions to their callers and starts the calls in the
// entry's outbox. The caller holds s.mu.
func (s *Service) processOutbox() {
	out := s.entry.Outbox()
	for _, r := range out.Resolved {
		if result := s.pending[r.Waiter]; result != nil {
			result <- r
			delete(s.pending, r.Waiter)
		}
	}
	if s.ctx.Err() != nil {
		return
	}
	byHome := map[id.HostID][]ratelimit.Request{}
	for _, c := range out.Calls {
		byHome[c.Home] = append(byHome[c.Home], c.Request)
	}
	for home, requests := range byHome {
		s.wg.Go(func() { s.call(home, requests) })
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// call sends requests in batches of at most maxRequests and passes the results to the
// entry.
func (s *Service) call(home id.HostID, requests []ratelimit.Request) {
	for len(requests) > 0 {
		n := min(len(requests), maxRequests)
		s.callBatch(home, requests[:n])
		requests = requests[n:]
	}
}

// callBatch makes one call. If it fails, all its requests fail and the entry backs off
// from the home.
func (s *Service) callBatch(home id.HostID, requests []ratelimit.Request) {
	ctx, cancel := context.WithTimeout(s.ctx, s.config.CallTimeout)
	defer cancel()
	replies, err := s.client.exchange(ctx, home, requests)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Clock.Now()
	for i, r := range requests {
		if err != nil {
			s.entry.HandleFailure(now, r.Customer, home, r.ID)
			continue
		}
		s.entry.HandleReply(now, r.Customer, home, replies[i])
	}
	s.processOutbox()
}

// loop does the scheduled work of the entry and the home until Close.
func (s *Service) loop() {
	home := time.NewTicker(ratelimit.TickPeriod)
	defer home.Stop()
	timer := time.NewTimer(maxTimerWait)
	defer timer.Stop()
	for {
		timer.Reset(s.untilDue())
		select {
		case <-s.ctx.Done():
			return
		case <-home.C:
			now := s.config.Clock.Now()
			s.holder.Do(func(h *ratelimit.Home) { h.Tick(now) })
		case <-timer.C:
			s.tick()
		case <-s.wake:
		}
	}
}

// untilDue returns the time until the entry's next scheduled work, or maxTimerWait if
// there is none.
func (s *Service) untilDue() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	due, any := s.entry.NextDue()
	if !any {
		return maxTimerWait
	}
	return max(due.Sub(s.config.Clock.Now()), 0)
}

// tick does the entry's scheduled work.
func (s *Service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry.Tick(s.config.Clock.Now())
	s.processOutbox()
}

package grants

import (
	"context"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ratelimit"
)

// carryOut hands resolutions to their callers and starts the calls that the
// entry decided on. The lock is held.
func (s *Service) carryOut() {
	out := s.entry.Outbox()
	for _, r := range out.Resolved {
		if wait := s.waiting[r.Waiter]; wait != nil {
			wait <- r
			delete(s.waiting, r.Waiter)
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
		s.group.Go(func() { s.call(home, requests) })
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// call sends requests in parts of bounded size and feeds the results to the entry.
func (s *Service) call(home id.HostID, requests []ratelimit.Request) {
	for len(requests) > 0 {
		n := min(len(requests), maxRequests)
		s.callPart(home, requests[:n])
		requests = requests[n:]
	}
}

// callPart makes one call. The entry passes over a home that fails.
func (s *Service) callPart(home id.HostID, requests []ratelimit.Request) {
	ctx, cancel := context.WithTimeout(s.ctx, s.config.CallTimeout)
	defer cancel()
	replies, err := s.client.exchange(ctx, home, requests)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.config.Clock.Now()
	for i, r := range requests {
		if err != nil {
			s.entry.Failed(now, r.Customer, home, r.ID)
			continue
		}
		s.entry.Answered(now, r.Customer, home, replies[i])
	}
	s.carryOut()
}

// loop does the timed work of the entry and the home until Close.
func (s *Service) loop() {
	home := time.NewTicker(ratelimit.TickPeriod)
	defer home.Stop()
	timer := time.NewTimer(longestSleep)
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

// untilDue returns the time until the entry has timed work.
func (s *Service) untilDue() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	due, any := s.entry.NextDue()
	if !any {
		return longestSleep
	}
	return max(due.Sub(s.config.Clock.Now()), 0)
}

// tick does the entry's timed work.
func (s *Service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry.Tick(s.config.Clock.Now())
	s.carryOut()
}

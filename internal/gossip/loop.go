package gossip

import (
	"context"
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/membership"
)

// Run starts exchanges and pushes until ctx is done. It returns after its calls have ended.
func (s *Service) Run(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { s.pushLoop(ctx) })
	ticker := time.NewTicker(s.config.Membership.Period)
	defer ticker.Stop()
	for round := 0; ; round++ {
		// Each exchange has its own goroutine, so that a peer that does not answer delays no other.
		group.Go(func() { s.runRound(ctx, round) })
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// runRound exchanges with one peer, and with a seed while no peer is known, while joining and every
// seedPeriods rounds.
func (s *Service) runRound(ctx context.Context, round int) {
	s.mu.Lock()
	now := s.config.Clock.Now()
	expired := s.table.RemoveExpired(now)
	peer := s.table.ChoosePeer(now)
	seed := ""
	if len(s.seeds) > 0 && (peer == nil || round%seedPeriods == 0 || s.joining(round)) {
		seed = s.seeds[s.random.IntN(len(s.seeds))]
	}
	s.mu.Unlock()
	for _, host := range expired {
		s.config.Log.Info().Str("host", string(host)).Msg("gossip: expired host removed")
	}
	if seed != "" {
		s.exchange(ctx, "", seed)
	}
	if peer != nil {
		s.exchange(ctx, peer.Host, peer.Addresses.Control)
	}
}

// joining reports whether the daemon has just started and has records of no more hosts than there
// are seeds. Daemons that start together first form small groups, which would otherwise contact each
// other only every seedPeriods. The caller holds s.mu.
func (s *Service) joining(round int) bool {
	return round < seedPeriods && len(s.table.Records()) <= len(s.seeds)
}

// pushLoop pushes the local record whenever it changed, and relays urgent records.
func (s *Service) pushLoop(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.pushes:
			group.Go(func() { s.pushOnce(ctx, nil) })
		case records := <-s.relays:
			// A peer that does not answer must not delay the next push.
			group.Go(func() { s.pushOnce(ctx, records) })
		}
	}
}

// pushOnce sends records, or the local one when there are none, to a few peers at the same time.
func (s *Service) pushOnce(ctx context.Context, records []*membership.Record) {
	s.mu.Lock()
	peers := s.table.ChoosePushPeers(s.config.PushPeers, s.config.Clock.Now())
	s.mu.Unlock()
	var group sync.WaitGroup
	for _, peer := range peers {
		group.Go(func() { s.push(ctx, peer, records) })
	}
	group.Wait()
}

// push sends records, or the local one when there are none, to one peer.
func (s *Service) push(ctx context.Context, peer *membership.Record, records []*membership.Record) {
	s.mu.Lock()
	if len(records) == 0 {
		records = []*membership.Record{s.table.Self()}
	}
	push := s.table.NewRelay(peer.Host, records, s.config.Clock.Now())
	s.mu.Unlock()
	s.send(ctx, peer.Host, peer.Addresses.Control, push)
}

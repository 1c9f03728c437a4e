package grants

import (
	"context"
	"net/http"
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ratelimit"
	rpc "buckthornlatch.example/buckthornlatch/rpc/grants"
)

// maxTimerWait is how long the timer waits when the entry has no scheduled work.
const maxTimerWait = time.Second

// Service admits requests at one daemon and serves its home's grants.
type Service struct {
	config Config
	holder *HomeHolder
	client *client

	mu    sync.Mutex
	entry *ratelimit.Entry
	// pending holds a channel for the resolution of each pending caller; the channels
	// are buffered.
	pending map[uint64]chan ratelimit.Resolution

	// wake signals the timer loop that work may be due earlier.
	wake   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a running service. Close stops it.
func New(config Config, holder *HomeHolder) *Service {
	if config.CallTimeout == 0 {
		config.CallTimeout = DefaultCallTimeout
	}
	s := &Service{
		config: config,
		holder: holder,
		client: newClient(config.Peers, config.HTTP),
		entry: ratelimit.NewEntry(ratelimit.EntryConfig{
			Self:      config.Self,
			Placement: config.Placement,
			Local:     holder,
			Distance:  config.Distance,
			MaxWait:   config.MaxWait,
		}),
		pending: map[uint64]chan ratelimit.Resolution{},
		wake:    make(chan struct{}, 1),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.wg.Go(s.loop)
	return s
}

// Handler serves the calls of other daemons under rpc.GrantsPathPrefix.
func (s *Service) Handler() http.Handler {
	return rpc.NewGrantsServer(&server{clock: s.config.Clock, holder: s.holder})
}

// Close cancels all calls and waits for them to end. Pending callers get an error.
func (s *Service) Close() {
	s.mu.Lock()
	s.cancel()
	s.mu.Unlock()
	s.wg.Wait()
}

// Admit spends a token of the customer, waiting for one if necessary. The error is a
// *ratelimit.DeniedError, or a *fault.Error when ctx or the service ended first.
func (s *Service) Admit(ctx context.Context, customer id.CustomerID) (Admission, error) {
	decision, result := s.decide(customer)
	switch decision.Outcome {
	case ratelimit.Admitted:
		return s.admission(decision.Until), nil
	case ratelimit.Refused:
		return Admission{}, decision.Denied
	}
	select {
	case r := <-result:
		if r.Denied != nil {
			return Admission{}, r.Denied
		}
		return s.admission(r.Until), nil
	case <-ctx.Done():
		s.cancelWaiter(customer, decision.Waiter)
		return Admission{}, fault.New("wait for a token", "", ctx.Err())
	case <-s.ctx.Done():
		return Admission{}, fault.New("wait for a token", "", s.ctx.Err())
	}
}

// decide returns the entry's decision and, for a pending caller, the channel that
// receives its resolution.
func (s *Service) decide(customer id.CustomerID) (ratelimit.Decision, chan ratelimit.Resolution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	decision := s.entry.Admit(s.config.Clock.Now(), customer)
	var result chan ratelimit.Resolution
	if decision.Outcome == ratelimit.Pending {
		result = make(chan ratelimit.Resolution, 1)
		s.pending[decision.Waiter] = result
	}
	s.processOutbox()
	return decision, result
}

// cancelWaiter removes a pending caller.
func (s *Service) cancelWaiter(customer id.CustomerID, waiter uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, waiter)
	s.entry.Cancel(s.config.Clock.Now(), customer, waiter)
}

// admission returns the admission that ends at until.
func (s *Service) admission(until clock.Time) Admission {
	return Admission{ValidFor: until.Sub(s.config.Clock.Now()), Until: until}
}

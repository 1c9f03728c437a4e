package gossip

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"

	"buckthornlatch.example/buckthornlatch/internal/membership"
	rpc "buckthornlatch.example/buckthornlatch/rpc/gossip"
)

// Service owns the membership table and synchronises it with the peers. It is safe for concurrent use.
type Service struct {
	config Config

	mu          sync.Mutex
	table       *membership.Table
	seeds       []string
	random      *rand.Rand
	seenChanges uint64

	// pushes signals the loop to push the local record; it holds at most one request.
	pushes chan struct{}
	// relays carries batches of urgent records of other hosts to the loop.
	relays chan []*membership.Record
}

// New returns a service whose table contains only the local host. It does no I/O before Run.
func New(config Config) *Service {
	config = config.withDefaults()
	return &Service{
		config: config,
		table:  membership.NewTable(config.Membership, config.Clock.Now()),
		seeds:  slices.Clone(config.Seeds),
		random: rand.New(rand.NewPCG(config.Membership.Seed, 1)),
		pushes: make(chan struct{}, 1),
		relays: make(chan []*membership.Record, relayQueueSize),
	}
}

// Handler returns the HTTP handler of the control messages, rooted at "/".
func (s *Service) Handler() http.Handler {
	return rpc.NewGossipServer(&server{service: s})
}

// View calls f with the table. f must not keep the table or call the service; records may be kept.
func (s *Service) View(f func(t *membership.Table)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.table)
}

// Update calls f with the table and pushes the local record to a few peers when its version changed.
func (s *Service) Update(f func(t *membership.Table)) {
	s.mu.Lock()
	before := s.table.Self().Version()
	f(s.table)
	changed := s.table.Self().Version() != before
	s.mu.Unlock()
	if changed {
		s.requestPush()
	}
	s.notify()
}

// SetSeeds replaces the seed addresses, for example by the host addresses that the platform lists.
func (s *Service) SetSeeds(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = slices.Clone(addresses)
}

// requestPush signals pushLoop; requests that arrive together are coalesced into one push.
func (s *Service) requestPush() {
	select {
	case s.pushes <- struct{}{}:
	default:
	}
}

// requestRelay queues records to be relayed; when the queue is full, the exchanges carry them.
func (s *Service) requestRelay(records []*membership.Record) {
	select {
	case s.relays <- records:
	default:
	}
}

// notify calls OnChange when records changed since the last call, and queues urgent ones to be relayed.
func (s *Service) notify() {
	s.mu.Lock()
	changes := s.table.Changes()
	changed := changes != s.seenChanges
	s.seenChanges = changes
	urgent := s.table.TakeUrgent()
	s.mu.Unlock()
	if len(urgent) > 0 {
		s.requestRelay(urgent)
	}
	if changed && s.config.OnChange != nil {
		s.config.OnChange()
	}
}

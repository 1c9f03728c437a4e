package slots

import (
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/fairqueue"
)

// result ends the wait of one caller. Exactly one of the fields is set.
type result struct {
	slot *Slot
	err  error
}

// service is the state of one service; the pool's lock guards it.
type service struct {
	queue     *fairqueue.Queue
	estimator fairqueue.Estimator
	capacity  int
	inUse     int
	// waiting receives the result of each queued caller; the channels are buffered.
	waiting map[fairqueue.Ticket]chan result
}

// newService returns a service without slots.
func newService(config fairqueue.Config) *service {
	return &service{queue: fairqueue.New(config), waiting: map[fairqueue.Ticket]chan result{}}
}

// load returns the present numbers.
func (s *service) load() Load {
	return Load{Capacity: s.capacity, InUse: s.inUse, Waiting: s.queue.Len()}
}

// dispatch gives free slots to waiting callers.
func (s *service) dispatch(p *Pool, now clock.Time) {
	for s.inUse < s.capacity {
		ticket, found, shed := s.queue.Next(now, s.estimator.Expected(now))
		for _, out := range shed {
			s.deliver(out.Ticket, result{err: out.Refusal})
		}
		if !found {
			return
		}
		s.deliver(ticket, result{slot: s.take(p, now)})
	}
}

// take marks a slot as used.
func (s *service) take(p *Pool, now clock.Time) *Slot {
	s.inUse++
	return &Slot{pool: p, service: s, since: now}
}

// deliver ends the wait of a caller.
func (s *service) deliver(ticket fairqueue.Ticket, r result) {
	s.waiting[ticket] <- r
	delete(s.waiting, ticket)
}

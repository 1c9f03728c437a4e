package metrics

import (
	"sync"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// MaxServices bounds the number of service names used as label values; further services share Other.
// The fleet is designed for 110 services.
const MaxServices = 128

// Services holds the queue metrics of each service. It is safe for concurrent use.
type Services struct {
	scope Scope

	mu    sync.Mutex
	known map[id.ServiceName]*Queue
	other *Queue
}

// Queue holds the metrics of a service's queue at the gate.
type Queue struct {
	// Wait is the queueing time of attempts that got a slot.
	Wait Histogram
	// Shed counts attempts that were refused while they were queued.
	Shed Counter
	// Refused counts attempts that were refused without being queued.
	Refused Counter
	// Length is the number of queued attempts.
	Length Gauge
}

// newServices returns an empty set of services.
func newServices(scope Scope) *Services {
	return &Services{scope: scope, known: make(map[id.ServiceName]*Queue)}
}

// Of returns a service's metrics and creates them at first use. Services beyond MaxServices share one set.
func (s *Services) Of(service id.ServiceName) *Queue {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q, ok := s.known[service]; ok {
		return q
	}
	if len(s.known) < MaxServices {
		q := s.create(string(service))
		s.known[service] = q
		return q
	}
	if s.other == nil {
		s.other = s.create(Other)
	}
	return s.other
}

// create creates the metrics for one value of the service label.
func (s *Services) create(service string) *Queue {
	label := Label{"service", service}
	return &Queue{
		Wait:    s.scope.Histogram("queue_wait_seconds", latencyBounds, label),
		Shed:    s.scope.Counter("queue_shed_total", label),
		Refused: s.scope.Counter("queue_refused_total", label),
		Length:  s.scope.Gauge("queue_length", label),
	}
}

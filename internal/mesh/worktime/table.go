package worktime

import (
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Table holds the estimates of all routes. It is safe for concurrent use; the zero value is empty.
type Table struct {
	mu     sync.Mutex
	routes Routes
}

// Observe adds a sample of a route.
func (t *Table) Observe(route id.RouteID, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.routes.Observe(route, took)
}

// OverdueAfter returns the duration after which an attempt on a route is overdue; zero with too few samples.
func (t *Table) OverdueAfter(route id.RouteID) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.routes.Of(route); e.Known() {
		return e.OverdueAfter()
	}
	return 0
}

// Mean returns the usual duration of an attempt on a route; zero with too few samples.
func (t *Table) Mean(route id.RouteID) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.routes.Of(route); e.Known() {
		return e.Mean()
	}
	return 0
}

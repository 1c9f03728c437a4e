package worktime

import (
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// maxRoutes bounds the routes of a table; a full table is cleared.
const maxRoutes = 4096

// Table holds the estimates of all routes. It is safe for concurrent use; the zero value is empty.
type Table struct {
	mu        sync.Mutex
	estimates map[id.RouteID]*Estimate
}

// Observe adds a sample of a route.
func (t *Table) Observe(route id.RouteID, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.estimates == nil || len(t.estimates) >= maxRoutes {
		t.estimates = map[id.RouteID]*Estimate{}
	}
	e := t.estimates[route]
	if e == nil {
		e = &Estimate{}
		t.estimates[route] = e
	}
	e.Observe(took)
}

// OverdueAfter returns the duration after which an attempt on a route is overdue; zero with too few samples.
func (t *Table) OverdueAfter(route id.RouteID) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.estimates[route]; e.Known() {
		return e.OverdueAfter()
	}
	return 0
}

// Mean returns the usual duration of an attempt on a route; zero with too few samples.
func (t *Table) Mean(route id.RouteID) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.estimates[route]; e.Known() {
		return e.Mean()
	}
	return 0
}

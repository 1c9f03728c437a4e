package worktime

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// maxRoutes bounds the routes whose work is tracked. It is above the number of routes of the largest configurations, but
// routes that the operator has removed are not forgotten otherwise.
const maxRoutes = 4096

// Routes holds the estimates of all routes. The zero value is empty. It is not safe for concurrent use; Table is.
type Routes struct {
	estimates map[id.RouteID]*Estimate
}

// Of returns the estimate of a route, nil if there are no samples.
func (r *Routes) Of(route id.RouteID) *Estimate {
	return r.estimates[route]
}

// Observe adds a sample of a route. At the bound, another route is forgotten.
func (r *Routes) Observe(route id.RouteID, took time.Duration) {
	if r.estimates == nil {
		r.estimates = map[id.RouteID]*Estimate{}
	}
	e := r.estimates[route]
	if e == nil {
		r.makeRoom()
		e = &Estimate{}
		r.estimates[route] = e
	}
	e.Observe(took)
}

// makeRoom forgets any one route if the bound is reached.
func (r *Routes) makeRoom() {
	if len(r.estimates) < maxRoutes {
		return
	}
	for route := range r.estimates {
		delete(r.estimates, route)
		return
	}
}

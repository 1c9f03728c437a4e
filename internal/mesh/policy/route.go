package policy

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Route defines how requests under one host and path prefix are served.
type Route struct {
	ID id.RouteID
	// Host is the host name of the requests. Build converts it to lower case and removes a port.
	Host string
	// Prefix is the path prefix, which begins and ends with a slash.
	Prefix string
	// Idempotent reports whether a request may run more than once.
	Idempotent bool
	// Public reports whether requests need no key.
	Public bool
	// Rank is the priority of the route under load; 0 is the highest.
	Rank int
	// MaxAttempts bounds the targets that one request may reach.
	MaxAttempts int
	// Timeout is the longest time that a caller waits for its answer; zero means no limit.
	Timeout time.Duration
	// Objective is the latency objective: the time within which an answer is worth most to its caller. Zero means none.
	Objective time.Duration
	// Services share the requests of the route. Build leaves out those that are unknown or have no positive weight.
	Services []WeightedService
	// Regions are those to whose hosts requests may go.
	Regions Regions
	// Unservable is why no request of the route can be served as configured; empty if they can. Such a route keeps its
	// prefix, so that its requests are refused and do not match a shorter prefix.
	Unservable string
	// totalWeight is the sum of the parts' weights.
	totalWeight float64
}

// WeightedService is one service of a route. Its share of the requests is proportional to its weight.
type WeightedService struct {
	Service id.ServiceName
	Weight  float64
}

// PickService picks a service in proportion to the weights; draw is a random number from [0, 1).
func (r *Route) PickService(draw float64) id.ServiceName {
	left := draw * r.totalWeight
	for _, part := range r.Services {
		if left < part.Weight {
			return part.Service
		}
		left -= part.Weight
	}
	return r.Services[len(r.Services)-1].Service
}

package policy

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Route says how requests under one host and path prefix are served.
type Route struct {
	ID id.RouteID
	// Host is the request host in lower case.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Public routes need no key.
	Public bool
	// Rank orders routes under load; 0 is the most urgent.
	Rank int
	// MaxAttempts bounds the targets that one request may reach.
	MaxAttempts int
	// Timeout is the longest time that a caller is kept waiting; zero means no bound.
	Timeout time.Duration
	// Objective is the time within which an answer is worth most to its caller; zero means none is stated.
	Objective time.Duration
	// Parts are the services of the route, at least one, with positive weights.
	Parts []Part
	// totalWeight is the sum of the parts' weights.
	totalWeight float64
}

// Part is one service of a route and its share of the requests.
type Part struct {
	Service id.ServiceName
	Weight  float64
}

// Service returns the service for a draw from [0, 1).
func (r *Route) Service(draw float64) id.ServiceName {
	left := draw * r.totalWeight
	for _, part := range r.Parts {
		if left < part.Weight {
			return part.Service
		}
		left -= part.Weight
	}
	return r.Parts[len(r.Parts)-1].Service
}

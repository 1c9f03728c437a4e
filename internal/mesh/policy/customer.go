package policy

import "buckthornlatch.example/buckthornlatch/internal/id"

// Customer is a party whose keys authorise requests.
type Customer struct {
	ID   id.CustomerID
	Keys []string
	// Rank replaces the route's rank if Ranked is set.
	Rank   int
	Ranked bool
	// RatePerSecond and Burst bound the requests of the whole fleet; a rate of zero means no limit.
	RatePerSecond float64
	Burst         int
}

// Limited reports whether the customer has a rate.
func (c *Customer) Limited() bool {
	return c.RatePerSecond > 0
}

package policy

import "buckthornlatch.example/buckthornlatch/internal/id"

// Customer is a party whose API keys authorise requests.
type Customer struct {
	ID   id.CustomerID
	Keys []string
	// Rank replaces the route's rank if HasRank is set.
	Rank    int
	HasRank bool
	// RatePerSecond and Burst limit the customer's requests across the whole fleet; a rate of zero means no limit.
	RatePerSecond float64
	Burst         int
	// Regions are those to whose hosts the customer's requests may go.
	Regions Regions
	// Unservable is why the customer's requests cannot be served as configured; empty if they can.
	Unservable string
}

// Limited reports whether the customer has a rate limit.
func (c *Customer) Limited() bool {
	return c.RatePerSecond > 0
}

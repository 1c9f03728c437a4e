package catalogue

import "buckthornlatch.example/buckthornlatch/internal/id"

// Customer describes a customer and its limits across the whole fleet.
type Customer struct {
	Meta
	ID id.CustomerID
	// RatePerSecond is the sustained rate in requests per second.
	RatePerSecond float64
	// Burst is the number of requests that are admitted at once after an idle period.
	Burst int
	// Weight is the customer's relative share in fair queueing; at least 1.
	Weight int
}

package catalogue

import "buckthornlatch.example/buckthornlatch/internal/id"

// Customer describes a customer and its limits across the whole fleet.
type Customer struct {
	Meta
	ID id.CustomerID
	// RatePerSecond is the sustained rate in requests per second.
	RatePerSecond float64
	// Burst is the number of requests admitted at once after idle time.
	Burst int
	// Weight is the customer's share in fair queues relative to others; at least 1.
	Weight int
}

package catalogue

import "buckthornlatch.example/buckthornlatch/internal/id"

// Route maps requests to a service.
type Route struct {
	Meta
	ID      id.RouteID
	Service id.ServiceName
	// Host is the request host that the route matches; empty matches every host.
	Host string
	// PathPrefix is matched on whole path segments; it starts with "/".
	PathPrefix string
	// Methods lists the HTTP methods that the route matches; empty matches all.
	Methods []string
	// Idempotent states that a request may safely run more than once.
	Idempotent bool
	// OpenToAll admits every customer; otherwise only Customers are admitted.
	OpenToAll bool
	Customers []id.CustomerID
}

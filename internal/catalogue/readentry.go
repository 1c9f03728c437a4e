package catalogue

import (
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// readEntry reads one entry and sets the defaults of keys that are omitted.
func readEntry(f *sectionReader) Entry {
	meta := Meta{Owner: f.text("owner", ""), Class: f.text("class", DefaultClass)}
	switch f.kind {
	case "host":
		return &Host{
			Meta: meta, ID: id.HostID(f.text("id", "")),
			FailureDomain: id.FailureDomain(f.text("failure_domain", "")),
		}
	case "service":
		return readService(f, meta)
	case "customer":
		return &Customer{
			Meta: meta, ID: id.CustomerID(f.text("id", "")),
			RatePerSecond: f.number("rate_per_second", 0),
			Burst:         int(f.integer("burst", 0)),
			Weight:        int(f.integer("weight", DefaultWeight)),
		}
	default:
		return readRoute(f, meta)
	}
}

// readService reads a service.
func readService(f *sectionReader, meta Meta) *Service {
	requestTimeout := f.duration("request_timeout", DefaultRequestTimeout)
	return &Service{
		Meta: meta, Name: id.ServiceName(f.text("name", "")),
		MinHealthyFraction:    f.number("min_healthy_fraction", DefaultMinHealthyFraction),
		QueueLimit:            int(f.integer("queue_limit", DefaultQueueLimit)),
		QueueLimitPerCustomer: int(f.integer("queue_limit_per_customer", DefaultQueueLimitPerCustomer)),
		RequestTimeout:        requestTimeout,
		ProgressTimeout:       f.duration("progress_timeout", min(DefaultProgressTimeout, requestTimeout)),
		MaxBodyBytes:          f.integer("max_body_bytes", DefaultMaxBodyBytes),
	}
}

// readRoute reads a route. Lists are sorted, so that routes that differ only in
// the order of their lists are equal.
func readRoute(f *sectionReader, meta Meta) *Route {
	r := &Route{
		Meta: meta, ID: id.RouteID(f.text("id", "")),
		Service:    id.ServiceName(f.text("service", "")),
		Host:       f.text("host", ""),
		PathPrefix: f.text("path_prefix", ""),
		Methods:    f.list("methods"),
		Idempotent: f.boolean("idempotent"),
		OpenToAll:  f.boolean("open_to_all"),
	}
	for _, c := range f.list("customers") {
		r.Customers = append(r.Customers, id.CustomerID(c))
	}
	slices.Sort(r.Methods)
	slices.Sort(r.Customers)
	return r
}

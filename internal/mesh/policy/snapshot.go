package policy

import (
	"strings"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Snapshot is a validated configuration. It is immutable and safe for concurrent use. What it returns must not be
// modified.
type Snapshot struct {
	version Version
	bounds  Bounds
	raw     []byte
	// routes maps hosts and then prefixes to routes.
	routes    map[string]map[string]*Route
	services  map[id.ServiceName]bool
	customers map[id.CustomerID]*Customer
	keys      map[string]*Customer
}

// Build validates a document and indexes it for lookups. The error is an *InvalidError.
func Build(d Document) (*Snapshot, error) {
	s := &Snapshot{
		version: d.Version, bounds: d.Bounds, raw: d.Raw,
		routes:    map[string]map[string]*Route{},
		services:  map[id.ServiceName]bool{},
		customers: map[id.CustomerID]*Customer{},
		keys:      map[string]*Customer{},
	}
	if d.Version == 0 {
		return nil, &InvalidError{Item: "version", Reason: "is missing or zero"}
	}
	for _, name := range d.Services {
		s.services[id.ServiceName(name)] = true
	}
	for i := range d.Routes {
		if err := s.addRoute(d.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range d.Customers {
		if err := s.addCustomer(d.Customers[i]); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// addRoute validates and indexes a route.
func (s *Snapshot) addRoute(r Route) error {
	invalid := func(reason string) error {
		return &InvalidError{Version: s.version, Item: "route " + string(r.ID), Reason: reason}
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return invalid("the prefix does not begin and end with a slash")
	}
	if r.MaxAttempts < 1 {
		return invalid("the number of attempts is below 1")
	}
	if r.Timeout < 0 || r.Objective < 0 {
		return invalid("a duration is negative")
	}
	for _, part := range r.Services {
		if !s.services[part.Service] {
			return invalid("service " + string(part.Service) + " is unknown")
		}
		if part.Weight < 0 {
			return invalid("a weight is negative")
		}
		r.totalWeight += part.Weight
	}
	if r.totalWeight <= 0 {
		return invalid("no service has a weight")
	}
	r.Host = canonicalHost(r.Host)
	byPrefix := s.routes[r.Host]
	if byPrefix == nil {
		byPrefix = map[string]*Route{}
		s.routes[r.Host] = byPrefix
	}
	if byPrefix[r.Prefix] != nil {
		return invalid("another route has the same host and prefix")
	}
	byPrefix[r.Prefix] = &r
	return nil
}

// addCustomer validates and indexes a customer.
func (s *Snapshot) addCustomer(c Customer) error {
	invalid := func(reason string) error {
		return &InvalidError{Version: s.version, Item: "customer " + string(c.ID), Reason: reason}
	}
	if c.RatePerSecond < 0 || c.Burst < 0 {
		return invalid("the rate or the burst is negative")
	}
	s.customers[c.ID] = &c
	for _, key := range c.Keys {
		if s.keys[key] != nil {
			return invalid("a key belongs to two customers")
		}
		s.keys[key] = &c
	}
	return nil
}

// Version returns the configuration's version.
func (s *Snapshot) Version() Version { return s.version }

// Bounds returns the limits on what callers may send.
func (s *Snapshot) Bounds() Bounds { return s.bounds }

// Raw returns the configuration as the operator wrote it.
func (s *Snapshot) Raw() []byte { return s.raw }

// HasCustomers reports whether the configuration has any customer; without one, no request needs a key.
func (s *Snapshot) HasCustomers() bool { return len(s.customers) > 0 }

// Customers returns all customers.
func (s *Snapshot) Customers() map[id.CustomerID]*Customer { return s.customers }

// ByKey returns the customer that a key belongs to, or nil.
func (s *Snapshot) ByKey(key string) *Customer { return s.keys[key] }

// Match returns the route at the host with the longest prefix of the path, or nil. The path is the escaped path of the
// request, without a query.
func (s *Snapshot) Match(host, path string) *Route {
	byPrefix := s.routes[canonicalHost(host)]
	if byPrefix == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route := byPrefix[path[:end+1]]; route != nil {
			return route
		}
	}
	return nil
}

// canonicalHost returns the host in lower case and without its port.
func canonicalHost(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}

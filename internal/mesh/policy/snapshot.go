package policy

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
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
	routes           map[string]map[string]*Route
	services         map[id.ServiceName]bool
	warmUps          map[id.ServiceName]WarmUp
	healthPaths      map[id.ServiceName]string
	customers        map[id.CustomerID]*Customer
	customersMissing bool
	keysRequired     bool
	keys             map[string]*Customer
	warnings         []Warning
}

// Build validates a document and indexes it for lookups. Only a missing version is an error, an *InvalidError. What is
// invalid in a route or customer affects that one alone and is reported as a Warning, so that a configuration written
// for a later version of the daemon, or with a mistake in one place, leaves all other requests served.
func Build(d Document) (*Snapshot, error) {
	if d.Version == 0 {
		return nil, &InvalidError{Item: "version", Reason: "is missing or zero"}
	}
	s := &Snapshot{
		version: d.Version, bounds: d.Bounds, raw: d.Raw,
		routes:           map[string]map[string]*Route{},
		services:         map[id.ServiceName]bool{},
		warmUps:          maps.Clone(d.WarmUps),
		healthPaths:      maps.Clone(d.HealthPaths),
		customers:        map[id.CustomerID]*Customer{},
		customersMissing: d.CustomersMissing,
		keysRequired:     d.KeysRequired || d.CustomersMissing || len(d.Customers) > 0,
		keys:             map[string]*Customer{},
		warnings:         slices.Clone(d.Warnings),
	}
	for _, name := range d.Services {
		s.services[id.ServiceName(name)] = true
	}
	for _, r := range sortedBy(d.Routes, func(r Route) string { return string(r.ID) }) {
		s.addRoute(r)
	}
	for _, c := range sortedBy(d.Customers, func(c Customer) string { return string(c.ID) }) {
		s.addCustomer(c)
	}
	return s, nil
}

// sortedBy returns a copy of the items ordered by name, so that all daemons treat duplicates alike.
func sortedBy[T any](items []T, name func(T) string) []T {
	sorted := slices.Clone(items)
	slices.SortStableFunc(sorted, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return sorted
}

// warn records a warning.
func (s *Snapshot) warn(item, format string, args ...any) {
	s.warnings = append(s.warnings, Warning{Item: item, Reason: fmt.Sprintf(format, args...)})
}

// addRoute validates and indexes a route.
func (s *Snapshot) addRoute(r Route) {
	item := "route " + string(r.ID)
	s.correctPrefix(&r, item)
	if r.MaxAttempts < 1 {
		s.warn(item, "the number of attempts is %d; requests get one attempt", r.MaxAttempts)
		r.MaxAttempts = 1
	}
	if r.Timeout < 0 || r.Objective < 0 {
		s.warn(item, "a duration is negative; the defaults apply")
		r.Timeout, r.Objective = max(r.Timeout, 0), max(r.Objective, 0)
	}
	r.Rank = s.validRank(r.Rank, item)
	s.keepValidServices(&r, item)
	r.Host = CanonicalHost(r.Host)
	byPrefix := s.routes[r.Host]
	if byPrefix == nil {
		byPrefix = map[string]*Route{}
		s.routes[r.Host] = byPrefix
	}
	if other := byPrefix[r.Prefix]; other != nil {
		s.warn(item, "has the host and prefix of route %s; neither is served", other.ID)
		r.Unservable = "another route has the same host and prefix"
	}
	byPrefix[r.Prefix] = &r
}

// correctPrefix adds missing slashes to the prefix of a route and makes the route unservable if there were any.
func (s *Snapshot) correctPrefix(r *Route, item string) {
	if strings.HasPrefix(r.Prefix, "/") && strings.HasSuffix(r.Prefix, "/") {
		return
	}
	s.warn(item, "prefix %q does not begin and end with a slash; not served", r.Prefix)
	r.Unservable = "the prefix does not begin and end with a slash"
	r.Prefix = CanonicalPrefix(r.Prefix)
}

// CanonicalPrefix returns the prefix of a route with the slashes that it needs at its ends.
func CanonicalPrefix(prefix string) string {
	if strings.HasPrefix(prefix, "/") && strings.HasSuffix(prefix, "/") {
		return prefix
	}
	if inner := strings.Trim(prefix, "/"); inner != "" {
		return "/" + inner + "/"
	}
	return "/"
}

// MaxRank is the least urgent rank. Daemons exchange ranks as small non-negative numbers.
const MaxRank = 1 << 20

// validRank returns the rank, or the least urgent one if it is out of range.
func (s *Snapshot) validRank(rank int, item string) int {
	if rank >= 0 && rank <= MaxRank {
		return rank
	}
	s.warn(item, "priority %d is out of range; treated as the lowest", rank)
	return MaxRank
}

// keepValidServices removes the services that cannot be used. A route that has none left is unservable.
func (s *Snapshot) keepValidServices(r *Route, item string) {
	var valid []WeightedService
	for _, part := range r.Services {
		switch {
		case !s.services[part.Service]:
			s.warn(item, "service %q is unknown; left out", part.Service)
		case part.Weight < 0 || math.IsNaN(part.Weight) || math.IsInf(part.Weight, 0):
			s.warn(item, "the weight of service %q is %v; left out", part.Service, part.Weight)
		default:
			valid = append(valid, part)
			r.totalWeight += part.Weight
		}
	}
	r.Services = valid
	if r.Unservable == "" && !(r.totalWeight > 0 && !math.IsInf(r.totalWeight, 0)) {
		s.warn(item, "no usable service has a weight; not served")
		r.Unservable = "no usable service has a weight"
	}
}

// addCustomer validates and indexes a customer.
func (s *Snapshot) addCustomer(c Customer) {
	item := "customer " + string(c.ID)
	if c.Unservable == "" && !(c.RatePerSecond >= 0 && c.Burst >= 0 && !math.IsInf(c.RatePerSecond, 0)) {
		s.warn(item, "the rate %v or the burst %d is invalid; requests are refused", c.RatePerSecond, c.Burst)
		c.Unservable = "the rate or the burst is invalid"
	}
	if c.Unservable != "" {
		c.RatePerSecond, c.Burst = 0, 0
	}
	if c.HasRank {
		c.Rank = s.validRank(c.Rank, item)
	}
	s.customers[c.ID] = &c
	for _, key := range c.Keys {
		other := s.keys[key]
		if other == nil || other.ID == c.ID {
			s.keys[key] = &c
			continue
		}
		s.warn(item, "a key also belongs to customer %s; requests with it are refused", other.ID)
		s.keys[key] = &Customer{ID: other.ID, Unservable: "a key belongs to two customers"}
	}
}

// Version returns the configuration's version.
func (s *Snapshot) Version() Version { return s.version }

// Bounds returns the limits on what callers may send.
func (s *Snapshot) Bounds() Bounds { return s.bounds }

// Raw returns the configuration as the operator wrote it.
func (s *Snapshot) Raw() []byte { return s.raw }

// Warnings returns the parts that are not in force as the operator wrote them.
func (s *Snapshot) Warnings() []Warning { return s.warnings }

// KeysRequired reports whether requests need a key, unless their route is public.
func (s *Snapshot) KeysRequired() bool { return s.keysRequired }

// CustomersMissing reports whether a customer could not be decoded, so that an unknown key may belong to it.
func (s *Snapshot) CustomersMissing() bool { return s.customersMissing }

// Customers returns all customers.
func (s *Snapshot) Customers() map[id.CustomerID]*Customer { return s.customers }

// ByKey returns the customer that a key belongs to, or nil.
func (s *Snapshot) ByKey(key string) *Customer { return s.keys[key] }

// Match returns the route at the host with the longest prefix of the path, or nil. The path is the escaped path of the
// request, without a query.
func (s *Snapshot) Match(host, path string) *Route {
	byPrefix := s.routes[CanonicalHost(host)]
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

// CanonicalHost returns the host in lower case and without its port.
func CanonicalHost(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}

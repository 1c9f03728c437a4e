package policycheck

import (
	"math"
	"slices"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
)

// Environment is what a configuration is checked against.
type Environment struct {
	// Settings are those of a daemon; nil if none were given, which leaves out the findings that need them.
	Settings *Settings
	// HeaderBytes bounds the header of a request between daemons, and that of callers' requests if the configuration does not.
	HeaderBytes int
	// BodyBytes is the part of a request body that a daemon holds. A longer body is sent once.
	BodyBytes int64
	// DefaultTimeout applies to routes without a timeout.
	DefaultTimeout time.Duration
}

// Settings are the parts of a daemon's settings that a configuration can contradict.
type Settings struct {
	// Regions lists the regions of the failure domains.
	Regions     []string
	GracePeriod time.Duration
}

// has reports whether a failure domain is in a region. A region without a name is one that the settings do not tell.
func (s *Settings) has(region string) bool {
	return region != "" && slices.Contains(s.Regions, region)
}

// Check returns the findings about one configuration, sorted. The error is that of policy.Build.
func Check(d policy.Document, env Environment) ([]Finding, error) {
	snapshot, err := policy.Build(d)
	if err != nil {
		return nil, err
	}
	var found list
	for _, w := range snapshot.Warnings() {
		found.add(Error, w.Item, "%s", w.Reason)
	}
	found.unmatched(d, env)
	found.conflicts(d, env)
	return Sort(found), nil
}

// timeout returns the timeout of a route that is in force.
func (e Environment) timeout(r *policy.Route) time.Duration {
	if r.Timeout <= 0 {
		return e.DefaultTimeout
	}
	return r.Timeout
}

// routeItem names a route.
func routeItem(name id.RouteID) string { return "route " + string(name) }

// customerItem names a customer.
func customerItem(name id.CustomerID) string { return "customer " + string(name) }

// location returns the host and the prefix by which requests match a route.
func location(r *policy.Route) string {
	return policy.CanonicalHost(r.Host) + policy.CanonicalPrefix(r.Prefix)
}

// usable returns the parts of a traffic split that get requests, and the sum of their weights.
func usable(r *policy.Route, services []string) ([]policy.WeightedService, float64) {
	var parts []policy.WeightedService
	total := 0.0
	for _, part := range r.Services {
		if part.Weight > 0 && !math.IsInf(part.Weight, 0) && slices.Contains(services, string(part.Service)) {
			parts = append(parts, part)
			total += part.Weight
		}
	}
	return parts, total
}

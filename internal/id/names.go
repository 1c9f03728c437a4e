package id

// HostID is the name of a host slot, taken from the static settings.
// It stays the same when the daemon on the host restarts or the machine is replaced.
type HostID string

// FailureDomain names a set of hosts that can fail together.
type FailureDomain string

// ServiceName names a group of interchangeable targets.
type ServiceName string

// CustomerID names a customer of the catalogue.
type CustomerID string

// RouteID names a route of the catalogue.
type RouteID string

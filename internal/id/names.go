package id

// HostID is the name of a host slot, taken from the static settings.
// It does not change when the daemon restarts or the machine is replaced.
type HostID string

// FailureDomain identifies a set of hosts that can fail together.
type FailureDomain string

// ServiceName identifies a service: a group of interchangeable targets.
type ServiceName string

// CustomerID identifies a customer in the catalogue.
type CustomerID string

// RouteID identifies a route in the catalogue.
type RouteID string

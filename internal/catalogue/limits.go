package catalogue

import "time"

// Bounds of the values in entries.
const (
	// MaxNameLength bounds identifiers, owners and classes in bytes.
	MaxNameLength = 63
	// MaxPathPrefixLength bounds a route's path prefix in bytes.
	MaxPathPrefixLength = 512
	// MaxRouteCustomers bounds the customers listed on one route.
	MaxRouteCustomers = 1000
	// MaxRouteMethods bounds the methods listed on one route.
	MaxRouteMethods = 9
	// MaxRatePerSecond bounds a customer's rate in requests per second.
	MaxRatePerSecond = 1e6
	// MaxBurst bounds a customer's burst in requests.
	MaxBurst = 1000000
	// MaxWeight bounds a customer's weight.
	MaxWeight = 1000
	// MaxQueueLimit bounds the queue limits of a service in requests.
	MaxQueueLimit = 100000
	// MaxRequestTimeout bounds the timeouts of a service. It is below the time
	// for which a gate keeps records of finished attempts.
	MaxRequestTimeout = 10 * time.Minute
	// MaxBodyBytesLimit bounds a service's body limit in bytes.
	MaxBodyBytesLimit = 1 << 30
)

// Defaults of the keys that a catalogue file may omit.
const (
	DefaultClass                 = "standard"
	DefaultMinHealthyFraction    = 0.5
	DefaultQueueLimit            = 256
	DefaultQueueLimitPerCustomer = 64
	DefaultRequestTimeout        = 30 * time.Second
	DefaultProgressTimeout       = 10 * time.Second
	DefaultMaxBodyBytes          = 1 << 20
	DefaultWeight                = 1
)

package policy

import "time"

// Bounds limit what callers may send. Zero fields mean no bound.
type Bounds struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

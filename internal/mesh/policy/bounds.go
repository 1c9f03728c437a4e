package policy

import "time"

// Bounds are the limits on what callers may send. A zero field means no limit.
type Bounds struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

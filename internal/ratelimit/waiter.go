package ratelimit

import "buckthornlatch.example/buckthornlatch/internal/clock"

// waiter is a caller that waits for a token.
type waiter struct {
	id       uint64
	deadline clock.Time
}

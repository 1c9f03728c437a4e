package ratelimit

import (
	"fmt"
	"time"
)

// DeniedError is the error of a refusal: as far as the entry can tell, the customer is
// over its rate limit. The request has not run.
type DeniedError struct {
	// RetryAfter is the time until a token can be available; zero when unknown.
	RetryAfter time.Duration
	// Unreachable says that every home is unavailable, so that the customer may be
	// within its limit.
	Unreachable bool
}

// Error implements error.
func (d *DeniedError) Error() string {
	if d.Unreachable {
		return "no rate-limit home of the customer is reachable"
	}
	return fmt.Sprintf("rate limit exceeded, retry after %v", d.RetryAfter)
}

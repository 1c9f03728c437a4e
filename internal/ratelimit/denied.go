package ratelimit

import (
	"fmt"
	"time"
)

// Denied reports that a customer's rate is used up as far as the entry can
// see. The request has not run.
type Denied struct {
	// RetryAfter is the time until a token can be there; zero when unknown.
	RetryAfter time.Duration
	// Unreachable says that no home answered, so that the rate may not be used up.
	Unreachable bool
}

// Error implements error.
func (d *Denied) Error() string {
	if d.Unreachable {
		return "no home of the customer's rate answers"
	}
	return fmt.Sprintf("rate used up, retry after %v", d.RetryAfter)
}

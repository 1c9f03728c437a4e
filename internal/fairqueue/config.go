package fairqueue

// Config holds the limits of a queue.
type Config struct {
	// Limit is the maximum number of waiting requests; zero refuses every request.
	Limit int
	// LimitPerCustomer is the maximum number of waiting requests per customer; zero means Limit.
	LimitPerCustomer int
}

// customerLimit returns the maximum number of waiting requests per customer.
func (c Config) customerLimit() int {
	if c.LimitPerCustomer <= 0 {
		return c.Limit
	}
	return c.LimitPerCustomer
}

package fairqueue

// Config bounds a queue.
type Config struct {
	// Limit bounds the waiting requests in total; zero refuses every request.
	Limit int
	// LimitPerCustomer bounds the waiting requests of one customer; zero means Limit.
	LimitPerCustomer int
}

// perCustomer returns the bound of one customer.
func (c Config) perCustomer() int {
	if c.LimitPerCustomer <= 0 {
		return c.Limit
	}
	return c.LimitPerCustomer
}

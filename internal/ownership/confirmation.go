package ownership

import "time"

// Confirmation answers whether a duty may be performed now.
type Confirmation struct {
	Reason Reason
	// ValidFor is the time, on the holder's clock, until the confirmation lapses; zero when not confirmed.
	ValidFor time.Duration
}

// OK reports whether the duty may be performed.
func (c Confirmation) OK() bool {
	return c.Reason == Confirmed
}

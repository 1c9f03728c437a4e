package ownership

import "time"

const (
	// ConfirmationTerm is the time for which a confirmation of freshness lasts.
	ConfirmationTerm = 10 * time.Second
	// Fence is the wait after a majority acknowledged a new holding. It is
	// ConfirmationTerm with 5% added for clocks that run at different rates.
	Fence = ConfirmationTerm + ConfirmationTerm/20
)

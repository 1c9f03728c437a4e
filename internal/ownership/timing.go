package ownership

import "time"

const (
	// ConfirmationTerm is how long evidence of freshness confirms a holding.
	ConfirmationTerm = 10 * time.Second
	// FenceDuration is the wait after a majority acknowledged a new holding. It is
	// ConfirmationTerm plus 5% for the difference in rate between hosts' clocks.
	FenceDuration = ConfirmationTerm + ConfirmationTerm/20
)

package ejection

import "time"

const (
	// Lease is the time for which a permit is valid on the gate's clock, from before its request was sent.
	Lease = 10 * time.Second
	// HomeLease is the time for which the home counts a permit: 5% longer than Lease, for clock drift.
	HomeLease = Lease + Lease/20
	// RenewAfter is the time after which a permit that is still needed is requested again. It
	// leaves time for at least two retries before the lease ends.
	RenewAfter = 3 * time.Second
	// RevertedRetryAfter is the time after which a permit is requested again for a target whose ejection
	// was reverted. By then the averages of the service have reached its new level.
	RevertedRetryAfter = 5 * time.Second
	// RetryAfter is the time after which an unanswered or denied request is repeated.
	RetryAfter = time.Second
)

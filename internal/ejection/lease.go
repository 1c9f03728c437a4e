package ejection

import "time"

const (
	// Lease is the time for which a permit is valid on the gate's clock, from before it was requested.
	Lease = 10 * time.Second
	// HomeLease is the time for which the home counts a permit, 5% longer for clock drift.
	HomeLease = Lease + Lease/20
	// RenewAfter is the time after which a permit that is still wanted is requested again. It
	// leaves two more tries before the lease ends.
	RenewAfter = 3 * time.Second
	// RecallWait is the time after which a permit is requested again for a target whose ejection was
	// taken back. By then the averages of the service show its new level.
	RecallWait = 5 * time.Second
	// RetryAfter is the time after which an unanswered or denied request is repeated.
	RetryAfter = time.Second
)

package ratelimit

import (
	"math"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

const (
	// GrantValidity is how long an entry may spend a grant, on its own
	// monotonic clock from before the request was sent.
	GrantValidity = 2 * time.Second
	// GrantHold is how long a home counts a grant as outstanding after granting it.
	// The 5% above GrantValidity cover the drift of both clocks.
	GrantHold = GrantValidity * 105 / 100
	// ImmediateValidity is how long after sending a request an entry may spend the
	// reply's tokens for waiting callers. It is short, so that these spends need not
	// be reported to the home.
	ImmediateValidity = 100 * time.Millisecond
	// immediateHold is how long a home counts such tokens as outstanding.
	immediateHold = ImmediateValidity * 105 / 100
	// closeMargin is how long before its expiry an entry stops spending a grant and
	// returns the rest, so that an admission is valid for at least this long.
	closeMargin = 500 * time.Millisecond
	// infiniteWait stands for "never" in durations.
	infiniteWait = 24 * time.Hour
	// never is later than every other time.
	never = clock.Time(math.MaxInt64)
)

// MaxDriftPercent is the largest deviation of a host's clock from real time that
// the rate limits tolerate.
const MaxDriftPercent = 1

// derated returns the refill rate that does not exceed rate even on a clock that
// is fast by MaxDriftPercent.
func derated(rate MicroTokens) MicroTokens {
	return rate * (100 - MaxDriftPercent) / 100
}

// minElapsed returns the least time that passed on this host's clock while another
// host's clock measured d. Two clocks can differ by twice MaxDriftPercent; one more
// percent covers the second-order term.
func minElapsed(d time.Duration) time.Duration {
	return d / 100 * (100 - 2*MaxDriftPercent - 1)
}

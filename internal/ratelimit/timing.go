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
	GrantHold = GrantValidity * 105 / 100
	// ImmediateValidity is how long after sending a request an entry may spend the
	// tokens of the reply that are for callers that wait. It is short, so that the
	// home need not be told of these spends.
	ImmediateValidity = 100 * time.Millisecond
	// immediateHold is how long a home counts such tokens as outstanding.
	immediateHold = ImmediateValidity * 105 / 100
	// closeMargin is how long before its expiry an entry returns what is left of
	// a grant, so that an admission is valid for at least this long.
	closeMargin = 500 * time.Millisecond
	// longest stands for "never" in waiting times.
	longest = 24 * time.Hour
	// never is a time after all others.
	never = clock.Time(math.MaxInt64)
)

// MaxDrift is the largest deviation of a host's clock from real time that the
// limits tolerate, in percent.
const MaxDrift = 1

// derated returns the refill rate that stays within rate on a clock that is
// fast by MaxDrift.
func derated(rate Micro) Micro {
	return rate * (100 - MaxDrift) / 100
}

// shrunk returns the least time that passed on this host's clock while another
// host's clock measured d. Two clocks can differ by twice MaxDrift and a little more.
func shrunk(d time.Duration) time.Duration {
	return d / 100 * (100 - 2*MaxDrift - 1)
}

package ratesim

import (
	"math/rand/v2"
	"time"
)

// Pattern says at which daemons a customer's requests arrive.
type Pattern string

// The patterns.
const (
	// Spread sends every request to a random daemon.
	Spread Pattern = "spread"
	// Single sends all requests of a customer to one daemon.
	Single Pattern = "single"
	// Moving sends all requests of a customer to one daemon, another one in every movePeriod.
	Moving Pattern = "moving"
)

// movePeriod is how long callers stay at a daemon in pattern Moving.
const movePeriod = 2 * time.Second

// daemon returns the daemon of a request.
func (p Pattern) daemon(random *rand.Rand, now time.Duration, customer, daemons int) int {
	switch p {
	case Single:
		return scatter(customer, 0) % daemons
	case Moving:
		return scatter(customer, 1+int(now/movePeriod)) % daemons
	default:
		return random.IntN(daemons)
	}
}

// scatter returns a fixed pseudo-random number for a pair.
func scatter(a, b int) int {
	x := uint64(a)*0x9e3779b97f4a7c15 + uint64(b)*0xbf58476d1ce4e5b9 + 0x94d049bb133111eb
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return int((x ^ x>>31) >> 1)
}

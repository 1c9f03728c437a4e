package ratelimit

import (
	"math/bits"
	"time"
)

// MicroTokens is an amount in millionths of a token. One request costs one token.
type MicroTokens int64

// Token is the amount of one token.
const Token MicroTokens = 1_000_000

// tokens returns n whole tokens.
func tokens(n int) MicroTokens {
	return MicroTokens(n) * Token
}

// whole returns the number of whole tokens in m, rounded down.
func (m MicroTokens) whole() int {
	return int(m / Token)
}

// earned returns the amount that rate (micro-tokens per second) yields in d, rounded
// down, at most limit.
func earned(rate MicroTokens, d time.Duration, limit MicroTokens) MicroTokens {
	if rate <= 0 || d <= 0 || limit <= 0 {
		return 0
	}
	hi, lo := bits.Mul64(uint64(rate), uint64(d))
	if hi >= uint64(time.Second) {
		return limit
	}
	quotient, _ := bits.Div64(hi, lo, uint64(time.Second))
	if quotient >= uint64(limit) {
		return limit
	}
	return MicroTokens(quotient)
}

// timeToEarn returns how long rate (micro-tokens per second) takes to yield amount,
// rounded up and at most infiniteWait; infiniteWait also when it never does.
func timeToEarn(rate, amount MicroTokens) time.Duration {
	if amount <= 0 {
		return 0
	}
	if rate <= 0 {
		return infiniteWait
	}
	hi, lo := bits.Mul64(uint64(amount), uint64(time.Second))
	if hi >= uint64(rate) {
		return infiniteWait
	}
	quotient, remainder := bits.Div64(hi, lo, uint64(rate))
	if remainder > 0 {
		quotient++
	}
	return time.Duration(min(quotient, uint64(infiniteWait)))
}

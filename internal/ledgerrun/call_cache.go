package ledgerrun

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
)

// token identifies one call of Begin by another daemon, including its repetitions.
type token [16]byte

// callResult is the result of a call of Begin.
type callResult struct {
	// cancelled means that the call must not get the decision Run any more.
	cancelled bool
	decision  ledger.Decision
}

// callCache keeps the results of recent calls of Begin that were decided Run or cancelled, so that a
// repetition is not decided again.
type callCache struct {
	limit     int
	retention time.Duration
	entries   map[token]callResult
	// order has the tokens, oldest first.
	order []agedToken
}

// agedToken is a token and the time at which it was added.
type agedToken struct {
	token token
	added clock.Time
}

// newCallCache returns an empty cache of at most limit calls, each kept for the given retention.
func newCallCache(limit int, retention time.Duration) callCache {
	return callCache{limit: limit, retention: retention, entries: map[token]callResult{}}
}

// full drops old results and reports whether the limit is reached.
func (c *callCache) full(now clock.Time) bool {
	c.expire(now)
	return len(c.order) >= c.limit
}

// set stores the result of a call. When the cache is full, it evicts the oldest result.
func (c *callCache) set(k token, e callResult, now clock.Time) {
	if _, known := c.entries[k]; !known {
		if c.full(now) && len(c.order) > 0 {
			c.evictOldest()
		}
		c.order = append(c.order, agedToken{token: k, added: now})
	}
	c.entries[k] = e
}

// expire drops the results of calls that are too old to be repeated.
func (c *callCache) expire(now clock.Time) {
	for len(c.order) > 0 && now.Sub(c.order[0].added) >= c.retention {
		c.evictOldest()
	}
}

// evictOldest drops the oldest result.
func (c *callCache) evictOldest() {
	delete(c.entries, c.order[0].token)
	c.order = c.order[1:]
}

package ledgerrun

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
)

// token names one call of Begin by another daemon.
type token [16]byte

// tokenEntry is what became of a call.
type tokenEntry struct {
	// cancelled calls get no Run any more.
	cancelled bool
	decision  ledger.Decision
}

// tokens remembers the recent calls of Begin that were allowed to run or cancelled.
type tokens struct {
	limit   int
	keep    time.Duration
	entries map[token]tokenEntry
	// order has the tokens by age.
	order []agedToken
}

// agedToken is a token and the time at which it was added.
type agedToken struct {
	token token
	added clock.Time
}

// newTokens returns an empty memory of at most limit tokens.
func newTokens(limit int, keep time.Duration) tokens {
	return tokens{limit: limit, keep: keep, entries: map[token]tokenEntry{}}
}

// full reports whether no token can be added.
func (t *tokens) full(now clock.Time) bool {
	t.expire(now)
	return len(t.order) >= t.limit
}

// set remembers what became of a call. When the memory is full, the oldest call is forgotten.
func (t *tokens) set(k token, e tokenEntry, now clock.Time) {
	if _, known := t.entries[k]; !known {
		if t.full(now) && len(t.order) > 0 {
			t.forgetOldest()
		}
		t.order = append(t.order, agedToken{token: k, added: now})
	}
	t.entries[k] = e
}

// expire forgets the calls that are too old to be repeated.
func (t *tokens) expire(now clock.Time) {
	for len(t.order) > 0 && now.Sub(t.order[0].added) >= t.keep {
		t.forgetOldest()
	}
}

// forgetOldest forgets one call.
func (t *tokens) forgetOldest() {
	delete(t.entries, t.order[0].token)
	t.order = t.order[1:]
}

package daemon

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/apikey"
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/entry"
	"buckthornlatch.example/buckthornlatch/internal/problem"
)

// staleRetryAfter is the retry delay that callers get while keys cannot be confirmed.
const staleRetryAfter = time.Second

// snapshotSource provides the current catalogue.
type snapshotSource interface {
	Snapshot() *catalogue.Snapshot
}

// authenticator verifies API keys against the current catalogue, and refuses all of them while
// the catalogue is not fresh.
type authenticator struct {
	catalogue snapshotSource
	revoked   apikey.Revocations
	fresh     *freshnessCache
}

// Authenticate implements entry.Authenticator.
func (a *authenticator) Authenticate(key string, now clock.Time) (entry.Identity, error) {
	verdict := a.fresh.verdict()
	if !verdict.Fresh(now) {
		return entry.Identity{}, &entry.Refusal{Code: problem.KeysStale, RetryAfter: staleRetryAfter}
	}
	verified, err := apikey.Verify(a.catalogue.Snapshot(), a.revoked, key)
	if err != nil {
		return entry.Identity{}, &entry.Refusal{Code: problem.KeyInvalid}
	}
	return entry.Identity{
		Customer: verified.Customer.ID,
		KeyID:    verified.Key.ID,
		ValidFor: verdict.Until.Sub(now),
	}, nil
}

// Revoked implements gate.Revocations.
func (a *authenticator) Revoked(key catalogue.KeyID) bool {
	return apikey.IsRevoked(a.catalogue.Snapshot(), a.revoked, key)
}

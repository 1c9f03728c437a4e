package quarantine

import (
	"hash/fnv"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/membership"
)

// crashKey identifies one crash of a target.
type crashKey struct {
	target id.TargetID
	number uint64
}

// crash is one crash at which a fingerprint was in flight.
type crash struct {
	key crashKey
	// at is the local time of the crash, or a little later when it was learned from another host.
	at clock.Time
	// own says that this host saw the crash.
	own bool
	// cleared says that a run completed after the crash.
	cleared bool
	// publishClear is the time from which this host publishes its own clearance; set with ownClear.
	publishClear clock.Time
	ownClear     bool
}

// ref returns the published form.
func (c *crash) ref(now clock.Time) membership.CrashRef {
	return membership.CrashRef{Target: c.key.target, Number: c.key.number, Age: max(0, now.Sub(c.at))}
}

// clearDelay spreads the hosts' clearances of one crash.
func clearDelay(host id.HostID, key crashKey) time.Duration {
	h := fnv.New64a()
	_, _ = h.Write([]byte(host))
	_, _ = h.Write([]byte(key.target.String()))
	return time.Duration(h.Sum64() % uint64(clearSpread))
}

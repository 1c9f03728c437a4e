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

// crash is one crash of a target while a fingerprint was in flight there.
type crash struct {
	key crashKey
	// at is the local time of the crash. It is a little late when another host reported the crash.
	at clock.Time
	// own says that a target of this host crashed.
	own bool
	// cleared says that a run of the fingerprint completed after the crash.
	cleared bool
	// clearedHere says that such a run completed on this host. It publishes its clearance from
	// publishClearanceAt on.
	publishClearanceAt clock.Time
	clearedHere        bool
}

// ref returns the form that is published in the membership record.
func (c *crash) ref(now clock.Time) membership.CrashRef {
	return membership.CrashRef{Target: c.key.target, Number: c.key.number, Age: max(0, now.Sub(c.at))}
}

// clearanceDelay returns the delay of a host's clearance of a crash. Its hash spreads those of all hosts.
func clearanceDelay(host id.HostID, key crashKey) time.Duration {
	h := fnv.New64a()
	_, _ = h.Write([]byte(host))
	_, _ = h.Write([]byte(key.target.String()))
	return time.Duration(h.Sum64() % uint64(maxClearanceDelay))
}

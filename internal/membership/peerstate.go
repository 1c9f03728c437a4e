package membership

import (
	"hash/fnv"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// never is the time of an event that has not happened.
const never = clock.Time(-1 << 62)

// peerState is what the table holds about one other host.
type peerState struct {
	key    uint32
	record *Record
	// aliveAt is the latest local time at which the host is known to have been alive.
	aliveAt clock.Time
	// coveredAt is like aliveAt, but only for heartbeats whose riders were merged as well.
	coveredAt clock.Time
	// contactedAt is the local time at which this daemon last started an exchange with the host.
	contactedAt clock.Time
	// lastSuccess and lastFailure are the times of the last successful and failed direct calls.
	lastSuccess clock.Time
	lastFailure clock.Time
	// clockMs is the host's monotonic clock in milliseconds as read at clockReadAt, for clockIncarnation.
	clockMs          int64
	clockReadAt      clock.Time
	clockIncarnation id.Incarnation
}

// newPeerState returns the state of a host that has just been learned.
func newPeerState(record *Record) *peerState {
	return &peerState{
		key:         hostKey(record.Host),
		record:      record,
		aliveAt:     never,
		coveredAt:   never,
		contactedAt: never,
		lastSuccess: never,
		lastFailure: never,
	}
}

// hostKey returns the hash that identifies a host name in digests.
func hostKey(host id.HostID) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(host))
	return h.Sum32()
}

// incarnationTag returns the one-byte hash of an incarnation for digests.
func incarnationTag(incarnation id.Incarnation) byte {
	mixed := uint64(incarnation) * 0x9e3779b97f4a7c15
	return byte(mixed >> 56)
}

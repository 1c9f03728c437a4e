package membership

import (
	"hash/fnv"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// never is the time of something that has not happened.
const never = clock.Time(-1 << 62)

// entry is what the table knows about one other host.
type entry struct {
	key    uint32
	record *Record
	// alive is the latest local time at which the host is known to have been alive.
	alive clock.Time
	// covered is like alive, but only for heartbeats accepted together with their riders.
	covered clock.Time
	// contacted is the local time of the last direct exchange attempt from here.
	contacted clock.Time
	// reached and failed are the times of the last direct success and failure.
	reached clock.Time
	failed  clock.Time
	// peerClock is the host's monotonic clock in milliseconds as read at peerClockAt, for peerIncarnation.
	peerClock       int64
	peerClockAt     clock.Time
	peerIncarnation id.Incarnation
}

// newEntry returns an entry for a host that was not known.
func newEntry(record *Record) *entry {
	return &entry{
		key:       hostKey(record.Host),
		record:    record,
		alive:     never,
		covered:   never,
		contacted: never,
		reached:   never,
		failed:    never,
	}
}

// hostKey is the hash of a host name on the wire.
func hostKey(host id.HostID) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(host))
	return h.Sum32()
}

// incarnationTag is the one-byte hash of an incarnation in digests.
func incarnationTag(incarnation id.Incarnation) byte {
	mixed := uint64(incarnation) * 0x9e3779b97f4a7c15
	return byte(mixed >> 56)
}

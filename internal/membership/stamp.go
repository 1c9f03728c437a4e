package membership

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

const (
	// maxStampAge is the time after which a peer's clock reading is not extrapolated any more.
	maxStampAge = 20 * time.Minute
	// driftDivisor allows for two monotonic clocks that differ by up to 1 part in 1000.
	driftDivisor = 1000
)

// sender describes this daemon to a peer. The peer's clock is extrapolated from the last reading:
// it was read at peerClockAt or earlier, so the extrapolation is a lower bound up to drift, and
// the peer can bound the time that the message was under way.
func (t *Table) sender(peer *entry, now clock.Time) Sender {
	s := Sender{
		Host:            t.config.Self,
		Incarnation:     t.self.Incarnation,
		ClockMs:         now.Milliseconds(),
		ReceiverClockMs: -1,
		PlatformReadAge: -1,
	}
	if t.platformRead != never {
		s.PlatformReadAge = now.Sub(t.platformRead)
	}
	if peer == nil || peer.peerIncarnation == 0 {
		return s
	}
	elapsed := now.Sub(peer.peerClockAt)
	if elapsed > maxStampAge {
		return s
	}
	s.ReceiverClockMs = peer.peerClock + (elapsed - elapsed/driftDivisor).Milliseconds()
	s.ReceiverIncarnation = peer.peerIncarnation
	return s
}

// sentNoEarlierThan returns the local time from which the ages of a received message count, and
// false when the sender could not bound it.
func (t *Table) sentNoEarlierThan(s Sender, now clock.Time) (clock.Time, bool) {
	if s.ReceiverClockMs < 0 || s.ReceiverIncarnation != t.self.Incarnation {
		return 0, false
	}
	sent := clock.Time(0).Add(time.Duration(s.ReceiverClockMs) * time.Millisecond)
	return min(sent, now), true
}

// readPeerClock keeps a peer's clock reading, which was taken at the local time now or earlier.
func (t *Table) readPeerClock(s Sender, now clock.Time) {
	e := t.entries[s.Host]
	if e == nil {
		return
	}
	e.peerClock = s.ClockMs
	e.peerClockAt = now
	e.peerIncarnation = s.Incarnation
}

// PeerClock is a reading of another host's monotonic clock.
type PeerClock struct {
	Incarnation id.Incarnation
	// Milliseconds since the incarnation started.
	Milliseconds int64
	// ReadAt is a local time at which the clock had at least this value.
	ReadAt clock.Time
}

// PeerClock returns the last reading of a host's monotonic clock.
func (t *Table) PeerClock(host id.HostID) (PeerClock, bool) {
	e := t.entries[host]
	if e == nil || e.peerIncarnation == 0 {
		return PeerClock{}, false
	}
	return PeerClock{e.peerIncarnation, e.peerClock, e.peerClockAt}, true
}

package membership

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

const (
	// maxClockReadingAge is the age beyond which a peer's clock reading is not extrapolated.
	maxClockReadingAge = 20 * time.Minute
	// driftDivisor allows for monotonic clocks whose rates differ by up to 1 part in 1000.
	driftDivisor = 1000
)

// sender returns the sender part of a message to a peer. The peer's clock is extrapolated from the
// last reading: it was read at clockReadAt or earlier, so the result is a lower bound as long as the
// drift stays in its limit, and the peer can bound the time that the message was in transit.
func (t *Table) sender(peer *peerState, now clock.Time) Sender {
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
	if peer == nil || peer.clockIncarnation == 0 {
		return s
	}
	elapsed := now.Sub(peer.clockReadAt)
	if elapsed > maxClockReadingAge {
		return s
	}
	s.ReceiverClockMs = peer.clockMs + (elapsed - elapsed/driftDivisor).Milliseconds()
	s.ReceiverIncarnation = peer.clockIncarnation
	return s
}

// earliestSendTime returns a lower bound on the local time at which a message was sent, from which
// its ages count back, and false when the sender could not bound it.
func (t *Table) earliestSendTime(s Sender, now clock.Time) (clock.Time, bool) {
	if s.ReceiverClockMs < 0 || s.ReceiverIncarnation != t.self.Incarnation {
		return 0, false
	}
	sent := clock.Time(0).Add(time.Duration(s.ReceiverClockMs) * time.Millisecond)
	return min(sent, now), true
}

// storePeerClock stores a peer's clock reading, which was taken at the local time now or earlier.
func (t *Table) storePeerClock(s Sender, now clock.Time) {
	p := t.peers[s.Host]
	if p == nil {
		return
	}
	p.clockMs = s.ClockMs
	p.clockReadAt = now
	p.clockIncarnation = s.Incarnation
}

// PeerClock is a reading of another host's monotonic clock.
type PeerClock struct {
	Incarnation id.Incarnation
	// Milliseconds is the time since the incarnation started.
	Milliseconds int64
	// ReadAt is a local time at which the clock had at least this value.
	ReadAt clock.Time
}

// PeerClock returns the last reading of a host's monotonic clock.
func (t *Table) PeerClock(host id.HostID) (PeerClock, bool) {
	p := t.peers[host]
	if p == nil || p.clockIncarnation == 0 {
		return PeerClock{}, false
	}
	return PeerClock{p.clockIncarnation, p.clockMs, p.clockReadAt}, true
}

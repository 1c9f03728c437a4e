package statesync

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

const (
	// maxRelayedPolicyAge is the age of a relay's policy from which the relay does not confirm that of this host.
	maxRelayedPolicyAge = 3 * time.Second
	// relayConfirmationValid is how long the confirmation of a relay spares this host from asking the store itself. The
	// next one comes after relayInterval, or from another relay after the timeout of a poll.
	relayConfirmationValid = 3 * time.Second
	// maxHeldAge is the age of the latest confirmation up to which a relay may hold the next poll.
	maxHeldAge = relayInterval + peerTimeout/2
	// relayHintDelay is how long to wait for the store to deliver a policy that a relay uses before it is fetched from the
	// relay. The relay usually has it from the same store a moment earlier.
	relayHintDelay = 100 * time.Millisecond
)

// confirm records that a part was the store's at some time. For an answer of the store, that is when it was asked.
func (s *Syncer) confirm(p part, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.confirmed[p]) {
		s.confirmed[p] = at
	}
}

// age returns how long ago the store has confirmed a part. The caller must hold s.mu.
func (s *Syncer) age(p part) time.Duration {
	return time.Since(s.confirmed[p])
}

// takeConfirmation takes over what a relay that was asked at some time says about the policy. A newer one is fetched from
// the relay unless the store delivers it. The same one is confirmed as of the time of the relay's own confirmation.
func (s *Syncer) takeConfirmation(host id.HostID, got relayedRoster, asked time.Time) {
	if got.Policy == 0 {
		return
	}
	s.awaitPolicyVersion(host, got.Policy, relayHintDelay)
	age := time.Duration(got.PolicyAgeMS) * time.Millisecond
	if age > maxRelayedPolicyAge || got.Policy != s.Version() {
		return
	}
	s.confirm(policyPart, asked.Add(-age))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relayConfirmedAt = time.Now()
}

// policyWait returns the longest time of the next watch of the policy.
func (s *Syncer) policyWait() time.Duration {
	if _, relayed := s.relays.pick(time.Now(), s.View()); !relayed {
		return confirmWait
	}
	if _, valid := s.longWatchValid(); valid {
		return WatchWait
	}
	return unconfirmedWait
}

// mayHold reports whether a relay may hold the next poll. It may not if this host waits for a confirmation.
func (s *Syncer) mayHold() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.relayConfirmedAt) < maxHeldAge
}

// longWatchValid reports whether a watch of the policy may stay open for long because a relay confirms the policy
// meanwhile, and for how long that is known.
func (s *Syncer) longWatchValid() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := relayConfirmationValid - time.Since(s.relayConfirmedAt)
	return left, left > 0
}

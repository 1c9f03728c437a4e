package statesync

import (
	"context"
	"errors"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

// Shares of Config.PolicyBound. A change is in force on a host as soon as the host or its relay has asked the store after the
// change. The longest way is that of a host whose relay fails right before the change: it asks at the age of askShare, and
// again after each hedgeShare without an answer. The sum stays below the bound, whichever single call, connection or host fails.
const (
	// confirmShare is the age of the policy at which a relay asks the store.
	confirmShare = 0.6
	// askShare is the age at which a host that follows a relay asks the store itself. It is somewhat longer than the pauses
	// between two confirmations of the relay.
	askShare = 0.75
	// hedgeShare is the time without an answer after which the store is asked once more, on another connection.
	hedgeShare = 0.1
	// maxAsks bounds the questions that are open at the same time.
	maxAsks = 3
	// heldShare is the longest time for which a relay holds a poll without news, pollShare the timeout of a poll. They leave the
	// relay time to confirm its policy, and the answer time to arrive.
	heldShare = 0.7
	pollShare = 1.0
	// staleShare is the age of a relay's policy from which the relay counts as failed while the store answers this host.
	staleShare = 2.0
)

const (
	// confirmWait is the wait of a watch that only asks for a confirmation. The store answers it at once.
	confirmWait = time.Millisecond
	// askTimeout bounds the questions to the store together.
	askTimeout = time.Second
	// maxAskBackoff is the longest pause after questions that have failed. With askTimeout it stays below the time after which a
	// host counts as connected again once the store is back.
	maxAskBackoff = 1500 * time.Millisecond
)

// share returns a share of the time within which a new policy must be in force.
func (s *Syncer) share(part float64) time.Duration {
	return time.Duration(part * float64(s.config.PolicyBound()))
}

// confirm records that a part was the store's at some time. For an answer of the store, that is when it was asked.
func (s *Syncer) confirm(p part, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !at.After(s.confirmed[p]) {
		return
	}
	s.confirmed[p] = at
	if p == policyPart {
		s.confirmations++
	}
	s.announceNews()
}

// age returns how long ago the store has confirmed a part. The caller must hold s.mu.
func (s *Syncer) age(p part) time.Duration {
	return time.Since(s.confirmed[p])
}

// confirmPolicy asks the store whether the policy is the newest one when nothing else has confirmed it for a while, until ctx
// ends. It begins when the policy was scanned.
func (s *Syncer) confirmPolicy(ctx context.Context) {
	select {
	case <-s.policyScanned:
	case <-ctx.Done():
		return
	}
	retries := backoff{longest: maxAskBackoff}
	for ctx.Err() == nil {
		select {
		case <-s.askNow:
		case <-time.After(s.untilAsk()):
		case <-ctx.Done():
			return
		}
		if s.untilAsk() > 0 && !s.knowsNewer() {
			continue
		}
		if s.ask(ctx) {
			retries.reset()
			continue
		}
		clock.Sleep(ctx, retries.next())
	}
}

// untilAsk returns the time after which the store is to be asked unless the policy is confirmed before.
func (s *Syncer) untilAsk() time.Duration {
	limit := confirmShare
	if _, relayed := s.relays.pick(time.Now(), s.View()); relayed {
		limit = askShare
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.share(limit)-s.age(policyPart), 0)
}

// ask asks the store for a newer policy, once more after each hedgeShare without an answer. It reports whether there was an
// answer.
func (s *Syncer) ask(ctx context.Context) bool {
	asking, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answers := make(chan error, maxAsks)
	asked, failed := 0, 0
	for {
		if asked < maxAsks {
			asked++
			go func() { answers <- s.readPolicy(asking) }()
		}
		select {
		case err := <-answers:
			if err == nil {
				s.markReachable(policyPart)
				return true
			}
			if failed++; failed < asked {
				continue
			}
			if ctx.Err() == nil {
				s.markUnreachable(policyPart, err)
			}
			return false
		case <-time.After(s.share(hedgeShare)):
		}
	}
}

// readPolicy asks the store once and applies a newer policy.
func (s *Syncer) readPolicy(ctx context.Context) error {
	asked := time.Now()
	s.mu.Lock()
	since := s.policyThrough
	s.mu.Unlock()
	w := s.policyWatcher()
	_, err := s.watchOnce(ctx, w, since, confirmWait)
	if errors.Is(err, platform.ErrHistoryLost) {
		_, err = s.scanAll(ctx, w)
	}
	if err == nil {
		s.confirm(policyPart, asked)
	}
	return err
}

// knowsNewer reports whether a peer has told of a newer policy.
func (s *Syncer) knowsNewer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behind(s.newestSeen)
}

// takeConfirmation takes over what a relay that was asked at some time says about the policy. The same version is confirmed as
// of the time of the relay's own confirmation. A newer one is taken from the relay if it has sent it, and from the store
// otherwise.
func (s *Syncer) takeConfirmation(host id.HostID, got relayedRoster, asked time.Time) {
	if got.Policy == 0 {
		return
	}
	if len(got.Packed) > 0 {
		raw, err := unpack(got.Packed)
		if err != nil {
			s.config.Log.Warn().Err(err).Str("peer", string(host)).Msg("sync: policy of the relay cannot be decompressed")
		} else {
			s.setPolicy(raw, string(host))
		}
	}
	if got.Policy == s.Version() {
		s.confirm(policyPart, asked.Add(-time.Duration(got.PolicyAgeMS)*time.Millisecond))
		return
	}
	s.awaitPolicyVersion(host, got.Policy, hintDelay)
	s.mu.Lock()
	behind := s.behind(got.Policy)
	s.newestSeen = max(s.newestSeen, got.Policy)
	s.mu.Unlock()
	if behind {
		s.wakeAsk()
	}
}

// wakeAsk lets confirmPolicy ask at once.
func (s *Syncer) wakeAsk() {
	select {
	case s.askNow <- struct{}{}:
	default:
	}
}

package statesync

import (
	"context"
	"errors"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/platform"
)

// Shares of Config.PolicyBound. A change is in force on a host as soon as the host or its relay has asked the store after the
// change. The longest way is that of a host whose relay fails right before the change: it asks at the age of askShare, and
// again after each hedgeShare without an answer. The sum stays below the bound, whichever single call, connection or host fails.
const (
	// confirmShare is the age of the policy at which a relay asks the store.
	confirmShare = 0.6
	// minConfirmShare is the least age at which a relay asks a store that is slow.
	minConfirmShare = 0.2
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
	// relayedHintShare is the time after which a host fetches a policy that its relay has told of from the relay itself, unless the
	// store has delivered it by then.
	relayedHintShare = 0.3
	// staleShare is the age of a relay's policy from which the relay counts as failed while the store answers this host.
	staleShare = 2.0
)

const (
	// maxStatedAge bounds the ages that peers state.
	maxStatedAge = 24 * time.Hour
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
		wait := s.untilAsk()
		if s.policyRecovered() == nil {
			retries.reset()
		} else {
			// Only an answer to this host shows that it can reach the store again, whatever its relay confirms.
			wait = retries.next()
		}
		select {
		case <-s.askNow:
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		if s.policyRecovered() != nil || s.untilAsk() == 0 || s.knowsNewer() {
			s.ask(ctx)
		}
	}
}

// untilAsk returns the time after which the store is to be asked unless the policy is confirmed before. A relay asks earlier
// by the time that the store takes to answer, so that the hosts that poll it are confirmed in time.
func (s *Syncer) untilAsk() time.Duration {
	_, relayed := s.relays.pick(time.Now(), s.View())
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := s.share(askShare)
	if !relayed {
		limit = max(s.share(confirmShare)-s.answerTime, s.share(minConfirmShare))
	}
	return max(limit-s.age(policyPart), 0)
}

// ask asks the store for a newer policy. Without an answer it asks again after hedgeShare, or after twice the time that the
// store takes to answer, whether the question before has failed or is still open. While the store is unreachable it asks
// once.
func (s *Syncer) ask(ctx context.Context) {
	asking, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	s.mu.Lock()
	hedge := max(s.share(hedgeShare), 2*s.answerTime)
	s.mu.Unlock()
	most := maxAsks
	if s.policyRecovered() != nil {
		most = 1
	}
	answers := make(chan error, maxAsks)
	asked, failed := 0, 0
	for {
		if asked < most {
			asked++
			go func() { answers <- s.readPolicy(asking) }()
		}
		for next := time.After(hedge); next != nil; {
			select {
			case err := <-answers:
				if err == nil {
					s.markReachable(policyPart)
					return
				}
				if failed++; failed < most {
					continue
				}
				if ctx.Err() == nil {
					s.markUnreachable(policyPart, err)
				}
				return
			case <-next:
				next = nil
			}
		}
	}
}

// readPolicy asks the store once and applies a newer policy.
func (s *Syncer) readPolicy(ctx context.Context) error {
	asked := time.Now()
	s.mu.Lock()
	since := min(s.policyThrough, s.evacuation.through)
	s.mu.Unlock()
	w := s.policyWatcher()
	_, err := s.watchOnce(ctx, w, since, confirmWait)
	if errors.Is(err, platform.ErrHistoryLost) {
		_, err = s.scanAll(ctx, w)
	}
	if err == nil {
		s.confirm(policyPart, asked)
		s.mu.Lock()
		s.answerTime = time.Since(asked)
		s.mu.Unlock()
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
// otherwise. A relay of an earlier version, which does not tell which failure domains are evacuated, confirms nothing: the
// host then asks the store itself.
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
		if got.Evacuation == nil {
			return
		}
		s.takeThrough(got)
		s.confirm(policyPart, asked.Add(-ageOf(got.PolicyAgeMS)))
		return
	}
	s.awaitPolicyVersion(host, got.Policy, s.share(relayedHintShare))
	s.mu.Lock()
	behind := s.behind(got.Policy)
	s.newestSeen = max(s.newestSeen, got.Policy)
	s.mu.Unlock()
	if behind {
		s.wakeAsk()
	}
}

// takeThrough takes over up to which revision a relay knows the policy that this host has as well, so that a question of this
// host does not go back to changes that the store has forgotten, and how long the store takes to answer.
func (s *Syncer) takeThrough(got relayedRoster) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.policyThrough = max(s.policyThrough, got.PolicyThrough)
	s.answerTime = min(ageOf(got.AnswerMS), askTimeout)
}

// ageOf returns an age that a peer has stated in milliseconds, within limits that mean something.
func ageOf(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxStatedAge.Milliseconds())) * time.Millisecond
}

// wakeAsk lets confirmPolicy ask at once.
func (s *Syncer) wakeAsk() {
	select {
	case s.askNow <- struct{}{}:
	default:
	}
}

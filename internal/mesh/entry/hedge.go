package entry

import (
	"context"
	"time"
)

const (
	// hedgeRetryInterval is the pause after which a hedge that no gate took is tried again.
	hedgeRetryInterval = time.Second
	// stopRepeatShare times the usual work time before the end of a planned stop, a running request is hedged: most work is
	// done within that time.
	stopRepeatShare = 1.5
)

// hedge starts an attempt at another host beside one that is overdue, or that a planned stop would break off.
func (s *session) hedge(ctx context.Context) {
	if s.hedging || !s.mayRepeat() {
		return
	}
	s.hedging = true
	s.startHedge(ctx)
}

// startHedge starts an attempt beside those in flight. All hosts but those in use may be tried again, since their earlier
// refusals are out of date.
func (s *session) startHedge(ctx context.Context) {
	s.tried, s.fullHosts, s.suspectedHosts, s.queueWaits, s.fullRefusals = nil, nil, nil, 0, 0
	for host := range s.active {
		s.tried = append(s.tried, host)
	}
	s.continueHedge(ctx)
}

// continueHedge tries the next host for a hedge. If there is none, the hedge is tried again after a while in a planned stop. At
// other times a hung attempt is ended by its target and then repeated.
func (s *session) continueHedge(ctx context.Context) {
	if s.mayRepeat() && s.startNext(ctx) {
		return
	}
	if s.hedgeTimer == nil && !s.entry.config.StopEnds().IsZero() {
		s.hedgeTimer = time.AfterFunc(hedgeRetryInterval, func() { s.emit(event{kind: eventRetryHedge}) })
	}
}

// retryHedge tries a hedge again that no gate took, unless another attempt has begun meanwhile.
func (s *session) retryHedge(ctx context.Context) {
	if len(s.active) != 1 {
		return
	}
	s.repeatRefusals = 0
	if s.mayRepeat() {
		s.startHedge(ctx)
	}
}

// hedgeBeforeStop starts a hedge, or tries one again that no gate took, while a target works on the request.
func (s *session) hedgeBeforeStop(ctx context.Context) {
	switch {
	case !s.anyRunning():
	case s.hedging:
		s.retryHedge(ctx)
	default:
		s.hedge(ctx)
	}
}

// anyRunning reports whether a target works on the request.
func (s *session) anyRunning() bool {
	for _, a := range s.active {
		if a.running {
			return true
		}
	}
	return false
}

// awaitStopNear arranges for a hedge while a repeat still has time to be answered before a planned stop ends.
func (s *session) awaitStopNear() {
	usual := s.entry.worktimes.Mean(s.request.route.ID)
	wait := time.Until(s.entry.config.StopEnds()) - time.Duration(stopRepeatShare*float64(usual))
	s.stopNearTimer = time.AfterFunc(max(wait, 0), func() { s.emit(event{kind: eventStopNear}) })
}

package entry

import (
	"context"
	"errors"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/mesh/choose"
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
)

// handle takes an event into account. It returns the answer when there is one.
func (s *session) handle(ctx context.Context, e event) (*link.Result, bool) {
	switch e.kind {
	case silent:
		if s.active[e.attempt.host] == e.attempt {
			e.attempt.cancel(link.ErrSilent)
		}
	case overdue:
		if s.active[e.attempt.host] == e.attempt {
			s.entry.config.Chooser.Report(e.attempt.host, choose.Report{Kind: choose.Overdue})
			s.hedge(ctx)
		}
	case quiet:
		s.quietFor(ctx, e.attempt)
	case started:
		e.attempt.running, e.attempt.runningSince = true, time.Now()
		s.watchGate(e.attempt)
		s.dropHopeless()
	case hopeless:
		if s.active[e.attempt.host] == e.attempt {
			e.attempt.hopeless = true
			s.hedge(ctx)
			s.dropHopeless()
		}
	case ended:
		return s.ended(e.attempt, e.result)
	}
	return nil, false
}

// watchGate takes a running attempt for overdue when its gate cannot tell so, because its host is not reached any more.
func (s *session) watchGate(a *attempt) {
	limit := s.entry.worktimes.OverdueAfter(s.query.route.ID)
	if limit == 0 || s.active[a.host] != a {
		return
	}
	a.quiet = time.AfterFunc(limit, func() { s.tell(event{kind: quiet, attempt: a}) })
}

// quietFor decides on an attempt that is overdue by the entry's own knowledge and of which the gate has told nothing.
func (s *session) quietFor(ctx context.Context, a *attempt) {
	if s.active[a.host] != a || s.hedging {
		return
	}
	if s.entry.config.Chooser.Unreached(a.host) {
		s.hedge(ctx)
		return
	}
	a.quiet.Reset(quietPeriod)
}

// hedge starts to look for another host beside an attempt that is overdue. All hosts but those in use are asked anew,
// since what they told when the request came is out of date.
func (s *session) hedge(ctx context.Context) {
	if s.hedging || !s.mayRepeat() {
		return
	}
	s.hedging = true
	s.asked, s.full, s.suspected, s.waits, s.fullAsked = nil, nil, nil, 0, 0
	for host := range s.active {
		s.asked = append(s.asked, host)
	}
	s.next(ctx)
}

// dropHopeless cancels the attempts that their gates would give up, once another attempt runs or if there cannot be
// one. A planned stop must not cost callers their answers, so that a stopping entry lets everything run.
func (s *session) dropHopeless() {
	if s.entry.config.Draining() {
		return
	}
	replaced := false
	for _, a := range s.active {
		replaced = replaced || (a.running && !a.hopeless)
	}
	for _, a := range s.active {
		if a.hopeless && (replaced || (len(s.active) == 1 && !s.mayRepeat())) {
			a.cancel(errHopeless)
		}
	}
}

// errHopeless ends an attempt that others need the slot of.
var errHopeless = errors.New("the attempt was given up for others")

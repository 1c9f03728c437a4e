package entry

// signals turns a gate's signals into events.
type signals struct {
	session *session
	attempt *attempt
}

// Queued implements link.Signals.
func (s *signals) Queued() {
	s.attempt.acceptTimer.Stop()
	s.attempt.acceptance.acknowledge()
}

// Started implements link.Signals.
func (s *signals) Started() {
	s.attempt.acceptTimer.Stop()
	s.attempt.acceptance.acknowledge()
	s.session.emit(event{kind: eventStarted, attempt: s.attempt})
}

// Overdue implements link.Signals.
func (s *signals) Overdue() {
	s.session.emit(event{kind: eventOverdue, attempt: s.attempt})
}

// CancelAdvised implements link.Signals.
func (s *signals) CancelAdvised() {
	s.session.emit(event{kind: eventCancelAdvised, attempt: s.attempt})
}

package entry

// signals turns a gate's signals into events.
type signals struct {
	session *session
	attempt *attempt
}

// Queued implements link.Signals.
func (s *signals) Queued() {
	s.attempt.silence.Stop()
}

// Started implements link.Signals.
func (s *signals) Started() {
	s.attempt.silence.Stop()
	go s.session.tell(event{kind: started, attempt: s.attempt})
}

// Overdue implements link.Signals.
func (s *signals) Overdue() {
	go s.session.tell(event{kind: overdue, attempt: s.attempt})
}

// Hopeless implements link.Signals.
func (s *signals) Hopeless() {
	go s.session.tell(event{kind: hopeless, attempt: s.attempt})
}

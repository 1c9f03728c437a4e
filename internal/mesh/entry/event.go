package entry

import (
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
)

// eventKind says what happened to an attempt.
type eventKind uint8

const (
	ended eventKind = iota
	started
	overdue
	hopeless
	silent
)

// event is something that happened to an attempt.
type event struct {
	kind    eventKind
	attempt *attempt
	result  *link.Result
}

// tell passes an event on unless the session has ended.
func (s *session) tell(e event) bool {
	select {
	case s.events <- e:
		return true
	case <-s.stop:
		return false
	}
}

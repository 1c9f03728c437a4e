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
	// quiet means that the attempt is overdue by what the entry knows, whatever its gate tells.
	quiet
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

package entry

import (
	"buckthornlatch.example/buckthornlatch/internal/mesh/link"
)

type eventKind uint8

const (
	eventEnded eventKind = iota
	eventStarted
	eventOverdue
	eventCancelAdvised
	eventAcceptTimeout
	// eventLocalOverdue means that the attempt is overdue by the entry's own estimate, whatever its gate reports.
	eventLocalOverdue
)

// event is something that happened to an attempt.
type event struct {
	kind    eventKind
	attempt *attempt
	result  *link.Result
}

// emit sends an event to the session and reports whether it was received before the session ended.
func (s *session) emit(e event) bool {
	select {
	case s.events <- e:
		return true
	case <-s.done:
		return false
	}
}

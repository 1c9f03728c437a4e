package entry

import (
	"time"

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
	// eventStopOver means that a planned stop may be over in which advice to cancel attempts was not followed.
	eventStopOver
	// eventStopNear means that the end of a planned stop leaves just enough time for a repeat.
	eventStopNear
	// eventRetryHedge means that a hedge that no gate took may be tried again.
	eventRetryHedge
)

// event is something that happened to an attempt.
type event struct {
	kind    eventKind
	attempt *attempt
	result  *link.Result
	// at is when it happened.
	at time.Time
}

// emit adds an event to the session's queue and reports whether the session has not ended.
func (s *session) emit(e event) bool {
	e.at = time.Now()
	return s.events.add(e)
}

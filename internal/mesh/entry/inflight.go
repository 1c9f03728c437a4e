package entry

import (
	"context"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// attempt is one attempt in flight.
type attempt struct {
	host   id.HostID
	sentAt time.Time
	cancel context.CancelCauseFunc
	// queued is true if the attempt may wait for a slot.
	queued bool
	// acceptTimer ends the attempt if its host does not acknowledge it; acceptance tells which of both came first.
	acceptTimer *time.Timer
	acceptance  acceptance
	// overdueTimer fires when the attempt is overdue by the entry's own estimate, in case its gate has died.
	overdueTimer *time.Timer
	// running is true once the attempt has a slot, cancelAdvised once its gate advised to cancel it.
	running       bool
	cancelAdvised bool
	// runningSince is when the attempt got its slot.
	runningSince time.Time
}

func (a *attempt) stopTimers() {
	a.acceptTimer.Stop()
	if a.overdueTimer != nil {
		a.overdueTimer.Stop()
	}
}

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
	// silence ends the attempt when its host does not show that it has it.
	silence *time.Timer
	// quiet tells when the attempt is overdue by what the entry knows. Its gate may have died.
	quiet *time.Timer
	// running says that the attempt has a slot, hopeless that its gate would give it up.
	running  bool
	hopeless bool
	// runningSince is when the attempt got its slot.
	runningSince time.Time
}

// stopTimers ends what the attempt waits for.
func (a *attempt) stopTimers() {
	a.silence.Stop()
	if a.quiet != nil {
		a.quiet.Stop()
	}
}

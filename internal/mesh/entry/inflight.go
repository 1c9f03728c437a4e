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
	// running says that the attempt has a slot, hopeless that its gate would give it up.
	running  bool
	hopeless bool
	// runningSince is when the attempt got its slot.
	runningSince time.Time
}

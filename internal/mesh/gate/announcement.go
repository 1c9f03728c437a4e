package gate

import (
	"fmt"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

// Announcement is a target's report of its own state.
type Announcement struct {
	Target  roster.TargetIncarnation
	Service id.ServiceName
	State   roster.State
	Slots   int
	// Sequence orders the announcements of one incarnation. It is not set for roster.Gone, which is the last one.
	Sequence uint64
	// WarmUp is how long the target is still cold; zero if it is warm.
	WarmUp time.Duration
}

// AnnouncementError reports an invalid announcement.
type AnnouncementError struct {
	Target string
	Reason string
}

// Error implements error.
func (e *AnnouncementError) Error() string {
	return fmt.Sprintf("announcement of target %q: %s", e.Target, e.Reason)
}

// maxSequence is far above the number of announcements of any incarnation. A larger number would make all later ones
// look outdated.
const maxSequence = 1 << 40

// maxIDBytes bounds the id of a target: the host's record holds the ids of several targets.
const maxIDBytes = 256

// validate checks an announcement against the service of this host.
func (a Announcement) validate(service id.ServiceName, now time.Time) error {
	switch {
	case a.Target.ID == "":
		return &AnnouncementError{Reason: "the id is missing"}
	case len(a.Target.ID) > maxIDBytes:
		return &AnnouncementError{Target: a.Target.ID[:maxIDBytes], Reason: fmt.Sprintf("the id is longer than %d bytes", maxIDBytes)}
	case !a.Target.Valid(now):
		return &AnnouncementError{Target: a.Target.ID, Reason: "the start time is impossible"}
	case a.State == roster.Gone:
		return nil
	case a.Service != service:
		return &AnnouncementError{Target: a.Target.ID, Reason: "service " + string(a.Service) + " is not this host's"}
	case a.Slots <= 0 || !roster.ValidSlots(a.Slots):
		return &AnnouncementError{Target: a.Target.ID, Reason: "the number of slots is impossible"}
	case a.Sequence > maxSequence:
		return &AnnouncementError{Target: a.Target.ID, Reason: "the sequence number is impossible"}
	case a.State != roster.Serving && a.State != roster.Draining:
		return &AnnouncementError{Target: a.Target.ID, Reason: "the state is unknown"}
	}
	return nil
}

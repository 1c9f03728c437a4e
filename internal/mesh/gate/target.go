package gate

import (
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/mesh/targetconn"
)

// target is the state of the host's target, as last announced or restored.
type target struct {
	incarnation roster.TargetIncarnation
	sequence    uint64
	state       roster.State
	slots       int
	// announced is set once the target has announced itself to this process. A record of an earlier process proves no more
	// than that the target was serving when it was written: that process may have acknowledged its leaving since, while
	// the store was out of reach.
	announced bool
	// earlierStartLeaves is set when a start of the same target with an earlier start time announces that it is leaving,
	// until the known one announces itself again.
	earlierStartLeaves bool
	// earlier counts the announcements of a start whose start time is earlier than the known one's. Such a start is the present
	// one if the streak is complete: the time of day of the target's machine jumped back before the target started again.
	earlier streak
	// evidence is what shows that the target runs now.
	evidence evidence
	// misdirected is set when another process responded at the address; an announcement clears it.
	misdirected bool
	pool        *targetconn.Pool
}

// supersedes reports whether an announcement is stale compared to the known state. An incarnation that is gone stays
// gone.
func (t *target) supersedes(a Announcement) bool {
	if a.Target.StartedMS != t.incarnation.StartedMS {
		return a.Target.StartedMS < t.incarnation.StartedMS
	}
	if a.Target.ID != t.incarnation.ID || t.state == roster.Gone {
		return true
	}
	if t.state.Follows(a.State) {
		// The sequence number of the announcement of leaving is unknown if a record told of it.
		return true
	}
	return a.State != roster.Gone && a.Sequence <= t.sequence
}

package gate

import (
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/mesh/targetconn"
)

// target is the host's target as far as the gate knows.
type target struct {
	incarnation roster.TargetIncarnation
	sequence    uint64
	state       roster.State
	slots       int
	// misdirected is set when another process answered at the address; an announcement clears it.
	misdirected bool
	pool        *targetconn.Pool
}

// older reports whether an announcement is overtaken by what the gate knows. A target that has ended stays ended.
func (t *target) older(a Announcement) bool {
	if a.State == roster.Gone && a.Target.ID == t.incarnation.ID && a.Target.Born == 0 {
		// A farewell may come without the time of the start; anything else without it is another writer's.
		a.Target.Born = t.incarnation.Born
	}
	if a.Target.Born != t.incarnation.Born {
		return a.Target.Born < t.incarnation.Born
	}
	if a.Target.ID != t.incarnation.ID || t.state == roster.Gone {
		return true
	}
	return a.State != roster.Gone && a.Sequence <= t.sequence
}

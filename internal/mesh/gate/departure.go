package gate

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

// noteDeparture adds a target that announces its leaving to the departed ones, whether or not the announcement is stale: it is
// about to be acknowledged. The announcement is returned with a start time. The lock must be held.
//
// The last announcement may omit the start time, and then means the known target if the id is its. Otherwise it holds for each
// start of that id until now: an announcement that is late names such a start.
func (g *Gate) noteDeparture(a Announcement) Announcement {
	switch {
	case a.State == roster.Serving:
		return a
	case a.Target.StartedMS > 0 || a.State == roster.Draining:
		g.departed = g.departed.With(a.Target)
	case g.target != nil && g.target.incarnation.ID == a.Target.ID:
		a.Target = g.target.incarnation
		g.departed = g.departed.With(a.Target)
	default:
		now := time.Now().UnixMilli()
		g.departed = g.departed.WithAllUntil(a.Target.ID, now)
		if g.target == nil {
			a.Target.StartedMS = now
		}
	}
	return a
}

// isCurrent reports whether an announcement comes from the present target, and not from one that has left or has a successor. The
// lock must be held.
func (g *Gate) isCurrent(a Announcement) bool {
	if a.State == roster.Serving && g.departed.Contains(a.Target) {
		return false
	}
	return g.target == nil || !g.target.supersedes(a) || g.noteStale(a)
}

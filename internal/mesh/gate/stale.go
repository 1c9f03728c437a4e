package gate

import "buckthornlatch.example/buckthornlatch/internal/mesh/roster"

// noteStale takes what a stale announcement proves. It reports whether its sender is the present start of the target after
// all. The lock must be held.
func (g *Gate) noteStale(a Announcement) (present bool) {
	g.clearMisdirected(a)
	t := g.target
	if a.Target.StartedMS == 0 || a.Target.StartedMS >= t.incarnation.StartedMS {
		return false
	}
	if a.State == roster.Serving {
		// The known start must not have announced itself since the first announcement that is counted.
		return t.earlier.add(g.config.Clock.Now(), a)
	}
	if a.Target.ID == t.incarnation.ID && !t.earlierStartLeaves {
		// Whichever start it is, its leaving is about to be acknowledged.
		t.earlierStartLeaves = true
		g.config.EventLog.Warn().Str("target", a.Target.ID).Int64("born", a.Target.StartedMS).Int64("known", t.incarnation.StartedMS).
			Str("state", string(a.State)).Msg("gate: an earlier start of the target leaves; unused until the known one announces itself")
		g.updateAdmission()
	}
	return false
}

package gate

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

const (
	// A start with an earlier start time replaces the known one after minEarlierAnnouncements over minEarlierTime. A target
	// that lives announces itself more often than that, so that late messages of an earlier start are interrupted by it.
	minEarlierAnnouncements = 3
	minEarlierTime          = 2 * time.Second
)

// earlierStart collects the announcements of a start whose start time is earlier than that of the known one. They are late
// messages, or the time of day of the target's machine jumped back before the target started again.
type earlierStart struct {
	incarnation roster.TargetIncarnation
	sequence    uint64
	count       int
	since       clock.Time
}

// add adds an announcement and reports whether the start is the present one. The known one must not have announced itself
// since the first announcement that is counted.
func (e *earlierStart) add(now clock.Time, a Announcement) bool {
	if e.incarnation != a.Target || e.count == 0 {
		*e = earlierStart{incarnation: a.Target, sequence: a.Sequence, count: 1, since: now}
		return false
	}
	if a.Sequence <= e.sequence {
		return false
	}
	e.sequence = a.Sequence
	e.count++
	return e.count >= minEarlierAnnouncements && now.Sub(e.since) >= minEarlierTime
}

// noteStale takes what a stale announcement proves. It reports whether its sender is the present start of the target after
// all. The lock must be held.
func (g *Gate) noteStale(a Announcement) (present bool) {
	g.clearMisdirected(a)
	t := g.target
	if a.Target.StartedMS == 0 || a.Target.StartedMS >= t.incarnation.StartedMS {
		return false
	}
	if a.State == roster.Serving {
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

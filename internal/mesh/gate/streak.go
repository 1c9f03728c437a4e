package gate

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

const (
	// A streak is complete after minStreakAnnouncements over minStreakTime. A target announces itself at a steady pace, while
	// messages that were held back arrive together or are single ones.
	minStreakAnnouncements = 3
	minStreakTime          = 2 * time.Second
)

// streak counts the announcements of one start of a target that arrive in their order. Its zero value is an empty streak.
type streak struct {
	incarnation roster.TargetIncarnation
	sequence    uint64
	count       int
	since       clock.Time
}

// add adds an announcement and reports whether the streak is complete. An announcement of another start begins a new one.
func (s *streak) add(now clock.Time, a Announcement) bool {
	switch {
	case s.incarnation != a.Target || s.count == 0:
		*s = streak{incarnation: a.Target, sequence: a.Sequence, count: 1, since: now}
	case a.Sequence > s.sequence:
		s.sequence = a.Sequence
		s.count++
	default:
		return false
	}
	return s.count >= minStreakAnnouncements && now.Sub(s.since) >= minStreakTime
}

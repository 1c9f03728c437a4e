package gate

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

const (
	// A streak is complete after minStreakAnnouncements over minStreakTime. A target announces itself at a steady pace, while
	// messages that were held back arrive together or are single ones.
	minStreakAnnouncements = 3
	minStreakTime          = 2 * time.Second
)

// streak counts announcements. Its zero value is an empty streak.
type streak struct {
	count int
	since clock.Time
}

// add adds an announcement and reports whether the streak is complete.
func (s *streak) add(now clock.Time) bool {
	if s.count == 0 {
		s.since = now
	}
	s.count++
	return s.count >= minStreakAnnouncements && now.Sub(s.since) >= minStreakTime
}

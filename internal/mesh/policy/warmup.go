package policy

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// WarmUp describes how the targets of a service are after their start.
type WarmUp struct {
	// Time is how long a target stays cold.
	Time time.Duration
	// PerSecond is how many requests a second a cold target can handle; zero means no limit.
	PerSecond float64
}

// WarmUp returns how the targets of a service are after their start. The zero value means that they need no care.
func (s *Snapshot) WarmUp(service id.ServiceName) WarmUp { return s.warmUps[service] }

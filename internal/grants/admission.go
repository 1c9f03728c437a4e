package grants

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// Admission is the right to run one request.
type Admission struct {
	// ValidFor is the remaining validity when Admit returned.
	ValidFor time.Duration
	// Until is the end of the validity on this process's clock. Unlike ValidFor, it
	// stays correct when the process is paused after the decision.
	Until clock.Time
}

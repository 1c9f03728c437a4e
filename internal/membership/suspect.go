package membership

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Suspect is one host's evidence that a request may crash targets.
type Suspect struct {
	// Fingerprint identifies the request.
	Fingerprint string `json:"fingerprint"`
	// Crashed lists the host's targets that crashed while the request was in flight.
	Crashed []CrashRef `json:"crashed,omitempty"`
	// Cleared lists crashes of targets on any host after which this evidence's host saw the request complete.
	Cleared []CrashRef `json:"cleared,omitempty"`
}

// CrashRef names one crash of a target.
type CrashRef struct {
	Target id.TargetID `json:"target"`
	// Number identifies the crash among those of the target.
	Number uint64 `json:"number"`
	// Age is the time from the crash to the publication of the evidence, rounded down.
	Age time.Duration `json:"age"`
}

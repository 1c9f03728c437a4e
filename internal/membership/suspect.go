package membership

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Suspect is one host's evidence that a request may crash targets.
type Suspect struct {
	// Fingerprint identifies the request.
	Fingerprint string
	// Crashed lists the host's targets that crashed while the request was in flight.
	Crashed []CrashRef
	// Completions counts the completed runs that the host saw after its first crash with the request.
	Completions uint64
	// Running says that the request is in flight on the host now.
	Running bool
}

// CrashRef names one crash of a target.
type CrashRef struct {
	Target id.TargetID
	// Number counts the crashes seen by one gate process.
	Number uint64
	// Age is the time from the crash to the publication of the evidence.
	Age time.Duration
}

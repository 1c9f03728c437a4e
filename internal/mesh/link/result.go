package link

import (
	"io"
	"net/http"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/mesh/choose"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
)

// Reason explains a verdict. It is one word.
type Reason string

// Reasons that arise on the way; those of the gate's decisions are slots.Reason values.
const (
	Answered       Reason = "answered"
	TargetDeclined Reason = "target-declined"
	TargetReplaced Reason = "target-replaced"
	TargetBroken   Reason = "target-broken"
	NotConnected   Reason = "not-connected"
	LinkBroken     Reason = "link-broken"
	BodyBroken     Reason = "body-broken"
	OutOfTime      Reason = "out-of-time"
	GateDraining   Reason = "gate-draining"
	GateStopped    Reason = "gate-stopped"
	Quarantined    Reason = "quarantined"
	Ended          Reason = "ended"
)

// Result is what became of an attempt.
type Result struct {
	Verdict hop.Verdict
	Reason  Reason
	// RetryAfter is the time until the gate may have room; zero when unknown.
	RetryAfter time.Duration
	Load       choose.Load
	LoadKnown  bool
	// Policy is the version in force at the gate; zero when unknown.
	Policy policy.Version

	// Status, Header and the body are the target's answer when Verdict is hop.Ran.
	Status int
	Header http.Header
	// Body is the whole body if Rest is nil, and its beginning otherwise. Rest must be closed.
	Body []byte
	Rest io.ReadCloser
	// Length is the length of the whole body in bytes, -1 when unknown.
	Length int64
	// Err is the cause of a verdict that is not hop.Ran; nil for decisions.
	Err error
}

// Close releases what an unused result holds.
func (r *Result) Close() {
	if r.Rest != nil {
		_ = r.Rest.Close()
	}
}

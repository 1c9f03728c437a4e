package link

import (
	"io"
	"net/http"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/mesh/choose"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
)

// Reason explains a verdict. It contains no spaces, because they separate the fields of a result on the wire.
type Reason string

// Reasons other than those of the gate's admission decisions, which are slots.Reason values.
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
	Evacuated      Reason = "evacuated"
	Ended          Reason = "ended"
)

// Result is the outcome of an attempt.
type Result struct {
	Verdict hop.Verdict
	Reason  Reason
	// RetryAfter is the time until the gate may have a free slot; zero when unknown.
	RetryAfter time.Duration
	Load       choose.Load
	LoadKnown  bool
	// Policy is the policy version in force at the gate; zero when unknown.
	Policy policy.Version

	// Status, Header and the body are the target's response when Verdict is hop.Ran.
	Status int
	Header http.Header
	// Body is the whole body if Rest is nil, and its beginning otherwise. Rest must be closed.
	Body []byte
	Rest io.ReadCloser
	// Length is the length of the whole body in bytes, -1 when unknown.
	Length int64
	// Err is the cause of a verdict that is not hop.Ran, if it arose on this host; nil for decisions of the gate or the
	// target.
	Err error
}

// Close closes the rest of the body, if any.
func (r *Result) Close() {
	if r.Rest != nil {
		_ = r.Rest.Close()
	}
}

package hop

// Verdict is what the sender of a response knows about the attempt.
type Verdict string

const (
	// NotRun means that the gate proved that the request did not run.
	NotRun Verdict = "not-run"
	// Ran means that the body is the target's response; the trailer certifies that it is complete.
	Ran Verdict = "ran"
	// Unknown means that the request may have run.
	Unknown Verdict = "unknown"
)

// valid reports whether the verdict is known.
func (v Verdict) valid() bool {
	return v == NotRun || v == Ran || v == Unknown
}

package hop

// Verdict says whether the attempt ran, as far as the sender of the response can prove it.
type Verdict string

const (
	// NotRun means that the gate proved that the request did not run.
	NotRun Verdict = "not-run"
	// Ran means that the body is the target's response; the trailer marks it as complete.
	Ran Verdict = "ran"
	// Unknown means that the request may have run.
	Unknown Verdict = "unknown"
)

// valid reports whether the verdict is known.
func (v Verdict) valid() bool {
	return v == NotRun || v == Ran || v == Unknown
}

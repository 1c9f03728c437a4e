package problem

// Run says whether a refused request may have run.
type Run string

const (
	// NotRun means that the request has provably not run.
	NotRun Run = "not-run"
	// Unknown means that the request may have run.
	Unknown Run = "unknown"
)

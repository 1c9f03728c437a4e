package problem

// Run states what is known about the effect of a refused request.
type Run string

const (
	// NotRun means that the request was proved not to have run.
	NotRun Run = "not-run"
	// Unknown means that the request may have run.
	Unknown Run = "unknown"
)

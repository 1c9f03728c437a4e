package load

// Outcome is the end of one request as its caller saw it.
type Outcome string

const (
	// Served means a whole answer of the target.
	Served Outcome = "served"
	// RefusedNotRun means a refusal that states that the request did not run.
	RefusedNotRun Outcome = "refused-not-run"
	// Unknown means a refusal or a broken connection that leaves the effect open.
	Unknown Outcome = "unknown"
	// TargetError means a whole answer of the target with a status of 500 or above.
	TargetError Outcome = "target-error"
)

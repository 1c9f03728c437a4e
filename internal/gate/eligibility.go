package gate

// Admit is the set of attempts that may be sent to a target.
type Admit uint8

const (
	// AdmitNone admits no attempt.
	AdmitNone Admit = iota
	// AdmitTrial admits one idempotent attempt while the target is otherwise idle.
	AdmitTrial
	// AdmitAll admits all attempts.
	AdmitAll
)

// Eligibility is the result of outlier detection for a target.
type Eligibility struct {
	Admit Admit
	// Weight scales the target's free slots when targets are compared; between 0 and 1.
	Weight float64
}

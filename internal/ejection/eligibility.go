package ejection

// Eligibility says what work a target may get now.
type Eligibility struct {
	// Admit says that the target may get work.
	Admit bool
	// IdempotentOnly restricts the work to one idempotent trial request at a time.
	IdempotentOnly bool
	// Weight is the share of work relative to a healthy target, between 0 and 1.
	Weight float64
}

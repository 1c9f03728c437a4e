package traffic

// Purpose says what bytes were exchanged for.
type Purpose uint8

const (
	// Answered are attempts that a target answered.
	Answered Purpose = iota
	// Refused are attempts that provably did not run.
	Refused
	// Other are attempts that were cancelled or broke off, and calls without a known purpose.
	Other
	// State is the shared state: the roster and the policy.
	State
	// Grants are the grants of rate limits.
	Grants

	purposes
)

// String returns the value of the purpose in metrics and logs.
func (p Purpose) String() string {
	return [...]string{"answered", "refused", "other", "state", "grants"}[p]
}

// Purposes returns all purposes.
func Purposes() []Purpose {
	return []Purpose{Answered, Refused, Other, State, Grants}
}

package ejection

// health is a target's state in outlier detection.
type health uint8

const (
	// healthy targets get their full share.
	healthy health = iota
	// suspect targets keep work at a lower weight while a permit is requested.
	suspect
	// ejected targets get no work; the permit is held.
	ejected
	// trial targets get single idempotent requests; the permit is still held.
	trial
)

// String returns the state's name.
func (h health) String() string {
	return [...]string{"healthy", "suspect", "ejected", "trial"}[h]
}

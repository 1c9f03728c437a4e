package ownership

// Reason says why a duty is not confirmed.
type Reason uint8

// The reasons, in the order in which they are checked.
const (
	// Confirmed means that the duty may be performed.
	Confirmed Reason = iota
	// NotHeld means that the process never held the slot or gave it up.
	NotHeld
	// Superseded means that a higher epoch of the slot is known.
	Superseded
	// NotPlaced means that the newest known roster does not place the duty on the slot.
	NotPlaced
	// NotFresh means that the last evidence of freshness is missing or too old.
	NotFresh
	// EpochUnsettled means that a process with a lower epoch may still perform the duty.
	EpochUnsettled
	// RosterUnsettled means that a process with an older roster may still perform the duty.
	RosterUnsettled
)

// reasonNames are used in logs and status output.
var reasonNames = [...]string{
	"confirmed", "not-held", "superseded", "not-placed", "not-fresh", "epoch-unsettled", "roster-unsettled",
}

// String returns the name used in logs and status output.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "invalid-reason"
}

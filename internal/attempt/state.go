package attempt

// State is the state of an attempt in the table.
type State uint8

const (
	// Unseen attempts are not in the table: they have not arrived, have expired or were evicted.
	Unseen State = iota
	// Waiting attempts have arrived and may be dispatched.
	Waiting
	// Dispatched attempts may have reached a target.
	Dispatched
	// NotRun attempts did not run and will not.
	NotRun
	// Ran attempts were answered completely by a target.
	Ran
	// Unknown attempts were dispatched and ended without a complete answer, or may have been evicted.
	Unknown
	// Blocked attempts were resolved before they were dispatched; they will not run.
	Blocked
	// Full means that the table does not accept another attempt.
	Full
)

// String returns the state's name.
func (s State) String() string {
	names := [...]string{"unseen", "waiting", "dispatched", "not-run", "ran", "unknown", "blocked", "full"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid"
}

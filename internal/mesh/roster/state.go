package roster

// State is the state of a host's target.
type State string

const (
	// Serving targets accept new work.
	Serving State = "serving"
	// Draining targets finish the work in flight and accept no new work.
	Draining State = "draining"
	// Gone targets have terminated.
	Gone State = "gone"
)

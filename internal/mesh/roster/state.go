package roster

// State is the state of a host's target.
type State string

const (
	// Serving targets take new work.
	Serving State = "serving"
	// Draining targets finish their work and take no new one.
	Draining State = "draining"
	// Gone targets have ended.
	Gone State = "gone"
)

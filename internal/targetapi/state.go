package targetapi

// State is the state that a target announces.
type State string

const (
	// Starting targets are not ready for work.
	Starting State = "starting"
	// Serving targets take work.
	Serving State = "serving"
	// Draining targets finish their work and may return to serving.
	Draining State = "draining"
	// Leaving targets finish their work and end.
	Leaving State = "leaving"
)

// valid reports whether the state is known.
func (s State) valid() bool {
	switch s {
	case Starting, Serving, Draining, Leaving:
		return true
	}
	return false
}

package targetapi

// State is the lifecycle state that a target announces.
type State string

const (
	// Starting targets are not yet ready for requests.
	Starting State = "starting"
	// Serving targets accept requests. Only they are sent new ones.
	Serving State = "serving"
	// Draining targets finish their running requests and may return to serving.
	Draining State = "draining"
	// Leaving targets finish their running requests and exit.
	Leaving State = "leaving"
)

// valid reports whether s is one of the defined states.
func (s State) valid() bool {
	switch s {
	case Starting, Serving, Draining, Leaving:
		return true
	}
	return false
}

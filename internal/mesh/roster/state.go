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

// known reports whether the state is one of those above.
func (s State) known() bool {
	return s == Serving || s == Draining || s == Gone
}

// Follows reports whether a target in the state s was in the state earlier before. A target that has announced its
// leaving does not return to service as the same incarnation.
func (s State) Follows(earlier State) bool {
	return s.order() > earlier.order()
}

// order returns the position of the state in the life of a target.
func (s State) order() int {
	switch s {
	case Gone:
		return 2
	case Draining:
		return 1
	}
	return 0
}

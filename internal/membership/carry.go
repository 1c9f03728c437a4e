package membership

// summaries returns the riders' summaries.
func (t *Table) summaries() []RiderState {
	states := make([]RiderState, 0, len(t.riders))
	for _, r := range t.riders {
		states = append(states, RiderState{Name: r.Name(), Summary: r.Summary()})
	}
	return states
}

// deltas returns the riders' summaries, each with the delta for a peer whose summaries are theirs.
func (t *Table) deltas(theirs []RiderState) []RiderState {
	states := make([]RiderState, 0, len(t.riders))
	for _, r := range t.riders {
		peer, _ := findRider(theirs, r.Name())
		delta, err := r.Delta(peer.Summary)
		if err != nil {
			// Without a delta the receiver does not count the heartbeats as covered.
			delta = nil
		}
		states = append(states, RiderState{Name: r.Name(), Summary: r.Summary(), Delta: delta})
	}
	return states
}

// coversAll reports whether every rider covers the sender's state. It is false when the sender lacks
// a rider, because its heartbeats then prove nothing about that rider.
func (t *Table) coversAll(theirs []RiderState) bool {
	for _, r := range t.riders {
		state, found := findRider(theirs, r.Name())
		if !found || !r.Covers(state.Summary) {
			return false
		}
	}
	return true
}

// mergeRiders merges the received deltas and reports whether all riders now cover the sender's state.
func (t *Table) mergeRiders(theirs []RiderState) bool {
	covered := true
	for _, r := range t.riders {
		state, found := findRider(theirs, r.Name())
		covered = found && mergeRider(r, state) && covered
	}
	t.refreshMark()
	return covered
}

// mergeRider merges one delta and reports whether the rider now covers the sender's state. A delta
// that was merged without an error is complete.
func mergeRider(r Rider, state RiderState) bool {
	if r.Covers(state.Summary) {
		return true
	}
	if len(state.Delta) == 0 {
		return false
	}
	return r.Merge(state.Delta) == nil
}

// findRider returns the state of the rider with a name.
func findRider(states []RiderState, name string) (RiderState, bool) {
	for _, s := range states {
		if s.Name == name {
			return s, true
		}
	}
	return RiderState{}, false
}

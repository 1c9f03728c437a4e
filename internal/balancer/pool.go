package balancer

// pool holds the targets of one service in slices, so that a random one is drawn in constant time.
type pool struct {
	// all are the targets of the service, available or not.
	all []*target
	// available are those that may get new work; local are the available ones in the local failure domain.
	available []*target
	local     []*target
	// trials are the ejected targets that accept single idempotent requests as trials.
	trials []*target
}

// setKnown adds a target to, or removes it from, the list of all targets.
func (p *pool) setKnown(t *target, known bool) {
	p.all = setMember(p.all, t, known, func(t *target) *int { return &t.allIndex })
}

// setTrial adds a target to, or removes it from, the trial list.
func (p *pool) setTrial(t *target, trial bool) {
	p.trials = setMember(p.trials, t, trial, func(t *target) *int { return &t.trialIndex })
}

// setAvailable adds a target to, or removes it from, the available and local lists.
func (p *pool) setAvailable(t *target, available, local bool) {
	p.available = setMember(p.available, t, available, func(t *target) *int { return &t.availableIndex })
	p.local = setMember(p.local, t, available && local, func(t *target) *int { return &t.localIndex })
}

// setMember adds t to list, or removes it in constant time by moving the last element into its place.
// position returns the field that holds a target's index in list.
func setMember(list []*target, t *target, member bool, position func(*target) *int) []*target {
	at := position(t)
	if member == (*at >= 0) {
		return list
	}
	if member {
		*at = len(list)
		return append(list, t)
	}
	last := len(list) - 1
	list[*at] = list[last]
	*position(list[*at]) = *at
	list[last] = nil
	*at = -1
	return list[:last]
}

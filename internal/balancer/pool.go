package balancer

// pool holds the available targets of one service, so that a random one is found in constant time.
type pool struct {
	// all are the targets of the service, available or not.
	all []*target
	// available are those that may get new work; local are those of them in the own failure domain.
	available []*target
	local     []*target
	// trials are the ejected targets that take single idempotent requests.
	trials []*target
}

// know enters a target in or removes it from the list of all.
func (p *pool) know(t *target, known bool) {
	p.all = setMember(p.all, t, known, func(t *target) *int { return &t.allAt })
}

// setTrial enters a target in or removes it from the trial list.
func (p *pool) setTrial(t *target, trial bool) {
	p.trials = setMember(p.trials, t, trial, func(t *target) *int { return &t.trialAt })
}

// set enters or removes a target in the available lists.
func (p *pool) set(t *target, available, local bool) {
	p.available = setMember(p.available, t, available, func(t *target) *int { return &t.poolAt })
	p.local = setMember(p.local, t, available && local, func(t *target) *int { return &t.localAt })
}

// setMember adds t to or removes it from list; position keeps its index there.
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

package gate

import (
	"errors"
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/targetapi"
)

// errTooManyTargets rejects announcements above the limit.
var errTooManyTargets = errors.New("too many targets on this host")

// announce applies an announcement and reports whether the published state changed.
func (p *pool) announce(a targetapi.Announcement) (changed bool, err error) {
	now := p.deps.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	void, successor := p.departed.note(now, a)
	if void {
		return false, nil
	}
	t := p.targets[a.Name]
	if t != nil && (successor || !t.sameProcess(a)) {
		p.replace(t, now)
		t = nil
	}
	if t == nil {
		if len(p.targets) >= p.config.MaxTargets {
			return false, errTooManyTargets
		}
		t = p.add(a)
		changed = true
	}
	before := t.publishedState()
	t.present = t.present || successor
	changed = changed || t.slots != a.Slots
	t.state, t.slots, t.lastSeen = a.State, a.Slots, now
	t.notePresence(a, p.token, now)
	changed = changed || t.publishedState() != before
	if changed {
		p.deps.Log.Info().Str("target", a.Name).Str("state", string(t.publishedState())).Msg("gate: target announced")
	}
	p.serveOrRefuseWaiters(t.service, now)
	return changed, nil
}

// add registers a new target process.
func (p *pool) add(a targetapi.Announcement) *target {
	t := &target{
		id:        id.TargetID{Host: p.config.Host, Name: a.Name},
		service:   a.Service,
		address:   a.Address,
		instance:  a.Instance,
		transport: newTargetTransport(p.config),
	}
	p.targets[a.Name] = t
	p.services[a.Service] = append(p.services[a.Service], t)
	return t
}

// replace removes the earlier process of a target whose new process has announced itself.
func (p *pool) replace(t *target, now clock.Time) {
	p.remove(t)
	p.serveOrRefuseWaiters(t.service, now)
	if t.state != targetapi.Leaving {
		p.deps.Health.Observe(Observation{Target: t.id, Service: t.service, Event: Restarted, At: now})
	}
}

// remove removes a target from the pool. Its running attempts continue.
func (p *pool) remove(t *target) {
	t.removed = true
	delete(p.targets, t.id.Name)
	rest := slices.DeleteFunc(p.services[t.service], func(o *target) bool { return o == t })
	if len(rest) == 0 {
		delete(p.services, t.service)
	} else {
		p.services[t.service] = rest
	}
	t.transport.CloseIdleConnections()
}

// expireTargets removes targets that stopped announcing themselves and reports whether there were any. It also
// serves waiters, because a target may have become eligible with time.
func (p *pool) expireTargets() bool {
	now := p.deps.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := false
	for _, t := range p.targets {
		if now.Sub(t.lastSeen) > targetapi.Expiry {
			p.expireTarget(t, now)
			p.serveOrRefuseWaiters(t.service, now)
			changed = true
		}
	}
	for service := range p.services {
		p.serveOrRefuseWaiters(service, now)
	}
	return changed
}

// expireTarget removes a target that stopped announcing itself.
func (p *pool) expireTarget(t *target, now clock.Time) {
	p.remove(t)
	p.deps.Log.Info().Str("target", t.id.Name).Msg("gate: target expired")
	if t.state != targetapi.Leaving {
		p.deps.Health.Observe(Observation{Target: t.id, Service: t.service, Event: Expired, At: now})
	}
}

// status returns the published state of all targets.
func (p *pool) status() []TargetStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]TargetStatus, 0, len(p.targets))
	for _, t := range p.targets {
		all = append(all, TargetStatus{ID: t.id, Service: t.service, State: t.publishedState(), Slots: t.slots, InFlight: t.inFlight})
	}
	slices.SortFunc(all, func(a, b TargetStatus) int {
		if a.ID.Name < b.ID.Name {
			return -1
		}
		return 1
	})
	return all
}

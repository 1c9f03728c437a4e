package balancer

import (
	"math"
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

const (
	// samples is the number of random candidates that are compared per pool.
	samples = 2
	// sampleTries bounds the draws that hit excluded targets before all are scanned.
	sampleTries = 8
	// trialChance is one in this many idempotent requests that may be a trial of an ejected target.
	trialChance = 20
	// strongWeight is the weight above which a near target with a free slot is taken without comparison.
	strongWeight = 0.9
	// equalWithin is the factor up to which two scores count as equal, so that the closer one is taken.
	equalWithin = 1.2
)

// Pick chooses a target of a service that is not excluded, and counts an attempt on it until
// Report. Only idempotent requests test a path that went silent. It returns false when no target
// may take work.
func (b *Balancer) Pick(service id.ServiceName, exclude []id.TargetID, idempotent bool, now clock.Time) (Candidate, bool) {
	p := b.pools[service]
	if p == nil {
		return Candidate{}, false
	}
	chosen := b.trialTarget(service, exclude, idempotent, now)
	if chosen == nil && idempotent {
		chosen = b.ejectedTrial(p, exclude)
	}
	if chosen == nil {
		chosen = b.choose(p, exclude, now)
	}
	if chosen == nil {
		chosen = b.lastResort(p, exclude, now)
	}
	if chosen == nil {
		return Candidate{}, false
	}
	chosen.outstanding++
	return chosen.candidate(), true
}

// ejectedTrial now and then returns an ejected target that takes trials, one attempt at a time.
func (b *Balancer) ejectedTrial(p *pool, exclude []id.TargetID) *target {
	if len(p.trials) == 0 || b.random.IntN(trialChance) != 0 {
		return nil
	}
	t := p.trials[b.random.IntN(len(p.trials))]
	if t.outstanding > 0 || slices.Contains(exclude, t.id) {
		return nil
	}
	return t
}

// choose compares random candidates of the own failure domain and of all.
func (b *Balancer) choose(p *pool, exclude []id.TargetID, now clock.Time) *target {
	own := b.ownTarget(p, exclude)
	local := b.best(p.local, exclude, now)
	if near := closer(own, local, now); near != nil && near.load(now) < float64(near.info.Slots) && near.weight(now) > strongWeight {
		return near
	}
	// The near targets are full or weak, so they compete with the far ones.
	return closer(closer(own, local, now), b.best(p.available, exclude, now), now)
}

// ownTarget returns an available target of the own host.
func (b *Balancer) ownTarget(p *pool, exclude []id.TargetID) *target {
	g := b.gates[b.config.Host]
	if g == nil {
		return nil
	}
	for _, t := range g.targets {
		if t.poolAt >= 0 && b.pools[t.service] == p && !slices.Contains(exclude, t.id) {
			return t
		}
	}
	return nil
}

// best returns the better one of a few random targets of a list.
func (b *Balancer) best(list []*target, exclude []id.TargetID, now clock.Time) *target {
	var best *target
	drawn := 0
	for try := 0; len(list) > 0 && drawn < samples && try < sampleTries; try++ {
		t := list[b.random.IntN(len(list))]
		if t == best || slices.Contains(exclude, t.id) {
			continue
		}
		drawn++
		best = better(best, t, now)
	}
	if best != nil {
		return best
	}
	for _, t := range list {
		if !slices.Contains(exclude, t.id) {
			best = better(best, t, now)
		}
	}
	return best
}

// better returns the target with the lower score.
func better(a, b *target, now clock.Time) *target {
	if a == nil || (b != nil && ratio(b, a, now) < 1) {
		return b
	}
	return a
}

// closer returns near unless far is clearly better.
func closer(near, far *target, now clock.Time) *target {
	if near == nil || (far != nil && ratio(near, far, now) > equalWithin) {
		return far
	}
	return near
}

// ratio returns how many times longer a request is expected to take at a than at b.
func ratio(a, b *target, now clock.Time) float64 {
	r := a.pressure(now) / b.pressure(now)
	la, lb := a.expectedLatency(now), b.expectedLatency(now)
	if la > 0 && lb > 0 {
		r *= la / lb
	}
	return r
}

// pressure is the load per slot and weight that one more attempt would cause.
func (t *target) pressure(now clock.Time) float64 {
	return (t.load(now) + 1) / (math.Max(1, float64(t.info.Slots)) * t.weight(now))
}

// candidate returns the caller's view of the target.
func (t *target) candidate() Candidate {
	return Candidate{
		Target:        t.id,
		Service:       t.service,
		Gate:          t.gate.host,
		FailureDomain: t.gate.failureDomain,
		Address:       t.gate.address,
	}
}

// trialTarget returns a target behind a gate whose backoff ended; one attempt at a time tests a path.
func (b *Balancer) trialTarget(service id.ServiceName, exclude []id.TargetID, idempotent bool, now clock.Time) *target {
	for _, g := range b.failing {
		if g.suspected || !g.path.usable(now) || (g.path.unsafe && !idempotent) {
			continue
		}
		for _, t := range g.targets {
			if t.service == service && t.selectable() && !slices.Contains(exclude, t.id) {
				g.path.trial = true
				return t
			}
		}
	}
	return nil
}

// lastResort returns the best target whose gate is suspected or in backoff.
func (b *Balancer) lastResort(p *pool, exclude []id.TargetID, now clock.Time) *target {
	var best *target
	for _, t := range p.all {
		if !t.selectable() || slices.Contains(exclude, t.id) {
			continue
		}
		switch {
		case best == nil || best.gate.distrust() > t.gate.distrust():
			best = t
		case best.gate.distrust() == t.gate.distrust():
			best = better(best, t, now)
		}
	}
	return best
}

package balancer

import (
	"math"
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

const (
	// sampleCount is the number of random candidates compared per list (power of two choices).
	sampleCount = 2
	// maxDraws bounds the random draws; when all of them hit excluded targets, the list is scanned.
	maxDraws = 8
	// trialsOneIn makes one in this many idempotent requests a possible trial of an ejected target.
	trialsOneIn = 20
	// minNearWeight is the weight above which a local target with a free slot is chosen without
	// comparing it with targets in other failure domains.
	minNearWeight = 0.9
	// equalRatio is the cost ratio up to which two targets count as equal, so that the nearer one is chosen.
	equalRatio = 1.2
)

// Pick chooses a target of a service that is not excluded, and counts an attempt on it until
// Report. Only idempotent requests serve as trials of ejected targets and of paths that stalled.
// It returns false when there is no eligible target.
func (b *Balancer) Pick(service id.ServiceName, exclude []id.TargetID, idempotent bool, now clock.Time) (Candidate, bool) {
	p := b.pools[service]
	if p == nil {
		return Candidate{}, false
	}
	chosen := b.pathTrial(service, exclude, idempotent, now)
	if chosen == nil && idempotent {
		chosen = b.ejectedTrial(p, exclude)
	}
	if chosen == nil {
		chosen = b.choose(p, exclude, now)
	}
	if chosen == nil {
		chosen = b.fallback(p, exclude, now)
	}
	if chosen == nil {
		return Candidate{}, false
	}
	chosen.outstanding++
	return chosen.candidate(), true
}

// ejectedTrial returns, for one in trialsOneIn calls, an ejected target that accepts trials and has no
// attempt of this daemon.
func (b *Balancer) ejectedTrial(p *pool, exclude []id.TargetID) *target {
	if len(p.trials) == 0 || b.random.IntN(trialsOneIn) != 0 {
		return nil
	}
	t := p.trials[b.random.IntN(len(p.trials))]
	if t.outstanding > 0 || slices.Contains(exclude, t.id) {
		return nil
	}
	return t
}

// choose compares random candidates of the local failure domain and of the whole service.
func (b *Balancer) choose(p *pool, exclude []id.TargetID, now clock.Time) *target {
	own := b.ownTarget(p, exclude)
	local := b.best(p.local, exclude, now)
	if near := preferNear(own, local, now); near != nil && near.load(now) < float64(near.info.Slots) && near.weight(now) > minNearWeight {
		return near
	}
	// The local candidates are full or have a low weight, so compare them with all others.
	return preferNear(preferNear(own, local, now), b.best(p.available, exclude, now), now)
}

// ownTarget returns an available target on the local host.
func (b *Balancer) ownTarget(p *pool, exclude []id.TargetID) *target {
	g := b.gates[b.config.Host]
	if g == nil {
		return nil
	}
	for _, t := range g.targets {
		if t.availableIndex >= 0 && b.pools[t.service] == p && !slices.Contains(exclude, t.id) {
			return t
		}
	}
	return nil
}

// best returns the best of a few random targets of a list. It scans the list when all draws were excluded.
func (b *Balancer) best(list []*target, exclude []id.TargetID, now clock.Time) *target {
	var best *target
	drawn := 0
	for try := 0; len(list) > 0 && drawn < sampleCount && try < maxDraws; try++ {
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

// better returns the target with the lower expected cost.
func better(a, b *target, now clock.Time) *target {
	if a == nil || (b != nil && ratio(b, a, now) < 1) {
		return b
	}
	return a
}

// preferNear returns near unless far is clearly better, by more than equalRatio.
func preferNear(near, far *target, now clock.Time) *target {
	if near == nil || (far != nil && ratio(near, far, now) > equalRatio) {
		return far
	}
	return near
}

// ratio returns the expected cost of a relative to b: utilization, times latency when both are known.
func ratio(a, b *target, now clock.Time) float64 {
	r := a.utilization(now) / b.utilization(now)
	la, lb := a.expectedLatency(now), b.expectedLatency(now)
	if la > 0 && lb > 0 {
		r *= la / lb
	}
	return r
}

// utilization returns the load per weighted slot with one more attempt.
func (t *target) utilization(now clock.Time) float64 {
	return (t.load(now) + 1) / (math.Max(1, float64(t.info.Slots)) * t.weight(now))
}

// candidate converts the target for the caller.
func (t *target) candidate() Candidate {
	return Candidate{
		Target:        t.id,
		Service:       t.service,
		Gate:          t.gate.host,
		FailureDomain: t.gate.failureDomain,
		Address:       t.gate.address,
	}
}

// pathTrial returns a target of a failing gate whose backoff ended, as the single trial of its path.
func (b *Balancer) pathTrial(service id.ServiceName, exclude []id.TargetID, idempotent bool, now clock.Time) *target {
	for _, g := range b.failing {
		if g.suspected || !g.path.usable(now) || (g.path.idempotentOnly && !idempotent) {
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

// fallback returns the best target when no gate is available, preferring gates of lower fallbackRank.
func (b *Balancer) fallback(p *pool, exclude []id.TargetID, now clock.Time) *target {
	var best *target
	for _, t := range p.all {
		if !t.selectable() || slices.Contains(exclude, t.id) {
			continue
		}
		switch {
		case best == nil || best.gate.fallbackRank() > t.gate.fallbackRank():
			best = t
		case best.gate.fallbackRank() == t.gate.fallbackRank():
			best = better(best, t, now)
		}
	}
	return best
}

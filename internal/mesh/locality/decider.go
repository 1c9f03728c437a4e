package locality

import (
	"math"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

const (
	// stepInterval is the time between two changes of the share. Results of a change are known after a round trip
	// outside, which takes tens of milliseconds.
	stepInterval = 250 * time.Millisecond
	// stepUp and stepDown change the share. From no share to all takes 2 s, which is short against loads that swing
	// within 17 s; it falls faster, because a share that is too large costs the most and the bound on waits protects
	// those that stay.
	stepUp   = 1.0 / 8
	stepDown = 1.0 / 4
	// MinShare is the share that always leaves.
	MinShare = 1.0 / 16
	// raiseAbove and lowerBelow bound the ratio of gain to cost within which the share stays.
	raiseAbove = 1.25
	lowerBelow = 0.8
	// insideHalfLife and outsideHalfLife are the half-lives of observations. Loads are out of date after about a second.
	// Few attempts leave, so that their outcomes must count for longer.
	insideHalfLife  = time.Second
	outsideHalfLife = 2 * time.Second
	// latencyHalfLife is the half-life of round-trip times, which seldom change.
	latencyHalfLife = 30 * time.Second
	// priorWeight is the weight of the assumption that there is room outside, in attempts.
	priorWeight = 0.5
	// minWeight is the weight of observations inside below which they count as missing.
	minWeight = 0.25
	// defaultExtraLatency is the extra latency outside before it was measured.
	defaultExtraLatency = 20 * time.Millisecond
	// SuspectedWait stands for the wait at a gate that suspects its target. It is longer than the patience of most
	// requests: an attempt there may hang.
	SuspectedWait = 2 * time.Second
	// minSaved is the part of the wait that leaving must save. Below it most attempts that leave are refused and cost bytes
	// for nothing, also those of requests without patience.
	minSaved = 0.1
	// minFound bounds the wait inside where hardly any attempt finds room outside.
	minFound = 0.05
)

// Decider decides for one service.
type Decider struct {
	share  float64
	stepAt clock.Time
	// firsts and refused count the attempts inside that asked for a slot at once, and those of them that found none.
	firsts, refused decayed
	// waits is the sum of the waits inside in seconds and their number, patience that of the requests concerned.
	waits, waitCount, patience, patienceCount decayed
	// farWaits is the sum of the waits that gates outside expected, farWaitCount their number.
	farWaits, farWaitCount decayed
	// left and found count the attempts that left, and those of them that found room.
	left, found decayed
	// near and far are the round-trip times inside and outside.
	near, far latency
}

// New returns a decider without observations.
func New(now clock.Time) *Decider {
	return &Decider{
		share: 1, stepAt: now,
		firsts: decayed{halfLife: insideHalfLife}, refused: decayed{halfLife: insideHalfLife},
		waits: decayed{halfLife: insideHalfLife}, waitCount: decayed{halfLife: insideHalfLife},
		patience: decayed{halfLife: insideHalfLife}, patienceCount: decayed{halfLife: insideHalfLife},
		farWaits: decayed{halfLife: outsideHalfLife}, farWaitCount: decayed{halfLife: outsideHalfLife},
		left: decayed{halfLife: outsideHalfLife}, found: decayed{halfLife: outsideHalfLife},
	}
}

// Asked records whether an attempt found room at once, outside the failure domain or inside. wait is the wait for a slot
// if it did not; zero when unknown.
func (d *Decider) Asked(now clock.Time, outside, found bool, wait time.Duration) {
	d.advance(now)
	if outside {
		d.left.add(now, 1)
		switch {
		case found:
			d.found.add(now, 1)
		case wait > 0:
			d.farWaits.add(now, wait.Seconds())
			d.farWaitCount.add(now, 1)
		}
		return
	}
	d.firsts.add(now, 1)
	if !found {
		d.refused.add(now, 1)
		d.Waited(now, wait)
	}
}

// Declined records that the target declined an attempt that had found room outside. Such room helps nobody.
func (d *Decider) Declined(now clock.Time) {
	d.found.add(now, -min(d.found.at(now), 1))
}

// Waited records a wait inside.
func (d *Decider) Waited(now clock.Time, wait time.Duration) {
	if wait > 0 {
		d.waits.add(now, wait.Seconds())
		d.waitCount.add(now, 1)
	}
}

// Latency records the time that a gate with room took to start an attempt.
func (d *Decider) Latency(now clock.Time, outside bool, took time.Duration) {
	if outside {
		d.far.add(now, took)
		return
	}
	d.near.add(now, took)
}

// NoRoom records the patience of a request that found no room inside.
func (d *Decider) NoRoom(now clock.Time, patience time.Duration) {
	d.patience.add(now, patience.Seconds())
	d.patienceCount.add(now, 1)
}

// Share returns the share of the attempts without room inside that may leave.
func (d *Decider) Share(now clock.Time) float64 {
	d.advance(now)
	return d.share
}

// ShareAfter returns the share of those attempts that may leave after a number of refusals outside: the less likely
// there is room, the fewer gates are asked.
func (d *Decider) ShareAfter(now clock.Time, refusals int) float64 {
	return d.Share(now) * math.Pow(d.savedShare(now), float64(refusals))
}

// savedShare returns the share of the wait inside that an attempt which leaves is expected to save.
func (d *Decider) savedShare(now clock.Time) float64 {
	room := d.roomOutside(now)
	far, known := d.farWait(now)
	wait, count := d.waits.at(now), d.waitCount.at(now)
	if !known || far*count >= wait {
		return room
	}
	return 1 - (1-room)*far*count/wait
}

// RefusedInside returns the share of the attempts inside that found no room at once, lately.
func (d *Decider) RefusedInside(now clock.Time) float64 {
	return d.refused.at(now) / (d.firsts.at(now) + 1)
}

// Bound returns the wait inside from which a request with the given patience gains by leaving.
func (d *Decider) Bound(now clock.Time, patience time.Duration) time.Duration {
	room, cost := d.roomOutside(now), (d.extra() + patience).Seconds()
	bound := cost / max(room, minFound)
	if far, known := d.farWait(now); known {
		bound = min(bound, cost+(1-room)*far)
	}
	return time.Duration(bound * float64(time.Second))
}

// farWait returns the wait outside, in seconds, of an attempt that finds no room there.
func (d *Decider) farWait(now clock.Time) (float64, bool) {
	count := d.farWaitCount.at(now)
	if count < minWeight {
		return 0, false
	}
	return d.farWaits.at(now) / count, true
}

// roomOutside returns the probability that an attempt finds room outside.
func (d *Decider) roomOutside(now clock.Time) float64 {
	return (d.found.at(now) + priorWeight) / (d.left.at(now) + priorWeight)
}

// extra returns the extra latency outside.
func (d *Decider) extra() time.Duration {
	if !d.near.known || !d.far.known {
		return defaultExtraLatency
	}
	return max(d.far.mean-d.near.mean, 0)
}

// maxSteps bounds the steps for a time without calls; they are enough for the whole range of the share.
const maxSteps = int(1/stepUp) + 1

// advance makes the steps that are due.
func (d *Decider) advance(now clock.Time) {
	due := int(now.Sub(d.stepAt) / stepInterval)
	if due <= 0 {
		return
	}
	d.stepAt = d.stepAt.Add(time.Duration(due) * stepInterval)
	for range min(due, maxSteps) {
		d.step(now)
	}
}

// step changes the share once.
func (d *Decider) step(now clock.Time) {
	count := d.waitCount.at(now)
	if count < minWeight {
		d.share = min(d.share+stepUp, 1)
		return
	}
	wait := d.waits.at(now) / count
	saved := d.savedShare(now)
	gain := saved * wait
	cost := d.extra().Seconds()
	if n := d.patienceCount.at(now); n > 0 {
		cost += d.patience.at(now) / n
	}
	switch {
	case gain < lowerBelow*cost, saved < minSaved:
		d.share = max(d.share-stepDown, MinShare)
	case gain > raiseAbove*cost:
		d.share = min(d.share+stepUp, 1)
	}
}

// decayed is a sum whose terms decay.
type decayed struct {
	halfLife time.Duration
	sum      float64
	updated  clock.Time
}

// at returns the sum.
func (s *decayed) at(now clock.Time) float64 {
	if age := now.Sub(s.updated); age > 0 {
		return s.sum * math.Exp2(-float64(age)/float64(s.halfLife))
	}
	return s.sum
}

// add adds a term.
func (s *decayed) add(now clock.Time, x float64) {
	s.sum = s.at(now) + x
	s.updated = max(s.updated, now)
}

// latency is a mean in which a sample has the weight of the time since the one before.
type latency struct {
	known   bool
	mean    time.Duration
	updated clock.Time
}

// minLatencyWeight is the least weight of a sample, so that the first ones are averaged.
const minLatencyWeight = 0.05

// add adds a sample.
func (l *latency) add(now clock.Time, took time.Duration) {
	weight := max(1-math.Exp2(-float64(now.Sub(l.updated))/float64(latencyHalfLife)), minLatencyWeight)
	if !l.known {
		weight = 1
	}
	l.mean += time.Duration(weight * float64(took-l.mean))
	l.known, l.updated = true, now
}

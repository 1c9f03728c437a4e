package slots

import (
	"math"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

const (
	// demandHalfLife is the half-life of earlier demand in the estimate of a class's needs.
	demandHalfLife = 4 * time.Second
	// refusedWeight is the weight of the work of a refused attempt, which is usually tried at about three gates.
	refusedWeight = 0.34
	// reserveFactor is applied to the number of slots that a class uses on average, because attempts arrive in bursts.
	reserveFactor = 1.5
	// nestedPatience is the time that a nested attempt may wait for a slot, as a multiple of its usual work. The work that
	// waits for it holds a slot of another target meanwhile. In simulated loads, 2 instead of 1 raised the share of the least
	// urgent requests that are served from 0.53 to 0.55 and changed nothing for nested ones.
	nestedPatience = 2
	// maxNestedShare bounds the share of the slots that is reserved for nested attempts.
	maxNestedShare = 0.34
	// maxReserveShare bounds the share of the slots that is reserved for all more urgent classes of a rank. The rest is
	// open to every rank.
	maxReserveShare = 0.75
	// minDemand is the work, in seconds, below which a level counts as not asking for slots.
	minDemand = 0.01
	// recheckInterval is the interval between attempts to serve the queue while a slot is reserved. A reserved slot
	// opens to others when running work has progressed or demand has ceased, without any event. The interval is short
	// compared with the work that the slot is for.
	recheckInterval = 50 * time.Millisecond
)

// levels is the number of levels of urgency that demand is recorded for: nested attempts, then the ranks from 0. Higher
// ranks share the last level.
const levels = 9

// level returns the level of urgency of an attempt; 0 is the most urgent.
func (d Demand) level() int {
	return min(max(d.class(), nestedClass)-nestedClass, levels-1)
}

// demand estimates how many slots the attempts of each level use.
type demand struct {
	at clock.Time
	// work is the decayed sum of the slot time that attempts of a level requested, in seconds.
	work [levels]float64
	// patience is the decayed sum of the time that these attempts could wait for a slot, weighted by their work.
	patience [levels]float64
}

// decay lets the estimate decay up to now.
func (l *demand) decay(now clock.Time) {
	if now == l.at {
		return
	}
	factor := math.Exp2(-now.Sub(l.at).Seconds() / demandHalfLife.Seconds())
	for i := range l.work {
		l.work[i] *= factor
		l.patience[i] *= factor
	}
	l.at = now
}

// add records the expected duration of an attempt, or a part of it if the attempt was refused: attempts that find no
// slot are the reason to reserve more.
func (l *demand) add(now clock.Time, d Demand, expected time.Duration, refused bool) {
	l.decay(now)
	work := expected.Seconds()
	if refused {
		work *= refusedWeight
	}
	l.work[d.level()] += work
	patience := max(d.Objective-expected, 0)
	if d.Nested {
		patience = nestedPatience * expected
	}
	l.patience[d.level()] += work * patience.Seconds()
}

// reservation is what is reserved for the levels up to one.
type reservation struct {
	// slots is the number of slots that less urgent work must leave.
	slots int
	// patience is the time within which a slot must become free to count as left.
	patience time.Duration
	// open is the number of further attempts with less urgent work that outlasts patience for which there is room. It is
	// negative when the reservation has grown while such work was running.
	open int
}

// room describes which slots attempts may use at one time.
type room struct {
	free         int
	reservations [levels]reservation
	// entitled is the number of attempts that each level may start ahead of more urgent ones, because it is served below its floor.
	entitled [levels]int
}

// room returns the state of the slots.
func (a *Admission) room(now clock.Time) *room {
	a.demand.decay(now)
	r := &room{free: a.slots - len(a.running)}
	if now.Before(a.warmUp.due(now)) {
		r.free = 0
	}
	for i := range r.entitled {
		r.entitled[i] = a.floor.entitled(i)
	}
	needed := 0.0
	for i := range r.reservations {
		average := a.demand.work[i] * math.Ln2 / demandHalfLife.Seconds()
		needed += reserveFactor * average
		if i == 0 {
			needed = min(needed, math.Floor(maxNestedShare*float64(a.slots)))
		}
		reserved := int(min(math.Round(needed), math.Floor(maxReserveShare*float64(a.slots))))
		if i > 0 && reserved == r.reservations[i-1].slots {
			// The level itself needs no slot, so that the previous level's limit is the stricter one.
			r.reservations[i].slots = reserved
			r.reservations[i].open = a.slots
			continue
		}
		r.reservations[i] = a.reservation(now, i, reserved)
	}
	return r
}

// reservedBefore returns the number of slots that are reserved for more urgent levels than that of an attempt.
func (r *room) reservedBefore(d Demand) int {
	if d.level() == 0 {
		return 0
	}
	return r.reservations[d.level()-1].slots
}

// reservation returns the reservation of a number of slots for the levels up to the given one.
func (a *Admission) reservation(now clock.Time, level, reserved int) reservation {
	r := reservation{slots: reserved, open: a.slots - reserved}
	if reserved == 0 {
		return r
	}
	if a.demand.work[level] > 0 {
		r.patience = time.Duration(a.demand.patience[level] / a.demand.work[level] * float64(time.Second))
	}
	for _, running := range a.running {
		if running.level() > level && a.remainingWork(now, running) > r.patience {
			r.open--
		}
	}
	return r
}

// remainingWork returns the expected remaining time of a running attempt.
func (a *Admission) remainingWork(now clock.Time, r *running) time.Duration {
	usual := a.expectedWork(r.Route)
	return max(usual-now.Sub(r.started), time.Duration(minResidualShare*float64(usual)))
}

// hinders reports whether the reservation for the levels up to the given one keeps an attempt from a free slot. A level
// that is served below its floor respects only the slots reserved for nested attempts.
func (a *Admission) hinders(r *room, level int, d Demand) bool {
	reserved := r.reservations[level]
	if reserved.slots == 0 || reserved.open > 0 || (level > 0 && r.entitled[d.level()] > 0) {
		return false
	}
	return a.expectedWork(d.Route) > reserved.patience
}

// fits reports whether there is a slot for the attempt that is not reserved for more urgent levels.
func (a *Admission) fits(r *room, d Demand) bool {
	if r.free <= 0 {
		return false
	}
	for level := range d.level() {
		if a.hinders(r, level, d) {
			return false
		}
	}
	return true
}

// reservedWait returns the expected time until no reservation keeps an attempt from a free slot: until enough less urgent work
// will end within the patience of the attempts that the slots are reserved for. As in expectedWait, n such pieces of work
// reach that point one after another at intervals of 1/n of their average time to it.
func (a *Admission) reservedWait(now clock.Time, r *room, d Demand) time.Duration {
	var longest time.Duration
	for level := range d.level() {
		if !a.hinders(r, level, d) {
			continue
		}
		reserved := r.reservations[level]
		var sum time.Duration
		n := 0
		for _, running := range a.running {
			if left := a.remainingWork(now, running); running.level() > level && left > reserved.patience {
				sum += left - reserved.patience
				n++
			}
		}
		if n > 0 {
			longest = max(longest, sum/time.Duration(n*n)*time.Duration(min(1-reserved.open, n)))
		}
	}
	return longest
}

// Reserved returns the number of slots that are reserved for nested attempts and, against the least urgent level that has recently
// asked for slots, for more urgent ranks.
func (a *Admission) Reserved(now clock.Time) (nested, ranks int) {
	r := a.room(now)
	nested = r.reservations[0].slots
	for level := levels - 1; level > 0; level-- {
		if a.demand.work[level] > minDemand {
			return nested, r.reservations[level-1].slots - nested
		}
	}
	return nested, 0
}

// RecheckAfter returns the time after which Recheck should be called, and false if it need not be called before the next
// attempt arrives or ends.
func (a *Admission) RecheckAfter() (time.Duration, bool) {
	return recheckInterval, a.open && len(a.queue) > 0 && len(a.running) < a.slots
}

// Recheck serves the queue with slots that are no longer reserved.
func (a *Admission) Recheck(now clock.Time) []Turn {
	return a.serveQueue(now)
}

package slots

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
	"buckthornlatch.example/buckthornlatch/internal/mesh/worktime"
)

const (
	// maxQueue bounds the waiting attempts of one gate.
	maxQueue = 256
	// workMargin is the part of the usual work time that must be left for an attempt to be handed over: an answer
	// that comes a little late is lost, but work that is usually shorter than its mean is not given up too early.
	workMargin = 0.7
	// leastLeft is the part of its usual time that a run is expected to go on for at least.
	leastLeft = 0.2
	// minRetryAfter bounds the advice to come back, so that refused callers do not return in one wave at once.
	minRetryAfter = 100 * time.Millisecond
	// unknownRouteFactor is applied to the limit of all work for a route without samples, whose work may be longer.
	unknownRouteFactor = 2
	// defaultOverdue is used until there are samples and if no objective is known.
	defaultOverdue = 3 * time.Second
	// defaultExpected is used for the duration of work of which no sample is known.
	defaultExpected = 300 * time.Millisecond
)

// Gate decides for one target.
type Gate struct {
	slots     int
	open      bool
	running   map[ID]*running
	queue     []*waiter
	estimates map[id.RouteID]*worktime.Estimate
	all       worktime.Estimate
	suspicion suspicion
	repeats   repeats
	usage     usage
	nested    nestedLoad
}

// New returns a gate without a target.
func New() *Gate {
	return &Gate{running: map[ID]*running{}, estimates: map[id.RouteID]*worktime.Estimate{}}
}

// Open says that the target takes new work on so many slots.
func (g *Gate) Open(now clock.Time, slots int) []Turn {
	g.open, g.slots = true, max(slots, 1)
	return g.pump(now)
}

// Close says that the target takes no new work. The waiting attempts are refused.
func (g *Gate) Close() []Turn {
	g.open = false
	var turns []Turn
	for _, w := range g.queue {
		turns = append(turns, Turn{ID: w.ID, Reason: NoTarget})
	}
	g.queue = nil
	return turns
}

// Replace forgets the evidence against an earlier target.
func (g *Gate) Replace(now clock.Time) {
	g.suspicion = suspicion{at: now}
}

// SetRepeatBudget changes the bound on repeated attempts.
func (g *Gate) SetRepeatBudget(now clock.Time, b RepeatBudget) {
	g.repeats.set(now, b)
}

// Load returns the attempts at the target, the waiting ones and the slots.
func (g *Gate) Load() (inUse, waiting, slots int) {
	return len(g.running), len(g.queue), g.slots
}

// Suspected reports whether the target is suspected of failing its work.
func (g *Gate) Suspected(now clock.Time) bool {
	g.suspicion.settle(now)
	return g.suspicion.suspected
}

// Arrive decides on a new attempt.
func (g *Gate) Arrive(now clock.Time, d Demand) Decision {
	decision := g.decide(now, d)
	if d.Nested {
		g.nested.add(now, g.Expected(d.Route), decision.Kind == Refuse)
	}
	if decision.Kind == Wait || decision.Reason == Full {
		decision.Reclaim, decision.Reclaims = g.reclaim(now)
	}
	return decision
}

// decide is Arrive without giving up attempts.
func (g *Gate) decide(now clock.Time, d Demand) Decision {
	if !g.open {
		return Decision{Kind: Refuse, Reason: NoTarget}
	}
	if d.Remaining < g.needed(d.Route) {
		return Decision{Kind: Refuse, Reason: TooLate}
	}
	full := !g.fits(now, d) || g.overtaken(d)
	wait := g.expectedWait(now, d)
	if full && (wait > d.Patience || len(g.queue) >= maxQueue) {
		return Decision{Kind: Refuse, Reason: Full, RetryAfter: max(wait, minRetryAfter)}
	}
	if !g.suspicion.permits(now, d) {
		return Decision{Kind: Refuse, Reason: Suspected, RetryAfter: trialPeriod}
	}
	if d.Repeat && !g.repeats.take(now) {
		return Decision{Kind: Refuse, Reason: RepeatsUsedUp}
	}
	if !d.Repeat && d.Customer != "" {
		g.repeats.earn()
	}
	if full {
		g.queue = append(g.queue, &waiter{Demand: d, arrived: now})
		return Decision{Kind: Wait}
	}
	g.start(now, d)
	return Decision{Kind: Run}
}

// fits reports whether a slot is free for the attempt. Some slots are kept for nested attempts.
func (g *Gate) fits(now clock.Time, d Demand) bool {
	if len(g.running) >= g.slots {
		return false
	}
	if d.Nested {
		return true
	}
	others := 0
	for _, r := range g.running {
		if !r.Nested {
			others++
		}
	}
	return others < g.slots-g.nested.reserve(now, g.slots)
}

// overtaken reports whether an attempt of the same or a more urgent class waits.
func (g *Gate) overtaken(d Demand) bool {
	for _, w := range g.queue {
		if w.class() <= d.class() {
			return true
		}
	}
	return false
}

// start occupies a slot.
func (g *Gate) start(now clock.Time, d Demand) {
	invariant.Check(len(g.running) < g.slots, "slots-not-exceeded", "%d of %d slots in use", len(g.running), g.slots)
	g.running[d.ID] = &running{Demand: d, started: now}
}

// Abandon removes a waiting attempt. It reports false if the attempt has had its turn.
func (g *Gate) Abandon(attempt ID) bool {
	for i, w := range g.queue {
		if w.ID == attempt {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Done frees the slot of an attempt, takes its outcome as evidence and serves the queue.
func (g *Gate) Done(now clock.Time, attempt ID, outcome Outcome) []Turn {
	r := g.running[attempt]
	if r == nil {
		return nil
	}
	delete(g.running, attempt)
	took := now.Sub(r.started)
	g.usage.add(now, r.Customer, took)
	g.judge(now, r, outcome, took)
	return g.pump(now)
}

// judge takes an outcome as evidence.
func (g *Gate) judge(now clock.Time, r *running, outcome Outcome, took time.Duration) {
	switch outcome {
	case Succeeded:
		g.observe(r.Route, took)
		g.overtake(r.started)
		if !r.overdue {
			g.suspicion.praise(now)
		}
	case Failed, Declined, Broken:
		g.suspicion.blame(now, failureWeight)
	case TimedOut:
		// A caller that waits only a short time says nothing about the target.
		if limit, known := g.overdueLimit(r.Demand); known && took >= limit {
			g.Overdue(now, r)
		}
	case Cancelled:
	}
}

// observe adds a sample to the estimates.
func (g *Gate) observe(route id.RouteID, took time.Duration) {
	e := g.estimates[route]
	if e == nil {
		e = &worktime.Estimate{}
		g.estimates[route] = e
	}
	e.Observe(took)
	g.all.Observe(took)
}

// Overdue takes a running attempt that exceeded its limit as evidence, once.
func (g *Gate) Overdue(now clock.Time, r *running) {
	if r.overdue {
		return
	}
	r.overdue = true
	g.suspicion.blame(now, overdueWeight)
}

// MarkOverdue is Overdue by id. It reports whether the attempt still runs.
func (g *Gate) MarkOverdue(now clock.Time, attempt ID) bool {
	r := g.running[attempt]
	if r != nil {
		g.Overdue(now, r)
	}
	return r != nil
}

// OverdueAfter returns the time from the start of an attempt after which it is overdue.
func (g *Gate) OverdueAfter(d Demand) time.Duration {
	if limit, known := g.overdueLimit(d); known {
		return limit
	}
	return defaultOverdue
}

// overdueLimit returns the duration from which an attempt counts as overdue, if enough is known: by the gate's own
// samples, by those of the entry, by all work with a margin, or by the objective, which operators set above the usual
// duration.
func (g *Gate) overdueLimit(d Demand) (time.Duration, bool) {
	if e := g.estimates[d.Route]; e.Known() {
		return e.OverdueAfter(), true
	}
	if d.OverdueAfter > 0 {
		return d.OverdueAfter, true
	}
	if g.all.Known() {
		return unknownRouteFactor * g.all.OverdueAfter(), true
	}
	return d.Objective, d.Objective > 0
}

// Expected returns the usual duration of a route's work.
func (g *Gate) Expected(route id.RouteID) time.Duration {
	if e := g.estimates[route]; e.Known() {
		return e.Mean()
	}
	if g.all.Known() {
		return g.all.Mean()
	}
	return defaultExpected
}

// needed returns the time that must be left for an attempt to be useful; zero for a route without samples, since
// nothing is known of its work.
func (g *Gate) needed(route id.RouteID) time.Duration {
	e := g.estimates[route]
	if !e.Known() {
		return 0
	}
	return time.Duration(workMargin * float64(e.Mean()))
}

// expectedWait returns the time until an attempt would have its turn. With n slots in use, one becomes free after about
// the n-th part of the work that an average run has left, and then after the n-th part of each work that is served first.
func (g *Gate) expectedWait(now clock.Time, d Demand) time.Duration {
	if g.fits(now, d) && !g.overtaken(d) {
		return 0
	}
	var ahead time.Duration
	for _, r := range g.running {
		usual := g.Expected(r.Route)
		ahead += max(usual-now.Sub(r.started), time.Duration(leastLeft*float64(usual)))
	}
	ahead /= time.Duration(max(len(g.running), 1))
	for _, w := range g.queue {
		if w.class() <= d.class() {
			ahead += g.Expected(w.Route)
		}
	}
	return ahead / time.Duration(g.slots)
}

// pump gives turns to waiting attempts while there are free slots.
func (g *Gate) pump(now clock.Time) []Turn {
	var turns []Turn
	for g.open && len(g.queue) > 0 {
		next := g.next(now)
		w := g.queue[next]
		if !g.fits(now, w.Demand) {
			// The order puts nested attempts first, so that no other waiting attempt fits either.
			break
		}
		g.queue = append(g.queue[:next], g.queue[next+1:]...)
		if w.Remaining-now.Sub(w.arrived) < g.needed(w.Route) {
			turns = append(turns, Turn{ID: w.ID, Reason: TooLate})
			continue
		}
		g.start(now, w.Demand)
		turns = append(turns, Turn{ID: w.ID, Run: true})
	}
	return turns
}

// next returns the index of the waiting attempt that is served next.
func (g *Gate) next(now clock.Time) int {
	best := 0
	for i := 1; i < len(g.queue); i++ {
		if g.before(now, g.queue[i], g.queue[best]) {
			best = i
		}
	}
	return best
}

// before reports whether a is served before b. The queue is in the order of arrival, which decides between equals.
func (g *Gate) before(now clock.Time, a, b *waiter) bool {
	if a.class() != b.class() {
		return a.class() < b.class()
	}
	aLate, bLate := g.late(now, a), g.late(now, b)
	if aLate != bLate {
		return bLate
	}
	return g.usage.of(now, a.Customer) < g.usage.of(now, b.Customer)
}

// late reports whether a waiting attempt can no longer meet its objective.
func (g *Gate) late(now clock.Time, w *waiter) bool {
	return w.Objective > 0 && w.Objective-now.Sub(w.arrived) < g.needed(w.Route)
}

package slots

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
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
	// objectiveShare is the part of a route's objective from which work of unknown duration is overdue. Objectives are two
	// to four times the usual duration, and the limit that follows from samples is two to three times.
	objectiveShare = 0.7
	// defaultOverdue is used until there are samples and if no objective is known.
	defaultOverdue = 3 * time.Second
	// defaultExpected is used for the duration of work of which no sample is known.
	defaultExpected = 300 * time.Millisecond
)

// Admission decides for one target.
type Admission struct {
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

// New returns the admission of a gate without a target.
func New() *Admission {
	return &Admission{running: map[ID]*running{}, estimates: map[id.RouteID]*worktime.Estimate{}}
}

// Open says that the target takes new work on so many slots.
func (a *Admission) Open(now clock.Time, slots int) []Turn {
	a.open, a.slots = true, max(slots, 1)
	return a.pump(now)
}

// Close says that the target takes no new work. The waiting attempts are refused.
func (a *Admission) Close() []Turn {
	a.open = false
	var turns []Turn
	for _, w := range a.queue {
		turns = append(turns, Turn{ID: w.ID, Reason: NoTarget})
	}
	a.queue = nil
	return turns
}

// Replace forgets the evidence against an earlier target.
func (a *Admission) Replace(now clock.Time) {
	a.suspicion = suspicion{at: now}
}

// SetRepeatBudget changes the bound on repeated attempts.
func (a *Admission) SetRepeatBudget(now clock.Time, b RepeatBudget) {
	a.repeats.set(now, b)
}

// Load returns the attempts at the target, the waiting ones and the slots.
func (a *Admission) Load() (inUse, waiting, slots int) {
	return len(a.running), len(a.queue), a.slots
}

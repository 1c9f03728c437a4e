package slots

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/mesh/customers"
	"buckthornlatch.example/buckthornlatch/internal/mesh/worktime"
)

const (
	// maxQueue bounds the waiting attempts of one gate.
	maxQueue = 256
	// requiredWorkShare is the share of the mean work time that must remain for an attempt to start. Late answers are
	// lost, but work is usually shorter than its mean, so that requiring the whole mean would refuse attempts too
	// early.
	requiredWorkShare = 0.7
	// minResidualShare is the lower bound of the expected remaining time of a running attempt, as a share of its usual
	// time.
	minResidualShare = 0.2
	// minRetryAfter is the least RetryAfter of a full gate, so that refused callers do not all come back immediately.
	minRetryAfter = 100 * time.Millisecond
	// unknownRouteFactor is applied to the overdue limit of all work for a route without samples, whose work may take
	// longer.
	unknownRouteFactor = 2
	// objectiveShare is the share of a route's objective after which work of unknown duration is overdue. Objectives
	// are two to four times the usual duration, and limits derived from samples are two to three times it.
	objectiveShare = 0.7
	// defaultOverdueAfter is the overdue limit while there are neither samples nor an objective.
	defaultOverdueAfter = 3 * time.Second
	// defaultWorkTime is the expected duration of work without samples.
	defaultWorkTime = 300 * time.Millisecond
)

// Admission decides which attempts one target gets, and when.
type Admission struct {
	slots     int
	open      bool
	running   map[ID]*running
	queue     []*waiter
	estimates worktime.Routes
	all       worktime.Estimate
	suspicion suspicion
	timeouts  timeoutStreaks
	repeats   repeatBucket
	usage     customers.Usage
	reports   customers.Reports
	demand    demand
	floor     floor
	warmUp    warmUp
	// stop is set in a planned stop of the host.
	stop *plannedStop
}

// New returns the admission of a gate that has no target yet.
func New() *Admission {
	return &Admission{running: map[ID]*running{}}
}

// Open admits work on the given number of slots, at least one, and serves the queue.
func (a *Admission) Open(now clock.Time, slots int) []Turn {
	a.open, a.slots = true, max(slots, 1)
	return a.serveQueue(now)
}

// Close stops the admission of work and refuses all queued attempts.
func (a *Admission) Close() []Turn {
	a.open = false
	var turns []Turn
	for _, w := range a.queue {
		turns = append(turns, Turn{ID: w.ID, Reason: NoTarget})
	}
	a.queue = nil
	return turns
}

// ResetSuspicion clears the suspicion when another target takes the place of an earlier one.
func (a *Admission) ResetSuspicion(now clock.Time) {
	a.suspicion = suspicion{at: now}
}

// SetRepeatBudget changes the bound on repeated attempts.
func (a *Admission) SetRepeatBudget(now clock.Time, b RepeatBudget) {
	a.repeats.set(now, b)
}

// Load returns the numbers of running attempts, of queued attempts and of slots.
func (a *Admission) Load() (inUse, waiting, slots int) {
	return len(a.running), len(a.queue), a.slots
}

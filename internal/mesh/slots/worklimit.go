package slots

import "time"

const (
	// workLimitFactor times the overdue limit is the longest time that a target gets for an attempt. Work that is overdue by half
	// of the limit again seldom succeeds, and it keeps its slot and its caller waiting.
	workLimitFactor = 1.5
	// timeoutsPerDoubling is the number of timeouts of a route in a row after which the limit doubles: all of the work may have
	// become slower, and without successes the estimates would never show it.
	timeoutsPerDoubling = 8
	// maxDoublings bounds the growth of the limit.
	maxDoublings = 4
)

// WorkLimit returns the longest time that the target may work on an attempt, but at least the given time. It is zero, no limit, if
// nothing is known about how long such work takes, or if the given time is.
func (a *Admission) WorkLimit(d Demand, least time.Duration) time.Duration {
	limit, known := a.overdueLimit(d)
	if !known || least <= 0 {
		return 0
	}
	limit = max(time.Duration(workLimitFactor*float64(max(limit, d.OverdueAfter))), least)
	return limit << min(a.timeouts.counts[d.Route]/timeoutsPerDoubling, maxDoublings)
}

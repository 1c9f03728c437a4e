package slots

import "time"

// workLimitFactor times the overdue limit is the longest time that a target gets for an attempt. Work that is overdue by half
// of the limit again hardly ever succeeds, and it keeps its slot and its caller waiting.
const workLimitFactor = 1.5

// WorkLimit returns the longest time that the target may work on an attempt, but at least the given time. It is zero, no limit, if
// nothing is known about how long such work takes.
func (a *Admission) WorkLimit(d Demand, least time.Duration) time.Duration {
	limit, known := a.overdueLimit(d)
	if !known {
		return 0
	}
	return max(time.Duration(workLimitFactor*float64(max(limit, d.OverdueAfter))), least)
}

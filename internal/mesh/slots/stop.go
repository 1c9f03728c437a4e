package slots

import "buckthornlatch.example/buckthornlatch/internal/clock"

// plannedStop is a planned stop of the host.
type plannedStop struct {
	// callsEnd is when the host's entry stops taking the calls that the target makes for its work.
	callsEnd clock.Time
	// end is when the stop ends the attempts that still run.
	end clock.Time
}

// StopBy tells the admission of a planned stop of the host. From now on only attempts are admitted that are most likely answered
// in time: a host that stops waits for seconds anyway, and its target can be reached through no other host. Nested attempts have
// until the end. All others may make calls, which fail once the host's entry takes no more of them.
func (a *Admission) StopBy(callsEnd, end clock.Time) {
	a.stop = &plannedStop{callsEnd: callsEnd, end: end}
}

// outlastsStop reports whether an attempt that starts at the given time may be too late for a planned stop.
func (a *Admission) outlastsStop(start clock.Time, d Demand) bool {
	if a.stop == nil {
		return false
	}
	end := a.stop.callsEnd
	if d.Nested {
		end = a.stop.end
	}
	return end.Before(start.Add(a.OverdueAfter(d)))
}

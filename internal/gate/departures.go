package gate

import (
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/targetapi"
)

// maxDepartures bounds the target processes that are remembered; the oldest one is forgotten first.
const maxDepartures = 1024

// process identifies a target process.
type process struct {
	name     string
	service  id.ServiceName
	address  string
	instance string
}

// processOf returns the process that sent an announcement.
func processOf(a targetapi.Announcement) process {
	return process{name: a.Name, service: a.Service, address: a.Address, instance: a.Instance}
}

// departures remembers the target processes that have announced that they are leaving, for as long as the gate's process lives:
// an announcement from before may arrive later.
type departures struct {
	// streaks holds what arrived since from processes without an instance, whose successors have the same identity.
	streaks map[process]*streak
	order   []process
}

// newDepartures returns an empty set.
func newDepartures() *departures {
	return &departures{streaks: map[process]*streak{}}
}

// note notes an announcement and reports whether it is void, because its process has announced that it is leaving, and whether it
// comes from the successor of such a process, whose streak shows that it runs now.
func (d *departures) note(now clock.Time, a targetapi.Announcement) (void, successor bool) {
	p := processOf(a)
	since, left := d.streaks[p]
	switch {
	case a.State == targetapi.Leaving && left:
		*since = streak{}
	case a.State == targetapi.Leaving:
		d.add(p)
	case left && (a.Instance != "" || !since.add(now)):
		return true, false
	case left:
		delete(d.streaks, p)
		d.order = slices.DeleteFunc(d.order, func(o process) bool { return o == p })
		return false, true
	}
	return false, false
}

// add adds a process.
func (d *departures) add(p process) {
	d.streaks[p] = &streak{}
	d.order = append(d.order, p)
	if len(d.order) > maxDepartures {
		delete(d.streaks, d.order[0])
		d.order = d.order[1:]
	}
}

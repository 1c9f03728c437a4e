package gate

import (
	"net/http"
	"sync/atomic"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/targetapi"
)

// target is one announced target. Its mutable fields are guarded by the pool's lock.
type target struct {
	id       id.TargetID
	service  id.ServiceName
	address  string
	instance string
	// transport holds the connections to this target process.
	transport *http.Transport
	// echoes is set once the target has echoed an attempt id.
	echoes   atomic.Bool
	slots    int
	inFlight int
	state    targetapi.State
	lastSeen clock.Time
	removed  bool
	// present is set once an announcement has shown that the target runs now. An earlier process of this host may have acknowledged
	// that it is leaving.
	present bool
	// announcements are those that do not show that.
	announcements streak
}

// notePresence takes an announcement as evidence that the target runs now. The token identifies this process.
func (t *target) notePresence(a targetapi.Announcement, token string, now clock.Time) {
	t.present = t.present || a.Gate == token || t.announcements.add(now)
}

// publishedState returns the state that others are told: a target that was not shown to run is not ready for requests.
func (t *target) publishedState() targetapi.State {
	if t.state == targetapi.Serving && !t.present {
		return targetapi.Starting
	}
	return t.state
}

// serves reports whether new attempts may be dispatched to the target.
func (t *target) serves() bool {
	return t.publishedState() == targetapi.Serving && !t.removed
}

// free returns the number of free slots.
func (t *target) free() int {
	return max(t.slots-t.inFlight, 0)
}

// sameProcess reports whether an announcement comes from the same process.
func (t *target) sameProcess(a targetapi.Announcement) bool {
	return t.service == a.Service && t.address == a.Address && t.instance == a.Instance
}

// TargetStatus is the published state of a target.
type TargetStatus struct {
	ID       id.TargetID
	Service  id.ServiceName
	State    targetapi.State
	Slots    int
	InFlight int
}

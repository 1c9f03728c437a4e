package permits

import (
	"sync"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/ejection"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// homes holds the homes of the services whose duty this daemon has performed. It is safe for concurrent use.
type homes struct {
	mu       sync.Mutex
	duty     Duty
	services Services
	byName   map[id.ServiceName]*activeHome
}

// activeHome is a home and the tenure in which it was created.
type activeHome struct {
	tenure Tenure
	home   *ejection.Home
}

// handle decides one request.
func (h *homes) handle(r ejection.Request, now clock.Time) ejection.Reply {
	h.mu.Lock()
	defer h.mu.Unlock()
	home := h.home(r.Service, now)
	if home == nil {
		return ejection.Reply{Target: r.Target, Number: r.Number, Decision: ejection.NotHome}
	}
	n, floor := h.services.Size(r.Service)
	return home.Handle(r, n, floor, now)
}

// release returns one permit to its home.
func (h *homes) release(r ejection.Release) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t := h.byName[r.Service]; t != nil {
		t.home.Release(r)
	}
}

// home returns the home of a service, or nil if the duty is not confirmed. A new tenure starts a
// new home, because another process may have granted permits between the two tenures.
func (h *homes) home(name id.ServiceName, now clock.Time) *ejection.Home {
	current, ok := h.duty.Confirmed(name, now)
	if !ok {
		return nil
	}
	t := h.byName[name]
	if t == nil || t.tenure != current {
		t = &activeHome{tenure: current, home: ejection.NewHome(current.First, now)}
		h.byName[name] = t
	}
	return t.home
}

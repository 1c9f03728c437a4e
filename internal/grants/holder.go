package grants

import (
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ratelimit"
)

// HomeHolder holds the home of this daemon's slot while the daemon performs its duties.
// It is safe for concurrent use; the zero value holds none.
type HomeHolder struct {
	mu   sync.Mutex
	home *ratelimit.Home
}

// Set replaces the home; nil removes it.
func (h *HomeHolder) Set(home *ratelimit.Home) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.home = home
}

// Do calls f with the home under the lock, for example to assign shares. Without a
// home, f is not called.
func (h *HomeHolder) Do(f func(*ratelimit.Home)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.home != nil {
		f(h.home)
	}
}

// Take implements ratelimit.LocalHome. Without a home, retry is one second.
func (h *HomeHolder) Take(now clock.Time, customer id.CustomerID, amount ratelimit.MicroTokens) (taken bool, retry time.Duration) {
	retry = time.Second
	h.Do(func(home *ratelimit.Home) { taken, retry = home.Take(now, customer, amount) })
	return taken, retry
}

// exchange passes one request to the home. Without a home, it returns StatusNotHome.
func (h *HomeHolder) exchange(now clock.Time, request ratelimit.Request) ratelimit.Reply {
	reply := ratelimit.Reply{ID: request.ID, Status: ratelimit.StatusNotHome}
	h.Do(func(home *ratelimit.Home) { reply = home.Exchange(now, request) })
	return reply
}

package gate

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/attempt"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/inflight"
	"buckthornlatch.example/buckthornlatch/internal/targetapi"
)

const (
	// upkeepInterval is the period at which Run expires targets and serves waiters.
	upkeepInterval = 100 * time.Millisecond
	// suspectRetryAfter is the Retry-After for a quarantined request, or for one that is suspected of crashing
	// targets while another run of it is in flight.
	suspectRetryAfter = time.Second
)

// Gate runs attempts on the targets of its host.
type Gate struct {
	config   Config
	deps     Deps
	pool     *pool
	inFlight *inflight.Counter

	mu    sync.Mutex
	table *attempt.Table
}

// New returns a gate without targets.
func New(config Config, deps Deps) *Gate {
	g := &Gate{config: config.withDefaults(), deps: deps}
	g.table = attempt.NewTable(g.config.Attempts)
	g.inFlight = inflight.New()
	g.pool = newPool(&g.config, &g.deps)
	return g
}

// Run removes targets that stopped announcing themselves and serves the waiters of targets that became
// eligible, until ctx ends.
func (g *Gate) Run(ctx context.Context) error {
	ticker := time.NewTicker(upkeepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if g.pool.expireTargets() {
				g.changed()
			}
		}
	}
}

// Targets returns the state of all announced targets, ordered by name.
func (g *Gate) Targets() []TargetStatus {
	return g.pool.status()
}

// Clock returns the gate's clock as it is sent to entries.
func (g *Gate) Clock() hop.GateClock {
	return hop.ReadGateClock(g.config.Incarnation, g.deps.Clock.Now())
}

// Drain refuses new attempts from now on. Running attempts continue.
func (g *Gate) Drain() {
	g.inFlight.Close()
}

// Shutdown refuses new attempts and waits until all running ones have ended. The error is that of ctx.
func (g *Gate) Shutdown(ctx context.Context) error {
	g.inFlight.Close()
	return g.inFlight.Wait(ctx)
}

// Announce is the handler of targetapi.AnnouncePath on the gate's local address.
func (g *Gate) Announce(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		http.Error(w, "method is not POST", http.StatusMethodNotAllowed)
		return
	}
	w.Header().Set(targetapi.HeaderGate, g.pool.token)
	if err := g.announce(w, r); err != nil {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusBadRequest)
		_ = json.NewEncoder(w).Encode(targetapi.Error{Error: err.Error()})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// announce decodes and applies an announcement.
func (g *Gate) announce(w http.ResponseWriter, r *http.Request) error {
	var a targetapi.Announcement
	body := http.MaxBytesReader(w, r.Body, targetapi.MaxBytes)
	if err := json.NewDecoder(body).Decode(&a); err != nil {
		return err
	}
	if err := a.Validate(); err != nil {
		return err
	}
	changed, err := g.pool.announce(a)
	if changed {
		g.changed()
	}
	return err
}

// changed reports a change of the targets to Deps.Changed.
func (g *Gate) changed() {
	if g.deps.Changed != nil {
		g.deps.Changed()
	}
}

// arrive records an attempt in the table and returns its earlier state: Unseen if it is new.
func (g *Gate) arrive(request hop.Request) attempt.State {
	now := g.Clock()
	// An attempt that was stamped for an earlier process has not run in this one.
	valid := request.ValidUntil.Permits(now) || request.ValidUntil.Incarnation != now.Incarnation
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Add(g.deps.Clock.Now(), request.Attempt, valid)
}

// dispatch marks a waiting attempt as dispatched and reports whether it may run; this succeeds at most once.
func (g *Gate) dispatch(a id.AttemptID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Dispatch(a)
}

// finish records the end of an attempt.
func (g *Gate) finish(a id.AttemptID, end attempt.End) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Finish(g.deps.Clock.Now(), a, end)
}

// Resolve reports the outcome of an attempt and blocks the attempt if it was not dispatched.
func (g *Gate) Resolve(a id.AttemptID) attempt.State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Resolve(g.deps.Clock.Now(), a)
}

package gate

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
)

// minWakeUp is the least time until the queue is served again. The timer of the runtime and the gate's clock may differ a little.
const minWakeUp = time.Millisecond

// SetWarmUp sets how the targets of the gate's service are after their start.
func (g *Gate) SetWarmUp(w policy.WarmUp) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.warmUp == w {
		return
	}
	g.warmUp = w
	g.slots.SetWarmUpRate(w.PerSecond)
	g.deliver(g.slots.Serve(g.config.Clock.Now()))
}

// Cold reports whether the starts at the target are bounded because it is cold.
func (g *Gate) Cold() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.slots.Cold(g.config.Clock.Now())
}

// setCold sets for how long the target is still cold. The lock must be held.
func (g *Gate) setCold(left time.Duration, source string) {
	now := g.config.Clock.Now()
	before := g.slots.Cold(now)
	g.slots.SetCold(now.Add(left))
	if cold := g.slots.Cold(now); cold != before {
		g.config.EventLog.Info().Bool("cold", cold).Dur("left", left).Float64("per_second", g.warmUp.PerSecond).
			Str("source", source).Msg("gate: warm-up of the target")
	}
}

// scheduleServe arranges for the queue to be served when a cold target may get its next attempt. The lock must be held.
func (g *Gate) scheduleServe() {
	now := g.config.Clock.Now()
	due, waits := g.slots.NextStart(now)
	if !waits {
		// A timer that is set goes on: it may be about to fire for an attempt whose start has just become due.
		return
	}
	wait := max(due.Sub(now), minWakeUp)
	if g.wakeUp == nil {
		g.wakeUp = time.AfterFunc(wait, g.serveCold)
		return
	}
	g.wakeUp.Reset(wait)
}

// serveCold serves the queue.
func (g *Gate) serveCold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.slots.Serve(g.config.Clock.Now()))
}

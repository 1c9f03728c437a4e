package gate

import "buckthornlatch.example/buckthornlatch/internal/mesh/roster"

// Restore takes over the record that an earlier process on this host wrote, if it is later than what the target has
// announced to this process: an announcement that was delayed on its way must not undo that the target is leaving. A
// target that the record says is serving gets no attempts before it announces itself.
// The gate publishes its own record anew if it has published one before or the other one lacks something.
func (g *Gate) Restore(r roster.Record) {
	g.mu.Lock()
	g.restore(r)
	own, known := g.record()
	publish := known && (g.published || own.State != r.State || own.Target != r.Target || own.Departed != r.Departed)
	g.mu.Unlock()
	if publish {
		g.Publish()
	}
}

// restore is Restore without publishing. The lock must be held.
func (g *Gate) restore(r roster.Record) {
	if r.Host != g.config.Host || r.Service != g.config.Service || r.Target.ID == "" {
		return
	}
	g.departed = r.Departed.Union(g.departed)
	if r.State != roster.Serving {
		g.departed = g.departed.With(r.Target)
	}
	if !g.precedes(r) {
		g.leaveDeparted()
		return
	}
	if g.target == nil || g.target.incarnation != r.Target {
		g.replace(r.Target)
	}
	g.target.state, g.target.slots = r.State, r.Slots
	g.leaveDeparted()
	g.updateAdmission()
	g.config.EventLog.Info().Str("target", r.Target.ID).Int64("born", r.Target.StartedMS).Str("state", string(r.State)).
		Msg("gate: target restored from the host's record")
}

// precedes reports whether the known state of the target is earlier than that in a record of an earlier process.
func (g *Gate) precedes(r roster.Record) bool {
	if g.target == nil {
		return true
	}
	if g.target.incarnation == r.Target {
		return r.State.Follows(g.target.state)
	}
	return r.Target.StartedMS > g.target.incarnation.StartedMS
}

// leaveDeparted takes the target out of use if its leaving was acknowledged. The lock must be held.
func (g *Gate) leaveDeparted() {
	if g.target.state == roster.Serving && g.departed.Contains(g.target.incarnation) {
		g.target.state = roster.Gone
		g.updateAdmission()
	}
}

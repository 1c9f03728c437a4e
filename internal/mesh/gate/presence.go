package gate

import (
	"context"
	"errors"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
)

// A process that has just started lacks what earlier processes of its host have acknowledged: an announcement that it gets may be
// one from before the target's leaving that was held back on its way. So it admits attempts only once it was shown that a target
// runs now. Afterwards this process hears of each leaving itself, and a target that started later needs no such proof.
//
// The host's record proves that a target has left, never that it has not: it may be older than the leaving. Proof that it has not
// are its health page, which names the target and was asked by this process, and a streak of announcements.

// recordWait is how long a gate waits for the host's record if the target's health page shows that it runs. The store, and all
// peers, may be out of reach for much longer.
const recordWait = 2 * time.Second

// minContradicting is the number of announcements in a streak that outweighs a health page that says otherwise: health pages may be
// wrong for long.
const minContradicting = 6

// evidence is what shows that a target runs now.
type evidence struct {
	// announcements are those to this process.
	announcements streak
	// steady is set once they were a complete streak, confirmed once the target's health page has named it. contradicted is set
	// while the health page says that this target is not to be used, as it does when the target leaves.
	steady, confirmed, contradicted bool
	// asking is set while the health page is asked.
	asking bool
}

// RecordRead tells the gate that the store was read, and whether it holds a record of this host. Restore is called before. A host
// without a record whose system starts for the first time has no earlier process.
func (g *Gate) RecordRead(found bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordRead = true
	if !found && g.config.FirstStart {
		g.setPresent("first start")
	}
	g.assessPresence()
}

// SetHealthPath sets the path of the target's health page. Without one, only announcements show that a target runs.
func (g *Gate) SetHealthPath(path string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.healthPath != path {
		g.healthPath = path
		g.assessPresence()
	}
}

// noteAnnounced takes an announcement of the present target as evidence that it runs. The lock must be held.
func (g *Gate) noteAnnounced(a Announcement) {
	e := &g.target.evidence
	if e.announcements.add(g.config.Clock.Now(), a) {
		e.steady = true
	}
	g.assessPresence()
}

// assessPresence opens the gate if the evidence suffices, and else asks the target. The lock must be held.
func (g *Gate) assessPresence() {
	if g.present || g.target == nil || !g.target.announced || g.target.state != roster.Serving {
		return
	}
	e := &g.target.evidence
	switch waited := g.config.Clock.Now().Sub(e.announcements.since) >= recordWait; {
	case e.confirmed && (g.recordRead || waited):
		g.setPresent("health page")
	case e.steady && g.recordRead && (!e.contradicted || e.announcements.count >= minContradicting):
		g.setPresent("announcements")
	case !e.asking && !e.confirmed && g.healthPath != "":
		e.asking = true
		go g.askTarget(g.target, g.healthPath)
	}
}

// setPresent opens the gate. The lock must be held.
func (g *Gate) setPresent(evidence string) {
	if g.present {
		return
	}
	g.present = true
	event := g.config.EventLog.Info().Str("evidence", evidence)
	if g.target != nil {
		event = event.Str("target", g.target.incarnation.ID).Int64("born", g.target.incarnation.StartedMS)
		g.updateAdmission()
	}
	event.Msg("gate: in use")
}

// askTarget asks the health page of a target. The next announcement leads to another question if the answer does not name it.
func (g *Gate) askTarget(t *target, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	err := askHealth(ctx, g.config.TargetAddress, path, g.config.Headers.Instance, t.incarnation.ID)
	g.mu.Lock()
	defer g.mu.Unlock()
	t.evidence.asking = false
	unhealthy := (*HealthError)(nil)
	t.evidence.contradicted = errors.As(err, &unhealthy) && unhealthy.Target == t.incarnation.ID
	if err != nil {
		g.config.EventLog.Info().Err(err).Str("target", t.incarnation.ID).Msg("gate: not used yet, its health page does not show that the target runs")
		return
	}
	t.evidence.confirmed = true
	g.assessPresence()
	if !g.present && !g.recordRead {
		time.AfterFunc(recordWait, g.endRecordWait)
	}
}

// endRecordWait opens the gate if it has waited for the record for long enough.
func (g *Gate) endRecordWait() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.assessPresence()
}

package gate

import (
	"errors"
	"sync"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/mesh/choose"
	"buckthornlatch.example/buckthornlatch/internal/mesh/policy"
	"buckthornlatch.example/buckthornlatch/internal/mesh/roster"
	"buckthornlatch.example/buckthornlatch/internal/mesh/slots"
	"buckthornlatch.example/buckthornlatch/internal/mesh/targetconn"
)

// Gate runs attempts on one target. It is safe for concurrent use.
type Gate struct {
	config Config

	mu     sync.Mutex
	slots  *slots.Admission
	target *target
	// departed lists the targets whose leaving was acknowledged, by this process or an earlier one.
	departed roster.Departures
	// present is set once it was shown that a target runs now, recordRead once the store was read for the host's record.
	present, recordRead bool
	healthPath          string
	// published is set once this process has published a record.
	published bool
	draining  bool
	domain    domainState
	warmUp    policy.WarmUp
	// wakeUp serves the queue when a cold target may get its next attempt; nil until the first attempt waits for that.
	wakeUp *time.Timer
	// stopEnds is when a planned stop ends the attempts that still run, if stopping is set. beforeStop is the last attempt
	// that came before the stop.
	stopping   bool
	stopEnds   clock.Time
	beforeStop slots.ID
	nextID     slots.ID
	waiting    map[slots.ID]chan slots.Turn
	// running holds the attempts that have a slot.
	running map[slots.ID]*execution

	// rechecking is set while a recheck of the queue is scheduled.
	rechecking bool

	// publishing is held while a record is taken and published, so that no record is followed by an earlier one.
	publishing sync.Mutex
}

// New returns a gate without a target.
func New(config Config) *Gate {
	return &Gate{config: config, slots: slots.New(), waiting: map[slots.ID]chan slots.Turn{}, running: map[slots.ID]*execution{}}
}

// StopBy tells the gate of a planned stop that ends at the given time what still runs; the target's calls fail from callsEnd on.
// Attempts that are most likely answered in time are still admitted, until Drain is called, and their target is told to end the
// work by then.
func (g *Gate) StopBy(callsEnd, end clock.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping, g.stopEnds, g.beforeStop = true, end, g.nextID
	g.slots.StopBy(callsEnd, end)
}

// RunsEarlier reports whether an attempt is running that came before the planned stop.
func (g *Gate) RunsEarlier() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for attempt := range g.running {
		if attempt <= g.beforeStop {
			return true
		}
	}
	return false
}

// Drain refuses waiting and new attempts from now on. Running attempts continue.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
	g.deliver(g.slots.Close())
}

// CancelRunning cancels the attempts that still run. It is called before the process exits, so that their entries get a
// result from the gate instead of a broken link.
func (g *Gate) CancelRunning() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.running {
		e.cancel(errStopped)
	}
}

// errStopped is the cause with which End cancels attempts.
var errStopped = errors.New("the daemon is stopping")

// SetRepeatBudget sets this gate's share of the budget for repeated attempts. Without one, no repeat is admitted.
func (g *Gate) SetRepeatBudget(b slots.RepeatBudget) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots.SetRepeatBudget(g.config.Clock.Now(), b)
}

// Record returns the record that the gate publishes for its host, and false if there is no target yet.
func (g *Gate) Record() (roster.Record, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.record()
}

// record is Record with the lock held.
func (g *Gate) record() (roster.Record, bool) {
	if g.target == nil {
		return roster.Record{}, false
	}
	return roster.Record{
		Host: g.config.Host, Domain: g.config.Domain, Service: g.config.Service,
		State: g.target.state, Slots: g.target.slots, Target: g.target.incarnation, Departed: g.departed,
		Suspects: g.config.CrashEvidence.Published(),
	}, true
}

// Announce applies an announcement. When it returns, no further attempt is admitted for a target that is draining or
// gone. The error is an *AnnouncementError; a stale announcement is not an error and leaves the record unchanged.
func (g *Gate) Announce(a Announcement) error {
	if err := a.validate(g.config.Service, time.Now()); err != nil {
		return err
	}
	g.mu.Lock()
	before, known := g.record()
	a = g.noteDeparture(a)
	if g.isCurrent(a) {
		g.apply(a)
		g.noteAnnounced(a)
	}
	after, _ := g.record()
	g.mu.Unlock()
	if before != after || !known {
		g.config.EventLog.Info().Str("target", a.Target.ID).Int64("born", a.Target.StartedMS).Uint64("sequence", a.Sequence).
			Str("state", string(a.State)).Int("slots", a.Slots).Dur("warm_up", a.WarmUp).Msg("gate: target changed")
		written := g.Publish()
		if a.State != roster.Serving {
			awaitRecord(written)
		}
	}
	return nil
}

// Publish publishes the host's record if there is a target. The returned channel is closed when the store holds it.
func (g *Gate) Publish() (written <-chan struct{}) {
	g.publishing.Lock()
	defer g.publishing.Unlock()
	g.mu.Lock()
	r, known := g.record()
	g.published = g.published || known
	g.mu.Unlock()
	if !known {
		return nil
	}
	return g.config.PublishRecord(r)
}

// leaveRecordTimeout bounds how long the acknowledgement of a leaving target waits until the store holds the host's
// record. The record prevents a restarted daemon from using the target again. An unreachable store must not delay the
// acknowledgement further, because the target waits for it only a second.
const leaveRecordTimeout = 500 * time.Millisecond

// awaitRecord waits until a record is written, for at most leaveRecordTimeout.
func awaitRecord(written <-chan struct{}) {
	timer := time.NewTimer(leaveRecordTimeout)
	defer timer.Stop()
	select {
	case <-written:
	case <-timer.C:
	}
}

// clearMisdirected takes an announcement, even a stale one, as proof that the target is back at its address after
// another process responded there.
func (g *Gate) clearMisdirected(a Announcement) {
	if g.target.misdirected && a.Target == g.target.incarnation && a.State == roster.Serving {
		g.target.misdirected = false
		g.updateAdmission()
	}
}

// apply applies an announcement that is not stale.
func (g *Gate) apply(a Announcement) {
	if g.target == nil || g.target.incarnation != a.Target {
		g.replace(a.Target)
	}
	t := g.target
	t.state, t.sequence, t.announced, t.misdirected = a.State, max(t.sequence, a.Sequence), true, false
	t.earlierStartLeaves, t.earlier = false, streak{}
	if a.State != roster.Gone {
		t.slots = a.Slots
		g.setCold(a.WarmUp, "announcement")
	}
	g.updateAdmission()
}

// replace switches to a new target incarnation.
func (g *Gate) replace(incarnation roster.TargetIncarnation) {
	if g.target != nil {
		g.target.pool.Close()
	}
	g.target = &target{incarnation: incarnation, pool: targetconn.New(g.config.TargetAddress)}
	g.slots.ResetSuspicion(g.config.Clock.Now())
}

// updateAdmission opens or closes the slots according to the state of the gate and its target.
func (g *Gate) updateAdmission() {
	t := g.target
	if g.draining || g.domain != domainInService || !g.present || !t.acceptsAttempts() {
		g.deliver(g.slots.Close())
		return
	}
	g.deliver(g.slots.Open(g.config.Clock.Now(), t.slots))
}

// deliver passes turns to the waiting attempts.
func (g *Gate) deliver(turns []slots.Turn) {
	for _, turn := range turns {
		if wait := g.waiting[turn.ID]; wait != nil {
			delete(g.waiting, turn.ID)
			wait <- turn
		}
	}
	g.scheduleServe()
}

// load returns the load that is reported to entries.
func (g *Gate) load() choose.Load {
	inUse, waiting, _ := g.slots.Load()
	return choose.Load{InUse: inUse, Waiting: waiting, Slots: g.slots.ReportedSlots(g.config.Clock.Now())}
}

// TargetLeaving reports whether the target has announced that it is draining or gone.
func (g *Gate) TargetLeaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.target != nil && g.target.state != roster.Serving
}

// Idle reports whether no attempt is running or waiting.
func (g *Gate) Idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	inUse, waiting, _ := g.slots.Load()
	return inUse == 0 && waiting == 0
}

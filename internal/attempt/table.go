package attempt

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
)

const (
	// Retention is the time for which finished and blocked attempts are kept.
	Retention = 15 * time.Minute
	// MinRetention is the age below which a finished attempt is never evicted. The gate refuses attempts
	// whose validity stamp lies further ahead, so an evicted attempt cannot be run again.
	MinRetention = time.Minute
)

// Limits bounds the table. Zero fields select the defaults.
type Limits struct {
	// Finished is the number of finished attempts above which old ones are evicted or new ones refused;
	// default 262144.
	Finished int
	// Blocked bounds the number of blocked attempts; default 16384.
	Blocked int
}

// Table holds the attempts of one gate.
type Table struct {
	limits   Limits
	states   map[id.AttemptID]State
	finished tombstones
	blocked  tombstones
	// evictedUntil is the time until which an unseen attempt may be one that was evicted.
	evictedUntil clock.Time
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	if limits.Finished == 0 {
		limits.Finished = 256 << 10
	}
	if limits.Blocked == 0 {
		limits.Blocked = 16 << 10
	}
	return &Table{limits: limits, states: map[id.AttemptID]State{}}
}

// Add records a new attempt. It returns Unseen when the attempt is new and now waiting; any other state
// means that the attempt must not be run. Full means that it was not recorded.
//
// valid says that the validity stamp of the attempt has not expired. One whose stamp has expired may be a late copy of an
// attempt that ran and was evicted.
func (t *Table) Add(now clock.Time, a id.AttemptID, valid bool) State {
	t.expire(now)
	state := t.states[a]
	if state != Unseen {
		return state
	}
	if !valid && now.Before(t.evictedUntil) {
		return Unknown
	}
	if t.finished.len() > t.limits.Finished {
		return Full
	}
	t.states[a] = Waiting
	return Unseen
}

// Dispatch permits a waiting attempt to run, once. It must be called before the first byte is sent to a target.
func (t *Table) Dispatch(a id.AttemptID) bool {
	if t.states[a] != Waiting {
		return false
	}
	t.set(a, Dispatched)
	return true
}

// Finish records the end of an attempt and returns its verdict: NotRun, Ran or Unknown.
func (t *Table) Finish(now clock.Time, a id.AttemptID, end End) State {
	state := t.states[a]
	invariant.Check(state == Waiting || state == Dispatched || state == Blocked,
		"attempt-finished-once", "attempt %v is %v", a, state)
	verdict := end.verdict(state)
	if state == Blocked {
		return verdict
	}
	t.set(a, verdict)
	t.finished.push(a, now.Add(Retention))
	t.evictFinished(now)
	return verdict
}

// Resolve reports the state of an attempt and blocks it if it was not dispatched. The result is NotRun,
// Dispatched, Ran or Unknown.
func (t *Table) Resolve(now clock.Time, a id.AttemptID) State {
	t.expire(now)
	switch state := t.states[a]; state {
	case Unseen:
		if now.Before(t.evictedUntil) {
			return t.markUnknown(now, a)
		}
		return t.block(now, a)
	case Waiting:
		return t.block(now, a)
	case Blocked:
		return NotRun
	default:
		return state
	}
}

// State returns the current state without changing it.
func (t *Table) State(a id.AttemptID) State {
	return t.states[a]
}

// Len returns the number of attempts in the table.
func (t *Table) Len() int {
	return len(t.states)
}

// block keeps an attempt that was not dispatched from being dispatched later.
func (t *Table) block(now clock.Time, a id.AttemptID) State {
	if t.blocked.len() >= t.limits.Blocked {
		return Unknown
	}
	t.set(a, Blocked)
	t.blocked.push(a, now.Add(Retention))
	return NotRun
}

// markUnknown keeps an attempt from running that may have run before it was evicted.
func (t *Table) markUnknown(now clock.Time, a id.AttemptID) State {
	t.set(a, Unknown)
	t.finished.push(a, now.Add(Retention))
	t.evictFinished(now)
	return Unknown
}

// set changes the state of an attempt and checks the transition.
func (t *Table) set(a id.AttemptID, next State) {
	before := t.states[a]
	if next == Dispatched {
		invariant.Check(before == Waiting, "attempt-dispatched-once", "attempt %v is %v", a, before)
	}
	if next == Blocked {
		invariant.Check(before == Unseen || before == Waiting, "no-block-after-dispatch", "attempt %v is %v", a, before)
	}
	invariant.Check(before != Blocked, "no-dispatch-after-block", "attempt %v becomes %v", a, next)
	t.states[a] = next
}

// expire removes the attempts whose retention has passed and evicts others above the limit.
func (t *Table) expire(now clock.Time) {
	t.finished.expire(now, t.remove)
	t.evictFinished(now)
	t.blocked.expire(now, t.remove)
}

// evictFinished evicts the oldest finished attempts above the limit, unless they are younger than
// MinRetention.
func (t *Table) evictFinished(now clock.Time) {
	for t.finished.len() > t.limits.Finished {
		oldest := t.finished.oldest()
		if now.Add(Retention).Sub(oldest.expiry) < MinRetention {
			return
		}
		t.finished.pop()
		t.remove(oldest.attempt)
		t.evictedUntil = max(t.evictedUntil, oldest.expiry)
	}
}

// remove deletes an attempt's state.
func (t *Table) remove(a id.AttemptID) {
	delete(t.states, a)
}

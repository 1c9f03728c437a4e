package membership

import (
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
)

// SetTargets publishes the local targets and reports whether the record changed.
func (t *Table) SetTargets(targets []Target) bool {
	if slices.Equal(t.self.Targets, targets) {
		return false
	}
	content := !slices.EqualFunc(t.self.Targets, targets, equalExceptSummary)
	t.publish(func(r *Record) { r.Targets = slices.Clone(targets) }, content)
	return true
}

// equalExceptSummary reports whether two targets are equal apart from their summaries.
func equalExceptSummary(a, b Target) bool {
	a.TargetSummary = b.TargetSummary
	return a == b
}

// SetSuspects publishes the local evidence about crashing requests and reports whether the record changed.
func (t *Table) SetSuspects(suspects []Suspect) bool {
	if slices.EqualFunc(t.self.Suspects, suspects, sameSuspect) {
		return false
	}
	t.publish(func(r *Record) { r.Suspects = slices.Clone(suspects) }, true)
	return true
}

// SetHeld publishes the epochs whose ticket records this host stores and reports whether the record changed.
func (t *Table) SetHeld(held []HeldEpoch) bool {
	if slices.Equal(t.self.Held, held) {
		return false
	}
	t.publish(func(r *Record) { r.Held = slices.Clone(held) }, true)
	return true
}

// SetStatus publishes the local status and reports whether the record changed. The table fills in EpochsMark.
func (t *Table) SetStatus(status Status) bool {
	t.epochs.Raise(t.config.Self, status.Epoch)
	status.EpochsMark = t.epochs.Mark()
	if t.self.Status == status {
		return false
	}
	t.publish(func(r *Record) { r.Status = status }, false)
	return true
}

// RaiseEpoch records an epoch learned from the platform and reports whether it was new.
func (t *Table) RaiseEpoch(host id.HostID, epoch id.Epoch) bool {
	raised := t.epochs.Raise(host, epoch)
	t.refreshMark()
	return raised
}

// refreshMark publishes the mark of the epochs if it changed.
func (t *Table) refreshMark() {
	if t.self.Status.EpochsMark != t.epochs.Mark() {
		t.publish(func(r *Record) { r.Status.EpochsMark = t.epochs.Mark() }, false)
	}
}

// publish replaces the local record by a changed copy with the next sequence. content is set when
// the change is not limited to the status and the target summaries.
func (t *Table) publish(change func(*Record), content bool) {
	next := t.self.clone()
	change(next)
	next.Sequence++
	if content {
		next.ContentSequence = next.Sequence
	}
	t.self = next
	t.changes++
}

// handleOwnVersion handles a version of the local host's record from another process. An earlier
// incarnation with an equal tag could not be told apart in digests, so the incarnation is raised. It
// is also raised above a newer version within JoinWindow; after that, this process is superseded.
func (t *Table) handleOwnVersion(v Version, now clock.Time) {
	older := v.Incarnation < t.self.Incarnation
	if older && incarnationTag(v.Incarnation) == incarnationTag(t.self.Incarnation) {
		t.publish(func(r *Record) { r.Incarnation++ }, true)
		return
	}
	if !v.Newer(t.self.Version()) {
		return
	}
	if now.Sub(t.started) > t.config.JoinWindow {
		t.superseded = true
		return
	}
	t.publish(func(r *Record) { r.Incarnation = v.Incarnation + 1 }, true)
}

// sameSuspect reports whether two pieces of evidence are equal apart from the ages of the crashes.
func sameSuspect(a, b Suspect) bool {
	return a.Fingerprint == b.Fingerprint &&
		slices.EqualFunc(a.Crashed, b.Crashed, sameCrash) &&
		slices.EqualFunc(a.Cleared, b.Cleared, sameCrash)
}

// sameCrash reports whether two references name the same crash.
func sameCrash(a, b CrashRef) bool {
	return a.Target == b.Target && a.Number == b.Number
}

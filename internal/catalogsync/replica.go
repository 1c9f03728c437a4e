package catalogsync

import (
	"sync"
	"sync/atomic"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/cataloguestore"
	"buckthornlatch.example/buckthornlatch/internal/invariant"
)

// Replica is one process's copy of the catalogue. It is safe for concurrent use.
type Replica struct {
	current atomic.Pointer[catalogue.Snapshot]
	// mu serializes changes of current and guards history.
	mu      sync.Mutex
	history history
	onApply func(*catalogue.Snapshot)
}

// NewReplica returns an empty replica. onApply, which may be nil, is called in
// revision order with each new snapshot, while the replica is locked: it must
// return quickly.
func NewReplica(onApply func(*catalogue.Snapshot)) *Replica {
	if onApply == nil {
		onApply = func(*catalogue.Snapshot) {}
	}
	r := &Replica{onApply: onApply}
	r.current.Store(catalogue.Empty())
	return r
}

// Snapshot returns the current snapshot.
func (r *Replica) Snapshot() *catalogue.Snapshot {
	return r.current.Load()
}

// ApplyRecords applies the changes that are new. Changes at or below the
// current revision are skipped. Error: *catalogue.ApplyError; changes before
// the failing one stay applied.
func (r *Replica) ApplyRecords(records []cataloguestore.Record) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range records {
		current := r.current.Load()
		if record.Change.Revision <= current.Revision() {
			continue
		}
		next, err := current.Apply(record.Change)
		if err != nil {
			return err
		}
		r.history.add(next.Revision(), record.Data)
		r.publish(next)
	}
	return nil
}

// Replace installs a whole snapshot if it is newer, and ignores it otherwise.
// Error: *catalogue.ApplyError.
func (r *Replica) Replace(snapshot *catalogue.Snapshot) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.current.Load()
	if snapshot.Revision() <= current.Revision() {
		return nil
	}
	next, err := current.Replace(snapshot)
	if err != nil {
		return err
	}
	r.history.reset()
	r.publish(next)
	return nil
}

// publish makes next current. Callers hold mu.
func (r *Replica) publish(next *catalogue.Snapshot) {
	previous := r.current.Load()
	invariant.Check(next.Revision() > previous.Revision(), "catalogue-revision-monotonic",
		"applied revision %d after %d", next.Revision(), previous.Revision())
	r.current.Store(next)
	r.onApply(next)
}

// since returns the encoded changes after the revision and the current
// snapshot; ok is false when the history does not reach back to the revision.
func (r *Replica) since(revision catalogue.Revision) (changes [][]byte, current *catalogue.Snapshot, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current = r.current.Load()
	changes, ok = r.history.since(revision, current.Revision())
	return changes, current, ok
}

package catalogsync

import (
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/catalogue/codec"
	"buckthornlatch.example/buckthornlatch/internal/cataloguestore"
)

// Delta brings a daemon's catalogue up to date; daemons send it to each other.
type Delta struct {
	// Changes are encoded, consecutive and start after the requested revision.
	Changes [][]byte
	// Snapshot is an encoded whole catalogue, set when the sender no longer has the changes.
	Snapshot []byte
	// Through is the sender's revision.
	Through catalogue.Revision
}

// MaxDeltaChanges bounds the changes of a received delta.
const MaxDeltaChanges = maxHistoryChanges

// DeltaSince returns the delta for a daemon at the revision. Changes and
// Snapshot are both empty when that daemon is up to date. Error:
// *codec.DecodeError when the catalogue is too large to send.
func (r *Replica) DeltaSince(revision catalogue.Revision) (Delta, error) {
	changes, current, ok := r.since(revision)
	delta := Delta{Changes: changes, Through: current.Revision()}
	if ok {
		return delta, nil
	}
	data, err := codec.EncodeSnapshot(current)
	delta.Snapshot = data
	return delta, err
}

// ApplyDelta applies a peer's delta. An outdated delta has no effect. Errors:
// *codec.DecodeError, *catalogue.ApplyError; the replica stays valid after an
// error, and what was applied before it stays applied.
func (r *Replica) ApplyDelta(delta Delta) error {
	if len(delta.Changes) > MaxDeltaChanges {
		return &codec.DecodeError{What: "delta", Reason: "has too many changes"}
	}
	if len(delta.Snapshot) > 0 && delta.Through > r.Snapshot().Revision() {
		snapshot, err := codec.DecodeSnapshot(delta.Snapshot)
		if err != nil {
			return err
		}
		if err := r.Replace(snapshot); err != nil {
			return err
		}
	}
	records := make([]cataloguestore.Record, 0, len(delta.Changes))
	for _, data := range delta.Changes {
		change, err := codec.DecodeChange(data)
		if err != nil {
			return err
		}
		records = append(records, cataloguestore.Record{Change: change, Data: data})
	}
	return r.ApplyRecords(records)
}

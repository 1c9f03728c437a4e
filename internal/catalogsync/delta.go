package catalogsync

import (
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/catalogue/codec"
	"buckthornlatch.example/buckthornlatch/internal/cataloguestore"
)

// Delta is what a daemon lacks, as one daemon sends it to another.
type Delta struct {
	// Changes are encoded, consecutive and start after the revision asked for.
	Changes [][]byte
	// Snapshot is an encoded whole catalogue, set when the sender no longer has the changes.
	Snapshot []byte
	// Through is the sender's revision.
	Through catalogue.Revision
}

// MaxDeltaChanges bounds the changes of one delta that is received.
const MaxDeltaChanges = historyChanges

// DeltaSince returns what a daemon at the revision lacks. Both parts are empty
// when it lacks nothing. Error: *codec.DecodeError when the catalogue is too
// large to send.
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

// ApplyDelta applies what a peer sent. An old delta changes nothing. Errors:
// *codec.DecodeError, *catalogue.ApplyError; the copy stays valid in any case.
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

package cataloguestore

import (
	"context"

	"google.golang.org/protobuf/proto"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/catalogue/codec"
	"buckthornlatch.example/buckthornlatch/internal/platform"
	rpc "buckthornlatch.example/buckthornlatch/rpc/catalogue"
)

// Commit writes the change. Its revision must be the state's head plus one,
// and its edits may only concern entries that the state was read for.
// Errors: *platform.ConflictError when the head, an entry or the change id
// changed since the state was read, *platform.NotDoneError,
// *platform.OutcomeUnknownError, *codec.DecodeError when the change is too large.
func (s *Store) Commit(ctx context.Context, state State, change *catalogue.Change, fingerprint Fingerprint) error {
	txn, err := transaction(state, change, fingerprint)
	if err != nil {
		return err
	}
	_, err = s.table.Commit(ctx, txn)
	return err
}

// transaction builds the transaction that commits a change.
func transaction(state State, change *catalogue.Change, fingerprint Fingerprint) (platform.Txn, error) {
	idKey := changeIDKey(change.Operator, change.ID)
	txn := platform.Txn{Conditions: []platform.Condition{
		{Key: headKey, Revision: state.HeadRow},
		{Key: idKey},
	}}
	head, err := revisionRow(headKey, change.Revision)
	if err != nil {
		return txn, err
	}
	record, err := codec.EncodeChange(change)
	if err != nil {
		return txn, err
	}
	accepted, err := proto.Marshal(&rpc.ChangeIDRow{Revision: uint64(change.Revision), Fingerprint: fingerprint[:]})
	if err != nil {
		return txn, &codec.DecodeError{What: "change id", Reason: err.Error()}
	}
	txn.Puts = append(txn.Puts, head,
		platform.Put{Key: changeKey(change.Revision), Value: record},
		platform.Put{Key: idKey, Value: accepted})
	return txn, addEntries(&txn, state, change)
}

// addEntries adds the conditions and writes for the edited entries to txn.
func addEntries(txn *platform.Txn, state State, change *catalogue.Change) error {
	for _, edit := range change.Edits {
		key := entryKey(edit.Ref())
		txn.Conditions = append(txn.Conditions, platform.Condition{Key: key, Revision: state.entryRevisions[edit.Ref()]})
		if edit.After == nil {
			txn.Deletes = append(txn.Deletes, key)
			continue
		}
		value, err := codec.EncodeEntry(catalogue.WithRevision(edit.After, change.Revision))
		if err != nil {
			return err
		}
		txn.Puts = append(txn.Puts, platform.Put{Key: key, Value: value})
	}
	return nil
}

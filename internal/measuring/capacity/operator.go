package capacity

import (
	"context"
	"fmt"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/catalogsync"
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/cataloguestore"
)

// operatorName is the author of the generated changes.
const operatorName = "capacity"

// operator writes catalogue changes directly to the platform's engine, so that
// they do not count as platform calls of the measured daemons.
type operator struct {
	store   *cataloguestore.Store
	replica *catalogsync.Replica
	changes int
}

// newOperator returns an operator over a store.
func newOperator(store *cataloguestore.Store) *operator {
	return &operator{store: store, replica: catalogsync.NewReplica(nil)}
}

// fill creates the entries.
func (o *operator) fill(ctx context.Context, all []catalogue.Entry) error {
	for len(all) > 0 {
		n := min(len(all), catalogue.MaxEdits)
		edits := make([]catalogue.Edit, 0, n)
		for _, entry := range all[:n] {
			edits = append(edits, catalogue.Edit{After: entry})
		}
		if err := o.commit(ctx, edits); err != nil {
			return err
		}
		all = all[n:]
	}
	return nil
}

// change changes the burst of one customer.
func (o *operator) change(ctx context.Context, customers int) error {
	before := o.replica.Snapshot().Customer(customerName(o.changes % customers))
	after := *before
	after.Burst++
	return o.commit(ctx, []catalogue.Edit{{Before: before, After: &after}})
}

// commit writes one change and reads it back into the own copy.
func (o *operator) commit(ctx context.Context, edits []catalogue.Edit) error {
	o.changes++
	changeID := catalogue.ChangeID(fmt.Sprintf("change-%d", o.changes))
	refs := make([]catalogue.Ref, 0, len(edits))
	for _, edit := range edits {
		refs = append(refs, edit.Ref())
	}
	state, err := o.store.Read(ctx, operatorName, changeID, refs)
	if err != nil {
		return err
	}
	change := &catalogue.Change{
		Revision: state.Head + 1,
		ID:       changeID,
		Operator: operatorName,
		At:       time.Now(),
		Why:      "capacity measurement",
		Edits:    edits,
	}
	if err := o.store.Commit(ctx, state, change, cataloguestore.Fingerprint{}); err != nil {
		return err
	}
	records, _, err := o.store.Changes(ctx, state.Head, 1)
	if err != nil {
		return err
	}
	return o.replica.ApplyRecords(records)
}

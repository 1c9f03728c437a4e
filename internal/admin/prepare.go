package admin

import (
	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/cataloguestore"
)

// checkRevisions returns a *StaleError if an edit is not based on the current revision
// of its entry.
func checkRevisions(d *draft, state cataloguestore.State) error {
	var stale StaleError
	for i, in := range d.edits {
		var current catalogue.Revision
		if state.Entries[i] != nil {
			current = state.Entries[i].Common().Revision
		}
		if !in.anyRevision && current != in.expected {
			stale.Refs = append(stale.Refs, in.ref)
			stale.Current = append(stale.Current, state.Entries[i])
		}
	}
	if len(stale.Refs) > 0 {
		return &stale
	}
	return nil
}

// prepare builds the change and checks owners and validity. Edits without
// effect are dropped. The snapshot must be at the state's head.
func (e *Editor) prepare(d *draft, state cataloguestore.State, s *catalogue.Snapshot) (*catalogue.Change, error) {
	change := &catalogue.Change{
		Revision: state.Head + 1, ID: d.id, Operator: d.operator.Name, At: e.now(), Why: d.why,
	}
	var problems []catalogue.Problem
	for i, in := range d.edits {
		edit := catalogue.Edit{Before: state.Entries[i]}
		after, err := in.build(edit.Before, s)
		if err != nil {
			return nil, err
		}
		edit.After = after
		if catalogue.SameContent(edit.Before, edit.After) {
			continue
		}
		if err := authorize(d, edit); err != nil {
			return nil, err
		}
		if after != nil {
			problems = append(problems, catalogue.Validate(after)...)
		}
		change.Edits = append(change.Edits, edit)
	}
	if len(problems) > 0 {
		return nil, &InvalidError{Problems: problems}
	}
	return change, checkResult(s, change)
}

// authorize checks that the operator is in the old and the new owner group.
func authorize(d *draft, edit catalogue.Edit) error {
	if d.authorized {
		return nil
	}
	for _, entry := range []catalogue.Entry{edit.Before, edit.After} {
		if entry == nil {
			continue
		}
		if owner := entry.Common().Owner; !d.operator.inGroup(owner) {
			return &DeniedError{Operator: d.operator.Name, Ref: entry.Ref(), Owner: owner}
		}
	}
	return nil
}

// checkResult validates the catalogue that would result from the change.
func checkResult(s *catalogue.Snapshot, change *catalogue.Change) error {
	next, err := s.Apply(change)
	if err != nil {
		return &InvalidError{Problems: []catalogue.Problem{{Key: "edits", Reason: err.Error()}}}
	}
	refs := make([]catalogue.Ref, 0, len(change.Edits))
	for _, edit := range change.Edits {
		refs = append(refs, edit.Ref())
	}
	if problems := next.References(refs); len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	return nil
}

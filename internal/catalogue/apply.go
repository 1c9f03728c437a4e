package catalogue

import (
	"fmt"
	"slices"

	"buckthornlatch.example/buckthornlatch/internal/invariant"
)

// ApplyError reports a change or a set of entries that a snapshot cannot take over.
type ApplyError struct {
	// Revision is the revision of the rejected change or snapshot.
	Revision Revision
	// Ref names the invalid entry; empty when the change as a whole is invalid.
	Ref    Ref
	Reason string
}

// Error implements error.
func (e *ApplyError) Error() string {
	if e.Ref == (Ref{}) {
		return fmt.Sprintf("catalogue change %d: %s", e.Revision, e.Reason)
	}
	return fmt.Sprintf("catalogue change %d: %s: %s", e.Revision, e.Ref, e.Reason)
}

// Apply returns a new snapshot with the change applied. The change must have
// the next revision, and the Before entry of each edit must have the revision
// of the entry in s. s is not modified. Error: *ApplyError.
func (s *Snapshot) Apply(change *Change) (*Snapshot, error) {
	if change.Revision != s.revision+1 {
		reason := fmt.Sprintf("does not follow revision %d", s.revision)
		return nil, &ApplyError{Revision: change.Revision, Reason: reason}
	}
	if reason, ref := s.checkEdits(change); reason != "" {
		return nil, &ApplyError{Revision: change.Revision, Ref: ref, Reason: reason}
	}
	b := newBuilder(s)
	for _, edit := range change.Edits {
		if edit.After == nil {
			b.remove(edit.Ref())
			continue
		}
		created := change.Revision
		if current := s.Entry(edit.Ref()); current != nil {
			created = current.Common().Created
		}
		b.set(edit.After.withRevisions(created, change.Revision))
	}
	next := b.build(change.Revision)
	next.customerRemoval = s.customerRemoval
	if removesCustomer(change) {
		next.customerRemoval = change.Revision
	}
	next.rosterRevision, next.previousRoster = s.rosterRevision, s.previousRoster
	if !sameRoster(s.roster, next.roster) {
		next.rosterRevision, next.previousRoster = change.Revision, s.rosterRevision
	}
	if next.hashes.size != next.keys.size {
		return nil, &ApplyError{Revision: change.Revision, Reason: "two keys have the same hash"}
	}
	assertSuccession(s, next, change)
	return next, nil
}

// removesCustomer reports whether a change removes a customer.
func removesCustomer(change *Change) bool {
	return slices.ContainsFunc(change.Edits, func(e Edit) bool {
		return e.After == nil && e.Ref().Kind == KindCustomer
	})
}

// sameRoster reports whether two rosters have the same hosts in the same failure domains.
func sameRoster(a, b []*Host) bool {
	return slices.EqualFunc(a, b, func(x, y *Host) bool {
		return x.ID == y.ID && x.FailureDomain == y.FailureDomain
	})
}

// checkEdits returns the reason why the change cannot be applied and the entry concerned;
// an empty reason means that it can.
func (s *Snapshot) checkEdits(change *Change) (string, Ref) {
	seen := make(map[Ref]bool, len(change.Edits))
	for _, edit := range change.Edits {
		if edit.Before == nil && edit.After == nil {
			return "an edit without an entry", Ref{}
		}
		ref := edit.Ref()
		if seen[ref] {
			return "edited twice in one change", ref
		}
		seen[ref] = true
		if reason := s.checkEdit(edit, ref); reason != "" {
			return reason, ref
		}
	}
	return "", Ref{}
}

// checkEdit returns the reason why one edit cannot be applied, or "" if it can.
func (s *Snapshot) checkEdit(edit Edit, ref Ref) string {
	current := s.Entry(ref)
	switch {
	case edit.Before == nil && current != nil:
		return "already exists"
	case edit.Before != nil && current == nil:
		return "does not exist"
	case edit.Before != nil && edit.Before.Ref() != ref:
		return "before and after name different entries"
	case edit.Before != nil && edit.Before.Common().Revision != current.Common().Revision:
		return fmt.Sprintf("is at revision %d, not %d", current.Common().Revision, edit.Before.Common().Revision)
	}
	if key, ok := current.(*Key); ok {
		return checkKeyEdit(key, edit.After)
	}
	if key, ok := edit.After.(*Key); ok && s.KeyByHash(&key.Hash) != nil {
		return "another key has the same hash"
	}
	return ""
}

// checkKeyEdit returns the reason why after cannot replace an existing key, or ""
// if it can. Keys are never deleted and keep their hash and customer, so that a
// later entry cannot make a revoked key valid again.
func checkKeyEdit(key *Key, after Entry) string {
	next, ok := after.(*Key)
	switch {
	case !ok:
		return "keys cannot be deleted, only revoked"
	case next.Hash != key.Hash || next.Customer != key.Customer:
		return "the hash and customer of a key cannot change"
	case key.Revoked && !next.Revoked:
		return "a revoked key cannot become valid again"
	}
	return ""
}

// assertSuccession checks the invariants between consecutive snapshots.
func assertSuccession(s, next *Snapshot, change *Change) {
	invariant.Check(next.revision > s.revision, "catalogue-revision-monotonic",
		"revision %d follows %d", next.revision, s.revision)
	for _, edit := range change.Edits {
		key, ok := edit.Before.(*Key)
		if !ok {
			continue
		}
		before, after := s.Key(key.ID), next.Key(key.ID)
		invariant.Check(after != nil && (after.Revoked || !before.Revoked), "key-stays-revoked",
			"key %s at revision %d", key.ID, next.revision)
	}
}

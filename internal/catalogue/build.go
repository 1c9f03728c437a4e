package catalogue

import (
	"fmt"

	"buckthornlatch.example/buckthornlatch/internal/invariant"
)

// History holds the revisions of a snapshot that cannot be derived from its entries.
type History struct {
	// Roster is the revision of the last change of the roster.
	Roster Revision
	// PreviousRoster is the revision of the roster change before that; zero when there was none.
	PreviousRoster Revision
	// CustomerRemoval is the revision of the last removal of a customer; zero when there was none.
	CustomerRemoval Revision
}

// Build returns a snapshot of the entries, which keep their revisions. Error:
// *ApplyError when an entry occurs twice or is newer than the revision, or when
// two keys have the same hash.
func Build(revision Revision, history History, entries []Entry) (*Snapshot, error) {
	b := newBuilder(Empty())
	seen := make(map[Ref]bool, len(entries))
	for _, entry := range entries {
		ref := entry.Ref()
		if seen[ref] {
			return nil, &ApplyError{Revision: revision, Ref: ref, Reason: "occurs twice"}
		}
		seen[ref] = true
		if r := entry.Common().Revision; r > revision {
			return nil, &ApplyError{Revision: revision, Ref: ref, Reason: fmt.Sprintf("has the later revision %d", r)}
		}
		b.set(entry)
	}
	s := b.build(revision)
	s.rosterRevision, s.previousRoster = history.Roster, history.PreviousRoster
	s.customerRemoval = history.CustomerRemoval
	if s.hashes.size != s.keys.size {
		return nil, &ApplyError{Revision: revision, Reason: "two keys have the same hash"}
	}
	return s, nil
}

// Replace returns next, a complete snapshot received from outside the process, if
// it may replace s. It must have a later revision and contain every key of s,
// with the same hash and customer; a key revoked in s must be revoked in next.
// Error: *ApplyError.
func (s *Snapshot) Replace(next *Snapshot) (*Snapshot, error) {
	if next.revision <= s.revision {
		reason := fmt.Sprintf("is not newer than revision %d", s.revision)
		return nil, &ApplyError{Revision: next.revision, Reason: reason}
	}
	for key := range s.keys.all() {
		after := entryOrNil(next.Key(key.ID))
		if after == nil {
			return nil, &ApplyError{Revision: next.revision, Ref: key.Ref(), Reason: "is missing"}
		}
		if reason := checkKeyEdit(key, after); reason != "" {
			return nil, &ApplyError{Revision: next.revision, Ref: key.Ref(), Reason: reason}
		}
	}
	assertReplacement(s, next)
	return next, nil
}

// assertReplacement checks the invariants between a snapshot and its replacement.
func assertReplacement(s, next *Snapshot) {
	invariant.Check(next.revision > s.revision, "catalogue-revision-monotonic",
		"revision %d follows %d", next.revision, s.revision)
	for key := range s.keys.all() {
		after := next.Key(key.ID)
		invariant.Check(!key.Revoked || after != nil && after.Revoked, "key-stays-revoked",
			"key %s at revision %d", key.ID, next.revision)
	}
}

package catalogue

import (
	"fmt"

	"buckthornlatch.example/buckthornlatch/internal/invariant"
)

// History is the part of a snapshot that its entries do not tell.
type History struct {
	// Roster is the revision of the last change of the roster.
	Roster Revision
	// PreviousRoster is the revision of the change before it; zero when there was none.
	PreviousRoster Revision
	// CustomerRemoval is the revision of the last removal of a customer; zero when there was none.
	CustomerRemoval Revision
}

// Build returns a snapshot of the entries, which keep their revisions. Error:
// *ApplyError when an entry occurs twice or is newer than the revision.
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
	s := b.done(revision)
	s.rosterRevision, s.previousRoster = history.Roster, history.PreviousRoster
	s.customerRemoval = history.CustomerRemoval
	if s.hashes.size != s.keys.size {
		return nil, &ApplyError{Revision: revision, Reason: "two keys have the same hash"}
	}
	return s, nil
}

// Replace returns next, a whole snapshot received from elsewhere, if it may
// replace s. A key that s holds must be in next, and revoked there if it is
// revoked in s. Error: *ApplyError.
func (s *Snapshot) Replace(next *Snapshot) (*Snapshot, error) {
	if next.revision <= s.revision {
		reason := fmt.Sprintf("is not newer than revision %d", s.revision)
		return nil, &ApplyError{Revision: next.revision, Reason: reason}
	}
	for key := range s.keys.all() {
		after := orNil(next.Key(key.ID))
		if after == nil {
			return nil, &ApplyError{Revision: next.revision, Ref: key.Ref(), Reason: "is missing"}
		}
		if reason := refuseKeyEdit(key, after); reason != "" {
			return nil, &ApplyError{Revision: next.revision, Ref: key.Ref(), Reason: reason}
		}
	}
	assertReplacement(s, next)
	return next, nil
}

// assertReplacement checks what must hold between a snapshot and its replacement.
func assertReplacement(s, next *Snapshot) {
	invariant.Check(next.revision > s.revision, "catalogue-revision-monotonic",
		"revision %d follows %d", next.revision, s.revision)
	for key := range s.keys.all() {
		after := next.Key(key.ID)
		invariant.Check(!key.Revoked || after != nil && after.Revoked, "key-stays-revoked",
			"key %s at revision %d", key.ID, next.revision)
	}
}

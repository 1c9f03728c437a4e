package cataloguestore

import (
	"context"

	"google.golang.org/protobuf/proto"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	"buckthornlatch.example/buckthornlatch/internal/catalogue/codec"
	"buckthornlatch.example/buckthornlatch/internal/platform"
	rpc "buckthornlatch.example/buckthornlatch/rpc/catalogue"
)

// State is the state that a change is based on, read as of one platform revision.
type State struct {
	// Head is the catalogue's revision.
	Head catalogue.Revision
	// HeadRow is the platform revision of the head row. A commit that is based
	// on a lower one can no longer take effect.
	HeadRow platform.Revision
	// Entries are the current entries in the order of the requested refs; nil where absent.
	Entries []catalogue.Entry
	// entryRevisions are the platform revisions of the existing entry rows.
	entryRevisions map[catalogue.Ref]platform.Revision
	// Accepted is the revision under which the change id was accepted; zero if it was not.
	Accepted catalogue.Revision
	// Fingerprint is the one stored with the accepted change id.
	Fingerprint Fingerprint
}

// Read reads the state that a change to the given entries is based on.
func (s *Store) Read(ctx context.Context, operator string, changeID catalogue.ChangeID, refs []catalogue.Ref) (State, error) {
	keys := make([]string, 0, len(refs)+2)
	keys = append(keys, headKey, changeIDKey(operator, changeID))
	for _, ref := range refs {
		keys = append(keys, entryKey(ref))
	}
	rows, err := s.table.Get(ctx, keys)
	if err != nil {
		return State{}, err
	}
	if len(rows.Rows) != len(keys) {
		return State{}, &codec.DecodeError{What: "rows", Reason: "platform returned the wrong number"}
	}
	state := State{HeadRow: rows.Rows[0].Revision}
	if state.Head, err = revisionOf(rows.Rows[0]); err != nil {
		return State{}, err
	}
	if err := state.readChangeID(rows.Rows[1]); err != nil {
		return State{}, err
	}
	return state, state.readEntries(refs, rows.Rows[2:])
}

// readChangeID decodes the change id row.
func (s *State) readChangeID(row platform.Row) error {
	if !row.Exists() {
		return nil
	}
	var accepted rpc.ChangeIDRow
	if err := proto.Unmarshal(row.Value, &accepted); err != nil {
		return &codec.DecodeError{What: row.Key, Reason: err.Error()}
	}
	s.Accepted = catalogue.Revision(accepted.GetRevision())
	copy(s.Fingerprint[:], accepted.GetFingerprint())
	return nil
}

// readEntries decodes the entry rows.
func (s *State) readEntries(refs []catalogue.Ref, rows []platform.Row) error {
	s.entryRevisions = make(map[catalogue.Ref]platform.Revision, len(rows))
	for i, row := range rows {
		if !row.Exists() {
			s.Entries = append(s.Entries, nil)
			continue
		}
		entry, err := codec.DecodeEntry(row.Value)
		if err != nil {
			return err
		}
		s.Entries = append(s.Entries, entry)
		s.entryRevisions[refs[i]] = row.Revision
	}
	return nil
}

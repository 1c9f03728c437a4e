package codec

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	rpc "buckthornlatch.example/buckthornlatch/rpc/catalogue"
)

// MaxSnapshotBytes bounds an encoded snapshot.
const MaxSnapshotBytes = 32 << 20

// Field numbers of rpc.Snapshot.
const (
	snapshotRevisionField        protowire.Number = 1
	snapshotEntriesField         protowire.Number = 2
	snapshotRosterField          protowire.Number = 3
	snapshotPreviousRosterField  protowire.Number = 4
	snapshotCustomerRemovalField protowire.Number = 5
)

// EncodeSnapshot returns the snapshot as an encoded rpc.Snapshot. Entries are
// encoded one at a time, so that memory never holds protobuf messages for the
// whole catalogue. Error: *DecodeError.
func EncodeSnapshot(s *catalogue.Snapshot) ([]byte, error) {
	var data, encoded []byte
	data = protowire.AppendTag(data, snapshotRevisionField, protowire.VarintType)
	data = protowire.AppendVarint(data, uint64(s.Revision()))
	roster, previous := s.RosterRevisions()
	data = protowire.AppendTag(data, snapshotRosterField, protowire.VarintType)
	data = protowire.AppendVarint(data, uint64(roster))
	data = protowire.AppendTag(data, snapshotPreviousRosterField, protowire.VarintType)
	data = protowire.AppendVarint(data, uint64(previous))
	data = protowire.AppendTag(data, snapshotCustomerRemovalField, protowire.VarintType)
	data = protowire.AppendVarint(data, uint64(s.CustomerRemoval()))
	for entry := range s.All() {
		var err error
		encoded, err = proto.MarshalOptions{}.MarshalAppend(encoded[:0], FromEntry(entry))
		if err != nil {
			return nil, &DecodeError{What: "snapshot", Reason: err.Error()}
		}
		data = protowire.AppendTag(data, snapshotEntriesField, protowire.BytesType)
		data = protowire.AppendBytes(data, encoded)
	}
	if len(data) > MaxSnapshotBytes {
		return nil, &DecodeError{What: "snapshot", Reason: "is too large"}
	}
	return data, nil
}

// DecodeSnapshot decodes and validates a snapshot, one entry at a time.
// Errors: *DecodeError, *catalogue.ApplyError.
func DecodeSnapshot(data []byte) (*catalogue.Snapshot, error) {
	if len(data) > MaxSnapshotBytes {
		return nil, &DecodeError{What: "snapshot", Reason: "is too large"}
	}
	var revision catalogue.Revision
	var history catalogue.History
	var entries []catalogue.Entry
	for len(data) > 0 {
		number, wire, n := protowire.ConsumeTag(data)
		if n < 0 {
			return nil, &DecodeError{What: "snapshot", Reason: protowire.ParseError(n).Error()}
		}
		data = data[n:]
		n = protowire.ConsumeFieldValue(number, wire, data)
		if n < 0 {
			return nil, &DecodeError{What: "snapshot", Reason: protowire.ParseError(n).Error()}
		}
		value := data[:n]
		data = data[n:]
		switch {
		case wire == protowire.VarintType:
			v, _ := protowire.ConsumeVarint(value)
			setRevision(number, catalogue.Revision(v), &revision, &history)
		case number == snapshotEntriesField && wire == protowire.BytesType:
			payload, _ := protowire.ConsumeBytes(value)
			entry, err := DecodeEntry(payload)
			if err != nil {
				return nil, err
			}
			entries = append(entries, entry)
		}
	}
	return catalogue.Build(revision, history, entries)
}

// setRevision stores one of the snapshot's revisions by its field number.
func setRevision(number protowire.Number, v catalogue.Revision, revision *catalogue.Revision, history *catalogue.History) {
	switch number {
	case snapshotRevisionField:
		*revision = v
	case snapshotRosterField:
		history.Roster = v
	case snapshotPreviousRosterField:
		history.PreviousRoster = v
	case snapshotCustomerRemovalField:
		history.CustomerRemoval = v
	}
}

// EncodeEntry returns the encoded entry.
func EncodeEntry(entry catalogue.Entry) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(FromEntry(entry))
	if err != nil {
		return nil, &DecodeError{What: "entry", Reason: err.Error()}
	}
	return data, nil
}

// DecodeEntry decodes and validates an entry. Error: *DecodeError.
func DecodeEntry(data []byte) (catalogue.Entry, error) {
	var message rpc.Entry
	if err := proto.Unmarshal(data, &message); err != nil {
		return nil, &DecodeError{What: "entry", Reason: err.Error()}
	}
	return ToEntry(&message)
}

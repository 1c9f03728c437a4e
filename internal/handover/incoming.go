package handover

import (
	"errors"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
	handoverpb "buckthornlatch.example/buckthornlatch/rpc/handover"
)

// Errors of sessions with chunks out of order or a wrong number of chunks or records.
var (
	errChunkOrder = errors.New("chunk does not follow the last one")
	errIncomplete = errors.New("records are missing")
)

// incoming is an open session at the receiver.
type incoming struct {
	copy     *ledger.Copy
	at       ledger.Location
	deadline clock.Time
	chunks   uint32
	states   []DutyState
}

// add adds the next chunk to the copy. A chunk that was added before is ignored.
func (in *incoming) add(m *handoverpb.SendRequest) error {
	if m.Chunk < in.chunks {
		return nil
	}
	if m.Chunk > in.chunks {
		return errChunkOrder
	}
	records, err := decodeRecords(m.Records)
	if err != nil {
		return err
	}
	if err := in.copy.Add(records); err != nil {
		return err
	}
	for _, d := range m.Duties {
		in.states = append(in.states, DutyState{Part: d.Part, Data: d.Data})
	}
	in.chunks++
	return nil
}

// check returns an error unless all chunks and records arrived.
func (in *incoming) check(m *handoverpb.CompleteRequest) error {
	if in.chunks != m.Chunks || in.copy.Len() != int(m.Records) {
		return errIncomplete
	}
	return nil
}

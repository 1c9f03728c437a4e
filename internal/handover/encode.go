package handover

import (
	"errors"
	"net/http"

	"buckthornlatch.example/buckthornlatch/internal/clock"
	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
	handoverpb "buckthornlatch.example/buckthornlatch/rpc/handover"
)

// errRecord reports a record field of the wrong length.
var errRecord = errors.New("record has a field of wrong length")

// encodeRecord converts a record to a message.
func encodeRecord(r ledger.Record) *handoverpb.Record {
	m := &handoverpb.Record{
		Random: r.Random[:], Fingerprint: r.Fingerprint[:], Customer: string(r.Customer),
		Serial: r.Serial, IssuedNs: int64(r.Issued), ClaimedNs: int64(r.Claimed),
		State: uint32(r.State), Status: uint32(r.Response.Status), Body: r.Response.Body,
	}
	for name, values := range r.Response.Header {
		m.Header = append(m.Header, &handoverpb.HeaderField{Name: name, Values: values})
	}
	return m
}

// decodeRecord converts a message to a record.
func decodeRecord(m *handoverpb.Record) (ledger.Record, error) {
	r := ledger.Record{
		Customer: id.CustomerID(m.Customer), Serial: m.Serial, Issued: clock.Time(m.IssuedNs),
		Claimed: clock.Time(m.ClaimedNs), State: ledger.State(m.State),
		Response: ledger.Response{Status: int(m.Status), Body: m.Body},
	}
	if copy(r.Random[:], m.Random) != len(m.Random) || len(m.Random) != len(r.Random) {
		return ledger.Record{}, errRecord
	}
	if copy(r.Fingerprint[:], m.Fingerprint) != len(m.Fingerprint) || len(m.Fingerprint) != len(r.Fingerprint) {
		return ledger.Record{}, errRecord
	}
	if len(m.Header) > 0 {
		r.Response.Header = make(http.Header, len(m.Header))
	}
	for _, f := range m.Header {
		r.Response.Header[f.Name] = f.Values
	}
	return r, nil
}

// decodeRecords converts the records of a chunk.
func decodeRecords(messages []*handoverpb.Record) ([]ledger.Record, error) {
	records := make([]ledger.Record, len(messages))
	for i, m := range messages {
		r, err := decodeRecord(m)
		if err != nil {
			return nil, err
		}
		records[i] = r
	}
	return records, nil
}

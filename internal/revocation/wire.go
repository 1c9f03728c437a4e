package revocation

import (
	"errors"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	rpc "buckthornlatch.example/buckthornlatch/rpc/revocation"
)

// errTooMany is returned for a message with more than MaxRecords records.
var errTooMany = errors.New("revocation message has too many records")

// ToRPC converts records to their wire form.
func ToRPC(records []Record) *rpc.Records {
	message := &rpc.Records{Records: make([]*rpc.Record, 0, len(records))}
	for _, r := range records {
		message.Records = append(message.Records, &rpc.Record{
			KeyId: string(r.Key), Operator: r.Operator, ChangeId: string(r.ChangeID), Why: r.Why,
		})
	}
	return message
}

// MergeRPC merges the records of a message as Merge does. It rejects the whole message
// if it has more than MaxRecords records.
func (s *Set) MergeRPC(message *rpc.Records) (added int, err error) {
	if len(message.GetRecords()) > MaxRecords {
		return 0, errTooMany
	}
	records := make([]Record, 0, len(message.GetRecords()))
	for _, r := range message.GetRecords() {
		records = append(records, Record{
			Key: catalogue.KeyID(r.GetKeyId()), Operator: r.GetOperator(),
			ChangeID: catalogue.ChangeID(r.GetChangeId()), Why: r.GetWhy(),
		})
	}
	return s.Merge(records)
}

// ToRPC converts the digest to its wire form.
func (d Digest) ToRPC() *rpc.Digest {
	return &rpc.Digest{Count: d.Count, High: d.High, Low: d.Low}
}

// DigestFromRPC converts a digest from its wire form.
func DigestFromRPC(message *rpc.Digest) Digest {
	return Digest{Count: message.GetCount(), High: message.GetHigh(), Low: message.GetLow()}
}

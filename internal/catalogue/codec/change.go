package codec

import (
	"time"

	"google.golang.org/protobuf/proto"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
	rpc "buckthornlatch.example/buckthornlatch/rpc/catalogue"
)

// MaxChangeBytes bounds an encoded change.
const MaxChangeBytes = 512 << 10

// EncodeChange returns the encoded change. Equal changes have equal encodings.
// Error: *DecodeError when it is larger than MaxChangeBytes.
func EncodeChange(change *catalogue.Change) ([]byte, error) {
	message := &rpc.Change{
		Revision: uint64(change.Revision),
		ChangeId: string(change.ID),
		Operator: change.Operator,
		AtUnixMs: change.At.UnixMilli(),
		Why:      change.Why,
	}
	for _, e := range change.Edits {
		message.Edits = append(message.Edits, &rpc.Edit{Before: FromEntry(e.Before), After: FromEntry(e.After)})
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		return nil, &DecodeError{What: "change", Reason: err.Error()}
	}
	if len(data) > MaxChangeBytes {
		return nil, &DecodeError{What: "change", Reason: "is too large; send it in parts"}
	}
	return data, nil
}

// DecodeChange decodes and validates a change. Error: *DecodeError.
func DecodeChange(data []byte) (*catalogue.Change, error) {
	if len(data) > MaxChangeBytes {
		return nil, &DecodeError{What: "change", Reason: "is too large"}
	}
	var message rpc.Change
	if err := proto.Unmarshal(data, &message); err != nil {
		return nil, &DecodeError{What: "change", Reason: err.Error()}
	}
	if len(message.GetEdits()) > catalogue.MaxEdits {
		return nil, &DecodeError{What: "change", Reason: "has too many edits"}
	}
	change := &catalogue.Change{
		Revision: catalogue.Revision(message.GetRevision()),
		ID:       catalogue.ChangeID(message.GetChangeId()),
		Operator: message.GetOperator(),
		At:       time.UnixMilli(message.GetAtUnixMs()).UTC(),
		Why:      message.GetWhy(),
		Edits:    make([]catalogue.Edit, 0, len(message.GetEdits())),
	}
	for _, m := range message.GetEdits() {
		edit, err := toEdit(m)
		if err != nil {
			return nil, err
		}
		change.Edits = append(change.Edits, edit)
	}
	return change, nil
}

// toEdit converts an edit.
func toEdit(message *rpc.Edit) (catalogue.Edit, error) {
	var edit catalogue.Edit
	var err error
	if message.GetBefore() != nil {
		if edit.Before, err = ToEntry(message.GetBefore()); err != nil {
			return edit, err
		}
	}
	if message.GetAfter() != nil {
		if edit.After, err = ToEntry(message.GetAfter()); err != nil {
			return edit, err
		}
	}
	if edit.Before == nil && edit.After == nil {
		return edit, &DecodeError{What: "edit", Reason: "has no entry"}
	}
	return edit, nil
}

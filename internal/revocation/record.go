package revocation

import (
	"encoding/binary"
	"fmt"

	"github.com/twmb/murmur3"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
)

// maxTextBytes limits each text field of a record.
const maxTextBytes = 256

// Record is one emergency revocation. Two records are equal only if all their fields are.
type Record struct {
	Key catalogue.KeyID
	// Operator is who entered the revocation; the change on the platform carries the same name.
	Operator string
	ChangeID catalogue.ChangeID
	Why      string
}

// Validate checks the lengths of the text fields, for records that come from another process.
func (r Record) Validate() error {
	for name, text := range map[string]string{"key": string(r.Key), "operator": r.Operator, "change id": string(r.ChangeID)} {
		if text == "" || len(text) > maxTextBytes {
			return fmt.Errorf("revocation record: %s is %d bytes long; it must be 1 to %d", name, len(text), maxTextBytes)
		}
	}
	if len(r.Why) > maxTextBytes {
		return fmt.Errorf("revocation record: why is longer than %d bytes", maxTextBytes)
	}
	return nil
}

// hash returns a 128-bit hash of the record.
func (r Record) hash() (uint64, uint64) {
	var data []byte
	for _, text := range []string{string(r.Key), r.Operator, string(r.ChangeID), r.Why} {
		data = binary.AppendUvarint(data, uint64(len(text)))
		data = append(data, text...)
	}
	return murmur3.Sum128(data)
}

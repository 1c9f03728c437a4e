package revocation

import (
	"encoding/binary"
	"fmt"

	"github.com/twmb/murmur3"

	"buckthornlatch.example/buckthornlatch/internal/catalogue"
)

// maxTextBytes bounds each text of a record.
const maxTextBytes = 256

// Record is one emergency revocation. Records are equal only if all fields are.
type Record struct {
	Key catalogue.KeyID
	// Operator entered the revocation; the change on the platform carries the name.
	Operator string
	ChangeID catalogue.ChangeID
	Why      string
}

// Validate checks a record received from elsewhere.
func (r Record) Validate() error {
	for name, text := range map[string]string{"key": string(r.Key), "operator": r.Operator, "change id": string(r.ChangeID)} {
		if text == "" || len(text) > maxTextBytes {
			return fmt.Errorf("revocation record: %s has %d bytes, not 1 to %d", name, len(text), maxTextBytes)
		}
	}
	if len(r.Why) > maxTextBytes {
		return fmt.Errorf("revocation record: why has more than %d bytes", maxTextBytes)
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

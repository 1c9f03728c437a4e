package registration

import (
	"encoding/json"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Owner is the registration of one host slot.
type Owner struct {
	Host          id.HostID        `json:"host"`
	FailureDomain id.FailureDomain `json:"failure_domain"`
	Epoch         id.Epoch         `json:"epoch"`
	Incarnation   id.Incarnation   `json:"incarnation"`
	// Peer is the address, ip:port, at which other daemons reach the slot's daemon.
	Peer string `json:"peer"`
}

// encode returns the row value.
func (o Owner) encode() ([]byte, error) {
	return json.Marshal(o)
}

// decode reads a row value.
func decode(value []byte) (Owner, error) {
	var o Owner
	err := json.Unmarshal(value, &o)
	return o, err
}

package claims

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"net/http"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/ledger"
)

// rowPrefix distinguishes the rows of this package from others in the table.
const rowPrefix = "claim/"

// rowState is the state of a row.
type rowState string

const (
	// rowClaimed means that the row's owner may dispatch the request or may have done so.
	rowClaimed rowState = "claimed"
	// rowRan means that the request ran and the response is in the row.
	rowRan rowState = "ran"
	// rowRanNotKept means that the request ran; the row has only the status.
	rowRanNotKept rowState = "ran-not-kept"
	// rowUnknown means that the request may have run.
	rowUnknown rowState = "unknown"
	// rowReleased means that the owner proved that nothing ran.
	rowReleased rowState = "released"
)

// claimID identifies one claim in the table; it is random.
type claimID [16]byte

// keyHash identifies a customer's key.
type keyHash [sha256.Size]byte

// hashKey returns the hash that names a key's row. The separator cannot be part of a customer's name.
func hashKey(customer id.CustomerID, key string) keyHash {
	return sha256.Sum256([]byte(string(customer) + "\x00" + key))
}

// rowKey returns the name of the row in the table.
func (h keyHash) rowKey() string {
	return rowPrefix + base64.RawURLEncoding.EncodeToString(h[:])
}

// rowValue is the content of a row.
type rowValue struct {
	State       rowState       `json:"state"`
	Owner       id.HostID      `json:"owner"`
	Incarnation id.Incarnation `json:"incarnation"`
	Claim       []byte         `json:"claim"`
	Fingerprint []byte         `json:"fingerprint"`
	Status      int            `json:"status,omitempty"`
	Header      http.Header    `json:"header,omitempty"`
	Body        []byte         `json:"body,omitempty"`
}

// encode returns the row's bytes.
func (v rowValue) encode() []byte {
	b, err := json.Marshal(v)
	if err != nil {
		// Strings, bytes and numbers always encode.
		panic(err)
	}
	return b
}

// decodeRow decodes a row. One that cannot be decoded is returned as unknown, so that its key
// cannot run.
func decodeRow(b []byte) rowValue {
	var v rowValue
	if json.Unmarshal(b, &v) != nil {
		return rowValue{State: rowUnknown}
	}
	return v
}

// response returns the recorded response.
func (v rowValue) response() ledger.Response {
	return ledger.Response{Status: v.Status, Header: v.Header, Body: v.Body}
}

// hashFingerprint returns the form in which a request's fingerprint is stored.
func hashFingerprint(fingerprint string) [sha256.Size]byte {
	return sha256.Sum256([]byte(fingerprint))
}

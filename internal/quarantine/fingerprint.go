package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"strconv"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// Fingerprint identifies requests that are alike, so that crashes can be attributed to them. It covers
// customer, route, method, path and the beginning of the body. It leaves out the query, so that a changed query
// parameter does not evade a quarantine.
func Fingerprint(customer id.CustomerID, route id.RouteID, method, path string, body []byte) string {
	return Digest([]byte(customer), []byte(route), []byte(method), []byte(path), body)
}

// Digest hashes parts with length prefixes, so that the boundaries between them count. It returns the first half of
// the hash in hexadecimal digits.
func Digest(parts ...[]byte) string {
	h := sha256.New()
	for _, part := range parts {
		writePart(h, part)
	}
	var full [sha256.Size]byte
	return hex.EncodeToString(h.Sum(full[:0])[:sha256.Size/2])
}

// writePart writes a part with its length as prefix.
func writePart(h hash.Hash, part []byte) {
	var length [20]byte
	_, _ = h.Write(append(strconv.AppendInt(length[:0], int64(len(part)), 10), ':'))
	_, _ = h.Write(part)
}

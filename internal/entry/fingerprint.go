package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"io"
	"strconv"

	"buckthornlatch.example/buckthornlatch/internal/id"
)

// fingerprints identify a request's content.
type fingerprints struct {
	// crash covers customer, route, method, path and the beginning of the body. It leaves out the query, so
	// that a changed query parameter does not evade a quarantine.
	crash string
	// content also covers the query and the length, to detect a key that is used for a different request.
	content string
}

// newFingerprints hashes a request.
func newFingerprints(customer id.CustomerID, route id.RouteID, method, path, query string, b *body) fingerprints {
	h := sha256.New()
	for _, part := range [...]string{string(customer), string(route), method, path} {
		writePart(h, part)
	}
	writePart(h, strconv.Itoa(len(b.prefix)))
	_, _ = h.Write(b.prefix)
	crash := sum(h)
	writePart(h, query)
	writePart(h, strconv.FormatInt(b.length, 10))
	return fingerprints{crash: crash, content: sum(h)}
}

// writePart adds a string with its length, so that two parts cannot run into each other.
func writePart(h hash.Hash, s string) {
	var length [20]byte
	_, _ = h.Write(append(strconv.AppendInt(length[:0], int64(len(s)), 10), ':'))
	_, _ = io.WriteString(h, s)
}

// sum returns the first half of the hash in hexadecimal digits.
func sum(h hash.Hash) string {
	var full [sha256.Size]byte
	return hex.EncodeToString(h.Sum(full[:0])[:sha256.Size/2])
}

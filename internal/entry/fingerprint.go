package entry

import (
	"strconv"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/quarantine"
)

// fingerprints identify a request's content.
type fingerprints struct {
	// crash identifies the request for the quarantine.
	crash string
	// content also covers the query and the length, to detect a key that is used for a different request.
	content string
}

// newFingerprints hashes a request.
func newFingerprints(customer id.CustomerID, route id.RouteID, method, path, query string, b *body) fingerprints {
	crash := quarantine.Fingerprint(customer, route, method, path, b.prefix)
	length := strconv.FormatInt(b.length, 10)
	return fingerprints{crash: crash, content: quarantine.Digest([]byte(crash), []byte(query), []byte(length))}
}

package entry

import (
	"strconv"

	"buckthornlatch.example/buckthornlatch/internal/id"
	"buckthornlatch.example/buckthornlatch/internal/quarantine"
)

// fingerprints holds hashes of a request's content.
type fingerprints struct {
	// crash identifies the request for the quarantine.
	crash string
	// content also covers the query and the length, to detect an idempotency key that is reused for another
	// request.
	content string
}

// newFingerprints returns the fingerprints of a request with the buffered prefix of its body.
func newFingerprints(customer id.CustomerID, route id.RouteID, method, path, query string, b *body) fingerprints {
	crash := quarantine.Fingerprint(customer, route, method, path, b.prefix)
	length := strconv.FormatInt(b.length, 10)
	return fingerprints{crash: crash, content: quarantine.Digest([]byte(crash), []byte(query), []byte(length))}
}

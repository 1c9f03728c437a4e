package hop

import (
	"io"
	"net/http"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/clock"
)

// Call is one attempt to be sent to a peer.
type Call struct {
	// Peer is the address of the receiving daemon, "host:port".
	Peer string
	// Request holds the hop headers; ValidUntil is filled in by the client.
	Request Request
	// Expiry is the sender's clock at which the permission to run the request ends.
	Expiry clock.Time
	Method string
	// Host is the caller's Host header.
	Host string
	// Header holds the end-to-end headers; the client takes it over.
	Header http.Header
	// Body is the request body; nil for none. The client does not close it.
	Body io.Reader
	// ContentLength is the length of Body in bytes, -1 when unknown.
	ContentLength int64
	// Await holds the body back until the peer asks for it, so that a body that cannot be sent twice is not
	// spent on a refusal.
	Await bool
	// Silence is the longest time without a byte of the response body; zero selects the client's default.
	Silence time.Duration
}

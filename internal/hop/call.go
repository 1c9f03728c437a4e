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
	// Expiry is the time on the sender's clock after which the request must not be dispatched.
	Expiry clock.Time
	Method string
	// Host is the caller's Host header.
	Host string
	// Header holds the end-to-end headers. The client modifies it, and the caller must not use it after Do.
	Header http.Header
	// Body is the request body; nil for none. The client does not close it.
	Body io.Reader
	// ContentLength is the length of Body in bytes, -1 when unknown.
	ContentLength int64
	// ExpectContinue sends "Expect: 100-continue" and holds the body back until the peer requests it, so that a body that
	// cannot be sent twice is not consumed by an attempt that is refused.
	ExpectContinue bool
	// ProgressTimeout bounds the time without a byte of the response body; zero selects the client's default.
	ProgressTimeout time.Duration
}

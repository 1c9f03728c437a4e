package platform

import (
	"errors"
	"net"
	"net/http"

	"github.com/twitchtv/twirp"

	rpc "buckthornlatch.example/buckthornlatch/rpc/platform"
)

// Client calls a platform service over twirp.
type Client struct {
	peer string
	rpc  rpc.Platform
}

// NewClient returns a client for the service at the base URL. The timeout of
// httpClient applies to each call.
func NewClient(baseURL string, httpClient *http.Client) *Client {
	return &Client{peer: baseURL, rpc: rpc.NewPlatformProtobufClient(baseURL, httpClient)}
}

// Table returns the table.
func (c *Client) Table() Table {
	return clientTable{c}
}

// Objects returns the object store.
func (c *Client) Objects() ObjectStore {
	return clientObjects{c}
}

// readError wraps the error of a read. A failed read never has an effect.
func (c *Client) readError(step string, err error) error {
	return &NotDoneError{Step: step, Peer: c.peer, Err: err}
}

// writeError wraps the error of a write. Only a rejection by the service itself
// or a failure to connect proves that the write had no effect.
func (c *Client) writeError(step string, err error) error {
	if refused(err) || neverConnected(err) {
		return &NotDoneError{Step: step, Peer: c.peer, Err: err}
	}
	return &OutcomeUnknownError{Step: step, Peer: c.peer, Err: err}
}

// refused reports whether the service itself rejected the call without effect.
// An error that twirp marks as derived from an intermediary's response does not count:
// the intermediary may have forwarded the call.
func refused(err error) bool {
	var twirpErr twirp.Error
	if !errors.As(err, &twirpErr) || twirpErr.Meta("http_error_from_intermediary") != "" {
		return false
	}
	switch twirpErr.Code() {
	case twirp.Unavailable, twirp.ResourceExhausted, twirp.InvalidArgument, twirp.Malformed, twirp.BadRoute:
		return true
	default:
		return false
	}
}

// neverConnected reports whether dialing failed, so that nothing was sent.
func neverConnected(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

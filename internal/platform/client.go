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

// NewClient returns a client for the service at the base URL. The http client's
// timeout bounds each call.
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

// readError reports a failed read.
func (c *Client) readError(step string, err error) error {
	return &NotDoneError{Step: step, Peer: c.peer, Err: err}
}

// writeError reports a failed write. Only a refusal by the service itself, or a
// connection that was never made, proves that the write had no effect.
func (c *Client) writeError(step string, err error) error {
	if refused(err) || neverConnected(err) {
		return &NotDoneError{Step: step, Peer: c.peer, Err: err}
	}
	return &OutcomeUnknownError{Step: step, Peer: c.peer, Err: err}
}

// refused reports whether the service answered that it did nothing.
// Twirp marks errors that it derived from an intermediary's response.
func refused(err error) bool {
	var answer twirp.Error
	if !errors.As(err, &answer) || answer.Meta("http_error_from_intermediary") != "" {
		return false
	}
	switch answer.Code() {
	case twirp.Unavailable, twirp.ResourceExhausted, twirp.InvalidArgument, twirp.Malformed, twirp.BadRoute:
		return true
	default:
		return false
	}
}

// neverConnected reports whether dialling failed.
func neverConnected(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}

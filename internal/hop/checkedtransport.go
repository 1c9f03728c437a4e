package hop

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// checkedTransport sends requests on guarded connections.
type checkedTransport struct {
	*http.Transport
}

// CheckedTransport returns a transport that fails with ErrStatusLine where what comes is no answer. It changes the dial
// functions of transport. Over TLS without a DialTLSContext of its own it checks only the statuses.
func CheckedTransport(transport *http.Transport) http.RoundTripper {
	if transport.DialContext == nil {
		// A dial function of one's own otherwise turns HTTP/2 off.
		transport.DialContext, transport.ForceAttemptHTTP2 = (&net.Dialer{}).DialContext, true
	}
	transport.DialContext = guardDials(transport.DialContext)
	if transport.DialTLSContext != nil {
		transport.DialTLSContext = guardDials(transport.DialTLSContext)
	}
	return checkedTransport{transport}
}

// dialFunc opens connections.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// guardDials returns a function that guards the connections that dial opens.
func guardDials(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return Guard(conn), nil
	}
}

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), answersTrace)))
	if err == nil && (response.StatusCode < http.StatusOK || response.StatusCode >= 600) {
		_ = response.Body.Close()
		return nil, ErrStatusLine
	}
	return response, err
}

// answersTrace makes a guarded connection check the answers to each request.
var answersTrace = &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
	if conn, ok := info.Conn.(*guardedConn); ok {
		conn.requested.Store(true)
	}
}}

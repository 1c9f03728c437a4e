package gate

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"

	"buckthornlatch.example/buckthornlatch/internal/hop"
)

// newTargetTransport returns an HTTP/1.1 transport to one target. Guarded connections carry one request at a
// time, which excludes HTTP/2.
func newTargetTransport(config *Config) *http.Transport {
	dialer := &net.Dialer{Timeout: config.DialTimeout}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return hop.Guard(conn), nil
	}
	return &http.Transport{
		DialContext:            dial,
		DisableCompression:     true,
		IdleConnTimeout:        config.IdleTimeout,
		MaxIdleConnsPerHost:    maxIdleConns,
		MaxResponseHeaderBytes: hop.MaxTargetHeadBytes,
		TLSNextProto:           map[string]func(string, *tls.Conn) http.RoundTripper{},
	}
}

// maxIdleConns bounds the unused connections to one target; targets accept about 300.
const maxIdleConns = 256

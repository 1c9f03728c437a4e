package experiment

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"

	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/settings"
)

// url returns the base URL of one of a node's addresses for callers or operators.
func (n *Node) url(address string) string {
	if n.secure {
		return "https://" + address
	}
	return "http://" + address
}

// newTransport returns a transport for callers and operators that trusts the daemons' authority.
func newTransport(s settings.TLS) (*http.Transport, error) {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if !s.Enabled() {
		return transport, nil
	}
	pem, err := os.ReadFile(s.PeerCAFile)
	if err != nil {
		return nil, fault.New("read certificate authority", "", err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(pem)
	transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	return transport, nil
}

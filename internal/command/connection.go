package command

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net/http"
	"os"
	"strings"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/fault"
	"buckthornlatch.example/buckthornlatch/internal/hop"
	rpc "buckthornlatch.example/buckthornlatch/rpc/admin"
)

// callTimeout is the timeout of one call to the administration API.
const callTimeout = 15 * time.Second

// Connection holds the flags for reaching the administration API.
type Connection struct {
	Admin     string `arg:"--admin,env:BUCKTHORNLATCH_ADMIN" placeholder:"URL" help:"administration API of any daemon, e.g. https://10.0.0.1:9443"`
	TokenFile string `arg:"--token-file,env:BUCKTHORNLATCH_TOKEN_FILE" placeholder:"FILE" help:"file with the operator's token"`
	CAFile    string `arg:"--ca-file,env:BUCKTHORNLATCH_CA_FILE" placeholder:"FILE" help:"certificate authority of the daemons; default: the system's"`
}

// client returns a client for the API. Errors are of type *InputError.
func (c Connection) client() (rpc.Admin, error) {
	if c.Admin == "" || c.TokenFile == "" {
		return nil, &InputError{Err: errors.New("--admin and --token-file are required")}
	}
	token, err := os.ReadFile(c.TokenFile)
	if err != nil {
		return nil, &InputError{Err: fault.New("read token", c.TokenFile, err)}
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if err := setRootCAs(transport, c.CAFile); err != nil {
		return nil, err
	}
	httpClient := &http.Client{
		Transport: tokenTransport{token: strings.TrimSpace(string(token)), next: hop.CheckedTransport(transport)},
		Timeout:   callTimeout,
		// A redirect would carry the token to another server.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return rpc.NewAdminProtobufClient(strings.TrimSuffix(c.Admin, "/"), httpClient), nil
}

// setRootCAs makes a transport trust the certificate authority in the file
// instead of the system's. An empty name changes nothing. Errors are of type
// *InputError.
func setRootCAs(transport *http.Transport, file string) error {
	if file == "" {
		return nil
	}
	config, err := tlsConfig(file)
	if err != nil {
		return &InputError{Err: err}
	}
	transport.TLSClientConfig = config
	return nil
}

// tlsConfig returns a TLS configuration that trusts only the certificate
// authority in the file.
func tlsConfig(file string) (*tls.Config, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, fault.New("read certificate authority", file, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fault.New("read certificate authority", file, errors.New("no PEM certificate"))
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}

package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"

	"buckthornlatch.example/buckthornlatch/internal/fault"
)

// errNoCA is returned for a CA file without a certificate.
var errNoCA = errors.New("no certificate in file")

// Files are the paths of the PEM files of a daemon's identity.
type Files struct {
	// Certificate is the file with the daemon's certificate chain.
	Certificate string
	// Key is the file with the certificate's private key.
	Key string
	// CA is the file with the CA certificates by which daemons verify each other.
	CA string
}

// credentials are the parsed contents of the files.
type credentials struct {
	certificate tls.Certificate
	caPool      *x509.CertPool
}

// load reads the files. The error is a *fault.Error.
func (f Files) load() (*credentials, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, fault.New("load TLS certificate", "", err)
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, fault.New("load TLS CA certificates", "", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fault.New("load TLS CA certificates", "", errNoCA)
	}
	return &credentials{certificate: certificate, caPool: pool}, nil
}

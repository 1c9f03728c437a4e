package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"

	"buckthornlatch.example/buckthornlatch/internal/fault"
)

// errNoCA reports a CA file without a certificate.
var errNoCA = errors.New("no certificate in file")

// Files names the PEM files of one identity.
type Files struct {
	// Certificate holds the daemon's certificate chain.
	Certificate string
	// Key holds the private key of the certificate.
	Key string
	// CA holds the certificates that sign the daemons' certificates.
	CA string
}

// material is the content of the files at one time.
type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// load reads the files. The error is a *fault.Error.
func (f Files) load() (*material, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, fault.New("load TLS certificate", "", err)
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, fault.New("load TLS authorities", "", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fault.New("load TLS authorities", "", errNoCA)
	}
	return &material{certificate: certificate, authorities: pool}, nil
}

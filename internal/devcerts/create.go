package devcerts

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"buckthornlatch.example/buckthornlatch/internal/fault"
)

// Names of the files that Create writes.
const (
	CAFile          = "ca.pem"
	CertificateFile = "cert.pem"
	KeyFile         = "key.pem"
)

const (
	// serialBits is the length of a certificate's random serial number.
	serialBits = 120
	// clockTolerance backdates the certificates, for machines whose clock is behind by up to this time.
	clockTolerance = time.Hour
	directoryMode  = 0o755
	keyMode        = 0o600
	publicMode     = 0o644
)

// Options describe the certificates to create.
type Options struct {
	// PeerName is the DNS name by which daemons recognize each other.
	PeerName string
	// Addresses are the IP addresses that callers use.
	Addresses []net.IP
	// Lifetime is the time until the certificates expire.
	Lifetime time.Duration
}

// Create writes the CA certificate, the daemon's certificate and the daemon's
// private key to a directory, which it creates if needed. The error is a
// *fault.Error.
func Create(dir string, options Options) error {
	if err := os.MkdirAll(dir, directoryMode); err != nil {
		return fault.New("create directory", "", err)
	}
	ca, err := newAuthority(options.Lifetime)
	if err != nil {
		return fault.New("create certificate authority", "", err)
	}
	certificate, key, err := ca.issue(options)
	if err != nil {
		return fault.New("create daemon certificate", "", err)
	}
	for _, file := range []struct {
		name, kind string
		der        []byte
		mode       os.FileMode
	}{
		{CAFile, "CERTIFICATE", ca.certificate.Raw, publicMode},
		{CertificateFile, "CERTIFICATE", certificate, publicMode},
		{KeyFile, "PRIVATE KEY", key, keyMode},
	} {
		encoded := pem.EncodeToMemory(&pem.Block{Type: file.kind, Bytes: file.der})
		if err := os.WriteFile(filepath.Join(dir, file.name), encoded, file.mode); err != nil {
			return fault.New("write certificate file", "", err)
		}
	}
	return nil
}

// authority is a certificate authority with its private key.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// newAuthority creates a self-signed authority with a new key.
func newAuthority(lifetime time.Duration) (*authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := newTemplate("buckthornlatch development authority", lifetime)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	return &authority{certificate: certificate, key: key}, err
}

// issue creates a daemon certificate and its private key, both DER-encoded.
func (a *authority) issue(options Options) (certificate, private []byte, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	template, err := newTemplate("buckthornlatch development daemon", options.Lifetime)
	if err != nil {
		return nil, nil, err
	}
	template.DNSNames = []string{options.PeerName, "localhost"}
	template.IPAddresses = options.Addresses
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	certificate, err = x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return nil, nil, err
	}
	private, err = x509.MarshalPKCS8PrivateKey(key)
	return certificate, private, err
}

// newTemplate returns the fields that all certificates have in common.
func newTemplate(name string, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockTolerance),
		NotAfter:     now.Add(lifetime),
	}, nil
}

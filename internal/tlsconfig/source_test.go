package tlsconfig_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/tlsconfig"
)

func TestTLSConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tlsconfig")
}

// peerName is the DNS name in the certificates of the daemons.
const peerName = "daemon.fleet"

// authority is a test CA.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// newAuthority creates a self-signed CA.
func newAuthority() authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	certificate, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	return authority{certificate, key}
}

// issue writes a new certificate for a DNS name, its key and the CA certificate to dir.
func (a authority) issue(dir, name string) tlsconfig.Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), DNSNames: []string{name},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		NotBefore:   time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	files := tlsconfig.Files{
		Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem"),
	}
	writePEM(files.Certificate, "CERTIFICATE", der)
	writePEM(files.Key, "EC PRIVATE KEY", keyDER)
	writePEM(files.CA, "CERTIFICATE", a.certificate.Raw)
	return files
}

// writePEM writes a file with one PEM block.
func writePEM(path, kind string, der []byte) {
	Expect(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(Succeed())
}

// source issues a certificate in a new directory and loads it.
func (a authority) source(name string) (*tlsconfig.Source, string) {
	dir := GinkgoT().TempDir()
	s, err := tlsconfig.New(a.issue(dir, name), peerName, zerolog.Nop())
	Expect(err).NotTo(HaveOccurred())
	return s, dir
}

// handshake performs a TLS handshake and returns the server's error.
func handshake(server, client *tls.Config) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	go func() {
		c, err := tls.Dial("tcp", listener.Addr().String(), client)
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 1))
		_ = c.Close()
	}()
	conn, err := listener.Accept()
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	return tls.Server(conn, server).Handshake()
}

var _ = Describe("Source", func() {
	// Guards against daemons that reject each other's certificates.
	It("connects two daemons of one CA", func() {
		ca := newAuthority()
		a, _ := ca.source(peerName)
		b, _ := ca.source(peerName)
		Expect(handshake(a.PeerServer(), b.PeerClient())).To(Succeed())
	})

	// Guards against control connections from processes that are not daemons of the fleet.
	It("rejects another CA, another name and no certificate", func() {
		ca := newAuthority()
		a, _ := ca.source(peerName)
		foreign, _ := newAuthority().source(peerName)
		other, _ := ca.source("target.fleet")
		Expect(handshake(a.PeerServer(), foreign.PeerClient())).NotTo(Succeed())
		Expect(handshake(a.PeerServer(), other.PeerClient())).NotTo(Succeed())
		bare := a.PeerClient()
		bare.Certificates = nil
		Expect(handshake(a.PeerServer(), bare)).NotTo(Succeed())
	})

	// Guards against a replaced CA that takes effect only after a restart, and against an outage after a reload of
	// unusable files.
	It("uses replaced files and keeps the old ones when the new ones are unusable", func() {
		old := newAuthority()
		a, dir := old.source(peerName)
		server := a.PeerServer()
		replacement := newAuthority()
		b, _ := replacement.source(peerName)
		Expect(handshake(server, b.PeerClient())).NotTo(Succeed())

		replacement.issue(dir, peerName)
		Expect(a.Reload()).To(Succeed())
		Expect(handshake(server, b.PeerClient())).To(Succeed())

		Expect(os.WriteFile(filepath.Join(dir, "ca.pem"), []byte("not a certificate"), 0o600)).To(Succeed())
		Expect(a.Reload()).NotTo(Succeed())
		Expect(handshake(server, b.PeerClient())).To(Succeed())
	})
})

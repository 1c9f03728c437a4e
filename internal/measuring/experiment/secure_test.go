package experiment_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"buckthornlatch.example/buckthornlatch/internal/devcerts"
	"buckthornlatch.example/buckthornlatch/internal/measuring/load"
	"buckthornlatch.example/buckthornlatch/internal/settings"
)

// issue replaces the TLS files in a directory by those of a new authority.
func issue(dir string) {
	Expect(devcerts.Create(dir, devcerts.Options{
		PeerName: settings.Default().TLS.PeerName, Addresses: []net.IP{net.IPv4(127, 0, 0, 1)}, Lifetime: time.Hour,
	})).To(Succeed())
}

// secure makes a fleet use the files of a directory.
func secure(dir string) func(*settings.Settings) {
	return func(s *settings.Settings) {
		s.TLS.CertFile = filepath.Join(dir, devcerts.CertificateFile)
		s.TLS.KeyFile = filepath.Join(dir, devcerts.KeyFile)
		s.TLS.PeerCAFile = filepath.Join(dir, devcerts.CAFile)
	}
}

// client returns the TLS configuration of a process with the identity in a directory.
func client(dir string) *tls.Config {
	pem, err := os.ReadFile(filepath.Join(dir, devcerts.CAFile))
	Expect(err).NotTo(HaveOccurred())
	pool := x509.NewCertPool()
	Expect(pool.AppendCertsFromPEM(pem)).To(BeTrue())
	identity, err := tls.LoadX509KeyPair(filepath.Join(dir, devcerts.CertificateFile), filepath.Join(dir, devcerts.KeyFile))
	Expect(err).NotTo(HaveOccurred())
	return &tls.Config{RootCAs: pool, Certificates: []tls.Certificate{identity}, ServerName: settings.Default().TLS.PeerName}
}

// call sends a request over TLS and returns the error of the connection.
func call(address string, config *tls.Config) error {
	transport := &http.Transport{TLSClientConfig: config}
	defer transport.CloseIdleConnections()
	response, err := (&http.Client{Transport: transport, Timeout: 5 * time.Second}).Get("https://" + address + "/")
	if err == nil {
		_ = response.Body.Close()
	}
	return err
}

var _ = Describe("A fleet with TLS", func() {
	// Guards against a fleet that works without TLS only, control messages open to
	// any process, and replaced certificates that need a restart.
	It("serves, refuses foreign peers and uses replaced certificates", func() {
		ctx := context.Background()
		dir, foreign := GinkgoT().TempDir(), GinkgoT().TempDir()
		issue(dir)
		issue(foreign)
		p := plan(2*time.Second, 100)
		fleet, keys := startWith(ctx, &p, zerolog.WarnLevel, secure(dir))
		send := func() {
			// Request ids come from the seed; an id must not be sent twice to the same targets.
			p.Seed++
			config := client(dir)
			config.ServerName, config.Certificates = "", nil
			transport := &http.Transport{TLSClientConfig: config, ForceAttemptHTTP2: true}
			defer transport.CloseIdleConnections()
			history, err := load.NewRunner(p, keys, &http.Client{Transport: transport}).Run(ctx)
			Expect(err).NotTo(HaveOccurred())
			summary := load.Summarize(history)
			Expect(load.Check(history, fleet.Runs.Snapshot())).To(Equal(load.Verdict{}))
			Expect(summary.Customers[0].Share()).To(BeNumerically(">=", 0.99), "codes %v", summary.Codes)
		}
		send()

		peer := fleet.Nodes[0].Daemon.Addresses().Peer
		Expect(call(peer, client(dir))).To(Succeed())
		stranger := client(dir)
		stranger.Certificates = client(foreign).Certificates
		Expect(call(peer, stranger)).NotTo(Succeed())
		stranger.Certificates = nil
		Expect(call(peer, stranger)).NotTo(Succeed())

		old := client(dir)
		issue(dir)
		replaced := client(dir)
		for _, node := range fleet.Nodes {
			addresses := node.Daemon.Addresses()
			for _, address := range []string{addresses.Peer, addresses.Caller, addresses.Admin} {
				Eventually(func() error { return call(address, replaced) }, 15*time.Second, 100*time.Millisecond).Should(Succeed())
			}
		}
		Expect(call(peer, old)).NotTo(Succeed())
		Expect(fleet.AwaitReady(len(fleet.Nodes))).To(Succeed())
		send()
	})
})

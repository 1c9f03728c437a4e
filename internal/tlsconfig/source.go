package tlsconfig

import (
	"context"
	"crypto/tls"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// errNoPeerCertificate is returned for a client that presents no certificate.
var errNoPeerCertificate = errors.New("peer presented no certificate")

// Source holds the current certificates and provides TLS configurations. It is safe for concurrent use.
type Source struct {
	files    Files
	peerName string
	log      zerolog.Logger
	current  atomic.Pointer[credentials]
}

// New loads the files. peerName is the DNS name in the certificates of all daemons.
func New(files Files, peerName string, log zerolog.Logger) (*Source, error) {
	s := &Source{files: files, peerName: peerName, log: log}
	if err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload reads the files again. If that fails, the previous certificates stay in use.
func (s *Source) Reload() error {
	c, err := s.files.load()
	if err != nil {
		return err
	}
	s.current.Store(c)
	return nil
}

// Run reloads the files every period until ctx is done. It always returns nil.
func (s *Source) Run(ctx context.Context, period time.Duration) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if err := s.Reload(); err != nil {
				s.log.Warn().Err(err).Msg("tls: files not reloaded")
			}
		}
	}
}

// CallerServer returns the server configuration for connections from callers.
func (s *Source) CallerServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.current.Load().certificate, nil
		},
	}
}

// PeerServer returns the server configuration for connections from other daemons. Each handshake uses the
// certificates that are current at its start.
func (s *Source) PeerServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.peerServer(), nil
		},
	}
}

// peerServer returns the server configuration with the current certificates.
func (s *Source) peerServer() *tls.Config {
	c := s.current.Load()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{"http/1.1"},
		Certificates:           []tls.Certificate{c.certificate},
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ClientCAs:              c.caPool,
		SessionTicketsDisabled: true,
		VerifyConnection:       s.verifyPeer,
	}
}

// PeerClient returns the client configuration for connections to other daemons. It holds the current
// certificates and does not follow a reload, so each new connection needs a new one.
func (s *Source) PeerClient() *tls.Config {
	c := s.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"http/1.1"},
		Certificates: []tls.Certificate{c.certificate},
		RootCAs:      c.caPool,
		ServerName:   s.peerName,
	}
}

// verifyPeer checks that the client's certificate was issued for the peer name of the daemons.
func (s *Source) verifyPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errNoPeerCertificate
	}
	return state.PeerCertificates[0].VerifyHostname(s.peerName)
}

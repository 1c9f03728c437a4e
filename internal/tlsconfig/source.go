package tlsconfig

import (
	"context"
	"crypto/tls"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

// errNoPeerCertificate rejects a connection without a certificate.
var errNoPeerCertificate = errors.New("peer presented no certificate")

// Source holds the current TLS material. It is safe for concurrent use.
type Source struct {
	files    Files
	peerName string
	log      zerolog.Logger
	current  atomic.Pointer[material]
}

// New loads the files. peerName is the DNS name that all daemons' certificates carry.
func New(files Files, peerName string, log zerolog.Logger) (*Source, error) {
	s := &Source{files: files, peerName: peerName, log: log}
	if err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Reload reads the files again. On an error the previous material stays in force.
func (s *Source) Reload() error {
	m, err := s.files.load()
	if err != nil {
		return err
	}
	s.current.Store(m)
	return nil
}

// Run reloads the files every period until ctx ends.
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

// CallerServer returns the configuration for callers.
func (s *Source) CallerServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.current.Load().certificate, nil
		},
	}
}

// PeerServer returns the configuration for connections from other daemons.
func (s *Source) PeerServer() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.peerServer(), nil
		},
	}
}

// peerServer returns the configuration with the current material.
func (s *Source) peerServer() *tls.Config {
	m := s.current.Load()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{"http/1.1"},
		Certificates:           []tls.Certificate{m.certificate},
		ClientAuth:             tls.RequireAndVerifyClientCert,
		ClientCAs:              m.authorities,
		SessionTicketsDisabled: true,
		VerifyConnection:       s.verifyPeer,
	}
}

// PeerClient returns the configuration for one connection to another daemon.
func (s *Source) PeerClient() *tls.Config {
	m := s.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{"http/1.1"},
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.authorities,
		ServerName:   s.peerName,
	}
}

// verifyPeer checks that the client's certificate was issued to a daemon.
func (s *Source) verifyPeer(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errNoPeerCertificate
	}
	return state.PeerCertificates[0].VerifyHostname(s.peerName)
}

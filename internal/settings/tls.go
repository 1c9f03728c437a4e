package settings

// TLS names the files of the daemon's identity. Files are read again when they
// change. Without files, callers and peers use plain HTTP, which only the
// emulators and loopback tests should do.
type TLS struct {
	// CertFile is the daemon's certificate chain in PEM.
	CertFile string `toml:"cert_file"`
	// KeyFile is the private key of the certificate in PEM.
	KeyFile string `toml:"key_file"`
	// PeerCAFile holds the certificates of the authority that signs daemons, in PEM.
	PeerCAFile string `toml:"peer_ca_file"`
	// PeerName is the DNS name that the certificates of all daemons carry and that
	// no other certificate of the authority carries. Default buckthornlatch-peer.
	PeerName string `toml:"peer_name"`
}

// Enabled reports whether any TLS file is set.
func (t TLS) Enabled() bool {
	return t.CertFile != "" || t.KeyFile != "" || t.PeerCAFile != ""
}

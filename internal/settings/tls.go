package settings

// TLS names the files of the daemon's certificate. Files are read again when they change. Without
// files, callers and peers use plain HTTP, which is meant only for emulators and loopback tests.
type TLS struct {
	// CertFile is the daemon's certificate chain in PEM.
	CertFile string `toml:"cert_file"`
	// KeyFile is the private key of the certificate in PEM.
	KeyFile string `toml:"key_file"`
	// PeerCAFile holds the certificates of the CA that signs the daemons' certificates, in PEM.
	PeerCAFile string `toml:"peer_ca_file"`
	// PeerName is the DNS name in the certificates of all daemons, which no other certificate of
	// the CA may contain. Default buckthornlatch-peer.
	PeerName string `toml:"peer_name"`
}

// Enabled reports whether any TLS file is set.
func (t TLS) Enabled() bool {
	return t.CertFile != "" || t.KeyFile != "" || t.PeerCAFile != ""
}

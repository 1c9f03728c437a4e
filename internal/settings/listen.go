package settings

// Listen holds the daemon's own addresses, each an IP address and port.
type Listen struct {
	// Caller is the address for callers. Required.
	Caller string `toml:"caller"`
	// Peer is the address for other daemons: attempts and control messages. Required.
	Peer string `toml:"peer"`
	// Local is the address for announcements of the host's own targets. Required; loopback only.
	Local string `toml:"local"`
	// Admin is the address for the administration API, health, readiness, metrics and pprof. Required.
	Admin string `toml:"admin"`
}

package settings

// Host identifies the host slot that the daemon runs on.
type Host struct {
	// Name is the host slot's name on the roster. Required.
	Name string `toml:"name"`
	// FailureDomain is the host's failure domain. Required.
	FailureDomain string `toml:"failure_domain"`
}

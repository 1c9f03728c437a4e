package daemon

import "errors"

var (
	// errUnknownHost reports a host without a known address.
	errUnknownHost = errors.New("host is not known")
	// errSuperseded reports that gossip showed a newer process of this host. Two processes of one
	// host slot must not serve at the same time, so the older one exits.
	errSuperseded = errors.New("a newer process of this host is running")
)

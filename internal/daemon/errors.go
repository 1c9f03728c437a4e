package daemon

import "errors"

var (
	// errUnknownHost reports a host without a known address.
	errUnknownHost = errors.New("host is not known")
	// errSuperseded reports that a newer process of the own host was heard. Two
	// processes of one host slot must not serve, so the older one ends.
	errSuperseded = errors.New("a newer process of this host is running")
)

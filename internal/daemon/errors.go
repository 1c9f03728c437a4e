package daemon

import "errors"

// errUnknownHost reports a host without a known address.
var errUnknownHost = errors.New("host is not known")

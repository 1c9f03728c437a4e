package policy

// Version orders the operator's configurations. Zero means that none is known.
type Version uint64

package policy

// Version is the version of the operator's configuration; newer ones are greater. Zero means that none is known.
type Version uint64

package revocation

// Digest summarizes a set. Equal sets have equal digests, and different ones
// have different digests but for a chance of about 1 in 2^128: it guards
// against differences in transit, not against a peer that forges records.
type Digest struct {
	// Count is the number of records.
	Count uint32
	// High and Low are the exclusive or of the records' hashes.
	High, Low uint64
}

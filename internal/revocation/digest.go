package revocation

// Digest summarizes a set. Equal sets have equal digests; the digests of two
// different sets are equal with a probability of about 1 in 2^128. The hash is
// not cryptographic: a peer that forges records can make digests collide.
type Digest struct {
	// Count is the number of records.
	Count uint32
	// High and Low are the XOR of the records' hashes.
	High, Low uint64
}

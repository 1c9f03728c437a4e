package ledger

// ClaimID names one permission to run. It is comparable.
type ClaimID struct {
	// At names the ledger; it is zero for a claim on a caller's own key.
	At Location
	// Key is the random part of the ticket, or the hash of customer and own key.
	Key [16]byte
	// Serial tells apart the claims that one key had after proved not-runs.
	Serial uint64
}

// OwnKey reports whether the claim is on a caller's own key.
func (c ClaimID) OwnKey() bool {
	return c.At == Location{}
}

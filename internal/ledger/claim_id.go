package ledger

// ClaimID identifies a claim: one permission to run a request. It is comparable.
type ClaimID struct {
	// At is the location of the ledger; it is zero for a claim on a key that the caller chose.
	At Location
	// Key is the random part of the ticket, or a hash of the customer and the caller's own key.
	Key [16]byte
	// Serial distinguishes successive claims on one key, which is claimed again after a proved
	// not-run.
	Serial uint64
}

// OwnKey reports whether the claim is on a key that the caller chose, not on a ticket.
func (c ClaimID) OwnKey() bool {
	return c.At == Location{}
}

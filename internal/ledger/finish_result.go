package ledger

// FinishResult is the effect of a Finish; the numbers are part of the protocol between daemons.
type FinishResult uint8

const (
	// Recorded means that the outcome was applied to the claim.
	Recorded FinishResult = iota + 1
	// RecordedSealed means that the outcome was applied to the claim of a sealed ledger. The
	// receiver's copy may lack it, so the outcome should also be sent to the receiver.
	RecordedSealed
	// Ignored means that the claim had ended, expired or been replaced, or belongs to another
	// ledger; nothing changed.
	Ignored
	// Moved means that the records were handed over; the outcome must be sent to the receiver.
	Moved
)

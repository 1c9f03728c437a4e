package ledger

// FinishResult says what Finish did; the numbers are part of the protocol between daemons.
type FinishResult uint8

const (
	// Recorded means that the outcome is now the claim's.
	Recorded FinishResult = iota + 1
	// RecordedSealed means Recorded, but a receiver may have a copy without the outcome, to
	// which the outcome should be sent too.
	RecordedSealed
	// Ignored means that the claim had ended, expired or been replaced; nothing changed.
	Ignored
	// Moved means that the records were handed over; the outcome belongs to the receiver.
	Moved
)

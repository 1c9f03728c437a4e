package ledger

// phase is the state of a ledger's handover, which decides whether the ledger may allow runs.
type phase uint8

const (
	// phaseActive allows runs.
	phaseActive phase = iota
	// phaseSealed allows no run; the receiver cannot yet activate its copy.
	phaseSealed
	// phaseCommitting allows no run; the receiver may have activated its copy.
	phaseCommitting
	// phaseHandedOver allows no run; it is final.
	phaseHandedOver
)

package ledger

// Proof is the way in which a request was proved not to have run; the numbers are part of the
// protocol between daemons.
type Proof uint8

const (
	// NoProof means that the request may have run.
	NoProof Proof = iota
	// NeverDispatched means that the holder of the claim sent no attempt.
	NeverDispatched
	// GateVerdict means that for every attempt the gate gave the verdict not-run or blocked it.
	GateVerdict
)

// Result is the kind of an Outcome; the numbers are part of the protocol between daemons.
type Result uint8

const (
	// OutcomeUnknown is final: the request may have run.
	OutcomeUnknown Result = iota
	// OutcomeRan records a response.
	OutcomeRan
	// OutcomeRanNotKept records that the request ran, without its response.
	OutcomeRanNotKept
	// OutcomeNotRun releases the claim, so that the ticket may run later; it needs a Proof.
	OutcomeNotRun
)

// Outcome ends a claim. The zero value is an unknown outcome.
type Outcome struct {
	Result   Result
	Response Response
	Proof    Proof
}

// Ran returns the outcome of a complete response.
func Ran(r Response) Outcome {
	return Outcome{Result: OutcomeRan, Response: r}
}

// RanWithoutResponse returns the outcome of a run of which only the status is recorded.
func RanWithoutResponse(status int) Outcome {
	return Outcome{Result: OutcomeRanNotKept, Response: Response{Status: status}}
}

// NotRun returns the outcome of a request that is proved not to have run, or the unknown outcome if
// there is no proof.
func NotRun(p Proof) Outcome {
	if p == NoProof {
		return Outcome{}
	}
	return Outcome{Result: OutcomeNotRun, Proof: p}
}

// UnknownOutcome returns the final outcome of a request that may have run.
func UnknownOutcome() Outcome {
	return Outcome{}
}

package load

import "time"

// Record is the history of one request.
type Record struct {
	RequestID  string
	Customer   string
	Idempotent bool
	// Conforming says that the request was inside the customer's rate and burst when it was due.
	Conforming bool
	Outcome    Outcome
	// Code is the refusal's code; empty when there was none.
	Code string
	// Mismatched says that the answer carried another request's id.
	Mismatched bool
	Sends      int
	// Due is the scheduled arrival since the start of the run.
	Due time.Duration
	// Latency runs from the scheduled arrival to the end of the answer.
	Latency time.Duration
	// Target is the name of the target that answered, when it said so.
	Target string
}

package slots

import "time"

// Kind is the gate's decision on an arriving attempt.
type Kind uint8

const (
	// Run hands the attempt to the target; Done must follow.
	Run Kind = iota
	// Wait puts it into the queue; a Turn or Abandon follows.
	Wait
	// Refuse ends it without a run.
	Refuse
)

// Reason says why an attempt was refused.
type Reason string

const (
	// Full means that all slots are in use and the wait would be longer than the attempt's patience.
	Full Reason = "full"
	// Suspected means that the target is suspected of failing its work.
	Suspected Reason = "suspected"
	// TooLate means that the time left is shorter than the work takes.
	TooLate Reason = "too-late"
	// RepeatsUsedUp means that the budget for repeated attempts is spent.
	RepeatsUsedUp Reason = "repeats-used-up"
	// NoTarget means that the gate has no target that takes new work.
	NoTarget Reason = "no-target"
)

// Decision is the answer to an arriving attempt.
type Decision struct {
	Kind Kind
	// Reason and RetryAfter explain a refusal.
	Reason Reason
	// RetryAfter is the time until there may be room; zero when unknown.
	RetryAfter time.Duration
	// Reclaim is an attempt at the target that its entry should give up, if Reclaims is set.
	Reclaim  ID
	Reclaims bool
}

// Turn ends the wait of one attempt: it runs, or it is refused for Reason.
type Turn struct {
	ID     ID
	Run    bool
	Reason Reason
}

// Outcome is how an attempt at the target ended.
type Outcome uint8

const (
	// Succeeded means a complete answer without a server error.
	Succeeded Outcome = iota
	// Failed means a complete answer with a server error, which a sound target gives now and then.
	Failed
	// Declined means that the target said that it did not run the attempt.
	Declined
	// Broken means that the connection broke or the answer made no sense.
	Broken
	// TimedOut means that the attempt's time was up.
	TimedOut
	// Cancelled means that the caller or the entry ended it; the target is not to blame.
	Cancelled
)

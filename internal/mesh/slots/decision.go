package slots

import "time"

// Kind is the gate's decision on an arriving attempt.
type Kind uint8

const (
	// Run hands the attempt to the target; Done must follow.
	Run Kind = iota
	// Wait puts it into the queue; a Turn or Abandon follows.
	Wait
	// Refuse rejects it without running it.
	Refuse
)

// Reason says why an attempt was refused.
type Reason string

const (
	// Full means that no slot is available and that the queue is full or the expected wait exceeds the attempt's
	// MaxQueueWait.
	Full Reason = "full"
	// Suspected means that the target is suspected of failing its work.
	Suspected Reason = "suspected"
	// TooLate means that less time remains than the work is expected to need.
	TooLate Reason = "too-late"
	// RepeatsUsedUp means that the budget for repeated attempts is spent.
	RepeatsUsedUp Reason = "repeats-used-up"
	// Stopping means that the attempt may outlast the planned stop of the host.
	Stopping Reason = "gate-draining"
	// NoTarget means that the gate has no target that takes new work.
	NoTarget Reason = "no-target"
)

// Decision is the result of Admit.
type Decision struct {
	Kind Kind
	// Reason explains a refusal.
	Reason Reason
	// RetryAfter is the time after which another try may succeed; zero when unknown.
	RetryAfter time.Duration
	// Reserved is the number of slots that are reserved for more urgent attempts than this one, if it did not run at once.
	Reserved int
	// Displaced is a queued attempt that is refused in favour of this one, which waits, if HasDisplaced is set.
	Displaced    ID
	HasDisplaced bool
	// Reclaim is a running attempt that its entry should give up to free the slot, if HasReclaim is set.
	Reclaim    ID
	HasReclaim bool
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
	// Failed means a complete answer with a server error, which healthy targets return occasionally.
	Failed
	// Declined means that the target reported that it did not run the attempt.
	Declined
	// Broken means that the connection broke or the answer was invalid.
	Broken
	// TimedOut means that the attempt ran out of time.
	TimedOut
	// Cancelled means that the attempt ended for a reason that says nothing about the target, such as a caller that
	// left.
	Cancelled
)

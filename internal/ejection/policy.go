package ejection

import "time"

// Policy holds the numbers of the judgement. docs/health.md has the measurements behind them.
type Policy struct {
	// SuspectScore is the evidence at which a target becomes a suspect. Four errors in a row suffice.
	SuspectScore float64
	// ClearScore is the evidence below which a suspect is cleared.
	ClearScore float64
	// SlowFactor is the multiple of the service median above which a request counts as slow.
	SlowFactor float64
	// SlowMargin is the least difference from the median that counts as slow.
	SlowMargin time.Duration
	// FirstHold is the time that a target stays ejected before the first trial request.
	FirstHold time.Duration
	// MaxHold bounds the growing hold.
	MaxHold time.Duration
	// RelapseDecay is the healthy time after which one relapse is forgiven.
	RelapseDecay time.Duration
	// Trials is the number of successful trial requests in a row that end an ejection.
	Trials int
	// Ramp is the time in which a started or returned target reaches its full weight.
	Ramp time.Duration
	// RampFloor is the weight at the beginning of the ramp.
	RampFloor float64
	// SuspectWeight is the weight of a suspect that is not ejected.
	SuspectWeight float64
}

// DefaultPolicy returns the policy in use.
func DefaultPolicy() Policy {
	return Policy{
		SuspectScore:  11.5,
		ClearScore:    2,
		SlowFactor:    3,
		SlowMargin:    5 * time.Millisecond,
		FirstHold:     5 * time.Second,
		MaxHold:       5 * time.Minute,
		RelapseDecay:  5 * time.Minute,
		Trials:        3,
		Ramp:          10 * time.Second,
		RampFloor:     0.1,
		SuspectWeight: 0.25,
	}
}

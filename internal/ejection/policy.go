package ejection

import "time"

// Policy holds the parameters of outlier detection. docs/health.md has the measurements behind them.
type Policy struct {
	// SuspectScore is the score at which a target becomes suspect. Four errors in a row suffice.
	SuspectScore float64
	// ClearScore is the score below which a suspect is healthy again.
	ClearScore float64
	// SlowFactor is the multiple of the baseline latency above which a request counts as slow.
	SlowFactor float64
	// SlowMargin is the least difference from the baseline latency that counts as slow.
	SlowMargin time.Duration
	// InitialBackoff is the time from an ejection to the first trial request, without earlier relapses.
	InitialBackoff time.Duration
	// MaxBackoff bounds the backoff, which doubles with each relapse.
	MaxBackoff time.Duration
	// RelapseDecay is the time without a relapse after which the number of relapses decreases by one.
	RelapseDecay time.Duration
	// Trials is the number of successful trial requests in a row that end an ejection.
	Trials int
	// SlowStart is the time in which a new or readmitted target ramps up to full weight.
	SlowStart time.Duration
	// SlowStartMinWeight is the weight at the beginning of slow start, and in trial.
	SlowStartMinWeight float64
	// SuspectWeight is the weight of a suspect that is not ejected.
	SuspectWeight float64
}

// DefaultPolicy returns the policy in use.
func DefaultPolicy() Policy {
	return Policy{
		SuspectScore:       11.5,
		ClearScore:         2,
		SlowFactor:         3,
		SlowMargin:         5 * time.Millisecond,
		InitialBackoff:     5 * time.Second,
		MaxBackoff:         5 * time.Minute,
		RelapseDecay:       5 * time.Minute,
		Trials:             3,
		SlowStart:          10 * time.Second,
		SlowStartMinWeight: 0.1,
		SuspectWeight:      0.25,
	}
}

package platform

import "time"

// Faults is the set of faults that are switched on. The zero value is a healthy platform.
type Faults struct {
	// Down refuses every call with 503.
	Down bool `json:"down"`
	// DelayMs is added before each call takes effect, in milliseconds.
	DelayMs int `json:"delay_ms"`
	// LoseResponses is the fraction of writes, between 0 and 1, whose response
	// is lost after the write took effect.
	LoseResponses float64 `json:"lose_responses"`
	// ReadsPerSecond limits reads; zero is unlimited.
	ReadsPerSecond int `json:"reads_per_second"`
	// WritesPerSecond limits writes; zero is unlimited.
	WritesPerSecond int `json:"writes_per_second"`
}

// delay returns DelayMs as a duration.
func (f Faults) delay() time.Duration {
	return time.Duration(f.DelayMs) * time.Millisecond
}

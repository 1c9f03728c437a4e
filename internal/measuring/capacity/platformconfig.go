package capacity

import "time"

// PlatformConfig describes a measurement of the platform's load by a whole fleet.
type PlatformConfig struct {
	// Daemons is the number of simulated daemons.
	Daemons int
	// ReadsPerSecond and WritesPerSecond are the platform's limits.
	ReadsPerSecond, WritesPerSecond int
	// Catalogue is the generated catalogue; every daemon holds a copy in this process.
	Catalogue Size
	// ChangeInterval and RestartInterval are those of ordinary days.
	ChangeInterval, RestartInterval time.Duration
	// Phase is the length of each phase, and Outage that of the platform's outage.
	Phase, Outage time.Duration
}

// PlatformPhase is the load during one phase.
type PlatformPhase struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
	// Reads and Writes are the means of calls that took effect per second.
	Reads  float64 `json:"reads_per_second"`
	Writes float64 `json:"writes_per_second"`
	// PeakReads, PeakWrites and PeakOffered are the highest counts within one second;
	// offered calls include refused ones.
	PeakReads   int64 `json:"peak_reads"`
	PeakWrites  int64 `json:"peak_writes"`
	PeakOffered int64 `json:"peak_offered"`
	Refused     int64 `json:"refused"`
	// SettledSeconds is the time from the phase's start until every daemon was registered and
	// had read the catalogue and the registrations since; negative when that did not happen.
	SettledSeconds float64 `json:"settled_seconds"`
}

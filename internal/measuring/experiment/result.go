package experiment

import (
	"time"

	"buckthornlatch.example/buckthornlatch/internal/measuring/load"
)

// Result is the outcome of one experiment.
type Result struct {
	Name    string       `json:"name"`
	Seed    int64        `json:"seed"`
	Summary load.Summary `json:"summary"`
	Verdict load.Verdict `json:"verdict"`
	// Detections has one row for each fault of a target.
	Detections []Detection `json:"detections"`
	// FalseEjections are the ejections of targets without a fault.
	FalseEjections []FalseEjection `json:"false_ejections"`
	// CrashedTargets counts the targets that a request crashed.
	CrashedTargets int `json:"crashed_targets"`
	// Series has the served and refused requests by second.
	Series []Second `json:"series"`
}

// Detection says when a faulty target lost its work.
type Detection struct {
	Target string `json:"target"`
	Mode   string `json:"mode"`
	// SuspectedAfter and EjectedAfter count from the fault; negative when it did not happen.
	SuspectedAfter time.Duration `json:"suspected_after_ns"`
	EjectedAfter   time.Duration `json:"ejected_after_ns"`
}

// FalseEjection is the ejection of a target without a fault.
type FalseEjection struct {
	Target string `json:"target"`
	// At counts from the start of the load.
	At time.Duration `json:"at_ns"`
}

// never marks an event that did not happen.
const never = time.Duration(-1)

// Second counts the requests that were due within one second.
type Second struct {
	Second  int     `json:"second"`
	Served  int     `json:"served"`
	Refused int     `json:"refused"`
	Other   int     `json:"other"`
	P99     float64 `json:"p99_ms"`
}

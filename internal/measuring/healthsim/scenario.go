package healthsim

import "time"

// Scenario is a fault that begins in a steady state.
type Scenario string

// The scenarios. The health page of every target stays fine in all of them.
const (
	// Steady has no fault but a background of 1% errors.
	Steady Scenario = "steady"
	// Gray is one target whose work fails at once.
	Gray Scenario = "gray"
	// GrayPartial is one target that fails 30% of its work.
	GrayPartial Scenario = "gray-30%"
	// Hang is one target that accepts work and never answers.
	Hang Scenario = "hang"
	// Slow is one target that takes five times as long.
	Slow Scenario = "slow-5x"
	// Flapping is one target that fails for 3 s of every 10 s.
	Flapping Scenario = "flapping"
	// OneWayCut keeps one entry's host from reaching one gate.
	OneWayCut Scenario = "one-way-cut"
	// SlowService is a service whose targets all take five times as long.
	SlowService Scenario = "slow-service"
	// FailingService is a service whose targets all fail half of their work.
	FailingService Scenario = "failing-service"
)

// Scenarios lists all scenarios in the order of the table.
func Scenarios() []Scenario {
	return []Scenario{Steady, Gray, GrayPartial, Hang, Slow, Flapping, OneWayCut, SlowService, FailingService}
}

const (
	// warmUp is the time before the fault; slow starts have ended by then.
	warmUp = 20 * time.Second
	// runTime is the length of a run.
	runTime = 60 * time.Second
	// flapPeriod and flapBad shape the flapping scenario.
	flapPeriod = 10 * time.Second
	flapBad    = 3 * time.Second
	// slowdown is the factor of the slow scenarios.
	slowdown = 5
	// backgroundErrors is the part of healthy work that fails.
	backgroundErrors = 0.01
	// partialErrors and serviceErrors are the failing parts of the partial scenarios.
	partialErrors = 0.3
	serviceErrors = 0.5
)

// hasVictim reports whether the scenario has one faulty target.
func (s Scenario) hasVictim() bool {
	switch s {
	case Gray, GrayPartial, Hang, Slow, Flapping:
		return true
	case Steady, OneWayCut, SlowService, FailingService:
	}
	return false
}

// behaviour is how a target treats a request.
type behaviour struct {
	failing float64
	factor  float64
	hangs   bool
	// fast says that failures come at once.
	fast bool
}

// behaviourAt returns the behaviour of a target at a time; victim says that it is the faulty one,
// first that it belongs to the first service.
func (s Scenario) behaviourAt(now time.Duration, victim, first bool) behaviour {
	normal := behaviour{failing: backgroundErrors, factor: 1}
	if now < warmUp {
		return normal
	}
	if s == SlowService && first {
		return behaviour{failing: backgroundErrors, factor: slowdown}
	}
	if s == FailingService && first {
		return behaviour{failing: serviceErrors, factor: 1}
	}
	if !victim {
		return normal
	}
	switch s {
	case Gray:
		return behaviour{failing: 1, factor: 1, fast: true}
	case GrayPartial:
		return behaviour{failing: partialErrors, factor: 1}
	case Hang:
		return behaviour{hangs: true, factor: 1}
	case Slow:
		return behaviour{failing: backgroundErrors, factor: slowdown}
	case Flapping:
		if (now-warmUp)%flapPeriod < flapBad {
			return behaviour{failing: 1, factor: 1, fast: true}
		}
	case Steady, OneWayCut, SlowService, FailingService:
	}
	return normal
}

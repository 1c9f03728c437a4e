package attempt

import "buckthornlatch.example/buckthornlatch/internal/invariant"

// End says how a gate's work on an attempt ended.
type End uint8

const (
	// EndRefused means that the gate gave up before it dispatched the attempt.
	EndRefused End = iota
	// EndDeclined means that the target declared that it did not run the dispatched attempt.
	EndDeclined
	// EndComplete means that the target's answer was complete.
	EndComplete
	// EndBroken means that the attempt was dispatched and got no complete answer.
	EndBroken
)

// verdict returns the verdict for an attempt that ended in the given state.
func (e End) verdict(state State) State {
	if state != Dispatched {
		invariant.Check(e == EndRefused, "no-answer-before-dispatch", "attempt is %v, end %d", state, e)
		return NotRun
	}
	invariant.Check(e != EndRefused, "no-not-run-after-dispatch", "dispatched attempt was refused")
	switch e {
	case EndDeclined:
		return NotRun
	case EndComplete:
		return Ran
	default:
		return Unknown
	}
}

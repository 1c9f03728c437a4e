package target

// Mode selects how a target treats work. The health page is fine in every mode
// but Down.
type Mode string

// The modes.
const (
	// Healthy answers work after its service time.
	Healthy Mode = "healthy"
	// Gray fails all work with status 500 while the health page stays fine.
	Gray Mode = "gray"
	// Slow takes SlowFactor times the service time.
	Slow Mode = "slow"
	// Hang accepts work and never answers it.
	Hang Mode = "hang"
	// Flapping alternates between Healthy and Gray every FlapPeriod.
	Flapping Mode = "flapping"
	// Shedding refuses all work and states that it did not run.
	Shedding Mode = "shedding"
	// Down closes the listener and stops announcing.
	Down Mode = "down"
)

// valid reports whether the mode is known.
func (m Mode) valid() bool {
	switch m {
	case Healthy, Gray, Slow, Hang, Flapping, Shedding, Down:
		return true
	default:
		return false
	}
}
